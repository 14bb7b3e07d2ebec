package terndyke.decision;

import terndyke.api.*;
import terndyke.decision.PendingRecord.*;
import terndyke.decision.RoutePicker.Fit;

final class Route {

    static final long MIN_OVERDUE_AFTER_MICROS = 400_000;
    private static final Fit DEFAULT_FIT = new Fit(200_000, MIN_OVERDUE_AFTER_MICROS, 1);

    final long endpoint;
    final int zone;
    final DestinationState destinationState;
    final FailureDomain failureDomain;
    double fee; // what each shot takes off the result here
    ListedEndpoint.EndpointState state = ListedEndpoint.EndpointState.READY;
    Call joinableCall; // the call of the present turn, which further records may join
    /** Rests after failures, so that one bad endpoint of several costs few shots; hurts if all fail. */
    long backoffUntil;
    final OutcomeHistory outcomes = new OutcomeHistory(), hallOutcomes;
    int callCount, consecutiveFailures;
    /** Calls out here, and connections believed held; none is added for a while where it is crowded. */
    int inFlightCallCount, openConnections;
    private int consecutiveCrowdedEndings;
    long lastCallEndedAt; // when a call here was last over
    private long crowdedUntil, goneAt = Long.MAX_VALUE;

    Route(long endpoint, int zone, DestinationState addressee, FailureDomain destination, OutcomeHistory hall) {
        this.endpoint = endpoint;
        this.zone = zone;
        this.destinationState = addressee;
        this.failureDomain = destination;
        this.hallOutcomes = hall;
    }

    boolean isReady() {
        return state == ListedEndpoint.EndpointState.READY;
    }

    void updateState(ListedEndpoint.EndpointState told, long now) {
        goneAt = told == ListedEndpoint.EndpointState.GONE ? Math.min(goneAt, now) : Long.MAX_VALUE;
        state = told;
    }

    /** Gone for as long as outcomes last: guards against lists that always bring new ones. Waits are kept. */
    boolean removeIfExpired(long now) {
        return goneAt < now - OutcomeHistory.RETENTION_MICROS && now >= failureDomain.waitUntil
                && (destinationState.routes.remove(this) | failureDomain.routes.remove(this));
    }

    void addOutcome(long now, Ending ending, long spent) {
        outcomes.addOutcome(now, ending, spent);
        if (ending == Ending.CROWDED) {
            crowdedUntil = now + (failureDomain.jittered(fit(now).meanLatency()) << consecutiveCrowdedEndings);
            consecutiveCrowdedEndings = Math.min(3, consecutiveCrowdedEndings + 1);
            return;
        }
        hallOutcomes.addOutcome(now, ending, spent);
        destinationState.outcomes.addOutcome(now, ending, spent);
        consecutiveFailures = ending == Ending.DONE || ending == Ending.FULL ? 0 : Math.min(5, consecutiveFailures + 1);
        backoffUntil = consecutiveFailures == 0 ? 0
                : now + (failureDomain.jittered(FailureDomain.BASE_BACKOFF_MICROS) << consecutiveFailures - 1);
    }

    /** A crowded endpoint takes calls on the connections held, and is asked for another after a rest. */
    boolean hasConnectionAvailable(long now) {
        return inFlightCallCount < openConnections || now >= crowdedUntil;
    }

    boolean wasCrowdedWithin(long now, long lately) {
        return now - crowdedUntil < lately;
    }

    void callStarted() {
        callCount++;
        openConnections = Math.max(openConnections, ++inFlightCallCount);
    }

    void callEnded(Call call, Ending ending, long now) {
        lastCallEndedAt = now;
        boolean answered = ending == Ending.DONE || ending == Ending.ERROR || ending == Ending.FULL;
        consecutiveCrowdedEndings = ending == Ending.DONE && call.neededNewConnection ? 0 : consecutiveCrowdedEndings;
        inFlightCallCount--;
        openConnections = Math.max(inFlightCallCount, answered ? openConnections : openConnections - 1);
    }

    /** How long a call may run before it is overdue, by the latency of answers; few count for less. */
    long overdueAfter(long now) {
        Fit fit = fit(now);
        OutcomeHistory known = outcomes.doneCount > 0 ? outcomes : hallOutcomes;
        double spread = Math.max(known.meanDoneLatency - fit.minLatency(), fit.minLatency() / Math.max(1, known.doneCount));
        return (long) Math.max(MIN_OVERDUE_AFTER_MICROS, fit.minLatency() + 9 * spread);
    }

    /** Until it has outcomes of its own, a route takes its hall's fit: quiet nodes know next to no route. */
    Fit fit(long now) {
        Fit own = outcomes.fit(now), near = own != null ? own : destinationState.outcomes.fit(now);
        return near != null ? near : hallOutcomes.fit(now) != null ? hallOutcomes.fit(now) : DEFAULT_FIT;
    }
}
