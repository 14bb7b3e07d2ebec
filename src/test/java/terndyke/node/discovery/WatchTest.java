package terndyke.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import terndyke.node.Counters;
import terndyke.node.HoldUpDetector;
import terndyke.node.NodeFixtures;
import terndyke.node.Limits;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.Reactor;

/** Runs the watch against a discovery scripted call by call by the test, with the test's own clock. */
class WatchTest {
    private static final long CHANGE_DEADLINE_MICROS = 6_000_000; // then a change counts as known, even if the watch missed it
    private static final long SAFETY_MARGIN_MICROS = 2_000_000; // for a node short of CPU, and one more lost call
    private static final long REQUEST_TIMEOUT_NANOS = 20_000_000_000L;
    private static final int ACCEPT_MILLIS = 5;
    private static final String EMPTY_LIST_JSON = "{\"rev\":7,\"all\":true,\"targets\":[]}";

    private record NumberedResult(long callNumber, Call.Result result) { }

    private final Limits limits = Limits.fromResources(192, 1024, 3, 8, 40, 400_000, 1_000_000);
    private final BlockingQueue<NumberedResult> results = new LinkedBlockingQueue<>();
    private final BlockingQueue<ConnectionPool.PooledConnection> freedConnections = new LinkedBlockingQueue<>();
    private final List<Socket> readyConnections = new ArrayList<>(); // without a request yet
    private final List<Socket> usedConnections = new ArrayList<>();
    private ServerSocket discovery;
    private Reactor reactor;
    private ConnectionPool connectionPool;
    private Watch watch;
    private Socket connection;
    private long now = 1_000_000;

    @BeforeEach
    void start() throws IOException {
        discovery = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        discovery.setSoTimeout(ACCEPT_MILLIS);
        Counters counters = new Counters();
        reactor = new Reactor(limits, counters, NodeFixtures.NO_LOG, (threadName, cause) -> { });
        reactor.start();
        connectionPool = new ConnectionPool(reactor, limits, counters, NodeFixtures.NO_LOG, () -> now,
                new HoldUpDetector(() -> now, Long.MAX_VALUE), freedConnections::add);
        createWatch(false);
    }

    private void createWatch(boolean listOnRequest) {
        watch = new Watch(limits, new InetSocketAddress(discovery.getInetAddress(), discovery.getLocalPort()),
                new EndpointRegistry(List.of("east"), List.of("a")), connectionPool, NodeFixtures.NO_LOG, listOnRequest,
                new Random(1), (callNumber, result) -> results.add(new NumberedResult(callNumber, result)));
    }

    @AfterEach
    void stop() throws IOException, InterruptedException {
        discovery.close();
        reactor.close();
    }

    private String awaitRequestPath() throws IOException {
        connection = awaitConnectionWithRequest();
        StringBuilder text = new StringBuilder();
        InputStream in = connection.getInputStream();
        while (text.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            assertTrue(read >= 0, "connection closed before a whole request came");
            text.append((char) read);
        }
        return text.substring(text.indexOf(" ") + 1, text.indexOf(" HTTP"));
    }

    /**
     * Waits for the next request on any connection; some are held ready and carry none yet. Each call has a connection of its own, so that no
     * late copy of an earlier list can be taken for its answer: a second request on one fails the test.
     */
    private Socket awaitConnectionWithRequest() throws IOException {
        long deadlineNanos = System.nanoTime() + REQUEST_TIMEOUT_NANOS;
        while (System.nanoTime() < deadlineNanos) {
            acceptWaiting();
            for (Socket used : usedConnections) {
                assertTrue(used.isClosed() || used.getInputStream().available() == 0, "a connection carries a second call");
            }
            for (Socket ready : readyConnections) {
                if (ready.getInputStream().available() > 0) {
                    readyConnections.remove(ready);
                    usedConnections.add(ready);
                    return ready;
                }
            }
        }
        throw new SocketTimeoutException("no request came");
    }

    private void acceptWaiting() throws IOException {
        try {
            readyConnections.add(discovery.accept());
        } catch (SocketTimeoutException e) {
            // none is waiting
        }
    }

