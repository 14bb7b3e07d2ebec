package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/** Ends many messages by notices, at endpoints that never answer, while the calls with notices are disturbed. */
class NoticeFaultProcessTest {
    private static final int DESTINATIONS = 4;
    private static final int ROUNDS = 5;
    private static final long ROUND_GAP_MILLIS = 400;
    private static final long SHORTEST_TIMEOUT_MILLIS = 2_500;
    private static final long LONGEST_TIMEOUT_MILLIS = 6_500;
    private static final long FAULT_MILLIS = 1_500;
    private static final long PAUSE_MILLIS = 500;
    private static final int FAULT_PERIODS = 6;
    private static final double UNANSWERED_SHARE = 0.4;
    private static final int MANY_MESSAGES = 800;
    private static final int MANY_TIMEOUTS_MILLIS = 3_000;
    private static final int SLOW_ANSWER_MILLIS = 250;
    private static final int SETTLED_MICROS = 1_000_000; // in which each notice is answered and its key free
    private static final int HALF_OF_THE_CALLS = 500; // per mille

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();
    private final Random random = new Random(1);
    private SystemFaultShim shim;

    @TempDir
    Path folder;

    private TestNodeProcess start(RawServer platform) throws Exception {
        buildShim();
        return TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address());
    }

    private void buildShim() throws Exception {
        shim = SystemFaultShim.build(folder, folder.resolve("state"));
    }

    /** Messages whose times end at many moments between the shortest and the longest timeout, half of them in order. */
    private void submitMessages(TestNodeProcess node) throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < DESTINATIONS; i++) {
                long timeoutMillis = SHORTEST_TIMEOUT_MILLIS + random.nextInt((int) (LONGEST_TIMEOUT_MILLIS - SHORTEST_TIMEOUT_MILLIS));
                assertTrue(answers.submit(node, "supply", new Message("k" + i, round), i, timeoutMillis));
                assertTrue(answers.submit(node, "payment", "payment" + i + "-" + round, i, timeoutMillis));
            }
            ProcessTestSupport.sleep(ROUND_GAP_MILLIS);
        }
    }

    private void failInPeriods(Operation operation, SystemError error) {
        for (int i = 0; i < FAULT_PERIODS; i++) {
            shim.fail(operation, error);
            ProcessTestSupport.sleep(FAULT_MILLIS);
            shim.restore(operation);
            ProcessTestSupport.sleep(PAUSE_MILLIS);
        }
    }

    private void assertNoneLostWhile(Operation operation, SystemError error) throws Exception {
        try (RawServer endpoint = new RawServer(call -> Response.NO_RESPONSE);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = start(platform)) {
            submitMessages(node);
            CompletableFuture<Void> faults = CompletableFuture.runAsync(() -> failInPeriods(operation, error));
            answers.awaitEnds();
            assertEquals(List.of(), answers.lost());
            assertTrue(node.isAlive());
            assertTrue(node.counter("connects_failed_locally") > 0, "no fault was met");
            faults.join();
        }
    }

    /** Guards against late notices where the system gives no socket at the moment at which they are due. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noNoticeIsLateWhileTheSystemHasNoSockets() throws Exception {
        assertNoneLostWhile(Operation.SOCKET, SystemError.ENFILE);
    }

    /** Guards against the same where it has no local address for a connection. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noNoticeIsLateWhileTheSystemHasNoLocalAddresses() throws Exception {
        assertNoneLostWhile(Operation.CONNECT, SystemError.EADDRNOTAVAIL);
    }

    private Response answerSomeNotices(Request request, RawServer endpoint) {
        synchronized (random) {
            if (request.path().equals("/v2/finals") && random.nextDouble() < UNANSWERED_SHARE) {
                return Response.NO_RESPONSE;
            }
        }
        return answers.answerPlatform(request, endpoint.address(), DESTINATIONS);
    }

    /** Guards against late notices where several calls with notices in a row bring no answer. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noNoticeIsLateWhileFourInTenCallsWithNoticesAreUnanswered() throws Exception {
        try (RawServer endpoint = new RawServer(call -> Response.NO_RESPONSE);
                RawServer platform = new RawServer(request -> answerSomeNotices(request, endpoint));
                TestNodeProcess node = start(platform)) {
            submitMessages(node);
            answers.awaitEnds();
            assertEquals(List.of(), answers.lost());
            assertTrue(node.counter("notices_unanswered") > 0, "no fault was met");
        }
    }

    /** Guards against late notices where many end at once, some calls are unanswered and every second connection fails. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noNoticeIsLateWhileManyEndAndCallsAndConnectionsFail() throws Exception {
        buildShim();
        try (RawServer endpoint = new RawServer(call -> Response.NO_RESPONSE);
                RawServer platform = new RawServer(request -> answerSomeNotices(request, endpoint));
                TestNodeProcess node = TestNodeProcess.startServingWithManyMessages(folder, shim.shellPrefix(), platform.address())) {
            shim.fail(Operation.CONNECT, SystemError.EADDRNOTAVAIL, HALF_OF_THE_CALLS);
            submitManyMessages(node);
            answers.awaitEnds();
            assertEquals(List.of(), answers.lost());
            assertTrue(node.counter("connects_failed_locally") > 0, "no fault was met");
        }
    }

    /** Guards against calls that are given up for new ones, again and again, before a slow platform can answer them. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noNoticeIsLateWhileThePlatformIsSlow() throws Exception {
        buildShim();
        try (RawServer endpoint = new RawServer(call -> Response.NO_RESPONSE);
                RawServer platform = new RawServer(request -> answerNoticesLate(request, endpoint));
                TestNodeProcess node = TestNodeProcess.startServingWithManyMessages(folder, shim.shellPrefix(), platform.address())) {
            submitManyMessages(node);
            answers.awaitEnds();
            assertEquals(List.of(), answers.lost());
            ProcessTestSupport.sleep(SLOW_ANSWER_MILLIS);
            assertEquals(answers.takenCount(), node.counter("notices_answered"));
            assertTrue(node.counter("longest_notice") <= SETTLED_MICROS, "a notice was pending for " + node.counter("longest_notice") + " us");
        }
    }

    /** The notices are noted as the answer is written: until then their platform has not accepted them. */
    private Response answerNoticesLate(Request request, RawServer endpoint) {
        if (request.path().equals("/v2/finals")) {
            ProcessTestSupport.sleep(SLOW_ANSWER_MILLIS);
        }
        return answers.answerPlatform(request, endpoint.address(), DESTINATIONS);
    }

    private void submitManyMessages(TestNodeProcess node) throws Exception {
        for (int i = 0; i < MANY_MESSAGES; i++) {
            answers.submit(node, "payment", "many" + i, i % DESTINATIONS, SHORTEST_TIMEOUT_MILLIS + random.nextInt(MANY_TIMEOUTS_MILLIS));
        }
        assertTrue(answers.takenCount() > MANY_MESSAGES / 2, "only " + answers.takenCount() + " were taken on");
    }
}
