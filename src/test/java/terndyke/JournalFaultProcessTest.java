package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/** Fills the journal of a node while its compactions fail. */
class JournalFaultProcessTest {
    private static final int DESTINATIONS = 2;
    private static final int BODY_BYTES = 40_000;
    private static final int MESSAGES = 120; // their bodies are more than the journal holds
    private static final int GAP_MILLIS = 20;
    private static final long TIMEOUT_MILLIS = 4_000;
    private static final long RECOVERY_MILLIS = 1_500;
    private static final long MAX_JOURNAL_BYTES = 3_000_000;

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();

    @TempDir
    Path folder;

    private Response answerEvent(Request call) {
        answers.noteDelivery(call.header("Request-Id"));
        return Response.complete(OK);
    }

    private void submitMessages(TestNodeProcess node, String name) throws Exception {
        for (int i = 0; i < MESSAGES; i++) {
            answers.submitLarge(node, i % 2 == 0 ? "payment" : "status", name + i, i % DESTINATIONS, TIMEOUT_MILLIS, BODY_BYTES);
            sleep(GAP_MILLIS);
        }
    }

    private long journalBytes() throws Exception {
        try (var files = Files.list(folder.resolve("state"))) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }

    /** Guards against a journal that has grown so large while compactions failed that none succeeds any more. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void messagesAreTakenOnAgainAfterCompactionsHaveFailed() throws Exception {
        SystemFaultShim shim = SystemFaultShim.build(folder, folder.resolve("state"));
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answers.answerPlatform(request, endpoint.address(), DESTINATIONS));
                TestNodeProcess node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address())) {
            shim.fail(Operation.FILE_RENAME, SystemError.EIO);
            submitMessages(node, "failing");
            int takenWhileFailing = answers.takenCount();
            assertTrue(journalBytes() <= MAX_JOURNAL_BYTES, "the folder holds " + journalBytes() + " bytes");
            shim.restoreAll();
            sleep(RECOVERY_MILLIS);
            submitMessages(node, "restored");
            assertTrue(takenWhileFailing < MESSAGES, "no message was refused while compactions failed");
            assertTrue(answers.takenCount() >= takenWhileFailing + MESSAGES / 2, answers.takenCount() + " taken, " + takenWhileFailing
                    + " of them before: " + node.logLines());
            answers.awaitEnds();
            assertEquals(List.of(), answers.lost());
            assertTrue(node.isAlive());
        }
    }
}
