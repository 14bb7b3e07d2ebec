package terndyke.lab.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.lab.plan.Experiment.Effect;
import terndyke.lab.referee.Sight.What;

class RefereeTest {
    private static final int STATUS = 0;
    private static final int ORDER = 1;
    private static final int PAYMENT = 2;
    private static final long S = 1_000_000;

    private final List<Sight> day = new ArrayList<>();
    private boolean copies = true;
    private boolean apart;

    private List<Integer> judge() {
        Rules rules = new Rules(List.of(new Rules.Grade(Effect.IDEMPOTENT, false, 5 * S, false),
                new Rules.Grade(Effect.DEDUPLICATED, false, 5 * S, true),
                new Rules.Grade(Effect.UNREPEATABLE, false, 5 * S, false)), copies, 2 * S, 2 * S, 100_000,
                List.of(apart, false), 50_000, 300_000, 1_500_000, 100_000, 6 * S);
        day.sort(Comparator.comparingLong(Sight::at));
        List<Breach> breaches = new Referee(rules, 60 * S).judge(day);
        breaches.forEach(breach -> assertTrue(!breach.timeline().isEmpty()));
        return breaches.stream().map(Breach::rule).distinct().toList();
    }

    private void handIn(long at, String id, int grade, int answer) {
        Handed handed = new Handed(id, id.hashCode(), 0, grade, 0, grade == ORDER ? "k" : null, 0, "m-" + id, at, at, 4 * S, 0,
                false);
        day.add(Sight.client(at, What.HANDED_IN, handed, 0, null));
        if (answer != 0) {
            day.add(Sight.client(at + 1_000, What.ANSWERED, handed, answer, null));
        }
    }

    /** A call that comes, and what becomes of it: a status, or 0 for nothing at all. */
    private void call(long at, String id, long number, int hall, int status, long toldWait) {
        day.add(new Sight(at, What.CALL, 0, id, number, "s-" + hall, 0, hall, 0, 0, at - 500, null, null));
        if (status == 200 || status == 500) {
            day.add(new Sight(at + 5_000, What.RAN, 0, id, 0, "s-" + hall, 0, hall, 0, 0, 0, null, null));
        }
        if (status != 0) {
            day.add(new Sight(at + 10_000, What.CALL_ANSWERED, 0, id, number, "s-" + hall, 0, hall, status, toldWait, 0, null,
                    null));
        }
    }

    private void callEnds(long at, String id, long number) {
        day.add(new Sight(at, What.CALL_ENDED, 0, id, number, "s-0", 0, 0, 0, 0, 0, null, null));
    }

    private void notice(long at, String id, String result) {
        day.add(new Sight(at, What.NOTICE, 0, id, 0, null, 0, 0, 0, 0, 0, result, null));
    }

    private void node(long at, What what) {
        day.add(Sight.process(at, what, 0, null));
    }

    @Test
    void anOrdinaryDayBreaksNothing() {
        handIn(S, "a", STATUS, 202);
        call(S + 5_000, "a", 1, 0, 200, 0);
        handIn(S, "b", PAYMENT, 202);
        call(S + 5_000, "b", 2, 0, 503, 0);
        call(S + 90_000, "b", 3, 1, 500, 0);
        notice(S + 200_000, "b", "dead");
        handIn(S, "c", STATUS, 503);
        assertEquals(List.of(), judge());
    }

    @Test
    void aRecordWithoutAnEndIsLost() {
        handIn(S, "a", STATUS, 202);
        assertEquals(List.of(1), judge());
    }

    @Test
    void anEndThatComesTooLateIsNone() {
        handIn(S, "a", STATUS, 202);
        notice(S + 4 * S + 340_000, "a", "dead");
        assertEquals(List.of(), judge());
        notice(S + 4 * S + 340_000, "b", "dead");
        assertEquals(List.of(1), judge(), "nobody handed it in");
        day.clear();
        handIn(S, "a", STATUS, 202);
        notice(S + 4 * S + 360_000, "a", "dead");
        assertEquals(List.of(1), judge());
    }

    @Test
    void nothingIsOverdueWhileTheNodeIsAwayAndAMomentAfter() {
        handIn(S, "a", STATUS, 202);
        node(4 * S, What.NODE_KILLED);
        node(7 * S, What.NODE_READY);
        notice(8 * S, "a", "dead");
        assertEquals(List.of(), judge());
        day.removeIf(sight -> sight.what() == What.NOTICE);
        notice(9 * S, "a", "dead");
        assertEquals(List.of(1), judge());
    }

