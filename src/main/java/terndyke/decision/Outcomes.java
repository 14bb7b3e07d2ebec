package terndyke.decision;

import java.util.*;

import terndyke.api.Ending;

/** The last fifty outcomes of one route, or of one hall's, each dropped after a minute. */
final class Outcomes {
    static final long KEPT_FOR = 60_000_000, KEPT = 50;

    private final Deque<Outcome> kept = new ArrayDeque<>(0);
    private RoutePicker.Fit fit;
    int answers; // outcomes that are done, and their mean latency
    double usual;

    private record Outcome(long at, long took, boolean done) { } // took: -1 where it says nothing of latency

    /** The time between calls whose wait counts: tries that were turned away are no use of a connection. */
    long gap(long now) {
        long served = kept.stream().filter(outcome -> outcome.took >= 0).count();
        return served < 2 ? KEPT_FOR : (now - kept.getFirst().at) / (served - 1);
    }

    /** Refusals and errors count against r alone: their haste says nothing of latency. */
    void add(long now, Ending ending, long spent) {
        boolean waited = ending == Ending.DONE || ending == Ending.TIMED_OUT || ending == Ending.RECALLED;
        kept.addLast(new Outcome(now, waited ? spent : -1, ending == Ending.DONE));
        fit = null;
    }

    /** The shifted exponential of the kept outcomes, or null where none answered or was waited for. */
    RoutePicker.Fit fit(long now) {
        while (!kept.isEmpty() && (kept.size() > KEPT || kept.getFirst().at < now - KEPT_FOR)) {
            kept.removeFirst();
            fit = null;
        }
        if (fit == null && !kept.isEmpty()) {
            LongSummaryStatistics timed = new LongSummaryStatistics(), done = new LongSummaryStatistics();
            kept.stream().filter(outcome -> outcome.took >= 0).forEach(outcome -> timed.accept(outcome.took));
            kept.stream().filter(Outcome::done).forEach(outcome -> done.accept(outcome.took));
            answers = (int) done.getCount();
            usual = done.getAverage();
            fit = timed.getCount() == 0 ? null
                    : new RoutePicker.Fit(timed.getMin(), timed.getAverage(), (double) answers / kept.size());
        }
        return fit;
    }
}
