package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** Clients that send many unrepeatable messages at once and leave; then the same ids come again, each alone. */
class DepartedClientProcessTest {
    private static final int CLIENTS = 20;
    private static final int MESSAGES_AT_ONCE = 200;
    private static final long MESSAGE_TIMEOUT_MILLIS = 4_000;
    private static final long SERVICE_MILLIS = 30;
    private static final long REPEAT_TIMEOUT_MILLIS = 1_000;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    @TempDir
    Path folder;

    private Response answerCall(Request call) {
        if (call.path().equals("/events")) {
            runs.merge(call.header("Request-Id"), 1, Integer::sum);
            ProcessTestSupport.sleep(SERVICE_MILLIS);
        }
        return Response.complete(ProcessTestSupport.OK);
    }

    private static String id(int client, int message) {
        return "client-" + client + "-" + message;
    }

    /** Sends all messages at once and leaves by a reset, at once or after the first bytes of an answer. */
    private static void sendAndLeave(int port, int client, boolean waitsForAnswer) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < MESSAGES_AT_ONCE; i++) {
            requests.append(TestNodeProcess.requestText("payment", id(client, i), 0, MESSAGE_TIMEOUT_MILLIS));
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoLinger(!waitsForAnswer, 0);
            OutputStream out = socket.getOutputStream();
            out.write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (waitsForAnswer) {
                socket.getInputStream().read();
            }
        } catch (IOException e) {
            // the node has closed the connection, as it may
        }
    }

    /**
     * Guards against an id that is forgotten a second after its time is over, though its message has run: it ran again when it came
     * again. 0.2 s and 6 s after: while the node may still be at work on it, and past the message's time.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void anIdThatComesAgainAfterItsClientHasLeftRunsOnceOnly(boolean waitsForAnswer) throws Exception {
        try (RawServer endpoint = new RawServer(this::answerCall);
                RawServer platform = new RawServer(request -> ProcessTestSupport.answerPlatform(request, endpoint.address(), 1,
                        notice -> { }));
                TestNodeProcess node = TestNodeProcess.startServingAtFullSize(folder, platform.address())) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                clients.add(new Thread(() -> sendAndLeave(node.port(), client, waitsForAnswer)));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                client.join();
            }
            for (long pauseMillis : List.of(200L, 6_000L)) {
                ProcessTestSupport.sleep(pauseMillis);
                Map<String, Integer> answers = submitAgain(node);
                ProcessTestSupport.sleep(REPEAT_TIMEOUT_MILLIS);
                assertEquals(List.of(), runs.entrySet().stream().filter(run -> run.getValue() > 1).map(Map.Entry::getKey).toList(),
                        "ids that ran more than once, of " + runs.size() + " that ran, " + pauseMillis + " ms later; answers " + answers);
            }
            node.assertCleanExit();
        }
    }

    /** Submits the ids that ran, each with the rest of the first message unchanged; returns how often each answer came. */
    private Map<String, Integer> submitAgain(TestNodeProcess node) throws IOException {
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        for (String id : List.copyOf(runs.keySet())) {
            String answer = node.submit("payment", id, 0, REPEAT_TIMEOUT_MILLIS);
            answers.merge(answer, 1, Integer::sum);
        }
        return answers;
    }
}
