package terndyke.decision;

import terndyke.api.*;
import terndyke.decision.Held.*;
import terndyke.decision.RoutePicker.Fit;

/** One endpoint of an addressee, with its outcomes. */
final class Route {

    static final long OVERDUE_LEAST = 400_000;
    private static final Fit UNKNOWN = new Fit(200_000, OVERDUE_LEAST, 1);

    final long endpoint;
    final int zone;
    final Addressee addressee;
    final Destination destination;
    ListedEndpoint.Standing standing = ListedEndpoint.Standing.READY;
    Call joinable; // the call of the present turn, which further records may join
    /** Rests after failures, so that one bad endpoint of several costs few shots; hurts if all fail. */
    long restUntil;
    int calls;
    final Outcomes outcomes = new Outcomes(), hall;
    private int failuresInRow;

    Route(long endpoint, int zone, Addressee addressee, Destination destination, Outcomes hall) {
        this.endpoint = endpoint;
        this.zone = zone;
        this.addressee = addressee;
        this.destination = destination;
        this.hall = hall;
    }

    boolean ready() {
        return standing == ListedEndpoint.Standing.READY;
    }

    void learn(long now, Ending ending, long spent) {
        outcomes.add(now, ending, spent);
        hall.add(now, ending, spent);
        failuresInRow = ending == Ending.DONE || ending == Ending.FULL ? 0 : Math.min(3, failuresInRow + 1);
        restUntil = failuresInRow == 0 ? 0 : now + (destination.firstRest() << failuresInRow - 1);
    }

    /** How long a call may run before it is overdue, by the latency of answers; few count for less. */
    long overdueAfter(long now) {
        Fit fit = fit(now);
        Outcomes known = outcomes.answers > 0 ? outcomes : hall;
        double spread = Math.max(known.usual - fit.t(), fit.t() / Math.max(1, known.answers));
        return (long) Math.max(OVERDUE_LEAST, fit.t() + 9 * spread);
    }

    /** The route's fit or, until it has outcomes of its own, that of all routes in its hall. Guards
     * against quiet nodes that know next to no route; may hurt where a hall's destinations differ much. */
    Fit fit(long now) {
        Fit own = outcomes.fit(now);
        return own != null ? own : hall.fit(now) != null ? hall.fit(now) : UNKNOWN;
    }
}
