package terndyke.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.decision.Given.START;
import static terndyke.decision.Given.dispatcher;
import static terndyke.decision.Given.ended;
import static terndyke.decision.Given.only;
import static terndyke.decision.Given.taken;
import static terndyke.decision.Given.terms;
import static terndyke.decision.Given.wakeUntil;

import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.api.Action;
import terndyke.api.Action.Bounce;
import terndyke.api.Action.Shoot;
import terndyke.api.Action.Terminate;
import terndyke.api.Ending;
import terndyke.api.Event;

/** What the module does with what the last life owed, and when this life is about to end. */
class RestartTest {

    /** A record of the grade whose one shot went to endpoint 12 in zone 1 so long ago. */
    private static Event owed(long id, int grade, long age, Ending ending, boolean over) {
        return new Event.RecordOwed((Event.RecordTaken) taken(id, grade),
                List.of(new Event.EarlierShot(12, 1, age, ending)), over);
    }

    private static List<Long> endpointsShot(Event owed) {
        return only(Shoot.class, dispatcher(terms(true, true, 100), 0).turn(START, List.of(owed))).stream()
                .map(Shoot::endpoint).toList();
    }

    @Test
    void anIdempotentRecordIsShotAgainAtOnce() {
        assertEquals(1, endpointsShot(owed(1, Given.IDEMPOTENT, 900_000, null, false)).size());
    }

    @Test
    void aDeduplicatedRecordStaysInItsGroup() {
        assertEquals(List.of(12L), endpointsShot(owed(1, Given.DEDUPLICATED, 900_000, null, false)));
    }

    /** The window of the grade is 4 s, and the earlier shot went 0.9 s ago. */
    @Test
    void aRepeatHasToLeaveInsideTheWindowHoweverLateTheTurnIs() {
        Shoot again = only(Shoot.class, dispatcher(terms(true, true, 100), 0).turn(START,
                List.of(owed(1, Given.DEDUPLICATED, 900_000, null, false)))).get(0);
        assertTrue(again.startBy() < START + 3_100_000 && again.startBy() > START + 3_000_000);
        Shoot free = only(Shoot.class, dispatcher(terms(true, true, 100), 0).turn(START,
                List.of(owed(1, Given.IDEMPOTENT, 900_000, null, false)))).get(0);
        assertEquals(Long.MAX_VALUE, free.startBy());
    }

    @Test
    void aDeduplicatedRecordPastItsWindowIsTerminated() {
        Dispatcher dispatcher = dispatcher(terms(true, true, 100), 0);
        List<Action> actions = dispatcher.turn(START, List.of(owed(1, Given.DEDUPLICATED, 4_000_000, null, false)));
        actions.addAll(wakeUntil(dispatcher, START + 10_000, START + 100_000));
        assertEquals(0, only(Shoot.class, actions).size());
        assertEquals(List.of(new Terminate(1)), only(Terminate.class, actions));
    }

    @Test
    void anUnrepeatableRecordThatMayHaveRunIsTerminatedAndNeverBounced() {
        Dispatcher dispatcher = dispatcher(terms(true, true, 100), 0);
        List<Action> actions = dispatcher.turn(START, List.of(owed(1, Given.UNREPEATABLE, 900_000, null, false)));
        actions.addAll(wakeUntil(dispatcher, START + 10_000, START + 100_000));
        assertEquals(List.of(new Terminate(1)), only(Terminate.class, actions));
        assertEquals(0, only(Shoot.class, actions).size() + only(Bounce.class, actions).size());
    }

    @Test
    void anUnrepeatableRecordThatWasTurnedAwayIsShotAgain() {
        assertEquals(1, endpointsShot(owed(1, Given.UNREPEATABLE, 900_000, Ending.FULL, false)).size());
    }

    @Test
    void aKeysOrderOutlivesTheRestart() {
        Dispatcher dispatcher = dispatcher(terms(true, true, 100), 0);
        List<Action> actions = dispatcher.turn(START, List.of(owed(1, Given.IN_ORDER, 900_000, null, false),
                taken(2, Given.IN_ORDER)));
        assertEquals(List.of(1L), only(Shoot.class, actions).stream().map(Shoot::id).toList());
        long endpoint = only(Shoot.class, actions).get(0).endpoint();
        actions = dispatcher.turn(START + 200_000, List.of(ended(1, 1, endpoint, Ending.DONE, 0)));
        assertEquals(List.of(2L), only(Shoot.class, actions).stream().map(Shoot::id).toList());
    }

    @Test
    void aKeyRestsAfterAStrayShotOfARecordThatIsOver() {
        Dispatcher dispatcher = dispatcher(terms(true, true, 100), 0);
        List<Action> actions = dispatcher.turn(START, List.of(owed(1, Given.IN_ORDER, 900_000, null, true),
                new Event.EndTold(1), taken(2, Given.IN_ORDER)));
        assertEquals(0, only(Shoot.class, actions).size());
        actions = wakeUntil(dispatcher, START + 10_000, START + 200_000);
        assertEquals(List.of(2L), only(Shoot.class, actions).stream().map(Shoot::id).toList());
    }

    @Test
    void aKeyWaitsUntilAnEndIsTold() {
        Dispatcher dispatcher = dispatcher(terms(true, true, 100), 0);
        dispatcher.turn(START, List.of(owed(1, Given.IN_ORDER, 900_000, Ending.ERROR, true),
                taken(2, Given.IN_ORDER)));
        assertEquals(0, only(Shoot.class, wakeUntil(dispatcher, START + 10_000, START + 500_000)).size());
        List<Action> actions = dispatcher.turn(START + 510_000, List.of(new Event.EndTold(1)));
        assertEquals(List.of(2L), only(Shoot.class, actions).stream().map(Shoot::id).toList());
    }

    @Test
    void aTimePastIsAnsweredAtOnce() {
        Dispatcher dispatcher = dispatcher(terms(true, true, 100), 0);
        Event.RecordTaken late = new Event.RecordTaken(1, Given.IDEMPOTENT, 0, 0, -50_000, 0, 1, false, false, false);
        List<Action> actions = dispatcher.turn(START + 20_000, List.of(new Event.RecordOwed(late, List.of(), false)));
        assertTrue(actions.stream().anyMatch(action -> action instanceof Bounce || action instanceof Terminate));
        assertEquals(0, only(Shoot.class, actions).size());
    }

    @Test
    void aNodeThatLeavesStartsOnlyWhatCanEndInTime() {
        Dispatcher soon = dispatcher(terms(true, true, 100), 0);
        assertEquals(0, only(Shoot.class, soon.turn(START, List.of(new Event.NodeLeaving(100_000),
                taken(1, Given.IDEMPOTENT)))).size());
        Dispatcher later = dispatcher(terms(true, true, 100), 0);
        assertEquals(1, only(Shoot.class, later.turn(START, List.of(new Event.NodeLeaving(2_500_000),
                taken(1, Given.IDEMPOTENT)))).size());
    }
}
