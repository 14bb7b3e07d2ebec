package terndyke.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.decision.DispatcherFixture.START_MICROS;
import static terndyke.decision.DispatcherFixture.dispatcher;
import static terndyke.decision.DispatcherFixture.shotEnded;
import static terndyke.decision.DispatcherFixture.actionsOfType;
import static terndyke.decision.DispatcherFixture.recordAccepted;
import static terndyke.decision.DispatcherFixture.settings;
import static terndyke.decision.DispatcherFixture.expireTimersUntil;

import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.api.Action;
import terndyke.api.Action.Bounce;
import terndyke.api.Action.SendShot;
import terndyke.api.Action.Terminate;
import terndyke.api.Ending;
import terndyke.api.Event;

/** How the dispatcher treats records of the previous run after a restart, and what it sends before a shutdown. */
class RestartTest {

    /** A record of the grade whose only shot went to endpoint 12 in zone 1 the time age ago. */
    private static Event restoredRecord(long id, int grade, long age, Ending ending, boolean ended) {
        return new Event.RecordRestored((Event.RecordAccepted) recordAccepted(id, grade),
                List.of(new Event.EarlierShot(12, 1, age, ending)), ended);
    }

    private static List<Long> shotEndpoints(Event restored) {
        return actionsOfType(SendShot.class,
                dispatcher(settings(true, true, 100), 0).handleEvents(START_MICROS, List.of(restored))).stream()
                .map(SendShot::endpoint).toList();
    }

    @Test
    void anIdempotentRecordIsShotAgainAtOnce() {
        assertEquals(1, shotEndpoints(restoredRecord(1, DispatcherFixture.IDEMPOTENT, 900_000, null, false)).size());
    }

    @Test
    void aDeduplicatedRecordStaysInItsZone() {
        assertEquals(List.of(12L), shotEndpoints(restoredRecord(1, DispatcherFixture.DEDUPLICATED, 900_000, null, false)));
    }

