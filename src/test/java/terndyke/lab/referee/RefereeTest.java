package terndyke.lab.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.lab.plan.Experiment.RepeatSemantics;
import terndyke.lab.referee.ObservedEvent.EventType;

class RefereeTest {
    private static final int STATUS = 0;
    private static final int ORDER = 1;
    private static final int PAYMENT = 2;
    private static final long SECOND_MICROS = 1_000_000;

    private final List<ObservedEvent> events = new ArrayList<>();
    private boolean copiesAllowed = true;
    private boolean independentRoutes;

    private List<Integer> judge() {
        RuleParameters rules = new RuleParameters(List.of(
                new RuleParameters.Grade(RepeatSemantics.IDEMPOTENT, false, 5 * SECOND_MICROS, false),
                new RuleParameters.Grade(RepeatSemantics.DEDUPLICATED, false, 5 * SECOND_MICROS, true),
                new RuleParameters.Grade(RepeatSemantics.UNREPEATABLE, false, 5 * SECOND_MICROS, false)), copiesAllowed,
                2 * SECOND_MICROS, 2 * SECOND_MICROS, 100_000, List.of(independentRoutes, false), 50_000, 300_000, 1_500_000,
                100_000, 6 * SECOND_MICROS);
        events.sort(Comparator.comparingLong(ObservedEvent::at));
        List<Breach> breaches = new Referee(rules, 60 * SECOND_MICROS).judge(events);
        breaches.forEach(breach -> assertTrue(!breach.timeline().isEmpty()));
        return breaches.stream().map(Breach::rule).distinct().toList();
    }

    private void addHandedIn(long at, String id, int grade, int answer) {
        HandedInRecord handed = new HandedInRecord(id, id.hashCode(), 0, grade, 0, grade == ORDER ? "k" : null, 0, "m-" + id,
                at, at, 4 * SECOND_MICROS, 0, false);
        events.add(ObservedEvent.ofClient(at, EventType.HANDED_IN, handed, 0, null));
        if (answer != 0) {
            events.add(ObservedEvent.ofClient(at + 1_000, EventType.ANSWERED, handed, answer, null));
        }
    }

    /** Adds a call that arrives at a receiver, and its answer with the given status; 0 means no answer. */
    private void addCall(long at, String id, long number, int hall, int status, long toldWait) {
        events.add(new ObservedEvent(at, EventType.CALL, 0, id, number, "s-" + hall, 0, hall, 0, 0, at - 500, null, null));
        if (status == 200 || status == 500) {
            events.add(new ObservedEvent(at + 5_000, EventType.RAN, 0, id, 0, "s-" + hall, 0, hall, 0, 0, 0, null, null));
        }
        if (status != 0) {
            events.add(new ObservedEvent(at + 10_000, EventType.CALL_ANSWERED, 0, id, number, "s-" + hall, 0, hall, status,
                    toldWait, 0, null, null));
        }
    }

    private void addCallEnd(long at, String id, long number) {
        events.add(new ObservedEvent(at, EventType.CALL_ENDED, 0, id, number, "s-0", 0, 0, 0, 0, 0, null, null));
    }

    private void addNotice(long at, String id, String result) {
        events.add(new ObservedEvent(at, EventType.NOTICE, 0, id, 0, null, 0, 0, 0, 0, 0, result, null));
    }

    private void addNodeEvent(long at, EventType type) {
        events.add(ObservedEvent.ofNodeProcess(at, type, 0, null));
    }

