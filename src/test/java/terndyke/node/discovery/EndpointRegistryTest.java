package terndyke.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.EndpointState;
import terndyke.node.http.ConnectionPool;

/** Applies lists to the registry as discovery sends them, readable and not. */
class EndpointRegistryTest {
    private static final long NOW_MICROS = 1_000_000;

    private final EndpointRegistry endpointRegistry = new EndpointRegistry(List.of("east", "west"), List.of("a", "b"));
    private final List<String> unreadableEntries = new ArrayList<>();

    private Event.ListReceived update(int rev, boolean all, String... targets) throws IOException {
        String json = "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
        return endpointRegistry.update(json.getBytes(StandardCharsets.UTF_8), NOW_MICROS, unreadableEntries);
    }

    private static String targetJson(String uid, String endpoint, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"west\",\"model\":\"b\",\"pod_group\":3,"
                + "\"state\":\"" + state + "\",\"capacity_hint\":7.5,\"boot_ms\":12}";
    }

    @Test
    void everyFieldOfAnEntryIsRead() throws IOException {
        Event.ListReceived list = update(41, true, targetJson("s-1", "127.0.0.9:8443", "active"));
        assertTrue(list.complete());
        assertEquals(List.of(new ListedEndpoint(0, 1, 1, 7.5f, EndpointState.READY, 12_000, 3)), list.entries());
        assertEquals(41, endpointRegistry.version());
        assertTrue(endpointRegistry.hasDestination(3));
        assertFalse(endpointRegistry.hasDestination(4));
    }

    @Test
    void anEndpointKeepsItsNumberAndTakesItsNewAddress() throws IOException {
        update(1, true, targetJson("s-1", "127.0.0.9:1", "active"), targetJson("s-2", "127.0.0.9:2", "active"));
        Event.ListReceived list = update(2, false, targetJson("s-2", "127.0.0.9:3", "leaving"));
        assertFalse(list.complete());
        assertEquals(1, list.entries().get(0).endpoint());
        assertEquals(EndpointState.DRAINING, list.entries().get(0).state());
        assertEquals(3, endpointRegistry.findEndpoint("s-2").peer().address().getPort());
    }

    @Test
    void endpointThatChangesDestinationIsGoneAndListedAsNewEndpoint() throws IOException {
        update(1, true, targetJson("s-1", "127.0.0.9:1", "active"));
        Event.ListReceived list = update(2, false, targetJson("s-1", "127.0.0.9:1", "active").replace(":3,", ":5,"));
        assertEquals(List.of(EndpointState.GONE, EndpointState.READY), list.entries().stream().map(e -> e.state()).toList());
        assertEquals(List.of(3, 5), list.entries().stream().map(e -> e.destination()).toList());
        assertEquals(3, endpointRegistry.findEndpoint(0).destination());
        assertEquals(1, endpointRegistry.pollRemovedPeers().size());
    }

    /** Guards against calls that still start at an endpoint after the list has said that it drains. */
    @Test
    void endpointThatDrainsIsReportedWithItsPeerAndKeepsIt() throws IOException {
        update(1, true, targetJson("s-1", "127.0.0.9:1", "active"));
        ConnectionPool.Peer peer = endpointRegistry.findEndpoint("s-1").peer();
        assertEquals(List.of(), endpointRegistry.pollDrainingPeers());
        update(2, false, targetJson("s-1", "127.0.0.9:1", "leaving"));
        assertEquals(List.of(peer), endpointRegistry.pollDrainingPeers());
        assertEquals(List.of(), endpointRegistry.pollDrainingPeers());
        assertEquals(List.of(), endpointRegistry.pollRemovedPeers());
        assertSame(peer, endpointRegistry.findEndpoint("s-1").peer());
    }

    @Test
    void endpointAtAReusedAddressIsADifferentPeer() throws IOException {
        update(1, true, targetJson("s-1", "127.0.0.9:1", "active"));
        ConnectionPool.Peer first = endpointRegistry.findEndpoint("s-1").peer();
        update(2, true, targetJson("s-2", "127.0.0.9:1", "active"));
        assertEquals(List.of(first), endpointRegistry.pollRemovedPeers());
        assertNotSame(first, endpointRegistry.findEndpoint("s-2").peer());
        update(3, false, targetJson("s-1", "127.0.0.9:1", "active"));
        assertNotSame(first, endpointRegistry.findEndpoint("s-1").peer(), "listed again, but another process by now");
        assertEquals(0, endpointRegistry.findEndpoint("s-1").number(), "same number, so its last Retry-After still applies");
    }

    private static String targetJson(String uid, String endpoint, int destination, long bootMillis) {
        return targetJson(uid, endpoint, "active").replace(":3,", ":" + destination + ",").replace(":12}", ":" + bootMillis + "}");
    }