    /**
     * The deduplication window of the grade is 4 s, and the earlier shot was sent 0.9 s ago. A node may be held up for 0.15 s
     * between its last look at the clock and the write.
     */
    @Test
    void aRepeatedShotHasToLeaveWithinTheWindowHoweverLateTheTurnIs() {
        SendShot repeated = actionsOfType(SendShot.class, dispatcher(settings(true, true, 100), 0).handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.DEDUPLICATED, 900_000, null, false)))).get(0);
        assertTrue(repeated.startBy() <= START_MICROS + 2_950_000 && repeated.startBy() > START_MICROS + 2_850_000,
                "start deadline " + (repeated.startBy() - START_MICROS));
        SendShot idempotent = actionsOfType(SendShot.class, dispatcher(settings(true, true, 100), 0).handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.IDEMPOTENT, 900_000, null, false)))).get(0);
        assertEquals(Long.MAX_VALUE, idempotent.startBy());
    }

    @Test
    void aDeduplicatedRecordPastItsWindowIsTerminated() {
        Dispatcher dispatcher = dispatcher(settings(true, true, 100), 0);
        List<Action> actions = dispatcher.handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.DEDUPLICATED, 4_000_000, null, false)));
        actions.addAll(expireTimersUntil(dispatcher, START_MICROS + 10_000, START_MICROS + 100_000));
        assertEquals(0, actionsOfType(SendShot.class, actions).size());
        assertEquals(List.of(new Terminate(1)), actionsOfType(Terminate.class, actions));
    }

    @Test
    void anUnrepeatableRecordThatMayHaveRunIsTerminatedAndNeverBounced() {
        Dispatcher dispatcher = dispatcher(settings(true, true, 100), 0);
        List<Action> actions = dispatcher.handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.UNREPEATABLE, 900_000, null, false)));
        actions.addAll(expireTimersUntil(dispatcher, START_MICROS + 10_000, START_MICROS + 100_000));
        assertEquals(List.of(new Terminate(1)), actionsOfType(Terminate.class, actions));
        assertEquals(0, actionsOfType(SendShot.class, actions).size() + actionsOfType(Bounce.class, actions).size());
    }

    @Test
    void aRecordThatWasDoneTooLateIsTerminatedAndNeverRepeated() {
        List<Action> actions = dispatcher(settings(true, true, 100), 0).handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.IDEMPOTENT, 900_000, Ending.DONE, false)));
        assertEquals(List.of(new Terminate(1)), actionsOfType(Terminate.class, actions));
        assertEquals(0, actionsOfType(SendShot.class, actions).size());
    }

    @Test
    void anUnrepeatableRecordThatWasRefusedIsShotAgain() {
        assertEquals(1, shotEndpoints(restoredRecord(1, DispatcherFixture.UNREPEATABLE, 900_000, Ending.FULL, false)).size());
    }

    @Test
    void recordsOfAKeyStayInOrderAcrossARestart() {
        Dispatcher dispatcher = dispatcher(settings(true, true, 100), 0);
        List<Action> actions = dispatcher.handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.IN_ORDER, 900_000, null, false),
                recordAccepted(2, DispatcherFixture.IN_ORDER)));
        assertEquals(List.of(1L), actionsOfType(SendShot.class, actions).stream().map(SendShot::id).toList());
        long endpoint = actionsOfType(SendShot.class, actions).get(0).endpoint();
        actions = dispatcher.handleEvents(START_MICROS + 200_000, List.of(shotEnded(1, 1, endpoint, Ending.DONE, 0)));
        assertEquals(List.of(2L), actionsOfType(SendShot.class, actions).stream().map(SendShot::id).toList());
    }

    @Test
    void aKeyStaysQuietAfterAnUnresolvedShotOfAnEndedRecord() {
        Dispatcher dispatcher = dispatcher(settings(true, true, 100), 0);
        List<Action> actions = dispatcher.handleEvents(START_MICROS,
                List.of(restoredRecord(1, DispatcherFixture.IN_ORDER, 900_000, null, true),
                new Event.FinalAnswerDelivered(1), recordAccepted(2, DispatcherFixture.IN_ORDER)));
        assertEquals(0, actionsOfType(SendShot.class, actions).size());
        actions = expireTimersUntil(dispatcher, START_MICROS + 10_000, START_MICROS + 200_000);
        assertEquals(List.of(2L), actionsOfType(SendShot.class, actions).stream().map(SendShot::id).toList());
    }

    @Test
    void aKeyWaitsUntilTheFinalAnswerIsDelivered() {
        Dispatcher dispatcher = dispatcher(settings(true, true, 100), 0);
        dispatcher.handleEvents(START_MICROS, List.of(restoredRecord(1, DispatcherFixture.IN_ORDER, 900_000, Ending.ERROR, true),
                recordAccepted(2, DispatcherFixture.IN_ORDER)));
        assertEquals(0, actionsOfType(SendShot.class,
                expireTimersUntil(dispatcher, START_MICROS + 10_000, START_MICROS + 500_000)).size());
        List<Action> actions = dispatcher.handleEvents(START_MICROS + 510_000, List.of(new Event.FinalAnswerDelivered(1)));
        assertEquals(List.of(2L), actionsOfType(SendShot.class, actions).stream().map(SendShot::id).toList());
    }

    @Test
    void aRestoredRecordPastItsAbandonTimeIsAnsweredAtOnceAndNotShot() {
        Dispatcher dispatcher = dispatcher(settings(true, true, 100), 0);
        Event.RecordAccepted late = new Event.RecordAccepted(1, DispatcherFixture.IDEMPOTENT, 0, 0, -50_000, 0, 1, false,
                false, false);
        List<Action> actions = dispatcher.handleEvents(START_MICROS + 20_000,
                List.of(new Event.RecordRestored(late, List.of(), false)));
        assertTrue(actions.stream().anyMatch(action -> action instanceof Bounce || action instanceof Terminate));
        assertEquals(0, actionsOfType(SendShot.class, actions).size());
    }

    @Test
    void aNodeShuttingDownStartsOnlyShotsThatCanEndWithinItsGracePeriod() {
        Dispatcher soon = dispatcher(settings(true, true, 100), 0);
        assertEquals(0, actionsOfType(SendShot.class, soon.handleEvents(START_MICROS, List.of(new Event.NodeShuttingDown(100_000),
                recordAccepted(1, DispatcherFixture.IDEMPOTENT)))).size());
        Dispatcher later = dispatcher(settings(true, true, 100), 0);
        assertEquals(1, actionsOfType(SendShot.class,
                later.handleEvents(START_MICROS, List.of(new Event.NodeShuttingDown(2_500_000),
                recordAccepted(1, DispatcherFixture.IDEMPOTENT)))).size());
    }
}