    @Test
    void twoEndsOrAShotAfterTheEndAreSeen() {
        handIn(S, "a", STATUS, 202);
        notice(2 * S, "a", "dead");
        notice(3 * S, "a", "bounced");
        assertEquals(List.of(1), judge());
        day.clear();
        handIn(S, "a", STATUS, 503);
        call(S + 100_000, "a", 1, 0, 200, 0);
        assertEquals(List.of(1), judge());
    }

    @Test
    void whatMayHaveRunIsNotSentAgainUnlessItsEffectAllows() {
        for (int first : new int[] {500, 0}) {
            for (int grade : new int[] {STATUS, ORDER, PAYMENT}) {
                day.clear();
                handIn(S, "a", grade, 202);
                call(S + 5_000, "a", 1, 0, first, 0);
                callEnds(S + 500_000, "a", 1);
                call(2 * S, "a", 2, 0, 200, 0);
                assertEquals(grade == PAYMENT ? List.of(2) : List.of(), judge());
            }
        }
    }

    @Test
    void aDeduplicatedRecordStaysInItsHallAndWindow() {
        handIn(S, "a", ORDER, 202);
        call(S + 5_000, "a", 1, 0, 500, 0);
        call(2 * S, "a", 2, 1, 200, 0);
        assertEquals(List.of(2), judge());
        day.clear();
        handIn(S, "a", ORDER, 202);
        call(S + 5_000, "a", 1, 0, 500, 0);
        call(7 * S, "a", 2, 0, 200, 0);
        assertTrue(judge().contains(2));
    }

    @Test
    void whatMayHaveRunIsNotBounced() {
        handIn(S, "a", PAYMENT, 202);
        call(S + 5_000, "a", 1, 0, 500, 0);
        notice(2 * S, "a", "bounced");
        assertEquals(List.of(2), judge());
    }

    @Test
    void copiesAreSeenWhereTheyAreNotAllowed() {
        handIn(S, "a", STATUS, 202);
        call(S + 5_000, "a", 1, 0, 0, 0);
        call(S + 80_000, "a", 2, 1, 200, 0);
        assertEquals(List.of(), judge());
        copies = false;
        assertEquals(List.of(2), judge());
    }

    @Test
    void aDrainHasTwoSeconds() {
        day.add(Sight.listed(S, What.TOLD, 0, "s-0", 2));
        handIn(2 * S, "a", STATUS, 202);
        call(3 * S, "a", 1, 0, 200, 0);
        assertEquals(List.of(), judge());
        handIn(3 * S, "b", STATUS, 202);
        call(3 * S + 60_000, "b", 2, 0, 200, 0);
        assertEquals(List.of(3), judge());
    }

    @Test
    void whatTheAgentHasCountsAsToldSixSecondsLater() {
        day.add(Sight.listed(S, What.AGENT_HAS, 0, "s-0", 2));
        handIn(8 * S, "a", STATUS, 202);
        call(8 * S + 900_000, "a", 1, 0, 200, 0);
        assertEquals(List.of(), judge());
        handIn(9 * S, "b", STATUS, 202);
        call(9 * S + 200_000, "b", 2, 0, 200, 0);
        assertEquals(List.of(3), judge());
    }

    @Test
    void pushingOverCountsForThoseWhoKnewOfTheOutage() {
        for (boolean knew : new boolean[] {true, false}) {
            day.clear();
            day.add(new Sight(S, What.OUTAGE, 0, null, 0, "s-0", 0, 0, 0, 0, 0, null, null));
            if (knew) {
                handIn(S, "first", STATUS, 202);
                call(S + 500_000, "first", 1, 0, 0, 0);
                notice(S + 600_000, "first", "dead");
            }
            day.add(new Sight(4 * S, What.BACK, 0, null, 0, "s-0", 0, 0, 0, 0, 0, null, null));
            for (int i = 0; i < 100; i++) {
                handIn(4 * S + i * 10_000, "r" + i, STATUS, 202);
                call(4 * S + i * 10_000 + 2_000, "r" + i, 10 + i, 0, 200, 0);
            }
            day.add(new Sight(5 * S, What.FELL, 0, null, 0, "s-0", 0, 0, 0, 0, 0, null, null));
            assertEquals(knew ? List.of(4) : List.of(), judge());
        }
    }

