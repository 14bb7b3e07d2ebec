package terndyke.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.channels.SelectionKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;

import terndyke.node.Counters;
import terndyke.node.Limits;

/** Limits and timeouts of clients' connections, with a clock set by the test and without sockets. */
class ClientConnectionsTest {
    private final Limits limits = Limits.fromResources(128, 256, 3, 12, 40, 400_000, 1_000_000);
    private final Set<IOSession> closed = new HashSet<>();
    private final Map<IOSession, Integer> eventMasks = new HashMap<>();
    private long now = 1_000_000;
    private final DeadlineMonitor deadlineMonitor = new DeadlineMonitor(() -> now, limits.selectIntervalMicros(), error -> { });
    private final ClientConnections clientConnections = new ClientConnections(limits, () -> now, deadlineMonitor, new Counters());

    private IOSession createSession() {
        return (IOSession) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {IOSession.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "close" -> closed.add((IOSession) proxy) ? null : null;
                    case "setEvent" -> eventMasks.merge((IOSession) proxy, (Integer) arguments[0], (mask, event) -> mask | event) == 0
                            ? null : null;
                    case "clearEvent" -> eventMasks.merge((IOSession) proxy, 0, (mask, event) -> mask & ~(Integer) arguments[0]) == 0
                            ? null : null;
                    case "hashCode" -> System.identityHashCode(proxy);
                    case "equals" -> proxy == arguments[0];
                    default -> null;
                });
    }

    private void fillToCapacity() {
        for (int i = 0; i < limits.maxClientConnections(); i++) {
            clientConnections.accept(createSession());
        }
    }

    @Test
    void aSilentClientIsDisconnectedWithinThreeSeconds() {
        ClientConnections.ClientConnection silent = clientConnections.accept(createSession());
        assertTrue(silent.deadline() - now >= 2_000_000 && silent.deadline() - now < 2_800_000);
    }

    /** Guards against a request that is closed unanswered because it arrives as the deadline of its connection passes. */
    @Test
    void theOwnerThreadClosesAnOverdueConnectionUnlessInputHasCome() {
        IOSession session = createSession();
        ClientConnections.ClientConnection connection = clientConnections.accept(session);
        now = connection.deadline();
        deadlineMonitor.checkDeadlines();
        assertEquals(SelectionKey.OP_WRITE, eventMasks.get(session), "the owner thread is to look");
        assertTrue(closed.isEmpty());
        connection.onInput();
        connection.onRequestComplete();
        assertFalse(connection.closeIfOverdue());
        connection.onResponseComplete();
        now = connection.deadline();
        assertTrue(connection.closeIfOverdue());
        assertTrue(closed.contains(session));
    }

    @Test
    void aSlowlyArrivingRequestHasOneDeadlineForAllOfIt() {
        IOSession slow = createSession();
        ClientConnections.ClientConnection connection = clientConnections.accept(slow);
        connection.onInput();
        long firstDeadline = connection.deadline();
        now += 1_500_000;
        connection.onInput();
        assertEquals(firstDeadline, connection.deadline(), "another byte does not extend the deadline");
        now += 600_000;
        connection.onInput();
        assertTrue(closed.contains(slow));
    }

    @Test
    void aRequestBegunAfterASilenceEndsWithinThreeSecondsOfConnecting() {
        ClientConnections.ClientConnection connection = clientConnections.accept(createSession());
        now += 2_000_000;
        connection.onInput();
        assertTrue(connection.deadline() < 1_000_000 + 3_000_000);
    }

    @Test
    void anIdleConnectionIsEvictedForANewClientAndAFreshOneIsNot() {
        fillToCapacity();
        IOSession idle = createSession();
        clientConnections.accept(idle).onInput();
        now += 1_000;
        assertTrue(clientConnections.isOverCapacity());
        assertNotNull(clientConnections.accept(createSession()));
        assertTrue(closed.isEmpty(), "no connection is closed that was opened just now");
        now += limits.silentClientEvictionMicros();
        clientConnections.accept(createSession());
        assertEquals(1, closed.size());
        assertFalse(closed.contains(idle), "its request is being read");
    }

    /** Guards against clients that take all places by requests that never end; one whose request was read gets its answer. */
    @Test
    void requestsThatArriveSlowlyGiveTheirPlacesToOtherClientsAndAnOpenRequestDoesNot() {
        IOSession answered = createSession();
        ClientConnections.ClientConnection open = clientConnections.accept(answered);
        open.onInput();
        open.onRequestComplete();
        for (int i = 1; i < limits.maxOpenClientConnections(); i++) {
            clientConnections.accept(createSession()).onInput();
        }
        now += limits.slowRequestEvictionMicros() - 1;
        assertNull(clientConnections.accept(createSession()), "usual requests may still be arriving");
        now += 1;
        assertNotNull(clientConnections.accept(createSession()));
        assertEquals(limits.maxExcessClientConnections() + 1, closed.size(), "down to the places, less the new client's");
        assertFalse(closed.contains(answered));
    }

    @Test
    void whileNoClientIsAcceptedASlowRequestIsOverdueAsSoonAsItMayBeEvicted() {
        List<ClientConnections.ClientConnection> slow = new ArrayList<>();
        for (int i = 0; i < limits.maxOpenClientConnections(); i++) {
            slow.add(clientConnections.accept(createSession()));
            slow.get(i).onInput();
        }
        assertEquals(now + limits.slowRequestEvictionMicros(), slow.get(0).deadline());
        now = slow.get(0).deadline();
        assertTrue(slow.get(0).closeIfOverdue());
        assertFalse(slow.get(1).closeIfOverdue(), "one place is free again");
    }

    @Test
    void aClientThatSentARequestKeepsItsConnectionForTwoSeconds() {
        IOSession usual = createSession();
        ClientConnections.ClientConnection connection = clientConnections.accept(usual);
        connection.onInput();
        connection.onRequestComplete();
        connection.onResponseComplete();
        now += 1_900_000;
        fillToCapacity();
        clientConnections.accept(createSession());
        assertTrue(closed.isEmpty());
        now += 200_000;
        clientConnections.accept(createSession());
        assertTrue(closed.contains(usual));
    }

    @Test
    void aLateResponseIsStillAwaitedAndNoEarlierDeadlineAppliesToTheNextRequest() {
        ClientConnections.ClientConnection connection = clientConnections.accept(createSession());
        connection.onInput();
        connection.onRequestComplete();
        assertEquals(DeadlineMonitor.NONE, connection.deadline(), "a complete request is answered, however late");
        connection.onInput(); // the selector reported input, but there was none
        now += 2_500_000;
        connection.onResponseComplete();
        connection.onInput();
        assertTrue(closed.isEmpty());
    }

    @Test
    void aSilentConnectionIsEvictedForANewClientOnceTheSparePlacesAreTaken() {
        IOSession silent = createSession();
        clientConnections.accept(silent);
        fillToCapacity();
        for (int i = 1; i < limits.maxExcessClientConnections(); i++) {
            clientConnections.accept(createSession());
        }
        assertNull(clientConnections.accept(createSession()), "no client has had the time to send anything");
        now += limits.silentClientEvictionMicros() / 2;
        assertNotNull(clientConnections.accept(createSession()));
        assertEquals(Set.of(silent), closed);
    }

    @Test
    void aClientIsRejectedOnceTheSparePlacesAreTakenAndAClosedConnectionFreesOnePlace() {
        fillToCapacity();
        ClientConnections.ClientConnection last = null;
        for (int i = 0; i < limits.maxExcessClientConnections(); i++) {
            last = clientConnections.accept(createSession());
        }
        assertNull(clientConnections.accept(createSession()));
        last.markClosed();
        last.markClosed();
        assertNotNull(clientConnections.accept(createSession()));
        assertNull(clientConnections.accept(createSession()));
    }

    /** A connection with a request that waits for its response and another one behind it that has been received. */
    private ClientConnections.ClientConnection acceptWithWaitingRequest(IOSession session) throws Exception {
        ClientConnections.ClientConnection connection = clientConnections.accept(session);
        RequestHeadParser parser = connection.createRequestParser(Http1Config.DEFAULT);
        connection.onInput();
        connection.onRequestComplete();
        SessionInputBuffer received = (SessionInputBuffer) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {SessionInputBuffer.class}, (proxy, method, arguments) -> 100); // bytes; nothing else is asked
        assertNull(parser.parse(received, false), "the request stays unread");
        return connection;
    }

    @Test
    void readingIsSuspendedWhileARequestWaitsBehindAnUnansweredOneAndGoesOnAfterItsResponse() throws Exception {
        IOSession session = createSession();
        ClientConnections.ClientConnection connection = acceptWithWaitingRequest(session);
        eventMasks.put(session, SelectionKey.OP_READ);
        assertTrue(connection.suspendReading());
        assertEquals(DeadlineMonitor.NONE, connection.deadline(), "a complete request is answered, however late");
        assertFalse(connection.resumeReading(), "no response yet");
        now += 20_000;
        connection.onResponseComplete();
        assertTrue(connection.resumeReading());
        assertTrue((eventMasks.get(session) & SelectionKey.OP_READ) != 0);
        assertEquals(20_000, connection.unreadMicros());
    }

    /**
     * Guards against a connection that stays suspended for good: the library clears the interest in writing while another thread
     * submits the response, and does not notice that it is complete.
     */
    @Test
    void aResponseOfAnotherThreadIsLookedAtAgainWhileReadingIsSuspended() throws Exception {
        IOSession session = createSession();
        ClientConnections.ClientConnection connection = acceptWithWaitingRequest(session);
        eventMasks.put(session, SelectionKey.OP_READ);
        connection.suspendReading();
        assertEquals(SelectionKey.OP_WRITE, eventMasks.get(session), "for a response that was submitted before");
        eventMasks.put(session, 0); // by the library
        runOnOtherThread(connection::onResponseSubmitted);
        assertEquals(SelectionKey.OP_WRITE, eventMasks.get(session));
        assertTrue(connection.pollResponseSubmitted());
        assertFalse(connection.pollResponseSubmitted());
    }

    private static void runOnOtherThread(Runnable task) throws InterruptedException {
        Thread other = new Thread(task);
        other.start();
        other.join();
    }

    @Test
    void aResponseThatClosesItsConnectionIsWrittenByTheOwnerThread() throws InterruptedException {
        ClientConnections.ClientConnection connection = clientConnections.accept(createSession());
        List<Thread> writers = new ArrayList<>();
        runOnOtherThread(() -> connection.respondAndClose(() -> writers.add(Thread.currentThread())));
        assertEquals(List.of(), writers);
        assertTrue(connection.hasPendingResponses());
        connection.writePendingResponses();
        connection.respondAndClose(() -> writers.add(Thread.currentThread()));
        assertEquals(List.of(Thread.currentThread(), Thread.currentThread()), writers);
        assertFalse(connection.hasPendingResponses());
    }

    @Test
    void aResponseOfAnotherThreadIsCountedByTheOwnerThread() throws InterruptedException {
        ClientConnections.ClientConnection connection = clientConnections.accept(createSession());
        connection.onInput();
        connection.onRequestComplete();
        long deadlineBefore = connection.deadline();
        runOnOtherThread(connection::onResponseComplete);
        assertEquals(deadlineBefore, connection.deadline(), "the connection is not changed by another thread");
        clientConnections.accept(createSession());
        assertEquals(now + limits.idleClientTimeoutMicros(), connection.deadline());
    }
}
