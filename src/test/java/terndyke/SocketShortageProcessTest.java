package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/** Takes the system's sockets away for a while from a node whose endpoints are healthy and close each connection after its call. */
class SocketShortageProcessTest {
    private static final int DESTINATIONS = 4;
    private static final int EARLIER_MESSAGES = 20;
    private static final int MESSAGES = 30;
    private static final int GAP_MILLIS = 50;
    private static final int SERVICE_MILLIS = 20;
    private static final long TIMEOUT_MILLIS = 6_000; // four times as long as the shortage
    private static final String OK = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();

    @TempDir
    Path folder;

    private Response answerEvent(Request call) {
        if (call.path().equals("/events")) {
            sleep(SERVICE_MILLIS);
            answers.noteDelivery(call.header("Request-Id"));
        }
        return new Response(OK, true);
    }

    private void submitMessages(TestNodeProcess node, String name, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            assertTrue(answers.submit(node, i % 2 == 0 ? "status" : "payment", name + i, i % DESTINATIONS, TIMEOUT_MILLIS));
            sleep(GAP_MILLIS);
        }
    }

    /** Guards against healthy endpoints that count as failing, so that messages wait in vain, because this machine had no sockets. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void allMessagesAreDeliveredThoughTheSystemHadNoSocketsForAWhile() throws Exception {
        SystemFaultShim shim = SystemFaultShim.build(folder, folder.resolve("state"));
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address())) {
            submitMessages(node, "earlier", EARLIER_MESSAGES);
            shim.fail(Operation.SOCKET, SystemError.ENFILE);
            submitMessages(node, "message", MESSAGES);
            shim.restoreAll();
            answers.awaitEnds();
            assertEquals(List.of(), IntStream.range(0, MESSAGES).mapToObj(i -> "message" + i).filter(id -> !answers.isDelivered(id)).toList(),
                    () -> String.join("\n", node.logLines()));
            assertEquals(List.of(), answers.lost());
        }
    }
}