    @Test
    void recordsOfAKeyGoOneAfterAnother() {
        handIn(S, "a", ORDER, 202);
        handIn(S + 2_000, "b", ORDER, 202);
        call(S + 5_000, "a", 1, 0, 200, 0);
        call(S + 40_000, "b", 2, 0, 200, 0);
        assertEquals(List.of(), judge());
        day.clear();
        handIn(S, "a", ORDER, 202);
        handIn(S + 2_000, "b", ORDER, 202);
        call(S + 5_000, "a", 1, 0, 0, 0);
        call(S + 40_000, "b", 2, 0, 200, 0);
        notice(2 * S, "a", "dead");
        assertEquals(List.of(5), judge());
    }

    @Test
    void aKeyRestsAfterAShotWithoutAnAnswer() {
        for (long rest : new long[] {20_000, 110_000}) {
            day.clear();
            handIn(S, "a", ORDER, 202);
            handIn(S + 2_000, "b", ORDER, 202);
            call(S + 5_000, "a", 1, 0, 0, 0);
            callEnds(2 * S, "a", 1);
            notice(2 * S + 1_000, "a", "dead");
            call(2 * S + rest, "b", 2, 0, 200, 0);
            assertEquals(rest < 50_000 ? List.of(5) : List.of(), judge());
        }
    }

    @Test
    void aToldWaitBindsTheDestinationOrTheRouteWhereRoutesAreApart() {
        handIn(S, "a", STATUS, 202);
        call(S + 5_000, "a", 1, 0, 429, S);
        call(S + 100_000, "a", 2, 0, 503, 0);
        call(S + 500_000, "a", 3, 1, 200, 0);
        assertEquals(List.of(6), judge());
        apart = true;
        assertEquals(List.of(), judge());
        apart = false;
        node(S + 400_000, What.NODE_READY);
        assertEquals(List.of(), judge(), "a restart ends the wait");
    }

    @Test
    void aWaitToldAnewDoesNotExcuseFromTheOneBefore() {
        for (long third : new long[] {150_000, 240_000}) { // the first wait was told at 15 ms, the second at 110 ms
            day.clear();
            handIn(S, "a", STATUS, 202);
            call(S + 5_000, "a", 1, 0, 429, S);
            call(S + 100_000, "a", 2, 0, 429, S);
            call(S + third, "a", 3, 0, 200, 0);
            assertEquals(third < 165_000 ? List.of() : List.of(6), judge());
        }
    }

    @Test
    void aForeignRecordUnderAnIdDeliversNothingOfItsClients() {
        for (int answer : new int[] {202, 503}) {
            day.clear();
            handIn(S, "a", PAYMENT, answer);
            day.add(Sight.client(S, What.FOREIGN, day.get(0).handed(), 0, null));
            day.add(new Sight(S + 5_000, What.CALL, 0, "a", 1, "s-0", 0, 0, 0, 0, S + 4_500, "99", null));
            day.add(new Sight(S + 9_000, What.CALL_ANSWERED, 0, "a", 1, "s-0", 0, 0, 200, 0, 0, null, null));
            assertEquals(answer == 202 ? List.of(1) : List.of(), judge());
        }
        day.removeIf(sight -> sight.what() == What.FOREIGN);
        assertEquals(List.of(1), judge(), "nobody handed in that content");
    }

    @Test
    void aCrashAndAnOwedAnswerAreBreachesOfTheFirstRule() {
        node(S, What.NODE_CRASHED);
        assertEquals(List.of(1), judge());
        day.clear();
        handIn(S, "a", STATUS, 0);
        Handed handed = day.get(0).handed();
        day.add(Sight.client(S + 100_000, What.BROKEN, handed, 0, "first request of its connection"));
        assertEquals(List.of(), judge());
        day.set(1, Sight.client(S + 100_000, What.BROKEN, handed, 0, "owed"));
        assertEquals(List.of(1), judge());
        node(S + 90_000, What.NODE_KILLED);
        assertEquals(List.of(), judge(), "a node that is killed owes no answer");
    }
}
