package terndyke.decision;

import java.util.*;
import java.util.function.Consumer;

import terndyke.api.*;
import terndyke.decision.PendingRecord.Call;

/**
 * A unit that limits its load, sends Retry-After, fails and recovers as one: a single route where the routes of a destination
 * are independent of each other, otherwise the whole destination. It learns the rate of calls that the unit takes, detects
 * outages ("suspect") and limits the calls during recovery. Times are microseconds, rates are calls per second.
 */
final class FailureDomain {
    private static final double RECOVERY_BUDGET_SAFETY_FACTOR = 0.9; // the part of the rate allowed during recovery that is used
    static final long BASE_BACKOFF_MICROS = 1_000_000, // the first backoff, before jitter
            MIN_OUTAGE_MICROS = 5_000_000; // outages are taken to last no shorter; see Dispatcher.checkConnectionLimit

    final List<Route> routes = new ArrayList<>();
    double listedRate, reportedLimit; // of all nodes: as listed by discovery, as reported by the destination; 0 if unknown
    private final DeliverySettings settings;
    private final Random random;
    private final Consumer<String> log;
    final List<Call> inFlightCalls = new ArrayList<>();
    private int successCount, failureCount, consecutiveRefusals, consecutiveFailures; // the first two are halved at times
    /** Calls done in about one overload window, now and at the peak; the rate learned from refusals, and its token bucket. */
    private double recentDoneCount, peakDoneCount, learnedRate = Double.POSITIVE_INFINITY, tokens = 1;
    /** From lastDoneAt on: when a call was last done or failed, an outage suspected, its end seen; -1 for never. */
    private long tokensUpdatedAt, learnedRateGrowsFrom, rateReducedAt, firstRefusalAt, lastDoneAt = -1, lastFailureAt = -1,
            suspectedAt = -1, recoveredAt = -1;
    long lastConnectFailureAt = -MIN_OUTAGE_MICROS; // if a call succeeds soon after, the endpoint was full, not down
    private boolean probeSucceeded;
    long waitUntil;

    FailureDomain(DeliverySettings settings, Random random, Consumer<String> log) {
        this.random = random;
        this.settings = settings;
        this.log = log;
    }

    /** True from the moment an outage is suspected until the domain has recovered. */
    boolean isSuspect() {
        return suspectedAt >= 0;
    }

    /** True while an outage is suspected and no call has been done since. */
    private boolean isDown() {
        return isSuspect() && recoveredAt < 0;
    }

    /** True if calls mostly fail or time out, or the oldest one runs far beyond the fitted mean latency. */
    boolean isDegraded(long now) {
        return isSuspect() || !inFlightCalls.isEmpty() && expectedLatency(now) > 3 * fittedLatency(now);
    }

    double expectedLatency(long now) {
        return Math.max(fittedLatency(now), inFlightCalls.isEmpty() ? 0 : now - inFlightCalls.get(0).startedAt);
    }

    private double fittedLatency(long now) {
        return routes.stream().mapToDouble(route -> route.fit(now).meanLatency()).min().orElse(Route.MIN_OVERDUE_AFTER_MICROS);
    }

    /** This node's share of the rate that the destination takes: as it reports, else as listed or observed. */
    private double nodeRateShare() {
        return reportedLimit > 0 ? reportedLimit / settings.nodeCount()
                : Math.max(listedRate / settings.nodeCount(), 1e6 * peakDoneCount / settings.overloadWindow());
    }

    /**
     * Rule 4: this node's rate while the destination is recovering. The part of the capacity that the destination has
     * during its slow start, growing until it is complete, is divided among the nodes that noticed the outage.
     */
    private double recoveryRate(long now) {
        double slowStartProgress = recoveredAt < 0 ? 0 : Math.min(1, (double) (now - recoveredAt) / settings.slowStartTime());
        double capacityShare = settings.slowStartCapacityShare() + (1 - settings.slowStartCapacityShare()) * slowStartProgress;
        double totalRate = nodeRateShare() * settings.nodeCount(), minRate = 1e6 / settings.overloadWindow(); // one call a window
        double callsSinceOutage = totalRate * Math.max(settings.slowStartTime(), now - suspectedAt) / 1e6; // by all nodes
        double affectedNodes = Math.max(1, settings.nodeCount()
                * (totalRate > 0 ? -Math.expm1(-callsSinceOutage / settings.nodeCount()) : 1));
        return capacityShare * Math.max(RECOVERY_BUDGET_SAFETY_FACTOR * settings.overloadMultiple() * totalRate,
                minRate / settings.slowStartCapacityShare()) / affectedNodes;
    }

