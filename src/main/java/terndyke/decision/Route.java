package terndyke.decision;

import terndyke.api.Ending;
import terndyke.api.ListedEndpoint.Standing;
import terndyke.decision.Held.Call;
import terndyke.decision.Held.Addressee;
import terndyke.decision.RoutePicker.Fit;

/** One endpoint of an addressee, with its last fifty outcomes, each dropped after a minute. */
final class Route {
    private static final int KEPT = 50;
    private static final long KEPT_FOR = 60_000_000;
    private static final long FIRST_REST = 125_000;

    final long endpoint;
    final int zone;
    final Addressee addressee;
    final Destination destination;
    Standing standing = Standing.READY;
    int firsts; // first messages given to the route while it had no samples
    Call joinable; // the call of the present turn, which further records may join
    /** Rests after failures, so that one bad endpoint of several costs few shots; hurts if all fail. */
    long restUntil;
    private final long[] at = new long[KEPT], took = new long[KEPT];
    private final boolean[] done = new boolean[KEPT];
    private int failuresInRow, size, next;
    private long oldest;
    private Fit fit;

    Route(long endpoint, int zone, Addressee addressee, Destination destination) {
        this.endpoint = endpoint;
        this.zone = zone;
        this.addressee = addressee;
        this.destination = destination;
    }

    /** Keeps an outcome. Refusals and errors count against r alone: their haste says nothing of latency. */
    void learn(long now, Ending ending, long spent) {
        boolean waited = ending == Ending.DONE || ending == Ending.TIMED_OUT || ending == Ending.RECALLED;
        at[next] = now;
        took[next] = waited ? spent : -1;
        done[next] = ending == Ending.DONE;
        next = (next + 1) % KEPT;
        size = Math.min(KEPT, size + 1);
        fit = null;
        failuresInRow = ending == Ending.DONE || ending == Ending.FULL ? 0 : Math.min(5, failuresInRow + 1);
        restUntil = failuresInRow == 0 ? 0 : now + (FIRST_REST << failuresInRow - 1);
    }

    /** The shifted exponential of the kept outcomes, or null where none answered or was waited for. */
    Fit fit(long now) {
        if (fit == null || oldest < now - KEPT_FOR) {
            double least = Double.MAX_VALUE;
            double sum = 0;
            int timed = 0, served = 0, kept = 0;
            oldest = now;
            for (int i = 0; i < size; i++) {
                if (at[i] >= now - KEPT_FOR) {
                    kept++;
                    served += done[i] ? 1 : 0;
                    oldest = Math.min(oldest, at[i]);
                    timed += took[i] >= 0 ? 1 : 0;
                    sum += Math.max(0, took[i]);
                    least = took[i] >= 0 ? Math.min(least, took[i]) : least;
                }
            }
            fit = timed == 0 ? null : new Fit(least, sum / timed, (double) served / kept);
        }
        return fit;
    }
}
