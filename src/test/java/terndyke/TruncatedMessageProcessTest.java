package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Response;
import terndyke.RawServer.Request;

/**
 * Runs a node as a process between an endpoint and clients whose HTTP messages are truncated.
 *
 * <p>Guards against an accepted message that gets neither another attempt nor a notice. The endpoint's answer ended inside its
 * first line, with an orderly close of the connection, and the parser took the end of the connection for the end of the line, so
 * that {@code HTTP/1.1 200 O} counted as a delivery. The same is tested for requests.
 */
class TruncatedMessageProcessTest {
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String UNAVAILABLE_RESPONSE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final int MESSAGE_TIMEOUT_MILLIS = 3_000;
    private static final int NOTICE_GRACE_MILLIS = 500; // after a message's timeout
    private static final int DESTINATION_COUNT = 40; // one per message, so that no answer affects another message

    private final Map<String, AtomicInteger> callCounts = new ConcurrentHashMap<>();
    private final Map<String, String> noticeResults = new ConcurrentHashMap<>(); // by message id
    private RawServer endpoint;
    private RawServer platform;
    private TestNodeProcess node;

    @TempDir
    Path folder;

    @BeforeEach
    void start() throws IOException {
        endpoint = new RawServer(this::answerEvent);
        platform = new RawServer(this::answerDiscovery);
        node = TestNodeProcess.startServing(folder, platform.address());
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
        endpoint.close();
        platform.close();
    }

    /** Truncates the answer to the first call of a message to the length in its id; answers all other calls completely. */
    private Response answerEvent(Request call) {
        if (!call.path().equals("/events")) {
            return Response.complete(OK_RESPONSE);
        }
        String id = call.header("Request-Id");
        int earlierCalls = callCounts.computeIfAbsent(id, unseen -> new AtomicInteger()).getAndIncrement();
        String[] idParts = id.split("-");
        if (earlierCalls > 0 || !idParts[0].equals("cut")) {
            return Response.complete(OK_RESPONSE);
        }
        return Response.truncated(idParts[1].equals("ok") ? OK_RESPONSE : UNAVAILABLE_RESPONSE, Integer.parseInt(idParts[2]));
    }

    private Response answerDiscovery(Request request) {
        if (request.path().equals("/v2/finals")) {
            request.body().lines().map(line -> line.split("\"")).forEach(parts -> noticeResults.put(parts[3], parts[7]));
            return Response.complete("HTTP/1.1 204 No Content\r\n\r\n");
        }
        if (request.path().contains("after=")) {
            return Response.NO_RESPONSE;
        }
        return Response.json(TestNodeProcess.listJson(endpoint.address(), DESTINATION_COUNT));
    }

    private int callCount(String id) {
        AtomicInteger count = callCounts.get(id);
        return count == null ? 0 : count.get();
    }

    /** Truncates the answer at each byte of its first line, line end included: only a complete line with 200 is a delivery. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void anAnswerCutInItsFirstLineIsNoDelivery() throws Exception {
        List<String> ids = new ArrayList<>();
        for (int length = 0; length <= OK_RESPONSE.indexOf('\n'); length++) {
            String id = "cut-ok-" + length;
            ids.add(id);
            assertEquals("HTTP/1.1 202 Accepted", node.submit("status", id, length, MESSAGE_TIMEOUT_MILLIS));
        }
        Thread.sleep(MESSAGE_TIMEOUT_MILLIS + NOTICE_GRACE_MILLIS);
        List<String> unfinished = ids.stream().filter(id -> callCount(id) < 2 && !noticeResults.containsKey(id)).toList();
        assertEquals(List.of(), unfinished, "messages neither sent again nor ended by a notice");
    }

    /** A truncated first line with 503 does not prove that nothing ran: neither the node nor the client may send it again. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void anAnswerCutInItsFirstLineIsNoProofThatNothingRan() throws Exception {
        List<String> ids = new ArrayList<>();
        for (int length = 0; length <= UNAVAILABLE_RESPONSE.indexOf('\n'); length++) {
            String id = "cut-refused-" + length;
            ids.add(id);
            assertEquals("HTTP/1.1 202 Accepted", node.submit("payment", id, length, MESSAGE_TIMEOUT_MILLIS));
        }
        Thread.sleep(MESSAGE_TIMEOUT_MILLIS + NOTICE_GRACE_MILLIS);
        assertEquals(List.of(), ids.stream().filter(id -> callCount(id) > 1).toList(), "messages sent again");
        assertEquals(List.of(), ids.stream().filter(id -> !"dead".equals(noticeResults.get(id))).toList(),
                "messages without the notice dead");
    }

    /** The client half-closes its connection at each byte of the head: no such request may be accepted. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aRequestCutInItsHeadIsNotAccepted() throws Exception {
        List<String> acceptedIds = new ArrayList<>();
        for (int missingBytes = 1; missingBytes < completeHead("half-1").length(); missingBytes++) {
            String head = completeHead("half-" + missingBytes);
            String answer = node.sendRaw(head.substring(0, head.length() - missingBytes), true);
            if (answer.startsWith("HTTP/1.1 2")) {
                acceptedIds.add("half-" + missingBytes);
            }
        }
        assertEquals("HTTP/1.1 202 Accepted", node.submit("status", "whole", 0, MESSAGE_TIMEOUT_MILLIS));
        for (long deadline = System.nanoTime() + 10_000_000_000L; callCount("whole") == 0 && System.nanoTime() < deadline;) {
            Thread.sleep(10);
        }
        assertEquals(List.of(), acceptedIds);
        assertEquals(Set.of("whole"), callCounts.keySet(), "messages forwarded to the endpoint");
        assertTrue(noticeResults.isEmpty());
    }

    /** The head of a request without a body or a Content-Length: only the blank line ends it. */
    private static String completeHead(String id) {
        return "POST /status HTTP/1.1\r\nHost: n0\r\nRequest-Id: " + id + "\r\nX-Consignee: dest=0\r\n"
                + "Request-Timeout-Ms: 4000\r\n\r\n";
    }
}