    /** The learned rate, which grows with time from half a second after each reduction. */
    private double updateLearnedRate(long now) {
        learnedRate *= Math.exp(0.4 / settings.nodeCount() * Math.max(0, now - learnedRateGrowsFrom) / 1e6);
        learnedRateGrowsFrom = Math.max(now, learnedRateGrowsFrom);
        return learnedRate;
    }

    /** True if a call may be sent now by rules 4 and 6 and the learned rate. */
    boolean admitsCall(long now) {
        double rate = Math.min(1e6, isSuspect() ? Math.min(updateLearnedRate(now), recoveryRate(now)) : updateLearnedRate(now));
        tokens = Math.min(Math.max(1, rate / 2), tokens + rate * (now - tokensUpdatedAt) / 1e6);
        tokensUpdatedAt = now;
        return now >= waitUntil && (probeSucceeded || tokens >= 1 && (!isDown() || !settings.probesAllowed()));
    }

    /**
     * The route to probe now, if records wait for one. A probe consumes a token; the call that follows a successful probe
     * may overdraw the bucket.
     */
    Optional<Route> nextProbeRoute(long now) {
        boolean probeDue = settings.probesAllowed() && isDown() && !probeSucceeded && !admitsCall(now) && now >= waitUntil;
        Optional<Route> route = routes.stream()
                .filter(r -> probeDue && tokens >= 1 && r.isReady() && !r.destinationState.waitingRecords.isEmpty()).findFirst();
        tokens -= route.isPresent() ? 1 : 0;
        return route;
    }

    void callStarted(Call call) {
        inFlightCalls.add(call);
        tokens = Math.max(isSuspect() ? -1 : 0, tokens - 1);
        probeSucceeded = false;
    }

    boolean acceptsMoreRecords() {
        return !isSuspect() || !isDown() && tokens > -1;
    }

    /** Counts a record that joins a call: during a suspected outage each one after the first costs a quarter of a token. */
    void recordJoined(int recordsBefore) {
        tokens -= recordsBefore > 0 && isSuspect() ? 0.25 : 0;
    }

    void probeEnded(long now, Ending ending, float[] loadReport) {
        applyFeedback(now, 0, loadReport);
        probeSucceeded = ending == Ending.DONE;
        lastFailureAt = probeSucceeded ? lastFailureAt : now;
        if (ending == Ending.NOT_CONNECTED || ending == Ending.TIMED_OUT) {
            callEnded(null, Ending.TIMED_OUT, 0, now); // a lost probe is as much evidence as a lost call
        }
    }

    /** Rule 6: the Retry-After of any outcome applies to everything sent afterwards. */
    void applyFeedback(long now, long retryAfter, float[] loadReport) {
        waitUntil = Math.max(waitUntil, now + retryAfter);
        reportedLimit = settings.limitReportIndex() >= 0 && settings.limitReportIndex() < loadReport.length
                ? loadReport[settings.limitReportIndex()] : reportedLimit;
    }

    void callEnded(Call call, Ending ending, long retryAfter, long now) {
        inFlightCalls.remove(call);
        lastConnectFailureAt = ending == Ending.NOT_CONNECTED ? now : lastConnectFailureAt;
        if (ending == Ending.DONE) {
            callDone(now);
        } else if (ending == Ending.FULL) {
            callRefused(retryAfter, now);
        } else if (ending != Ending.NOT_SENT && ending != Ending.RECALLED && ending != Ending.CROWDED) {
            consecutiveRefusals = 0;
            lastFailureAt = now;
            failureCount += settings.probesAllowed() ? 1 : 2; // without probes to confirm it, a lost call counts twice
            // one bad endpoint does not undo the recovery of the others
            recoveredAt = 2 * failureCount > successCount ? -1 : recoveredAt;
            markSuspectIf(now, "failed calls: " + failureCount + " of " + (failureCount + successCount),
                    (consecutiveFailures += settings.probesAllowed() ? 1 : 2) >= 3
                    && now - lastDoneAt > settings.overloadWindow() / 2
                    || failureCount > 1 && (failureCount > successCount
                    || consecutiveFailures > 1 && now - lastDoneAt > 2 * settings.overloadWindow()));
        }
        int divisor = successCount + failureCount > 12 ? 2 : 1;
        successCount /= divisor;
        failureCount /= divisor;
    }

