package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/**
 * Runs a node as a process that is stopped while a message arrives, and an endpoint that answers after the message's time.
 *
 * <p>Guards against a message without a final answer: the node counted the message's time from when it read it, took the late
 * answer for a delivery in time, and sent no notice.
 */
class LateAnswerProcessTest {
    private static final long MESSAGE_TIMEOUT_MILLIS = 1_000;
    private static final long PAUSE_MILLIS = 300; // less than the 400 ms for which a client waits for its answer
    private static final long ANSWER_AFTER_MILLIS = 1_100; // after the client sent the message

    private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private volatile long submittedNanos;

    @TempDir
    Path folder;

    private Response answerDiscovery(Request request, RawServer endpoint) {
        if (request.path().equals("/v2/finals")) {
            request.body().lines().forEach(notices::add);
            return Response.complete("HTTP/1.1 204 No Content\r\n\r\n");
        }
        return request.path().contains("after=") ? Response.NO_RESPONSE
                : Response.json(TestNodeProcess.listJson(endpoint.address(), 1));
    }

    private Response answerEvent(Request call) {
        long remainingNanos = submittedNanos + TimeUnit.MILLISECONDS.toNanos(ANSWER_AFTER_MILLIS) - System.nanoTime();
        try {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Response.complete("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aMessageDeliveredAfterItsTimeStillGetsItsFinalAnswer() throws Exception {
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RawServer platform = new RawServer(request -> answerDiscovery(request, endpoint));
                TestNodeProcess node = TestNodeProcess.startServing(folder, platform.address())) {
            node.pause();
            submittedNanos = System.nanoTime();
            CompletableFuture<Void> resumed = CompletableFuture.runAsync(() -> resumeAfterPause(node));
            assertEquals("HTTP/1.1 202 Accepted", node.submit("payment", "late", 0, MESSAGE_TIMEOUT_MILLIS));
            resumed.get(10, TimeUnit.SECONDS);
            assertEquals("{\"ref\":\"late\",\"result\":\"dead\"}", notices.poll(10, TimeUnit.SECONDS));
            assertEquals("HTTP/1.1 200 OK", node.submit("payment", "late", 0, MESSAGE_TIMEOUT_MILLIS),
                    "a repeat of a delivered message is answered as delivered");
        }
    }

    private static void resumeAfterPause(TestNodeProcess node) {
        try {
            Thread.sleep(PAUSE_MILLIS);
            node.resume();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
