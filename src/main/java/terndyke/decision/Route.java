package terndyke.decision;

import java.util.*;

import terndyke.api.Ending;
import terndyke.api.ListedEndpoint.Standing;
import terndyke.decision.Held.*;
import terndyke.decision.RoutePicker.Fit;

/** One endpoint of an addressee, with its last fifty outcomes, each dropped after a minute. */
final class Route {
    private static final int KEPT = 50;
    private static final long KEPT_FOR = 60_000_000;

    final long endpoint;
    final int zone;
    final Addressee addressee;
    final Destination destination;
    Standing standing = Standing.READY;
    int firsts; // first messages given to the route while it had no samples
    Call joinable; // the call of the present turn, which further records may join
    /** Rests after failures, so that one bad endpoint of several costs few shots; hurts if all fail. */
    long restUntil;
    private final Deque<Outcome> outcomes = new ArrayDeque<>(0);
    private int failuresInRow;
    private Fit fit;

    /** One outcome; took is -1 where its time says nothing of latency. */
    private record Outcome(long at, long took, boolean done) { }

    Route(long endpoint, int zone, Addressee addressee, Destination destination) {
        this.endpoint = endpoint;
        this.zone = zone;
        this.addressee = addressee;
        this.destination = destination;
    }

    /** Keeps an outcome. Refusals and errors count against r alone: their haste says nothing of latency. */
    void learn(long now, Ending ending, long spent) {
        boolean waited = ending == Ending.DONE || ending == Ending.TIMED_OUT || ending == Ending.RECALLED;
        outcomes.addLast(new Outcome(now, waited ? spent : -1, ending == Ending.DONE));
        if (outcomes.size() > KEPT) {
            outcomes.removeFirst();
        }
        fit = null;
        failuresInRow = ending == Ending.DONE || ending == Ending.FULL ? 0 : Math.min(5, failuresInRow + 1);
        restUntil = failuresInRow == 0 ? 0 : now + (Destination.FIRST_REST << failuresInRow - 1);
    }

    /** The shifted exponential of the kept outcomes, or null where none answered or was waited for. */
    Fit fit(long now) {
        while (!outcomes.isEmpty() && outcomes.getFirst().at < now - KEPT_FOR) {
            outcomes.removeFirst();
            fit = null;
        }
        if (fit == null && !outcomes.isEmpty()) {
            double least = Double.MAX_VALUE, sum = 0;
            int timed = 0, served = 0;
            for (Outcome outcome : outcomes) {
                served += outcome.done ? 1 : 0;
                timed += outcome.took >= 0 ? 1 : 0;
                sum += Math.max(0, outcome.took);
                least = outcome.took >= 0 ? Math.min(least, outcome.took) : least;
            }
            fit = timed == 0 ? null : new Fit(least, sum / timed, (double) served / outcomes.size());
        }
        return fit;
    }
}
