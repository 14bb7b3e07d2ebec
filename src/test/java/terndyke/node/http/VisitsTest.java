package terndyke.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.Test;

import terndyke.node.Limits;

/** Clients' connections by a clock that the test sets, without sockets. */
class VisitsTest {
    private final Limits limits = Limits.fromResources(128, 256, 3, 12, 40, 400_000, 1_000_000);
    private final Set<IOSession> closed = new HashSet<>();
    private final Map<IOSession, Long> timeouts = new HashMap<>();
    private long now = 1_000_000;
    private final Visits visits = new Visits(limits, () -> now);

    private IOSession session() {
        return (IOSession) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {IOSession.class},
                (self, method, given) -> switch (method.getName()) {
                    case "close" -> closed.add((IOSession) self) ? null : null;
                    case "setSocketTimeout" -> {
                        timeouts.put((IOSession) self, ((Timeout) given[0]).toMicroseconds());
                        yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == given[0];
                    default -> null;
                });
    }

    private void fill() {
        for (int i = 0; i < limits.maxClientConnections(); i++) {
            visits.come(session());
        }
    }

    @Test
    void whoSaysNothingIsLetGoWithinThreeSeconds() {
        IOSession silent = session();
        visits.come(silent);
        assertTrue(timeouts.get(silent) >= 2_000_000 && timeouts.get(silent) < 2_800_000);
    }

    @Test
    void aTricklingRequestHasOneDeadlineForTheWholeOfIt() {
        IOSession slow = session();
        Visits.Visit visit = visits.come(slow);
        visit.input();
        long first = timeouts.get(slow);
        now += 1_500_000;
        visit.input();
        assertEquals(first - 1_500_000, timeouts.get(slow), "a byte more brings no time more");
        now += 600_000;
        visit.input();
        assertTrue(closed.contains(slow));
    }

    @Test
    void aRequestBegunAfterASilenceEndsWithinThreeSecondsOfConnecting() {
        IOSession late = session();
        Visits.Visit visit = visits.come(late);
        now += 2_000_000;
        visit.input();
        assertTrue(now + timeouts.get(late) < 1_000_000 + 3_000_000);
    }

    @Test
    void anIdleConnectionMakesRoomForANewClientAndAFreshOneDoesNot() {
        fill();
        IOSession idle = session();
        visits.come(idle).input();
        now += 1_000;
        assertTrue(visits.crowded());
        assertNotNull(visits.come(session()));
        assertTrue(closed.isEmpty(), "nobody is turned out in the moment of coming");
        now += limits.silentClientEvictionMicros();
        visits.come(session());
        assertEquals(1, closed.size());
        assertFalse(closed.contains(idle), "its request is coming in");
    }

    @Test
    void aClientThatAskedKeepsItsConnectionForTwoSeconds() {
        IOSession usual = session();
        Visits.Visit visit = visits.come(usual);
        visit.input();
        visit.whole();
        visit.answered();
        now += 1_900_000;
        fill();
        visits.come(session());
        assertTrue(closed.isEmpty());
        now += 200_000;
        visits.come(session());
        assertTrue(closed.contains(usual));
    }

    @Test
    void anAnswerThatComesLateIsStillWaitedForAndNothingOfThePastCutsTheNextRequestShort() {
        IOSession usual = session();
        Visits.Visit visit = visits.come(usual);
        visit.input();
        visit.whole();
        assertEquals(Timeout.DISABLED.toMicroseconds(), timeouts.get(usual), "a late answer is better than none");
        visit.input(); // the selector spoke, but nothing came
        now += 2_500_000;
        visit.answered();
        visit.input();
        assertTrue(closed.isEmpty());
    }

    @Test
    void whoHasSaidNothingMakesRoomForWhoComesPastAllRoom() {
        IOSession silent = session();
        visits.come(silent);
        fill();
        for (int i = 1; i < limits.maxExcessClientConnections(); i++) {
            visits.come(session());
        }
        assertNull(visits.come(session()), "nobody had the time to say anything");
        now += limits.silentClientEvictionMicros() / 2;
        assertNotNull(visits.come(session()));
        assertEquals(Set.of(silent), closed);
    }

    @Test
    void pastAllRoomAClientIsTurnedOutAndPlacesComeBack() {
        fill();
        Visits.Visit last = null;
        for (int i = 0; i < limits.maxExcessClientConnections(); i++) {
            last = visits.come(session());
        }
        assertNull(visits.come(session()));
        last.left();
        last.left();
        assertNotNull(visits.come(session()));
        assertNull(visits.come(session()));
    }

    private static void elsewhere(Runnable work) throws InterruptedException {
        Thread other = new Thread(work);
        other.start();
        other.join();
    }

    @Test
    void anAnswerThatClosesIsWrittenByTheThreadThatOwnsTheConnection() throws InterruptedException {
        Visits.Visit visit = visits.come(session());
        List<Thread> writers = new ArrayList<>();
        elsewhere(() -> visit.answerAndClose(() -> writers.add(Thread.currentThread())));
        assertEquals(List.of(), writers);
        assertTrue(visit.hasAnswers());
        visit.writeAnswers();
        visit.answerAndClose(() -> writers.add(Thread.currentThread()));
        assertEquals(List.of(Thread.currentThread(), Thread.currentThread()), writers);
        assertFalse(visit.hasAnswers());
    }

    @Test
    void anAnswerOfAnotherThreadIsCountedByTheThreadThatOwnsTheConnections() throws InterruptedException {
        IOSession client = session();
        Visits.Visit visit = visits.come(client);
        visit.input();
        visit.whole();
        long whole = timeouts.get(client);
        elsewhere(visit::answered);
        assertEquals(whole, timeouts.get(client), "nothing of the connection changes on another thread");
        visits.come(session());
        assertEquals(limits.idleClientTimeoutMicros(), timeouts.get(client));
    }
}
