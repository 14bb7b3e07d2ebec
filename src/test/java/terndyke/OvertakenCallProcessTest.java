package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** Calls whose connections are still coming up when discovery tells a change of their endpoint. */
class OvertakenCallProcessTest {
    private static final int MESSAGES = 3;
    private static final long MESSAGE_TIMEOUT_MILLIS = 5_000;
    private static final long CHANGE_AFTER_MILLIS = 200;
    private static final long DELIVERY_TIMEOUT_MILLIS = 500; // the system asks again for the late connections after that
    private static final long LATE_CONNECTIONS_MILLIS = 2_000; // by when they have come up

    private final CountDownLatch changeTold = new CountDownLatch(1);
    private final BlockingQueue<String> delivered = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> misdirected = new LinkedBlockingQueue<>();
    private final List<Socket> backlog = new ArrayList<>();

    @TempDir
    Path folder;

    private static String target(String uid, String address, int destination, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"east\",\"model\":\"a\",\"pod_group\":" + destination
                + ",\"state\":\"" + state + "\",\"capacity_hint\":50,\"boot_ms\":0}";
    }

    private Response answerPlatform(Request request, String list, String change) {
        if (request.path().equals("/v2/finals")) {
            return Response.complete(ProcessTestSupport.NO_CONTENT);
        }
        if (request.path().contains("after=1&")) {
            try {
                changeTold.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return Response.json(change);
        }
        return request.path().contains("after=") ? Response.NO_RESPONSE : Response.json(list);
    }

    private Response deliver(Request request) {
        if (request.path().equals("/events")) {
            delivered.add(request.header("Request-Id"));
        }
        return Response.complete(ProcessTestSupport.OK);
    }

    /** Opens a listener whose queue is full, so that the system asks again for further connections after a second. */
    private ServerSocket openLateListener() throws IOException {
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        for (int i = 0; i < 2; i++) {
            backlog.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        return listener;
    }

    private void acceptAndRecord(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                Thread reader = new Thread(() -> recordCall(connection));
                reader.setDaemon(true);
                reader.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void recordCall(Socket connection) {
        try (connection) {
            String firstBytes = new String(connection.getInputStream().readNBytes("POST /events".length()));
            if (!firstBytes.isEmpty()) {
                misdirected.add(firstBytes);
            }
        } catch (IOException e) {
            // the node closed the connection
        }
    }

    /**
     * Guards against a call that reaches whoever is at the address of its endpoint once its connection comes up, although discovery
     * has told long before that the endpoint left, drains, or that one of another destination is there.
     */
    @ParameterizedTest
    @CsvSource({"left, false", "leaving, false", "left, true"})
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noCallStartsAtAnEndpointThatTheListHasTakenBack(String newState, boolean addressReused) throws Exception {
        try (ServerSocket late = openLateListener(); RawServer successor = new RawServer(this::deliver)) {
            String lateAddress = "127.0.0.1:" + late.getLocalPort();
            String list = "{\"rev\":1,\"all\":true,\"targets\":[" + target("s-1", lateAddress, 0, "active") + "]}";
            String change = "{\"rev\":2,\"all\":false,\"targets\":[" + target("s-1", lateAddress, 0, newState) + ","
                    + (addressReused ? target("s-9", lateAddress, 1, "active") + "," : "")
                    + target("s-7", successor.address(), 0, "active") + "]}";
            try (RawServer platform = new RawServer(request -> answerPlatform(request, list, change));
                    TestNodeProcess node = TestNodeProcess.startServingAtFullSize(folder, platform.address())) {
                List<String> ids = new ArrayList<>();
                for (int i = 0; i < MESSAGES; i++) {
                    ids.add("m-" + i);
                    assertTrue(node.submit("payment", "m-" + i, 0, MESSAGE_TIMEOUT_MILLIS).startsWith("HTTP/1.1 202"));
                }
                ProcessTestSupport.sleep(CHANGE_AFTER_MILLIS);
                changeTold.countDown();
                ProcessTestSupport.sleep(DELIVERY_TIMEOUT_MILLIS);
                List<String> received = new ArrayList<>();
                delivered.drainTo(received);
                Thread acceptor = new Thread(() -> acceptAndRecord(late));
                acceptor.setDaemon(true);
                acceptor.start();
                ProcessTestSupport.sleep(LATE_CONNECTIONS_MILLIS);
                assertEquals(List.of(), List.copyOf(misdirected), "calls that began at the endpoint after the change");
                assertEquals(ids, received.stream().sorted().toList(), "messages that went on to the endpoint in its place");
                assertEquals(MESSAGES, node.counter("calls_cancelled_by_list"));
                node.assertCleanExit();
            }
        } finally {
            for (Socket socket : backlog) {
                socket.close();
            }
        }
    }
}
