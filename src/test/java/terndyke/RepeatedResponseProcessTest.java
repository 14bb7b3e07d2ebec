package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static terndyke.ProcessTestSupport.FAILED;
import static terndyke.ProcessTestSupport.NO_CONTENT;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.REFUSED;
import static terndyke.ProcessTestSupport.answerPlatform;
import static terndyke.ProcessTestSupport.noticeId;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** Runs a node as a process behind a proxy that sends each response a second time, while the next call on its connection is out. */
class RepeatedResponseProcessTest {
    private static final long MAX_LAG_MILLIS = 80;
    private static final long LONG_LAG_MILLIS = 300;
    private static final long SERVICE_MILLIS = 30;
    private static final long REST_MILLIS = 20; // of a connection between two calls: less than the lag
    private static final long OVERLAP_MILLIS = 10; // after the copy has come, before the response to the call that is out
    private static final long MESSAGE_TIMEOUT_MILLIS = 2_000;
    private static final long NOTICE_GRACE_MILLIS = 500;
    private static final int ROUNDS = 8;
    private static final String REFUSED_FIRST = "refused-first-";

    private final Map<String, AtomicInteger> callsById = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final Set<String> reportedIds = new ConcurrentSkipListSet<>();

    @TempDir
    Path folder;

    private Response answerDiscovery(Request request, String endpointAddress) {
        return answerPlatform(request, endpointAddress, ROUNDS, notice -> reportedIds.add(noticeId(notice)));
    }

    private Response answerEvent(Request call) {
        String id = call.header("Request-Id");
        sleep(SERVICE_MILLIS);
        if (count(callsById, id) == 1 && id.startsWith(REFUSED_FIRST)) {
            return Response.complete(REFUSED);
        }
        count(runsById, id);
        return Response.complete(OK);
    }

    private static int count(Map<String, AtomicInteger> counts, String id) {
        return counts.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Plays one round for each destination: a delivery, then a message that the endpoint refuses the first time, and a third one
     * while the second is called. Returns the accepted messages after all of them should have ended.
     */
    private List<String> playRounds(TestNodeProcess node, long restMillis) throws Exception {
        List<String> accepted = new ArrayList<>();
        for (int destination = 0; destination < ROUNDS; destination++) {
            submit(node, "first-" + destination, destination, accepted);
            sleep(SERVICE_MILLIS + restMillis);
            submit(node, REFUSED_FIRST + destination, destination, accepted);
            sleep(OVERLAP_MILLIS);
            submit(node, "third-" + destination, destination, accepted);
        }
        sleep(MESSAGE_TIMEOUT_MILLIS + NOTICE_GRACE_MILLIS);
        return accepted;
    }

    private static void submit(TestNodeProcess node, String id, int destination, List<String> accepted) throws Exception {
        if (node.submit("payment", id, destination, MESSAGE_TIMEOUT_MILLIS).contains(" 202 ")) {
            accepted.add(id);
        }
    }

    /** Refuses the first call with a notice of each message that is refused first. */
    private Response answerNotice(Request request) {
        sleep(SERVICE_MILLIS);
        List<String> ids = request.body().lines().map(line -> line.split("\"")[3]).toList();
        if (ids.stream().anyMatch(id -> id.startsWith(REFUSED_FIRST) && count(callsById, id) == 1)) {
            return Response.complete(REFUSED);
        }
        reportedIds.addAll(ids);
        return Response.complete(NO_CONTENT);
    }

    /** Guards against a notice counted as accepted by a copy of the response to the notice before, although it was refused. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aCopyOfAnAcceptedNoticeIsNeverTakenForTheResponseToTheNextNotice() throws Exception {
        try (RawServer endpoint = new RawServer(call -> Response.complete(FAILED));
                RawServer platform = new RawServer(request -> request.path().equals("/v2/finals") ? answerNotice(request)
                        : answerDiscovery(request, endpoint.address()));
                RepeatingProxy proxy = new RepeatingProxy(platform.address(), MAX_LAG_MILLIS);
                TestNodeProcess node = TestNodeProcess.startServing(folder, proxy.address())) {
            List<String> accepted = playRounds(node, REST_MILLIS);
            assertEquals(3 * ROUNDS, accepted.size());
            assertEquals(List.of(), accepted.stream().filter(id -> !reportedIds.contains(id)).toList(),
                    "messages that failed and were not reported");
        }
    }

    /** What is done with a node while it runs. */
    private interface Play {
        void run(TestNodeProcess node) throws Exception;
    }

    /** Runs a node whose endpoint's responses come a second time, at the latest after the given time. */
    private void playBehindRepeatingProxy(long lagMillis, Play play) throws Exception {
        try (RawServer endpoint = new RawServer(this::answerEvent);
                RepeatingProxy proxy = new RepeatingProxy(endpoint.address(), lagMillis);
                RawServer platform = new RawServer(request -> answerDiscovery(request, proxy.address()));
                TestNodeProcess node = TestNodeProcess.startServing(folder, platform.address())) {
            play.run(node);
        }
    }

    private void playRoundsThatAllEnd(TestNodeProcess node, long restMillis) throws Exception {
        List<String> accepted = playRounds(node, restMillis);
        assertEquals(3 * ROUNDS, accepted.size());
        assertEquals(List.of(), accepted.stream().filter(id -> !runsById.containsKey(id) && !reportedIds.contains(id)).toList(),
                "messages that were neither delivered nor reported");
    }

    /** Guards against a message counted as delivered by a copy of the response to the call before, although it was refused. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aCopyOfADeliveryIsNeverTakenForTheResponseToTheNextCall() throws Exception {
        playBehindRepeatingProxy(MAX_LAG_MILLIS, node -> playRoundsThatAllEnd(node, REST_MILLIS));
    }

    /** Guards against copies that come later than expected, after one of them has shown on an idle connection how late they come. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aLateCopyOnAnIdleConnectionShowsForHowLongCopiesAreToBeExpected() throws Exception {
        playBehindRepeatingProxy(LONG_LAG_MILLIS, node -> {
            submit(node, "alone", 0, new ArrayList<>());
            sleep(SERVICE_MILLIS + 2 * LONG_LAG_MILLIS);
            playRoundsThatAllEnd(node, LONG_LAG_MILLIS / 2);
        });
    }

    /** Guards against the loss of a message by the first copy that comes later than copies are expected to come. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void theFirstCopyThatComesLaterThanExpectedLosesNoMessage() throws Exception {
        playBehindRepeatingProxy(LONG_LAG_MILLIS, node -> playRoundsThatAllEnd(node, LONG_LAG_MILLIS / 2));
    }

    /** Guards against a second run of a message that was taken for refused by the response to the call before. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aMessageIsNotSentAgainAfterTheLateResponseToTheCallBefore() throws Exception {
        playBehindRepeatingProxy(MAX_LAG_MILLIS, node -> {
            playRounds(node, REST_MILLIS);
            assertEquals(List.of(), callsById.keySet().stream().filter(id -> !id.startsWith(REFUSED_FIRST)
                    && callsById.get(id).get() > 1).toList(), "messages that ran and were called again");
        });
    }
}
