package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.PersistentClient.Outcome;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/** Lets system calls of a node fail while clients hand in messages, half of them on connections of their own. */
class SystemCallFaultProcessTest {
    private static final int DESTINATIONS = 3;
    private static final int CLIENTS = 6;
    private static final int EACH_CALL = 1_000; // per mille
    private static final int SOME_CALLS = 300;
    private static final int FAULT_BEGIN_MILLIS = 500;
    private static final int FAULT_MILLIS = 600;
    private static final int RECOVERY_MILLIS = 700; // after the faults, until clients are to be served
    private static final int SERVED_MILLIS = 500;
    private static final int SERVICE_MILLIS = 20;
    private static final int GAP_MILLIS = 15;
    private static final long TIMEOUT_MILLIS = 2_500;

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final Map<Outcome, AtomicInteger> outcomes = Arrays.stream(Outcome.values())
            .collect(Collectors.toMap(Function.identity(), outcome -> new AtomicInteger()));
    private volatile boolean clientsDone;

    @TempDir
    Path folder;

    private Response answerEvent(Request call) {
        sleep(SERVICE_MILLIS);
        runsById.computeIfAbsent(call.header("Request-Id"), id -> new AtomicInteger()).incrementAndGet();
        answers.noteDelivery(call.header("Request-Id"));
        return Response.complete(OK);
    }

    private void submitMessages(int port, int number) {
        boolean keepsConnection = number % 2 == 0;
        PersistentClient client = new PersistentClient();
        for (int i = 0; !clientsDone; i++) {
            Outcome outcome = answers.submit(client, port, i % 2 == 0 ? "payment" : "status", "message" + number + "-" + i,
                    number % DESTINATIONS, TIMEOUT_MILLIS);
            outcomes.get(outcome).incrementAndGet();
            if (!keepsConnection) {
                client.close();
            }
            sleep(GAP_MILLIS);
        }
        client.close();
    }

    private List<String> repeatedPayments() {
        return runsById.entrySet().stream().filter(entry -> entry.getValue().get() > 1
                && Integer.parseInt(entry.getKey().substring(entry.getKey().indexOf('-') + 1)) % 2 == 0)
                .map(entry -> entry.getKey() + " ran " + entry.getValue() + " times").toList();
    }

    /** Lets calls end with each of the errors in turn, and checks that clients are served afterwards, and what became of each message. */
    private void assertServedWhileFailing(Operation operation, int perMille, SystemError... errors) throws Exception {
        SystemFaultShim shim = SystemFaultShim.build(folder, folder.resolve("state"));
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address())) {
            List<Thread> clients = IntStream.range(0, CLIENTS).mapToObj(number ->
                    new Thread(() -> submitMessages(node.port(), number))).toList();
            clients.forEach(Thread::start);
            sleep(FAULT_BEGIN_MILLIS);
            for (SystemError error : errors) {
                shim.fail(operation, error, perMille);
                sleep(FAULT_MILLIS);
            }
            shim.restoreAll();
            sleep(RECOVERY_MILLIS);
            int takenBeforeEnd = outcomes.get(Outcome.TAKEN).get();
            sleep(SERVED_MILLIS);
            clientsDone = true;
            for (Thread client : clients) {
                client.join();
            }
            answers.awaitEnds();
            assertTrue(node.isAlive(), "the node has ended: " + outcomes);
            assertEquals(List.of(), answers.lost());
            assertEquals(List.of(), repeatedPayments());
            assertEquals(0, outcomes.get(Outcome.CLOSED_UNANSWERED).get());
            assertTrue(outcomes.get(Outcome.TAKEN).get() > takenBeforeEnd, "no message was taken on after the faults: " + outcomes);
        }
    }

    /** Guards against a node that ends, or listens no more, because accept fails once: for lack of descriptors or memory, say. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void theNodeGoesOnListeningWhileAcceptFails() throws Exception {
        assertServedWhileFailing(Operation.ACCEPT, EACH_CALL, SystemError.ENFILE, SystemError.EMFILE, SystemError.ENOBUFS,
                SystemError.ENOMEM, SystemError.ECONNABORTED, SystemError.EINTR);
    }

    /** Guards against requests without an answer where the system has no buffer at the moment at which the answer is written. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void everyRequestIsAnsweredWhileWritesFailNowAndThen() throws Exception {
        assertServedWhileFailing(Operation.SOCKET_WRITE, SOME_CALLS, SystemError.ENOBUFS, SystemError.ENOMEM, SystemError.SHORT_COUNT,
                SystemError.EINTR);
        assertEquals(0, outcomes.get(Outcome.SLOW).get(), "requests without an answer within 400 ms");
    }
}
