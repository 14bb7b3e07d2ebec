package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import terndyke.PersistentClient.Outcome;
import terndyke.RawServer.Response;

/** One client that sends at full speed, under ever new names, beside usual clients on new connections. */
class FloodingClientProcessTest {
    private static final long FLOOD_MILLIS = 3_000;
    private static final int REQUESTS_AT_ONCE = 50;
    private static final int LARGE_BODY_BYTES = 60_000;
    private static final int SLOW_READ_BYTES = 64;
    private static final int SLOW_READ_INTERVAL_MILLIS = 5;

    private final Set<String> deliveredOrNotified = ConcurrentHashMap.newKeySet();
    private volatile boolean flooding = true;

    @TempDir
    Path folder;

    /** What the client sends, and how it reads the answers. */
    enum Flood {
        NEW_KEYS_READ_SLOWLY, LARGE_BODIES, UNSOUND, UNSOUND_AFTER_SOUND, NEW_CONNECTIONS
    }

    /** Guards against a client at full speed that keeps the others from their answers, or lets memory grow until the process ends. */
    @ParameterizedTest
    @EnumSource
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void usualClientsAreAnsweredBesideAClientAtFullSpeed(Flood flood) throws Exception {
        try (RawServer endpoint = new RawServer(request -> {
            deliveredOrNotified.add(String.valueOf(request.header("Request-Id")));
            return Response.complete(ProcessTestSupport.OK);
        }); RawServer platform = new RawServer(request -> ProcessTestSupport.answerPlatform(request, endpoint.address(), 1,
                notice -> deliveredOrNotified.add(ProcessTestSupport.noticeId(notice))));
                TestNodeProcess node = TestNodeProcess.startServingAtFullSize(folder, platform.address())) {
            Thread floodingClient = new Thread(() -> sendFlood(node.port(), flood), "flooding-client");
            floodingClient.setDaemon(true);
            floodingClient.start();
            UsualClients usualClients = UsualClients.start(node.port(), () -> flooding);
            ProcessTestSupport.sleep(FLOOD_MILLIS);
            flooding = false;
            usualClients.awaitEnd();
            assertTrue(node.isAlive());
            assertEquals(0, usualClients.count(Outcome.CLOSED_UNANSWERED) + usualClients.count(Outcome.SLOW)
                    + usualClients.count(Outcome.DOWN), "requests without an answer in 400 ms: " + usualClients);
            ProcessTestSupport.sleep(UsualClients.MESSAGE_TIMEOUT_MILLIS + 300);
            assertEquals(List.of(), usualClients.taken().stream().filter(id -> !deliveredOrNotified.contains(id)).toList(), "lost messages");
            node.assertCleanExit();
        }
    }

    private void sendFlood(int port, Flood flood) {
        int requestsPerConnection = flood == Flood.NEW_CONNECTIONS ? 1 : flood == Flood.UNSOUND_AFTER_SOUND ? 2 : Integer.MAX_VALUE;
        for (int sent = 0; flooding;) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                Thread reader = new Thread(() -> readAnswers(socket, flood));
                reader.setDaemon(true);
                reader.start();
                OutputStream out = socket.getOutputStream();
                for (int onConnection = 0; flooding && onConnection < requestsPerConnection; onConnection += REQUESTS_AT_ONCE) {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < Math.min(REQUESTS_AT_ONCE, requestsPerConnection); i++) {
                        requests.append(request(flood, sent++));
                    }
                    out.write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
                if (flood == Flood.UNSOUND_AFTER_SOUND) {
                    reader.join();
                }
            } catch (IOException e) {
                // the node has closed the connection, as it may
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String request(Flood flood, int number) {
        String id = "flood-" + number;
        String sound = TestNodeProcess.requestText("status", id, 0, UsualClients.MESSAGE_TIMEOUT_MILLIS);
        return switch (flood) {
            case NEW_CONNECTIONS -> sound;
            case NEW_KEYS_READ_SLOWLY -> TestNodeProcess.requestText("reading", id, "key-" + number, 0, UsualClients.MESSAGE_TIMEOUT_MILLIS);
            case LARGE_BODIES -> sound.substring(0, sound.indexOf("Content-Length")) + "Content-Length: " + LARGE_BODY_BYTES + "\r\n\r\n"
                    + "x".repeat(LARGE_BODY_BYTES);
            case UNSOUND -> sound.replace("dest=0", "dest=none-" + number);
            case UNSOUND_AFTER_SOUND -> number % 2 == 0 ? sound : sound.replace("Content-Length: ", "Content-Length: -");
        };
    }

    private void readAnswers(Socket socket, Flood flood) {
        boolean slow = flood == Flood.NEW_KEYS_READ_SLOWLY;
        byte[] buffer = new byte[slow ? SLOW_READ_BYTES : 1 << 16];
        try {
            InputStream in = socket.getInputStream();
            while (flooding && in.read(buffer) >= 0) {
                if (slow) {
                    ProcessTestSupport.sleep(SLOW_READ_INTERVAL_MILLIS);
                }
            }
        } catch (IOException e) {
            // closed by either side
        }
    }
}
