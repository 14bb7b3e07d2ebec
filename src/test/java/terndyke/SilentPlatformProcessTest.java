package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Response;
import terndyke.RawServer.Request;

/**
 * Runs a node as a process, with a platform that stops responding on a connection that worked before.
 *
 * <p>Guards against notices that arrive too late: a lost notice was sent again only 1.2 s later. As a message is abandoned only
 * some hundredths of a second before its timeout, the client's grace period of half a second was then over.
 */
class SilentPlatformProcessTest {
    private static final int MESSAGE_TIMEOUT_MILLIS = 1_500;
    private static final int NOTICE_GRACE_MILLIS = 500;

    private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();

    @TempDir
    Path folder;

    /** Accepts notices only in the first request on a connection; later ones are dropped without an answer. */
    private Response answerDiscovery(Request request, RawServer endpoint) {
        if (request.path().equals("/v2/finals")) {
            if (request.precedingRequests() > 0) {
                return Response.NO_RESPONSE;
            }
            request.body().lines().forEach(line -> notices.add(line.split("\"")[3]));
            return Response.complete("HTTP/1.1 204 No Content\r\n\r\n");
        }
        return request.path().contains("after=") ? Response.NO_RESPONSE
                : Response.json(TestNodeProcess.listJson(endpoint.address(), 2));
    }

    private static Response answerEvent(Request call) {
        return "first".equals(call.header("Request-Id"))
                ? Response.complete("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n") : Response.NO_RESPONSE;
    }

    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aNoticeIsRetriedInTimeWhenItsConnectionStopsResponding() throws Exception {
        try (RawServer endpoint = new RawServer(SilentPlatformProcessTest::answerEvent);
                RawServer platform = new RawServer(request -> answerDiscovery(request, endpoint));
                TestNodeProcess node = TestNodeProcess.startServing(folder, platform.address())) {
            assertEquals("HTTP/1.1 202 Accepted", node.submit("payment", "first", 0, MESSAGE_TIMEOUT_MILLIS));
            assertEquals("first", notices.poll(10, TimeUnit.SECONDS));
            long submittedNanos = System.nanoTime();
            assertEquals("HTTP/1.1 202 Accepted", node.submit("payment", "second", 1, MESSAGE_TIMEOUT_MILLIS));
            assertNotNull(notices.poll(10, TimeUnit.SECONDS));
            long elapsedMillis = (System.nanoTime() - submittedNanos) / 1_000_000;
            assertTrue(elapsedMillis < MESSAGE_TIMEOUT_MILLIS + NOTICE_GRACE_MILLIS,
                    "the notice arrived only after " + elapsedMillis + " ms");
        }
    }
}
