package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** Steps the wall clock of a node process, kills it and starts it again. */
class ClockStepProcessTest {
    private static final int DESTINATIONS = 4;
    private static final long STEP_MILLIS = 5_000;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long DOWN_MILLIS = 600;
    private static final long DEDUPLICATION_WINDOW_MILLIS = 3_000; // memorySpan of the settings

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();
    private volatile boolean endpointAnswers;
    private SystemFaultShim shim;

    @TempDir
    Path folder;

    @BeforeEach
    void buildShim() throws Exception {
        shim = SystemFaultShim.build(folder, folder.resolve("state"));
    }

    private Response answerEvent(Request call) {
        String id = call.header("Request-Id");
        answers.noteCall(id);
        if (!endpointAnswers) {
            return Response.NO_RESPONSE;
        }
        answers.noteDelivery(id);
        return Response.complete(OK);
    }

    private TestNodeProcess start(RawServer platform) throws Exception {
        return TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address());
    }

    private void submitMessages(TestNodeProcess node, long timeoutMillis) throws Exception {
        for (int i = 0; i < DESTINATIONS; i++) {
            assertTrue(answers.submit(node, "supply", new Message("k" + i, 0), i, timeoutMillis));
            assertTrue(answers.submit(node, "payment", "payment" + i, i, timeoutMillis));
            assertTrue(answers.submit(node, "status", "status" + i, i, timeoutMillis));
        }
    }

    private List<Integer> supplyCallCounts() {
        return IntStream.range(0, DESTINATIONS).mapToObj(i -> answers.callCount(new Message("k" + i, 0).id())).toList();
    }

    /** Kills the node, steps the wall clock and starts the node again, in time for all messages. */
    private TestNodeProcess restartWithStep(TestNodeProcess node, RawServer platform, long stepMillis) throws Exception {
        node.kill();
        shim.setWallClockOffset(stepMillis);
        ProcessTestSupport.sleep(DOWN_MILLIS);
        TestNodeProcess restarted = start(platform);
        answers.noteReadyAgain();
        return restarted;
    }

    /** Guards against deadlines that move with the wall clock: after a step back and a restart each notice came late by the step. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noNoticeIsLateAfterTheWallClockStepsBackAndTheNodeRestarts() throws Exception {
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = start(platform)) {
            submitMessages(node, 6_000);
            try (TestNodeProcess restarted = restartWithStep(node, platform, -STEP_MILLIS)) {
                answers.awaitEnds();
                assertEquals(List.of(), answers.lost());
                assertTrue(restarted.isAlive());
            }
        }
    }

    /** Guards against messages that are given up untried, as if their time were over, after the wall clock steps forward. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void messagesAreStillDeliveredAfterTheWallClockStepsForwardAndTheNodeRestarts() throws Exception {
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = start(platform)) {
            for (int i = 0; i < DESTINATIONS; i++) {
                assertTrue(answers.submit(node, "status", "status" + i, i, 12_000));
            }
            endpointAnswers = true;
            try (TestNodeProcess restarted = restartWithStep(node, platform, HOUR_MILLIS)) {
                answers.awaitEnds();
                assertEquals(List.of(), answers.endedEarly(0.5));
                assertEquals(DESTINATIONS, answers.deliveredCount());
                assertTrue(restarted.isAlive());
            }
        }
    }

    /**
     * Guards against an effect that happens twice: after a step back and a restart the window for repeats seemed to be open, though the
     * endpoint had forgotten the first call.
     */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void noMessageIsRepeatedOutsideItsWindowAfterTheWallClockStepsBack() throws Exception {
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = start(platform)) {
            for (int i = 0; i < DESTINATIONS; i++) {
                assertTrue(answers.submit(node, "supply", new Message("k" + i, 0), i, 12_000));
            }
            ProcessTestSupport.sleep(DEDUPLICATION_WINDOW_MILLIS);
            endpointAnswers = true;
            List<Integer> callsBefore = supplyCallCounts();
            try (TestNodeProcess restarted = restartWithStep(node, platform, -STEP_MILLIS)) {
                answers.awaitEnds();
                assertEquals(callsBefore, supplyCallCounts(), "calls repeated more than 3 s after the first");
                assertEquals(List.of(), answers.lost());
                assertTrue(restarted.isAlive());
            }
        }
    }
}
