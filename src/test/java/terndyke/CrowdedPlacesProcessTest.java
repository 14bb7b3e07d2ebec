package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import terndyke.HostileClients.Misuse;
import terndyke.PersistentClient.Outcome;
import terndyke.RawServer.Response;

/** Clients in the middle of requests that do not end take all places for connections, beside usual clients on new connections. */
class CrowdedPlacesProcessTest {
    private static final long MISUSE_MILLIS = 6_000;

    private final Set<String> deliveredOrNotified = ConcurrentHashMap.newKeySet();

    @TempDir
    Path folder;

    /** Guards against requests of usual clients that are closed unread while slow clients hold all places. */
    @ParameterizedTest
    @CsvSource({"SLOW_BODIES, 400", "INCOMPLETE_BODIES, 400", "SLOW_BODIES, 800"})
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void usualClientsAreAnsweredWhileSlowClientsTakeAllPlaces(Misuse misuse, int clientCount) throws Exception {
        try (RawServer endpoint = new RawServer(request -> {
            deliveredOrNotified.add(request.header("Request-Id"));
            return Response.complete(ProcessTestSupport.OK);
        }); RawServer platform = new RawServer(request -> ProcessTestSupport.answerPlatform(request, endpoint.address(), 1,
                notice -> deliveredOrNotified.add(ProcessTestSupport.noticeId(notice))));
                TestNodeProcess node = TestNodeProcess.startServingAtFullSize(folder, platform.address())) {
            HostileClients clients = HostileClients.start(node.port(), misuse, clientCount, MISUSE_MILLIS);
            UsualClients usualClients = UsualClients.start(node.port(), clients::isRunning);
            usualClients.awaitEnd();
            clients.awaitEnd();
            assertEquals(0, usualClients.count(Outcome.CLOSED_UNANSWERED), "requests closed without an answer: " + usualClients);
            assertTrue(2 * usualClients.taken().size() >= usualClients.submittedCount(), "half of the usual messages at least: " + usualClients);
            ProcessTestSupport.sleep(UsualClients.MESSAGE_TIMEOUT_MILLIS + 300);
            assertEquals(List.of(), usualClients.taken().stream().filter(id -> !deliveredOrNotified.contains(id)).toList(), "lost messages");
            node.assertCleanExit();
        }
    }
}
