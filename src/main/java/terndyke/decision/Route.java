package terndyke.decision;

import terndyke.api.*;
import terndyke.decision.Held.*;
import terndyke.decision.RoutePicker.Fit;

final class Route {

    static final long OVERDUE_LEAST = 400_000;
    private static final Fit UNKNOWN = new Fit(200_000, OVERDUE_LEAST, 1);

    final long endpoint;
    final int zone;
    final Addressee addressee;
    final Destination destination;
    double fee; // what each shot takes off the result here
    ListedEndpoint.Standing standing = ListedEndpoint.Standing.READY;
    Call joinable; // the call of the present turn, which further records may join
    /** Rests after failures, so that one bad endpoint of several costs few shots; hurts if all fail. */
    long restUntil;
    final Outcomes outcomes = new Outcomes(), hall;
    int calls, failuresInRow;
    /** Calls out here, and connections believed held; none is added for a while where it is crowded. */
    int out, open;
    private int crowdedInRow;
    long endedAt; // when a call here was last over
    private long crowdedUntil, goneAt = Long.MAX_VALUE;

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

    void stand(ListedEndpoint.Standing told, long now) {
        goneAt = told == ListedEndpoint.Standing.GONE ? Math.min(goneAt, now) : Long.MAX_VALUE;
        standing = told;
    }

    /** Gone for as long as outcomes last: guards against lists that always bring new ones. Waits are kept. */
    boolean forgotten(long now) {
        return goneAt < now - Outcomes.KEPT_FOR && now >= destination.waitUntil
                && (addressee.routes.remove(this) | destination.routes.remove(this));
    }

    void learn(long now, Ending ending, long spent) {
        outcomes.add(now, ending, spent);
        if (ending == Ending.CROWDED) {
            crowdedUntil = now + (destination.aboutOne(fit(now).m()) << crowdedInRow);
            crowdedInRow = Math.min(3, crowdedInRow + 1);
            return;
        }
        hall.add(now, ending, spent);
        addressee.outcomes.add(now, ending, spent);
        failuresInRow = ending == Ending.DONE || ending == Ending.FULL ? 0 : Math.min(5, failuresInRow + 1);
        restUntil = failuresInRow == 0 ? 0
                : now + (destination.aboutOne(Destination.AGAIN) << failuresInRow - 1);
    }

    /** A crowded endpoint takes calls on the connections held, and is asked for another after a rest. */
    boolean hasRoom(long now) {
        return out < open || now >= crowdedUntil;
    }

    boolean crowded(long now, long lately) {
        return now - crowdedUntil < lately;
    }

    void fired() {
        calls++;
        open = Math.max(open, ++out);
    }

    void ended(Call call, Ending ending, long now) {
        endedAt = now;
        boolean answered = ending == Ending.DONE || ending == Ending.ERROR || ending == Ending.FULL;
        crowdedInRow = ending == Ending.DONE && call.opened ? 0 : crowdedInRow;
        out--;
        open = Math.max(out, answered ? open : open - 1);
    }

    /** How long a call may run before it is overdue, by the latency of answers; few count for less. */
    long overdueAfter(long now) {
        Fit fit = fit(now);
        Outcomes known = outcomes.answers > 0 ? outcomes : hall;
        double spread = Math.max(known.usual - fit.t(), fit.t() / Math.max(1, known.answers));
        return (long) Math.max(OVERDUE_LEAST, fit.t() + 9 * spread);
    }

    /** Until it has outcomes of its own, a route takes its hall's fit: quiet nodes know next to no route. */
    Fit fit(long now) {
        Fit own = outcomes.fit(now), near = own != null ? own : addressee.outcomes.fit(now);
        return near != null ? near : hall.fit(now) != null ? hall.fit(now) : UNKNOWN;
    }
}
