package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.sleep;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** Steps the wall clock of a running node, whose connections have time-outs. */
class RunningClockStepProcessTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int CLIENTS = 4;
    private static final int BAD_CLIENT_MILLIS = 3_000; // by when one that stops inside a request is to be ended
    private static final int REQUEST_PAUSE_MILLIS = 600; // of a slow but sound client
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int CONNECT_BEGUN_MILLIS = 200;
    private static final int CONNECT_GIVEN_UP_MILLIS = 1_000; // the connect timeout of the settings is 500 ms
    private static final int READ_TIMEOUT_MILLIS = 8_000;
    private static final String HALF_REQUEST = "POST /status HTTP/1.1\r\nHost: n0\r\nRequest-Id: ";
    private static final String REST_OF_REQUEST = "\r\nX-Consignee: dest=0\r\nRequest-Timeout-Ms: 3000\r\nContent-Length: 0\r\n\r\n";

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();
    private SystemFaultShim shim;
    private RawServer endpoint;
    private RawServer platform;
    private TestNodeProcess node;
    private volatile String endpointAddress;

    @TempDir
    Path folder;

    @BeforeEach
    void start() throws Exception {
        shim = SystemFaultShim.build(folder, folder.resolve("state"));
        endpoint = new RawServer(this::answerEvent);
        endpointAddress = endpoint.address();
        platform = new RawServer(request -> answers.answerPlatform(request, endpointAddress, 1));
        node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address());
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable part : new AutoCloseable[] {node, platform, endpoint}) {
            if (part != null) {
                part.close();
            }
        }
    }

    private Response answerEvent(Request call) {
        answers.noteDelivery(call.header("Request-Id"));
        return Response.complete(OK);
    }

    private List<Socket> sendHalfRequests() throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), node.port());
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            client.getOutputStream().write(HALF_REQUEST.getBytes(StandardCharsets.US_ASCII));
            clients.add(client);
        }
        return clients;
    }

    /** Reads to the end of the connection; returns after how many milliseconds since the given time it came. */
    private static long awaitEnd(Socket client, long startNanos) throws IOException {
        try (client) {
            client.getInputStream().readAllBytes();
        }
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Guards against time-outs on the wall clock: after a step back, clients that stop inside a request kept their places. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void clientsThatStopInsideARequestAreEndedInTimeAfterTheWallClockStepsBack() throws Exception {
        long startNanos = System.nanoTime();
        List<Socket> clients = sendHalfRequests();
        sleep(200);
        shim.setWallClockOffset(-HOUR_MILLIS);
        for (Socket client : clients) {
            long millis = awaitEnd(client, startNanos);
            assertTrue(millis <= BAD_CLIENT_MILLIS, "ended after " + millis + " ms");
        }
    }

    /** Guards against requests that are closed unanswered: after a step forward, each time-out seemed to be over at once. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void slowRequestsAreAnsweredAcrossAStepOfTheWallClockForward() throws Exception {
        List<Socket> clients = sendHalfRequests();
        sleep(200);
        shim.setWallClockOffset(HOUR_MILLIS);
        sleep(REQUEST_PAUSE_MILLIS);
        for (Socket client : clients) {
            try (client) {
                client.getOutputStream().write(("slow" + client.getLocalPort() + REST_OF_REQUEST).getBytes(StandardCharsets.US_ASCII));
                byte[] answer = client.getInputStream().readNBytes("HTTP/1.1 202".length());
                assertEquals("HTTP/1.1 202", new String(answer, StandardCharsets.US_ASCII));
            }
        }
    }

    /** Guards against calls that wait for a connection without an end after a step back. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void connectionsThatNeverComeUpAreGivenUpInTimeAfterTheWallClockStepsBack() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket(silent.getInetAddress(), silent.getLocalPort());
                Socket second = new Socket(silent.getInetAddress(), silent.getLocalPort())) { // the queue is full now
            endpointAddress = "127.0.0.1:" + silent.getLocalPort();
            node.close();
            node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address());
            assertTrue(answers.submit(node, "payment", "first", 0, TIMEOUT_MILLIS));
            sleep(CONNECT_BEGUN_MILLIS);
            shim.setWallClockOffset(-HOUR_MILLIS);
            sleep(CONNECT_GIVEN_UP_MILLIS);
            assertTrue(node.counter("connects_failed") > 0, "the connection is still awaited");
            assertTrue(first.isConnected() && second.isConnected());
        }
    }
}
