package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Response;

/** Steps the wall clock of a node process, kills it and starts it again. */
class ClockStepProcessTest {
    private static final int DESTINATIONS = 4;
    private static final long STEP_MILLIS = 5_000;
    private static final long DOWN_MILLIS = 600;

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();
    private SystemFaultShim shim;

    @TempDir
    Path folder;

    @BeforeEach
    void buildShim() throws Exception {
        shim = SystemFaultShim.build(folder, folder.resolve("state"));
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
        try (RawServer endpoint = new RawServer(call -> Response.NO_RESPONSE);
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
}
