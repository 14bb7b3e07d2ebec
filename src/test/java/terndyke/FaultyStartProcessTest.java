package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/** Kills a node that owes messages, and starts it again while system calls fail. */
class FaultyStartProcessTest {
    private static final int DESTINATIONS = 3;
    private static final long TIMEOUT_MILLIS = 9_000;
    private static final long DOWN_MILLIS = 600;
    private static final long FAULT_MILLIS = 3_000; // from the start of the second process on
    private static final long REFUSAL_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 100;
    private static final String LATER_MESSAGE = "later";

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
        answers.noteCall(call.header("Request-Id"));
        if (!endpointAnswers) {
            return Response.NO_RESPONSE;
        }
        answers.noteDelivery(call.header("Request-Id"));
        return Response.complete(OK);
    }

    private void submitMessages(TestNodeProcess node) throws Exception {
        for (int i = 0; i < DESTINATIONS; i++) {
            assertTrue(answers.submit(node, "supply", new Message("k" + i, 0), i, TIMEOUT_MILLIS));
            assertTrue(answers.submit(node, "payment", "payment" + i, i, TIMEOUT_MILLIS));
            assertTrue(answers.submit(node, "status", "status" + i, i, TIMEOUT_MILLIS));
        }
    }

    /** A node whose folder has failed may refuse for a moment longer. */
    private void submitUntilTaken(TestNodeProcess node) throws Exception {
        for (int attempt = 1; !answers.submit(node, "status", LATER_MESSAGE, 0, TIMEOUT_MILLIS); attempt++) {
            assertTrue(attempt < REFUSAL_MILLIS / RETRY_MILLIS, "refused for " + REFUSAL_MILLIS + " ms after the faults");
            sleep(RETRY_MILLIS);
        }
    }

    private void assertNothingLostWhereTheStartMeets(SystemError error, Operation... operations) throws Exception {
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address())) {
            submitMessages(node);
            node.kill();
            sleep(DOWN_MILLIS);
            endpointAnswers = true;
            for (Operation operation : operations) {
                shim.fail(operation, error);
            }
            String listen = TestNodeProcess.freeAddress();
            try (TestNodeProcess restarted = TestNodeProcess.start(folder, shim.shellPrefix(),
                    TestNodeProcess.writeConfiguration(folder, listen, platform.address()), listen)) {
                sleep(FAULT_MILLIS);
                assertTrue(restarted.isAlive(), "the node has ended: " + restarted.logLines());
                shim.restoreAll();
                restarted.awaitLog("serving on");
                answers.noteReadyAgain();
                submitUntilTaken(restarted);
                answers.awaitEnds();
                assertEquals(List.of(), answers.lost());
                assertTrue(answers.isDelivered("status0"));
                assertTrue(answers.isDelivered(LATER_MESSAGE));
            }
        }
    }

    /** Guards against a node that ends because its state folder fails at its start, while it owes messages. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aStartWaitsForAStateFolderThatFailsForAWhile() throws Exception {
        assertNothingLostWhereTheStartMeets(SystemError.EIO, Operation.FILE_OPEN, Operation.FILE_READ, Operation.FILE_WRITE,
                Operation.FILE_TRUNCATE, Operation.FILE_RENAME);
    }

    /** Guards against the same where the folder can be opened and not read. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aStartWaitsForAStateFolderThatCannotBeRead() throws Exception {
        assertNothingLostWhereTheStartMeets(SystemError.EIO, Operation.FILE_READ);
    }

    /** Guards against a node that ends because the system has no socket at its start. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aStartWaitsForSocketsWhereTheSystemHasNoneForAWhile() throws Exception {
        assertNothingLostWhereTheStartMeets(SystemError.ENFILE, Operation.SOCKET);
    }

    /** Guards against a start that needs to write where the disk is full. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aStartWithAFullDiskTakesUpWhatIsOwed() throws Exception {
        assertNothingLostWhereTheStartMeets(SystemError.ENOSPC, Operation.FILE_WRITE, Operation.FILE_TRUNCATE);
    }
}