    @Test
    void anOrdinaryRunHasNoBreaches() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 200, 0);
        addHandedIn(SECOND_MICROS, "b", PAYMENT, 202);
        addCall(SECOND_MICROS + 5_000, "b", 2, 0, 503, 0);
        addCall(SECOND_MICROS + 90_000, "b", 3, 1, 500, 0);
        addNotice(SECOND_MICROS + 200_000, "b", "dead");
        addHandedIn(SECOND_MICROS, "c", STATUS, 503);
        assertEquals(List.of(), judge());
    }

    @Test
    void anAcceptedRecordWithoutOutcomeIsABreach() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        assertEquals(List.of(1), judge());
    }

    @Test
    void aNoticeAfterTheDeadlineOrForAnUnknownRecordIsABreach() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addNotice(SECOND_MICROS + 4 * SECOND_MICROS + 340_000, "a", "dead");
        assertEquals(List.of(), judge());
        addNotice(SECOND_MICROS + 4 * SECOND_MICROS + 340_000, "b", "dead");
        assertEquals(List.of(1), judge(), "no client handed record b in");
        events.clear();
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addNotice(SECOND_MICROS + 4 * SECOND_MICROS + 360_000, "a", "dead");
        assertEquals(List.of(1), judge());
    }

    @Test
    void noRecordIsOverdueWhileItsNodeIsUnavailableAndInTheGracePeriodAfter() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addNodeEvent(4 * SECOND_MICROS, EventType.NODE_KILLED);
        addNodeEvent(7 * SECOND_MICROS, EventType.NODE_READY);
        addNotice(8 * SECOND_MICROS, "a", "dead");
        assertEquals(List.of(), judge());
        events.removeIf(event -> event.what() == EventType.NOTICE);
        addNotice(9 * SECOND_MICROS, "a", "dead");
        assertEquals(List.of(1), judge());
    }

    @Test
    void twoOutcomesOrAShotAfterARefusalAreBreaches() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addNotice(2 * SECOND_MICROS, "a", "dead");
        addNotice(3 * SECOND_MICROS, "a", "bounced");
        assertEquals(List.of(1), judge());
        events.clear();
        addHandedIn(SECOND_MICROS, "a", STATUS, 503);
        addCall(SECOND_MICROS + 100_000, "a", 1, 0, 200, 0);
        assertEquals(List.of(1), judge());
    }

    @Test
    void aRecordThatMayHaveExecutedIsResentOnlyIfItsRepeatSemanticsAllow() {
        for (int firstStatus : new int[] {500, 0}) {
            for (int grade : new int[] {STATUS, ORDER, PAYMENT}) {
                events.clear();
                addHandedIn(SECOND_MICROS, "a", grade, 202);
                addCall(SECOND_MICROS + 5_000, "a", 1, 0, firstStatus, 0);
                addCallEnd(SECOND_MICROS + 500_000, "a", 1);
                addCall(2 * SECOND_MICROS, "a", 2, 0, 200, 0);
                assertEquals(grade == PAYMENT ? List.of(2) : List.of(), judge());
            }
        }
    }

    @Test
    void aDeduplicatedRecordStaysInItsHallAndWindow() {
        addHandedIn(SECOND_MICROS, "a", ORDER, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 500, 0);
        addCall(2 * SECOND_MICROS, "a", 2, 1, 200, 0);
        assertEquals(List.of(2), judge());
        events.clear();
        addHandedIn(SECOND_MICROS, "a", ORDER, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 500, 0);
        addCall(7 * SECOND_MICROS, "a", 2, 0, 200, 0);
        assertTrue(judge().contains(2));
    }

    @Test
    void aRecordThatMayHaveExecutedIsNotBounced() {
        addHandedIn(SECOND_MICROS, "a", PAYMENT, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 500, 0);
        addNotice(2 * SECOND_MICROS, "a", "bounced");
        assertEquals(List.of(2), judge());
    }

    @Test
    void copiesAreABreachWhereTheyAreNotAllowed() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 0, 0);
        addCall(SECOND_MICROS + 80_000, "a", 2, 1, 200, 0);
        assertEquals(List.of(), judge());
        copiesAllowed = false;
        assertEquals(List.of(2), judge());
    }

    @Test
    void aShotToADrainingReceiverIsABreachAfterTwoSeconds() {
        events.add(ObservedEvent.ofListEntry(SECOND_MICROS, EventType.TOLD, 0, "s-0", 2));
        addHandedIn(2 * SECOND_MICROS, "a", STATUS, 202);
        addCall(3 * SECOND_MICROS, "a", 1, 0, 200, 0);
        assertEquals(List.of(), judge());
        addHandedIn(3 * SECOND_MICROS, "b", STATUS, 202);
        addCall(3 * SECOND_MICROS + 60_000, "b", 2, 0, 200, 0);
        assertEquals(List.of(3), judge());
    }

    @Test
    void aListChangeCountsAsKnownSixSecondsAfterTheAgentHasIt() {
        events.add(ObservedEvent.ofListEntry(SECOND_MICROS, EventType.AGENT_HAS, 0, "s-0", 2));
        addHandedIn(8 * SECOND_MICROS, "a", STATUS, 202);
        addCall(8 * SECOND_MICROS + 900_000, "a", 1, 0, 200, 0);
        assertEquals(List.of(), judge());
        addHandedIn(9 * SECOND_MICROS, "b", STATUS, 202);
        addCall(9 * SECOND_MICROS + 200_000, "b", 2, 0, 200, 0);
        assertEquals(List.of(3), judge());
    }

    @Test
    void overloadingARecoveredReceiverIsABreachOnlyForNodesThatKnewOfItsOutage() {
        for (boolean knew : new boolean[] {true, false}) {
            events.clear();
            events.add(new ObservedEvent(SECOND_MICROS, EventType.OUTAGE, 0, null, 0, "s-0", 0, 0, 0, 0, 0, null, null));
            if (knew) {
                addHandedIn(SECOND_MICROS, "first", STATUS, 202);
                addCall(SECOND_MICROS + 500_000, "first", 1, 0, 0, 0);
                addNotice(SECOND_MICROS + 600_000, "first", "dead");
            }
            events.add(new ObservedEvent(4 * SECOND_MICROS, EventType.BACK, 0, null, 0, "s-0", 0, 0, 0, 0, 0, null, null));
            for (int i = 0; i < 100; i++) {
                addHandedIn(4 * SECOND_MICROS + i * 10_000, "r" + i, STATUS, 202);
                addCall(4 * SECOND_MICROS + i * 10_000 + 2_000, "r" + i, 10 + i, 0, 200, 0);
            }
            events.add(new ObservedEvent(5 * SECOND_MICROS, EventType.FELL, 0, null, 0, "s-0", 0, 0, 0, 0, 0, null, null));
            assertEquals(knew ? List.of(4) : List.of(), judge());
        }
    }

    @Test
    void recordsOfAKeyAreSentOneAfterAnother() {
        addHandedIn(SECOND_MICROS, "a", ORDER, 202);
        addHandedIn(SECOND_MICROS + 2_000, "b", ORDER, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 200, 0);
        addCall(SECOND_MICROS + 40_000, "b", 2, 0, 200, 0);
        assertEquals(List.of(), judge());
        events.clear();
        addHandedIn(SECOND_MICROS, "a", ORDER, 202);
        addHandedIn(SECOND_MICROS + 2_000, "b", ORDER, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 0, 0);
        addCall(SECOND_MICROS + 40_000, "b", 2, 0, 200, 0);
        addNotice(2 * SECOND_MICROS, "a", "dead");
        assertEquals(List.of(5), judge());
    }

    @Test
    void aKeyStaysQuietAfterAShotWithoutResponse() {
        for (long rest : new long[] {20_000, 110_000}) {
            events.clear();
            addHandedIn(SECOND_MICROS, "a", ORDER, 202);
            addHandedIn(SECOND_MICROS + 2_000, "b", ORDER, 202);
            addCall(SECOND_MICROS + 5_000, "a", 1, 0, 0, 0);
            addCallEnd(2 * SECOND_MICROS, "a", 1);
            addNotice(2 * SECOND_MICROS + 1_000, "a", "dead");
            addCall(2 * SECOND_MICROS + rest, "b", 2, 0, 200, 0);
            assertEquals(rest < 50_000 ? List.of(5) : List.of(), judge());
        }
    }

    @Test
    void aRetryAfterAppliesToTheDestinationOrToTheRouteWhereRoutesAreIndependent() {
        addHandedIn(SECOND_MICROS, "a", STATUS, 202);
        addCall(SECOND_MICROS + 5_000, "a", 1, 0, 429, SECOND_MICROS);
        addCall(SECOND_MICROS + 100_000, "a", 2, 0, 503, 0);
        addCall(SECOND_MICROS + 500_000, "a", 3, 1, 200, 0);
        assertEquals(List.of(6), judge());
        independentRoutes = true;
        assertEquals(List.of(), judge());
        independentRoutes = false;
        addNodeEvent(SECOND_MICROS + 400_000, EventType.NODE_READY);
        assertEquals(List.of(), judge(), "a restart ends the wait");
    }

    @Test
    void aSecondRetryAfterDoesNotCancelTheOneBefore() {
        for (long third : new long[] {150_000, 240_000}) { // the first wait was received at 15 ms, the second at 110 ms
            events.clear();
            addHandedIn(SECOND_MICROS, "a", STATUS, 202);
            addCall(SECOND_MICROS + 5_000, "a", 1, 0, 429, SECOND_MICROS);
            addCall(SECOND_MICROS + 100_000, "a", 2, 0, 429, SECOND_MICROS);
            addCall(SECOND_MICROS + third, "a", 3, 0, 200, 0);
            assertEquals(third < 165_000 ? List.of() : List.of(6), judge());
        }
    }

    @Test
    void aForeignRecordUnderTheSameIdDoesNotDeliverTheClientsRecord() {
        for (int answer : new int[] {202, 503}) {
            events.clear();
            addHandedIn(SECOND_MICROS, "a", PAYMENT, answer);
            events.add(ObservedEvent.ofClient(SECOND_MICROS, EventType.FOREIGN, events.get(0).handed(), 0, null));
            events.add(new ObservedEvent(SECOND_MICROS + 5_000, EventType.CALL, 0, "a", 1, "s-0", 0, 0, 0, 0,
                    SECOND_MICROS + 4_500, "99", null));
            events.add(new ObservedEvent(SECOND_MICROS + 9_000, EventType.CALL_ANSWERED, 0, "a", 1, "s-0", 0, 0, 200, 0, 0, null,
                    null));
            assertEquals(answer == 202 ? List.of(1) : List.of(), judge());
        }
        events.removeIf(event -> event.what() == EventType.FOREIGN);
        assertEquals(List.of(1), judge(), "no client handed that content in");
    }

    @Test
    void aCrashAndAMissingResponseAreBreachesOfRuleOne() {
        addNodeEvent(SECOND_MICROS, EventType.NODE_CRASHED);
        assertEquals(List.of(1), judge());
        events.clear();
        addHandedIn(SECOND_MICROS, "a", STATUS, 0);
        HandedInRecord handed = events.get(0).handed();
        events.add(ObservedEvent.ofClient(SECOND_MICROS + 100_000, EventType.BROKEN, handed, 0,
                "first request of its connection"));
        assertEquals(List.of(), judge());
        events.set(1, ObservedEvent.ofClient(SECOND_MICROS + 100_000, EventType.BROKEN, handed, 0, "owed"));
        assertEquals(List.of(1), judge());
        addNodeEvent(SECOND_MICROS + 90_000, EventType.NODE_KILLED);
        assertEquals(List.of(), judge(), "a killed node does not have to answer");
    }
}
