package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** A node with the memory flags of production, and endpoints whose responses together would take more memory than it has. */
class ResponseMemoryProcessTest {
    private static final int DESTINATIONS = 61;
    private static final int SOUND_DESTINATION = 60;
    private static final int HEADER_LINES = 62;
    private static final String ENDLESS_HEAD = "HTTP/1.1 500 Internal Server Error\r\n"
            + ("X-Note: " + "a".repeat(8_000) + "\r\n").repeat(HEADER_LINES);
    private static final long MESSAGE_TIMEOUT_MILLIS = 4_000;

    private final Set<String> deliveredOrNotified = ConcurrentHashMap.newKeySet();

    @TempDir
    Path folder;

    private Response answerCall(Request request) {
        String id = request.header("Request-Id");
        if (id == null || id.startsWith("spoilt")) {
            return Response.complete(ENDLESS_HEAD);
        }
        deliveredOrNotified.add(id);
        return Response.complete(ProcessTestSupport.OK);
    }

    /** Guards against an I/O thread that ends with an OutOfMemoryError since many endpoints send heads without an end at once. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void responsesThatTakeMoreMemoryThanThereIsLeaveOtherDestinationsServed() throws Exception {
        try (RawServer endpoint = new RawServer(this::answerCall);
                RawServer platform = new RawServer(request -> ProcessTestSupport.answerPlatform(request, endpoint.address(),
                        DESTINATIONS, notice -> deliveredOrNotified.add(ProcessTestSupport.noticeId(notice))));
                TestNodeProcess node = TestNodeProcess.startServingAtFullSize(folder, platform.address())) {
            List<String> spoilt = IntStream.range(0, SOUND_DESTINATION).mapToObj(number -> "spoilt-" + number).toList();
            for (int i = 0; i < spoilt.size(); i++) {
                assertTrue(node.submit("status", spoilt.get(i), i, MESSAGE_TIMEOUT_MILLIS).startsWith("HTTP/1.1 202"));
            }
            for (int i = 0; i < 20; i++) {
                String answer = node.submit("status", "sound-" + i, SOUND_DESTINATION, MESSAGE_TIMEOUT_MILLIS);
                assertTrue(answer.startsWith("HTTP/1.1 202"), "answer to message " + i + ": " + answer);
                ProcessTestSupport.sleep(100);
            }
            ProcessTestSupport.sleep(MESSAGE_TIMEOUT_MILLIS + 300);
            assertEquals(List.of(), spoilt.stream().filter(id -> !deliveredOrNotified.contains(id)).toList(), "lost messages");
            assertTrue(IntStream.range(0, 20).allMatch(i -> deliveredOrNotified.contains("sound-" + i)));
            assertEquals(0, node.counter("response_memory_bytes"), "memory of responses that have ended");
            node.assertCleanExit();
        }
    }
}
