package terndyke.decision;

import terndyke.api.*;
import terndyke.decision.PendingRecord.*;
import terndyke.decision.RoutePicker.Fit;

/**
 * An endpoint as the decision module sees it: its state in the list, the calls and connections there, and the latency and
 * reliability fitted to its outcomes. Times are microseconds.
 */
final class Route {

    static final long MIN_OVERDUE_AFTER_MICROS = 400_000; // no call is overdue sooner, however fast the answers are
    private static final Fit DEFAULT_FIT = new Fit(200_000, MIN_OVERDUE_AFTER_MICROS, 1); // while nothing is known

    final long endpoint;
    final int zone;
    final DestinationState destinationState;
    final FailureDomain failureDomain;
    double fee; // the price of each shot here, in points
    ListedEndpoint.EndpointState state = ListedEndpoint.EndpointState.READY;
    Call joinableCall; // the last call started; further records may join it within the same turn
    /** Backoff after failures, so that one bad endpoint of several costs few shots; it does harm if all of them fail. */
    long backoffUntil;
    final OutcomeHistory outcomes = new OutcomeHistory(), hallOutcomes;
    int callCount, consecutiveFailures;
    /** Calls out here, and connections assumed open; while the endpoint is crowded no connection is added. */
    int inFlightCallCount, openConnections;
    private int consecutiveCrowdedEndings;
    long lastCallEndedAt;
    private long crowdedUntil, goneAt = Long.MAX_VALUE;

    Route(long endpoint, int zone, DestinationState destinationState, FailureDomain failureDomain, OutcomeHistory hallOutcomes) {
        this.endpoint = endpoint;
        this.zone = zone;
        this.destinationState = destinationState;
        this.failureDomain = failureDomain;
        this.hallOutcomes = hallOutcomes;
    }

    boolean isReady() {
        return state == ListedEndpoint.EndpointState.READY;
    }

    void updateState(ListedEndpoint.EndpointState newState, long now) {
        goneAt = newState == ListedEndpoint.EndpointState.GONE ? Math.min(goneAt, now) : Long.MAX_VALUE;
        state = newState;
    }

    /**
     * Removes the route, and returns true, if it has been gone from the list for as long as outcomes are kept. Otherwise
     * lists that keep naming new endpoints would fill the memory. A route whose Retry-After is not over stays, so that
     * it holds if the endpoint returns.
     */
    boolean removeIfExpired(long now) {
        return goneAt < now - OutcomeHistory.RETENTION_MICROS && now >= failureDomain.waitUntil
                && (destinationState.routes.remove(this) | failureDomain.routes.remove(this));
    }

    void addOutcome(long now, Ending ending, long elapsed) {
        outcomes.addOutcome(now, ending, elapsed);
        if (ending == Ending.CROWDED) {
            crowdedUntil = now + (failureDomain.jittered(fit(now).meanLatency()) << consecutiveCrowdedEndings);
            consecutiveCrowdedEndings = Math.min(3, consecutiveCrowdedEndings + 1);
            return;
        }
        hallOutcomes.addOutcome(now, ending, elapsed);
        destinationState.outcomes.addOutcome(now, ending, elapsed);
        consecutiveFailures = ending == Ending.DONE || ending == Ending.FULL ? 0 : Math.min(5, consecutiveFailures + 1);
        backoffUntil = consecutiveFailures == 0 ? 0
                : now + (failureDomain.jittered(FailureDomain.BASE_BACKOFF_MICROS) << consecutiveFailures - 1);
    }

    /** True if a call can use an open connection or may open one; at a crowded endpoint that has to wait for a backoff. */
    boolean hasConnectionAvailable(long now) {
        return inFlightCallCount < openConnections || now >= crowdedUntil;
    }

    boolean wasCrowdedWithin(long now, long period) {
        return now - crowdedUntil < period;
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

    /**
     * How long a call may run before it is overdue. The bound follows the latency of answers; with few answers it allows
     * for a wider spread.
     */
    long overdueAfter(long now) {
        Fit fit = fit(now);
        OutcomeHistory history = outcomes.doneCount > 0 ? outcomes : hallOutcomes;
        double spread = Math.max(history.meanDoneLatency - fit.minLatency(), fit.minLatency() / Math.max(1, history.doneCount));
        return (long) Math.max(MIN_OVERDUE_AFTER_MICROS, fit.minLatency() + 9 * spread);
    }

    /** The mean latency of the answers of this route; 0 if nothing is known of it, so that nothing speaks against a try. */
    double expectedLatency(long now) {
        Fit fit = fit(now);
        return fit == DEFAULT_FIT ? 0 : fit.meanLatency();
    }

    /**
     * The latency and reliability of this route. Without outcomes of its own it takes the fit of its destination, else of
     * its hall: nodes with little traffic have outcomes of very few routes.
     */
    Fit fit(long now) {
        Fit ownFit = outcomes.fit(now), nearestFit = ownFit != null ? ownFit : destinationState.outcomes.fit(now);
        return nearestFit != null ? nearestFit : hallOutcomes.fit(now) != null ? hallOutcomes.fit(now) : DEFAULT_FIT;
    }
}