    private boolean answer(String body) throws Exception {
        return answer("200 OK", body);
    }

    private boolean answer(String status, String body) throws Exception {
        connection.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        NumberedResult numberedResult = results.poll(30, TimeUnit.SECONDS);
        connectionPool.release(freedConnections.poll(30, TimeUnit.SECONDS), now);
        return watch.handleResult(numberedResult.callNumber, numberedResult.result, now) != null;
    }

    /** Leaves the call in flight unanswered until it times out; the next one comes on a new connection. */
    private void timeOutCall() throws Exception {
        long timeoutAt = watch.dueAt();
        now = timeoutAt - 1;
        watch.runDueActions(now);
        assertEquals(timeoutAt, watch.dueAt(), "a call must wait until its time-out");
        now = timeoutAt;
        watch.runDueActions(now);
        NumberedResult lateResult = results.poll(30, TimeUnit.SECONDS);
        assertNull(watch.handleResult(lateResult.callNumber, lateResult.result, now),
                "the result of a call that timed out is ignored");
        connectionPool.release(freedConnections.poll(30, TimeUnit.SECONDS), now);
        connection.close();
    }

    @Test
    void silentWatchIsReopenedWellBeforeChangeDeadlineThoughNextCallIsLostToo() throws Exception {
        watch.runDueActions(now);
        assertEquals("/catalog/members", awaitRequestPath(), "the first call requests the whole list, without waiting");
        assertTrue(answer(EMPTY_LIST_JSON));
        watch.runDueActions(now);
        assertEquals("/catalog/members?after=7&wait_ms=" + limits.watchWaitMicros() / 1000, awaitRequestPath());
        long silentSince = now; // at worst discovery stops answering as soon as the watch is open
        timeOutCall();
        assertEquals("/catalog/members", awaitRequestPath());
        timeOutCall();
        assertEquals("/catalog/members", awaitRequestPath(), "the call after the time-out is lost as well");
        assertTrue(answer("{\n  \"rev\": 8,\n  \"all\": true,\n  \"targets\": [\n  ]\n}"));
        assertTrue(now - silentSince <= CHANGE_DEADLINE_MICROS - SAFETY_MARGIN_MICROS,
                "microseconds until the list came: " + (now - silentSince));
    }

    @Test
    void discoveryThatIsDownAtTheStartIsAskedAgainWithinASecond() throws Exception {
        watch.runDueActions(now);
        awaitRequestPath();
        long startedAt = now;
        timeOutCall();
        assertTrue(now - startedAt <= 1_000_000);
        assertEquals("/catalog/members", awaitRequestPath());
    }

    /**
     * Guards against nodes that keep discovery overloaded by giving up calls and asking again: calls must become rarer, and
     * still come within the change deadline.
     */
    @Test
    void unresponsiveDiscoveryIsCalledLessAndLessOften() throws Exception {
        watch.runDueActions(now);
        awaitRequestPath();
        long startedAt = now;
        int callCount = 1;
        for (long previousCallAt = now; now - startedAt < 12_000_000; callCount++) {
            timeOutCall();
            awaitRequestPath();
            assertTrue(now - previousCallAt <= CHANGE_DEADLINE_MICROS - SAFETY_MARGIN_MICROS,
                    "microseconds without a new call: " + (now - previousCallAt));
            previousCallAt = now;
        }
        assertTrue(callCount <= 8, callCount + " calls in 12 s");
        assertTrue(answer(EMPTY_LIST_JSON));
        assertEquals(now, watch.dueAt(), "the next call starts at once after an answer");
    }

    @Test
    void refusingDiscoveryIsRetriedFromKnownVersionWithGrowingDelays() throws Exception {
        watch.runDueActions(now);
        awaitRequestPath();
        assertTrue(answer(EMPTY_LIST_JSON));
        watch.runDueActions(now);
        awaitRequestPath();
        long startedAt = now;
        int callCount = 1;
        for (; now - startedAt < 8_000_000; callCount++) {
            assertTrue(!answer("503 Full", ""));
            assertTrue(watch.dueAt() - now <= CHANGE_DEADLINE_MICROS - 2 * SAFETY_MARGIN_MICROS,
                    "microseconds of delay: " + (watch.dueAt() - now));
            now = watch.dueAt();
            watch.runDueActions(now);
            assertEquals("/catalog/members?after=7&wait_ms=" + limits.watchWaitMicros() / 1000, awaitRequestPath(),
                    "a retry continues from the known version");
        }
        assertTrue(callCount <= 14, callCount + " calls in 8 s");
    }

