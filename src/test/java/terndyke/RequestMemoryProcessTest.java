package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import terndyke.HostileClients.Misuse;
import terndyke.RawServer.Response;

/** A node with the memory flags of production, and clients whose requests together would take more memory than it has. */
class RequestMemoryProcessTest {
    private static final long MISUSE_MILLIS = 4_000;
    private static final long MESSAGE_TIMEOUT_MILLIS = 5_000;
    private static final long MESSAGE_INTERVAL_MILLIS = 50;
    private static final long RELEASE_TIMEOUT_MILLIS = 4_000; // the longest that a connection of a client may still be open

    private final Set<String> deliveredOrNotified = ConcurrentHashMap.newKeySet();

    @TempDir
    Path folder;

    /** Guards against an I/O thread that ends with an OutOfMemoryError, after which no client gets an answer any more. */
    @ParameterizedTest
    @CsvSource({"ENDLESS_HEADS, 80", "ENDLESS_TRAILERS, 60", "INCOMPLETE_BODIES, 300", "LARGE_MESSAGES_AT_ONCE, 200",
        "MANY_MESSAGES_AT_ONCE, 80"})
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void requestsThatTakeMoreMemoryThanThereIsLeaveTheOtherClientsServed(Misuse misuse, int clientCount) throws Exception {
        try (RawServer endpoint = new RawServer(request -> {
            deliveredOrNotified.add(request.header("Request-Id"));
            return Response.complete(ProcessTestSupport.OK);
        }); RawServer platform = new RawServer(request -> ProcessTestSupport.answerPlatform(request, endpoint.address(), 1,
                notice -> deliveredOrNotified.add(ProcessTestSupport.noticeId(notice))));
                TestNodeProcess node = TestNodeProcess.startServingAtFullSize(folder, platform.address())) {
            HostileClients clients = HostileClients.start(node.port(), misuse, clientCount, MISUSE_MILLIS);
            List<String> accepted = submitWhileRunning(node, clients);
            clients.awaitEnd();
            assertTrue(node.isAlive());
            assertTrue(node.submit("status", "last", 0, MESSAGE_TIMEOUT_MILLIS).startsWith("HTTP/1.1 202"));
            ProcessTestSupport.sleep(RELEASE_TIMEOUT_MILLIS);
            assertEquals(0, node.counter("request_memory_bytes"), "memory of requests that have ended");
            ProcessTestSupport.sleep(MESSAGE_TIMEOUT_MILLIS - RELEASE_TIMEOUT_MILLIS + 300);
            assertEquals(List.of(), accepted.stream().filter(id -> !deliveredOrNotified.contains(id)).toList(), "lost messages");
            node.assertCleanExit();
        }
    }

    /** Submits messages, each of which has to be answered; returns the ids of those that were accepted. */
    private static List<String> submitWhileRunning(TestNodeProcess node, HostileClients clients) throws IOException {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; clients.isRunning(); i++) {
            String answer = node.submit("status", "usual-" + i, 0, MESSAGE_TIMEOUT_MILLIS);
            assertTrue(answer.matches("HTTP/1.1 (202|503).*"), "answer to message " + i + ": " + answer);
            if (answer.startsWith("HTTP/1.1 202")) {
                accepted.add("usual-" + i);
            }
            ProcessTestSupport.sleep(MESSAGE_INTERVAL_MILLIS);
        }
        return accepted;
    }
}
