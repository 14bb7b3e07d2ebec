package terndyke.decision;

import java.util.*;

import terndyke.api.Ending;

/** The last fifty outcomes of one route, or of one hall's, each dropped after a minute. */
final class OutcomeHistory {
    static final long RETENTION_MICROS = 60_000_000, MAX_OUTCOMES = 50;

    private final Deque<Outcome> outcomes = new ArrayDeque<>(0);
    private RoutePicker.Fit cachedFit;
    int doneCount; // outcomes that are done, and their mean latency
    double meanDoneLatency;

    private record Outcome(long endedAt, long latency, boolean done) { } // took: -1 where it says nothing of latency

    /** The time between calls whose wait counts: tries that were turned away are no use of a connection. */
    long meanCallInterval(long now) {
        long served = outcomes.stream().filter(outcome -> outcome.latency >= 0).count();
        return served < 2 ? RETENTION_MICROS : (now - outcomes.getFirst().endedAt) / (served - 1);
    }

    /** Refusals and errors count against r alone: their haste says nothing of latency. */
    void addOutcome(long now, Ending ending, long spent) {
        boolean waited = ending == Ending.DONE || ending == Ending.TIMED_OUT || ending == Ending.RECALLED;
        outcomes.addLast(new Outcome(now, waited ? spent : -1, ending == Ending.DONE));
        cachedFit = null;
    }

    /** The shifted exponential of the kept outcomes, or null where none answered or was waited for. */
    RoutePicker.Fit fit(long now) {
        while (!outcomes.isEmpty() && (outcomes.size() > MAX_OUTCOMES || outcomes.getFirst().endedAt < now - RETENTION_MICROS)) {
            outcomes.removeFirst();
            cachedFit = null;
        }
        if (cachedFit == null && !outcomes.isEmpty()) {
            LongSummaryStatistics timed = new LongSummaryStatistics(), done = new LongSummaryStatistics();
            outcomes.stream().filter(outcome -> outcome.latency >= 0).forEach(outcome -> timed.accept(outcome.latency));
            outcomes.stream().filter(Outcome::done).forEach(outcome -> done.accept(outcome.latency));
            doneCount = (int) done.getCount();
            meanDoneLatency = done.getAverage();
            cachedFit = timed.getCount() == 0 ? null
                    : new RoutePicker.Fit(timed.getMin(), timed.getAverage(), (double) doneCount / outcomes.size());
        }
        return cachedFit;
    }
}
