package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
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
    private static final int USUAL_CLIENTS = 4;
    private static final long MISUSE_MILLIS = 6_000;
    private static final long MESSAGE_TIMEOUT_MILLIS = 5_000;
    private static final long MESSAGE_INTERVAL_MILLIS = 50;

    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private final Set<String> taken = ConcurrentHashMap.newKeySet();
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
            List<Thread> usualClients = new ArrayList<>();
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                String name = "usual-" + i;
                usualClients.add(new Thread(() -> submitWhileRunning(node.port(), name, clients), name));
            }
            usualClients.forEach(Thread::start);
            for (Thread usualClient : usualClients) {
                usualClient.join();
            }
            clients.awaitEnd();
            assertEquals(0, outcomes.getOrDefault(Outcome.CLOSED_UNANSWERED, 0), "requests closed without an answer: " + outcomes);
            int submitted = outcomes.values().stream().mapToInt(Integer::intValue).sum();
            assertTrue(2 * taken.size() >= submitted, "half of the usual messages at least: " + outcomes);
            ProcessTestSupport.sleep(MESSAGE_TIMEOUT_MILLIS + 300);
            assertEquals(List.of(), taken.stream().filter(id -> !deliveredOrNotified.contains(id)).toList(), "lost messages");
            node.assertCleanExit();
        }
    }

    /** Submits a message at intervals, each on a new connection. */
    private void submitWhileRunning(int port, String name, HostileClients clients) {
        for (int i = 0; clients.isRunning(); i++) {
            String id = name + "-" + i;
            try (PersistentClient client = new PersistentClient()) {
                Outcome outcome = client.submit(port, TestNodeProcess.requestText("status", id, 0, MESSAGE_TIMEOUT_MILLIS));
                synchronized (outcomes) {
                    outcomes.merge(outcome, 1, Integer::sum);
                }
                if (outcome == Outcome.TAKEN) {
                    taken.add(id);
                }
            }
            ProcessTestSupport.sleep(MESSAGE_INTERVAL_MILLIS);
        }
    }
}
