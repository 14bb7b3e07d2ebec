package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** An endpoint of another destination takes over the address of one that has gone: no message may reach it there by an older list. */
class AddressReuseProcessTest {
    private static final int MESSAGES = 6;
    private static final long MESSAGE_TIMEOUT_MILLIS = 5_000;
    private static final long PATIENCE_MILLIS = 8_000;
    private static final long DRAIN_CHECK_MILLIS = 1_000;

    private final List<String> callsAtReusedAddress = new CopyOnWriteArrayList<>();
    private final List<String> callsAtOwnEndpoint = new CopyOnWriteArrayList<>();
    private final EmulatedDiscovery discovery = new EmulatedDiscovery(41);
    private volatile boolean responding; // both endpoints keep their calls without an answer until then

    @TempDir
    Path folder;

    private Response answerCall(Request call, List<String> calls) {
        calls.add(call.header("Request-Id"));
        return responding ? Response.complete(ProcessTestSupport.OK) : Response.NO_RESPONSE;
    }

    /** Another destination takes over the address, and this one gets an endpoint elsewhere. */
    private static void moveDestination(EmulatedDiscovery agent, RawServer reused, RawServer own) {
        agent.change("s-1", reused.address(), 0, "left");
        agent.change("s-2", own.address(), 0, "active");
        agent.change("s-9", reused.address(), 1, "active");
    }

    private static List<String> submitMessages(TestNodeProcess node) throws Exception {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            ids.add("message-" + i);
            assertEquals("HTTP/1.1 202 Accepted", node.submit("status", ids.get(i), 0, MESSAGE_TIMEOUT_MILLIS));
        }
        return ids;
    }

    private void awaitCallsAtOwnEndpoint(List<String> ids) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
        while (!callsAtOwnEndpoint.containsAll(ids) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
        assertEquals(List.of(), callsAtReusedAddress, "messages sent to an endpoint of another destination");
        assertTrue(callsAtOwnEndpoint.containsAll(ids), "messages called at their own destination: " + callsAtOwnEndpoint);
    }

    /** Guards against a restarted node that sends what it holds by the list of its configuration before it has requested the present one. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aRestartedNodeRequestsTheListBeforeItSendsWhatItHolds() throws Exception {
        try (RawServer reused = new RawServer(call -> answerCall(call, callsAtReusedAddress));
                RawServer own = new RawServer(call -> answerCall(call, callsAtOwnEndpoint));
                RawServer platform = new RawServer(discovery::answer)) {
            discovery.change("s-1", reused.address(), 0, "active");
            String oldList = discovery.wholeList();
            List<String> held;
            try (TestNodeProcess killed = TestNodeProcess.startServing(folder, platform.address(), oldList, true)) {
                discovery.awaitWritten();
                held = submitMessages(killed);
                killed.kill();
            }
            moveDestination(discovery, reused, own);
            callsAtReusedAddress.clear();
            responding = true;
            try (TestNodeProcess restarted = TestNodeProcess.startServing(folder, platform.address(), oldList, true)) {
                awaitCallsAtOwnEndpoint(held);
                restarted.assertCleanExit();
            }
        }
    }

    /**
     * Guards against a node that was told that an address has another destination's endpoint, and after a kill goes back to the list of its
     * configuration, since discovery is silent then.
     */
    @ParameterizedTest
    @CsvSource({"false, true", "false, false", "true, true", "true, false"})
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aRestartedNodeKeepsToTheListThatItWasToldWhileDiscoveryIsSilent(boolean listOnRequest, boolean killed) throws Exception {
        try (RawServer reused = new RawServer(call -> answerCall(call, callsAtReusedAddress));
                RawServer own = new RawServer(call -> answerCall(call, callsAtOwnEndpoint));
                RawServer platform = new RawServer(discovery::answer)) {
            discovery.change("s-1", reused.address(), 0, "active");
            String oldList = discovery.wholeList();
            List<String> held;
            try (TestNodeProcess first = TestNodeProcess.startServing(folder, platform.address(), oldList, listOnRequest)) {
                discovery.awaitWritten();
                moveDestination(discovery, reused, own);
                discovery.awaitWritten();
                held = submitMessages(first);
                discovery.setSilent(true);
                if (killed) {
                    first.kill();
                } else {
                    first.terminate();
                }
            }
            callsAtOwnEndpoint.clear();
            responding = true;
            try (TestNodeProcess restarted = TestNodeProcess.startServing(folder, platform.address(), oldList, listOnRequest)) {
                awaitCallsAtOwnEndpoint(held);
                restarted.assertCleanExit();
            }
        }
    }

    /**
     * Guards against a node that goes back to a list which it has left behind, since discovery has moved to an agent that has not been sent
     * the rest of it yet.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aListOlderThanTheOneInUseIsIgnoredAfterDiscoveryHasMoved(boolean listOnRequest) throws Exception {
        responding = true;
        EmulatedDiscovery laggingDiscovery = new EmulatedDiscovery(41);
        try (RawServer reused = new RawServer(call -> answerCall(call, callsAtReusedAddress));
                RawServer own = new RawServer(call -> answerCall(call, callsAtOwnEndpoint));
                RawServer platform = new RawServer(discovery::answer);
                RawServer nextPlatform = new RawServer(laggingDiscovery::answer)) {
            discovery.change("s-1", reused.address(), 0, "active");
            laggingDiscovery.change("s-1", reused.address(), 0, "active");
            try (TestNodeProcess node = TestNodeProcess.startServing(folder, platform.address(), "{}", listOnRequest)) {
                discovery.awaitWritten();
                moveDestination(discovery, reused, own);
                discovery.awaitWritten();
                node.moveDiscovery(folder, nextPlatform.address());
                laggingDiscovery.awaitWritten();
                awaitCallsAtOwnEndpoint(submitMessages(node));
                moveDestination(laggingDiscovery, reused, own);
                laggingDiscovery.change("s-2", own.address(), 0, "leaving");
                laggingDiscovery.awaitWritten();
                assertEquals("HTTP/1.1 202 Accepted", node.submit("status", "after-drain", 0, MESSAGE_TIMEOUT_MILLIS));
                Thread.sleep(DRAIN_CHECK_MILLIS);
                assertFalse(callsAtOwnEndpoint.contains("after-drain"), "called at an endpoint that the newer list drains");
                node.assertCleanExit();
            }
        }
    }

    /** Guards against messages for an endpoint that discovery still lists at an address where another destination's has started since. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void anEndpointListedAtAnAddressWhereALaterOneStartedIsNotCalled() throws Exception {
        responding = true;
        try (RawServer reused = new RawServer(call -> answerCall(call, callsAtReusedAddress));
                RawServer own = new RawServer(call -> answerCall(call, callsAtOwnEndpoint));
                RawServer platform = new RawServer(discovery::answer)) {
            discovery.change("s-1", reused.address(), 0, "active", 1_000);
            discovery.change("s-2", own.address(), 0, "active", 1_000);
            try (TestNodeProcess node = TestNodeProcess.startServing(folder, platform.address(), "{}", false)) {
                discovery.awaitWritten();
                discovery.change("s-9", reused.address(), 1, "active", 2_000);
                discovery.awaitWritten();
                awaitCallsAtOwnEndpoint(submitMessages(node));
                node.assertCleanExit();
            }
        }
    }
}