    private void callDone(long now) {
        consecutiveRefusals = consecutiveFailures = 0;
        recentDoneCount = decayedDoneCount(now) + 1;
        // how far chance alone may raise the count of one of so many nodes
        double randomExcess = Math.min(Math.sqrt(recentDoneCount), 1.44 * Math.log(settings.nodeCount()));
        peakDoneCount = Math.max(isSuspect() ? peakDoneCount : 0.98 * peakDoneCount, recentDoneCount - randomExcess);
        lastDoneAt = now;
        learnedRate += 0.1 * Math.min(learnedRate, Math.max(1, (double) (now - rateReducedAt) / settings.overloadWindow()));
        successCount++;
        failureCount = isDown() ? 0 : failureCount;
        recoveredAt = isDown() ? now : recoveredAt;
        // slow start complete, or no call has failed: they were only overdue
        if (isSuspect() && (now - recoveredAt >= settings.slowStartTime() || lastFailureAt < suspectedAt)) {
            log.accept("open after " + (now - suspectedAt) / 1000 + " ms of suspected outage");
            suspectedAt = -1;
        }
    }

    private double decayedDoneCount(long now) {
        return recentDoneCount * Math.exp((double) (lastDoneAt - now) / settings.overloadWindow());
    }

    /** A random time between half and one and a half times the given one. */
    long jittered(double delay) {
        return (long) ((0.5 + random.nextDouble()) * delay);
    }

    private void callRefused(long retryAfter, long now) {
        firstRefusalAt = consecutiveRefusals == 0 ? now : firstRefusalAt;
        consecutiveRefusals = Math.min(6, consecutiveRefusals + (now < waitUntil ? 0 : 1)); // refusals of one batch count once
        if (retryAfter > 2 * settings.overloadWindow()
                || consecutiveRefusals >= 3 && now - firstRefusalAt > settings.overloadWindow() / 2) {
            recoveredAt = -1;
            lastFailureAt = now;
            markSuspectIf(now, "refused calls: " + consecutiveRefusals + " in a row, requested wait "
                    + retryAfter / 1000 + " ms", true);
        } else if (now >= learnedRateGrowsFrom - 250_000) {
            double knownRate = Math.max(reportedLimit, listedRate) / settings.nodeCount();
            double observedRate = Math.max(1e6 * decayedDoneCount(now) / settings.overloadWindow(), 1.2 * knownRate);
            learnedRate = Math.max(Math.max(0.1, 1.0 / settings.nodeCount()),
                    0.7 * Math.min(updateLearnedRate(now), observedRate));
            rateReducedAt = now;
            learnedRateGrowsFrom = now + 500_000;
        }
        long backoff = jittered(Math.min(BASE_BACKOFF_MICROS, 1e6 / learnedRate));
        waitUntil = Math.max(waitUntil, now + retryAfter + (backoff << Math.max(0, consecutiveRefusals - 1)));
    }

    /**
     * The number of overdue calls, so that an outage is noticed before any call times out. A call counts only if nothing
     * was done since it started, and twice if it is overdue by more than half of its age.
     */
    int overdueScore(long now) {
        int score = 0;
        for (Call call : inFlightCalls) {
            long overdueBy = now - call.startedAt - call.route.overdueAfter(now);
            score += lastDoneAt >= call.startedAt || overdueBy <= 0 ? 0 : 2 * overdueBy > now - call.startedAt ? 2 : 1;
        }
        return score;
    }

    /** Starts a suspected outage, and logs it, if the condition holds and none is suspected yet. */
    void markSuspectIf(long now, String reason, boolean condition) {
        if (condition && !isSuspect()) {
            suspectedAt = now;
            recoveredAt = -1;
            probeSucceeded = false;
            // staggered by the node's index, so that the nodes send their first calls one after another
            tokens = (double) settings.nodeIndex() / settings.nodeCount();
            tokensUpdatedAt = now;
            log.accept("suspect: " + reason);
        }
    }
}
