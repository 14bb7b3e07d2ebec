package terndyke.decision;

import java.util.*;

import terndyke.api.Ending;
import terndyke.decision.RoutePicker.Fit;

/** The last fifty outcomes of one route, or of one hall's, each dropped after a minute. */
final class Outcomes {
    static final long KEPT_FOR = 60_000_000;
    private static final int KEPT = 50;

    private final Deque<Outcome> kept = new ArrayDeque<>(0);
    private Fit fit;
    int answers; // outcomes that are done, and their mean latency
    double usual;

    private record Outcome(long at, long took, boolean done) { } // took: -1 where it says nothing of latency

    long gap(long now) {
        return kept.size() < 2 ? KEPT_FOR : (now - kept.getFirst().at) / (kept.size() - 1);
    }

    /** Refusals and errors count against r alone: their haste says nothing of latency. */
    void add(long now, Ending ending, long spent) {
        boolean waited = ending == Ending.DONE || ending == Ending.TIMED_OUT || ending == Ending.RECALLED;
        kept.addLast(new Outcome(now, waited ? spent : -1, ending == Ending.DONE));
        fit = null;
    }

    /** The shifted exponential of the kept outcomes, or null where none answered or was waited for. */
    Fit fit(long now) {
        while (!kept.isEmpty() && (kept.size() > KEPT || kept.getFirst().at < now - KEPT_FOR)) {
            kept.removeFirst();
            fit = null;
        }
        if (fit == null && !kept.isEmpty()) {
            double least = Double.MAX_VALUE, sum = 0;
            int timed = 0;
            answers = 0;
            usual = 0;
            for (Outcome outcome : kept) {
                answers += outcome.done ? 1 : 0;
                usual += outcome.done ? outcome.took : 0;
                timed += outcome.took >= 0 ? 1 : 0;
                sum += Math.max(0, outcome.took);
                least = outcome.took >= 0 ? Math.min(least, outcome.took) : least;
            }
            usual /= Math.max(1, answers);
            fit = timed == 0 ? null : new Fit(least, sum / timed, (double) answers / kept.size());
        }
        return fit;
    }
}