    private EndpointState lastStateOf(Event.ListReceived list, String uid) {
        long number = endpointRegistry.findEndpoint(uid).number();
        return list.entries().stream().filter(entry -> entry.endpoint() == number).reduce((first, second) -> second).orElseThrow().state();
    }

    /** Guards against messages for the endpoint that was there before, where the list names both at one address. */
    @Test
    void ofTwoEndpointsAtOneAddressTheOneThatStartedLaterIsThereInWhateverOrderTheyAreTold() throws IOException {
        update(1, true, targetJson("s-1", "127.0.0.9:1", 3, 12));
        ConnectionPool.Peer first = endpointRegistry.findEndpoint("s-1").peer();
        Event.ListReceived crossing = update(2, false, targetJson("s-9", "127.0.0.9:1", 5, 13));
        assertEquals(EndpointState.GONE, lastStateOf(crossing, "s-1"));
        assertEquals(EndpointState.READY, lastStateOf(crossing, "s-9"));
        assertEquals(List.of(first), endpointRegistry.pollRemovedPeers());
        Event.ListReceived whole = update(3, true, targetJson("s-9", "127.0.0.9:1", 5, 13), targetJson("s-1", "127.0.0.9:1", 3, 12));
        assertEquals(EndpointState.GONE, lastStateOf(whole, "s-1"));
        assertEquals(EndpointState.READY, lastStateOf(whole, "s-9"));
        Event.ListReceived freed = update(4, false, targetJson("s-9", "127.0.0.9:1", "left").replace(":3,", ":5,"));
        assertEquals(EndpointState.READY, lastStateOf(freed, "s-1"));
        assertNotSame(first, endpointRegistry.findEndpoint("s-1").peer());
    }

    @Test
    void endpointsOfSeveralDestinationsThatStartedTogetherShareTheirAddress() throws IOException {
        Event.ListReceived list = update(1, true, targetJson("s-1", "127.0.0.9:1", 3, 0), targetJson("s-2", "127.0.0.9:1", 5, 0));
        assertEquals(List.of(EndpointState.READY, EndpointState.READY), list.entries().stream().map(entry -> entry.state()).toList());
        assertEquals(List.of(), endpointRegistry.pollRemovedPeers());
    }

    /** Guards against connections and calls of a process that has ended, where its successor keeps uid and address. */
    @Test
    void anEndpointThatHasStartedAgainIsADifferentPeer() throws IOException {
        update(1, true, targetJson("s-1", "127.0.0.9:1", 3, 12));
        ConnectionPool.Peer first = endpointRegistry.findEndpoint("s-1").peer();
        update(2, false, targetJson("s-1", "127.0.0.9:1", 3, 12));
        assertSame(first, endpointRegistry.findEndpoint("s-1").peer());
        update(3, false, targetJson("s-1", "127.0.0.9:1", 3, 13));
        assertNotSame(first, endpointRegistry.findEndpoint("s-1").peer());
        assertEquals(List.of(first), endpointRegistry.pollRemovedPeers());
        assertEquals(0, endpointRegistry.findEndpoint("s-1").number());
    }

    @Test
    void goneEndpointsAreEvictedByAgeAndLongestGoneFirstAboveTheLimit() throws IOException {
        for (int i = 0; i < 50; i++) {
            update(i, true, targetJson("s-" + i, "127.0.0.9:" + (i + 1), "active"));
        }
        endpointRegistry.evictGone(NOW_MICROS, 20);
        assertNull(endpointRegistry.findEndpoint("s-28"));
        assertNull(endpointRegistry.findEndpoint(28));
        assertEquals(29, endpointRegistry.findEndpoint("s-29").number());
        endpointRegistry.evictGone(NOW_MICROS + 1, 20);
        assertNull(endpointRegistry.findEndpoint("s-48"));
        assertEquals(49, endpointRegistry.findEndpoint(49).number(), "still listed, so never evicted");
        assertTrue(endpointRegistry.hasDestination(3));
    }

    @Test
    void unreadableEntryIsSkippedAndReported() throws IOException {
        Event.ListReceived list = update(1, true, targetJson("s-1", "some.host:1", "active"),
                targetJson("s-2", "127.0.0.9:2", "asleep"), "{}", targetJson("s-3", "127.0.0.9:3", "active"));
        assertEquals(1, list.entries().size());
        assertEquals(3, unreadableEntries.size());
    }

    @Test
    void responseThatIsNoListThrowsIOExceptionAndKeepsTheVersion() {
        for (String json : List.of("", "{", "[]", "{\"all\":true}", "{\"rev\":\"x\"}")) {
            assertThrows(IOException.class,
                    () -> endpointRegistry.update(json.getBytes(StandardCharsets.UTF_8), NOW_MICROS, unreadableEntries), json);
        }
        assertEquals(0, endpointRegistry.version());
    }
}