    @Test
    void receivedAnswerIsHandledBeforeItsCallTimesOut() throws Exception {
        watch.runDueActions(now);
        awaitRequestPath();
        now = watch.dueAt() + 1_000_000; // the node was delayed, and the answer waits in its queue
        assertTrue(answer(EMPTY_LIST_JSON));
        watch.runDueActions(now);
        assertEquals("/catalog/members?after=7&wait_ms=" + limits.watchWaitMicros() / 1000, awaitRequestPath());
    }

    @Test
    void aListThatCannotBeReadWholeIsAskedForAgain() throws Exception {
        watch.runDueActions(now);
        awaitRequestPath();
        assertTrue(answer("{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:1\","
                + "\"az\":\"east\",\"model\":\"a\",\"pod_group\":1,\"state\":\"lea\"}]}"));
        now = watch.dueAt();
        watch.runDueActions(now);
        assertEquals("/catalog/members", awaitRequestPath(), "no later change repeats an unreadable entry");
        assertTrue(!answer("{\"rev\":8,\"all\":true,\"targ"));
        now = watch.dueAt();
        watch.runDueActions(now);
        assertEquals("/catalog/members", awaitRequestPath());
    }

    @Test
    void listOnRequestReportsFailedCallAndStartsNoneWithoutRequest() throws Exception {
        createWatch(true);
        watch.runDueActions(now);
        assertEquals(Long.MAX_VALUE, watch.dueAt());
        watch.requestList(now);
        watch.runDueActions(now);
        awaitRequestPath();
        timeOutCall();
        assertTrue(watch.pollFailure());
        assertEquals(Long.MAX_VALUE, watch.dueAt());
        watch.requestList(now);
        watch.runDueActions(now);
        assertNotNull(awaitRequestPath());
    }

    /** The decision module's pause of at most 3.6 s between calls comes on top. */
    @Test
    void listOnRequestTimesOutEachCallWithinASecond() throws Exception {
        createWatch(true);
        for (int i = 0; i < 5; i++) {
            watch.requestList(now);
            watch.runDueActions(now);
            awaitRequestPath();
            long startedAt = now;
            timeOutCall();
            assertTrue(now - startedAt <= 1_000_000, "microseconds until the time-out: " + (now - startedAt));
        }
    }

    /** Guards against a list that goes back to an older revision, and against a node that never follows revisions which begin anew. */
    @Test
    void anOlderWholeListIsAppliedOnlyIfNothingNewerComesBeforeChangesCountAsKnown() throws Exception {
        watch.runDueActions(now);
        awaitRequestPath();
        assertTrue(answer(EMPTY_LIST_JSON));
        long firstOutdatedAt = now;
        boolean applied = false;
        while (!applied) {
            watch.runDueActions(now);
            String path = awaitRequestPath();
            now += path.contains("wait_ms=") ? 1_000 * Long.parseLong(path.substring(path.indexOf("wait_ms=") + 8)) : 0;
            applied = answer("{\"rev\":3,\"all\":" + !path.contains("after=") + ",\"targets\":[]}");
            assertTrue(applied || !path.contains("after=") || path.contains("after=7&"), path);
            assertTrue(applied || !path.contains("after=") || watch.dueAt() > now || now - firstOutdatedAt >= 4_000_000,
                    "discovery may send the outdated list again at once");
            now = Math.max(now, watch.dueAt());
        }
        assertTrue(now - firstOutdatedAt >= 4_000_000, "applied after " + (now - firstOutdatedAt) + " microseconds");
        assertTrue(now - firstOutdatedAt <= CHANGE_DEADLINE_MICROS, "applied after " + (now - firstOutdatedAt) + " microseconds");
        watch.runDueActions(now);
        assertTrue(awaitRequestPath().contains("after=3&"));
    }
}
