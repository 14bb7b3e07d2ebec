package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.answerPlatform;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** Kills a node process and starts it again, and checks how the messages of one key go on. */
class KeyOrderRestartProcessTest {
    private static final long MESSAGE_TIMEOUT_MILLIS = 4_000;
    private static final long DISK_FAILURE_MILLIS = 930; // ends shortly before the node tries again to journal a shot, after 1 s

    private final CallRecorder calls = new CallRecorder();

    @TempDir
    Path folder;

    private Response answerEvent(Request call) {
        Message message = Message.ofId(call.header("Request-Id"));
        calls.begin(message);
        calls.end(message, true);
        return Response.complete(OK);
    }

    /** Guards against a key blocked for good by the delivered messages that a restarted node finds in its journal. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aMessageDeliveredBeforeARestartDoesNotBlockItsKeyAfterIt() throws Exception {
        Message delivered = new Message("key", 0);
        Message next = new Message("key", 1);
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answerPlatform(request, endpoint.address(), 1, notice -> { }))) {
            try (TestNodeProcess killed = TestNodeProcess.startServing(folder, platform.address())) {
                assertEquals("HTTP/1.1 202 Accepted", killed.submit("order", delivered, 0, MESSAGE_TIMEOUT_MILLIS));
                assertTrue(calls.awaitAnswer(delivered, MESSAGE_TIMEOUT_MILLIS));
                killed.awaitDeliveries(1);
            }
            try (TestNodeProcess restarted = TestNodeProcess.startServing(folder, platform.address())) {
                assertEquals("HTTP/1.1 202 Accepted", restarted.submit("order", next, 0, MESSAGE_TIMEOUT_MILLIS));
                assertTrue(calls.awaitAnswer(next, MESSAGE_TIMEOUT_MILLIS), "the next message of the key was never called");
            }
        }
    }

    /**
     * Guards against a message that is called again after the next one of its key, because its end could not be written to the
     * journal before a kill.
     */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aMessageWhoseEndCouldNotBeJournalledIsNotCalledAgainAfterTheNextOfItsKey() throws Exception {
        Message first = new Message("key", 0);
        Message second = new Message("key", 1);
        CountDownLatch diskFails = new CountDownLatch(1);
        try (RawServer endpoint = new RawServer(call -> answerEventAfter(diskFails, call));
                RawServer platform = new RawServer(request -> answerPlatform(request, endpoint.address(), 1, notice -> { }))) {
            try (TestNodeProcess killed = TestNodeProcess.startServing(folder, platform.address())) {
                assertEquals("HTTP/1.1 202 Accepted", killed.submit("reading", first, 0, MESSAGE_TIMEOUT_MILLIS));
                assertEquals("HTTP/1.1 202 Accepted", killed.submit("reading", second, 0, MESSAGE_TIMEOUT_MILLIS));
                assertTrue(calls.awaitCall(first, MESSAGE_TIMEOUT_MILLIS));
                killed.limitFileSize(0);
                diskFails.countDown();
                killed.awaitDeliveries(1);
                Thread.sleep(DISK_FAILURE_MILLIS);
                killed.limitFileSize(-1);
                calls.awaitCall(second, MESSAGE_TIMEOUT_MILLIS);
                killed.kill();
            }
            try (TestNodeProcess restarted = TestNodeProcess.startServing(folder, platform.address())) {
                assertTrue(calls.awaitAnswer(second, MESSAGE_TIMEOUT_MILLIS), "the second message was never answered");
                Message third = new Message("key", 2); // called after whatever the restarted node still does for the key
                assertEquals("HTTP/1.1 202 Accepted", restarted.submit("reading", third, 0, MESSAGE_TIMEOUT_MILLIS));
                assertTrue(calls.awaitAnswer(third, MESSAGE_TIMEOUT_MILLIS), "the third message was never answered");
            }
        }
        assertEquals(List.of(), calls.breaches());
    }

    private Response answerEventAfter(CountDownLatch latch, Request call) {
        Message message = Message.ofId(call.header("Request-Id"));
        calls.begin(message);
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        calls.end(message, true);
        return Response.complete(OK);
    }
}
