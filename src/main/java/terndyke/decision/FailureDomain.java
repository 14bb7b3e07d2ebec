package terndyke.decision;

import java.util.*;
import java.util.function.Consumer;

import terndyke.api.*;
import terndyke.decision.PendingRecord.Call;

/** What limits, waits, falls and returns as one: a route where routes are apart, else a whole destination. */
final class FailureDomain {
    private static final double COLD_BUDGET_SAFETY_FACTOR = 0.9; // of a cold budget
    static final long BASE_BACKOFF_MICROS = 1_000_000, MIN_OUTAGE_MICROS = 5_000_000; // a first rest, by chance; see wasFull

    final List<Route> routes = new ArrayList<>();
    double listedRate, reportedLimit; // calls a second, as listed and as reported
    private final DeliverySettings settings;
    private final Random random;
    private final Consumer<String> log;
    final List<Call> inFlightCalls = new ArrayList<>();
    private int successCount, failureCount, consecutiveRefusals, consecutiveFailures; // calls that ended so; the first two halved at times
    /** Calls done in about a span, now and at best; the learned pace in calls a second, its allowance. */
    private double recentDoneCount, peakDoneCount, learnedRate = Double.POSITIVE_INFINITY, tokens = 1;
    /** When a call was last done or failed, an outage suspected, its end seen; or -1. */
    private long tokensUpdatedAt, learnedRateGrowsFrom, rateReducedAt, firstRefusalAt, lastDoneAt = -1, lastFailureAt = -1, suspectedAt = -1, recoveredAt = -1;
    long lastConnectFailureAt = -MIN_OUTAGE_MICROS; // where one comes up soon after, it was full: no outage is so short
    private boolean probeSucceeded;
    long waitUntil;

    FailureDomain(DeliverySettings terms, Random chance, Consumer<String> log) {
        this.random = chance;
        this.settings = terms;
        this.log = log;
    }

    boolean suspect() {
        return suspectedAt >= 0;
    }

    private boolean isDown() {
        return suspect() && recoveredAt < 0;
    }

    /** The design's companion rule: calls mostly fail, time out or run far past the fitted mean. */
    boolean isDegraded(long now) {
        return suspect() || !inFlightCalls.isEmpty() && expectedLatency(now) > 3 * fittedLatency(now);
    }

    double expectedLatency(long now) {
        return Math.max(fittedLatency(now), inFlightCalls.isEmpty() ? 0 : now - inFlightCalls.get(0).startedAt);
    }

    private double fittedLatency(long now) {
        return routes.stream().mapToDouble(route -> route.fit(now).meanLatency()).min().orElse(Route.MIN_OVERDUE_AFTER_MICROS);
    }

    /** This node's part of what the destination takes, in calls a second, as told, listed or seen. */
    private double nodeRateShare() {
        return reportedLimit > 0 ? reportedLimit / settings.nodeCount()
                : Math.max(listedRate / settings.nodeCount(), 1e6 * peakDoneCount / settings.overloadWindow());
    }

    /** Rule 4: a part of a cold destination's calls a second, shared by the nodes that met the outage. */
    private double recoveryRate(long now) {
        double warm = recoveredAt < 0 ? 0 : Math.min(1, (double) (now - recoveredAt) / settings.warmUpTime());
        double share = settings.coldCapacityShare() + (1 - settings.coldCapacityShare()) * warm;
        double all = nodeRateShare() * settings.nodeCount(), least = 1e6 / settings.overloadWindow(); // one call in each span
        double called = all * Math.max(settings.warmUpTime(), now - suspectedAt) / 1e6; // meanwhile, by all nodes
        double met = Math.max(1, settings.nodeCount() * (all > 0 ? -Math.expm1(-called / settings.nodeCount()) : 1));
        return share * Math.max(COLD_BUDGET_SAFETY_FACTOR * settings.overloadMultiple() * all, least / settings.coldCapacityShare()) / met;
    }

    /** The learned pace, which grows by the clock from half a second after a cut. */
    private double updateLearnedRate(long now) {
        learnedRate *= Math.exp(0.4 / settings.nodeCount() * Math.max(0, now - learnedRateGrowsFrom) / 1e6);
        learnedRateGrowsFrom = Math.max(now, learnedRateGrowsFrom);
        return learnedRate;
    }

    /** May a call go now? Rules 4 and 6, and the learned pace. */
    boolean admitsCall(long now) {
        double rate = Math.min(1e6, suspect() ? Math.min(updateLearnedRate(now), recoveryRate(now)) : updateLearnedRate(now));
        tokens = Math.min(Math.max(1, rate / 2), tokens + rate * (now - tokensUpdatedAt) / 1e6);
        tokensUpdatedAt = now;
        return now >= waitUntil && (probeSucceeded || tokens >= 1 && (!isDown() || !settings.probesAllowed()));
    }

    /** The route to probe now, where records wait; the call after a good probe overdraws credit. */
    Optional<Route> nextProbeRoute(long now) {
        boolean may = settings.probesAllowed() && isDown() && !probeSucceeded && !admitsCall(now) && now >= waitUntil;
        Optional<Route> route = routes.stream()
                .filter(r -> may && tokens >= 1 && r.isReady() && !r.destinationState.waitingRecords.isEmpty()).findFirst();
        tokens -= route.isPresent() ? 1 : 0;
        return route;
    }

    void callStarted(Call call) {
        inFlightCalls.add(call);
        tokens = Math.max(suspect() ? -1 : 0, tokens - 1);
        probeSucceeded = false;
    }

    boolean acceptsMoreRecords() {
        return !suspect() || !isDown() && tokens > -1;
    }

    void recordJoined(int before) {
        tokens -= before > 0 && suspect() ? 0.25 : 0;
    }

    void probeEnded(long now, Ending ending, float[] report) {
        applyFeedback(now, 0, report);
        probeSucceeded = ending == Ending.DONE;
        lastFailureAt = probeSucceeded ? lastFailureAt : now;
        if (ending == Ending.NOT_CONNECTED || ending == Ending.TIMED_OUT) {
            callEnded(null, Ending.TIMED_OUT, 0, now); // a lost probe is as much evidence as a lost call
        }
    }

    /** Rule 6: a wait told by any outcome binds all that follows. */
    void applyFeedback(long now, long wait, float[] load) {
        waitUntil = Math.max(waitUntil, now + wait);
        reportedLimit = settings.limitReportIndex() >= 0 && settings.limitReportIndex() < load.length ? load[settings.limitReportIndex()] : reportedLimit;
    }

    void callEnded(Call call, Ending ending, long wait, long now) {
        inFlightCalls.remove(call);
        lastConnectFailureAt = ending == Ending.NOT_CONNECTED ? now : lastConnectFailureAt;
        if (ending == Ending.DONE) {
            callDone(now);
        } else if (ending == Ending.FULL) {
            callRefused(wait, now);
        } else if (ending != Ending.NOT_SENT && ending != Ending.RECALLED && ending != Ending.CROWDED) {
            consecutiveRefusals = 0;
            lastFailureAt = now;
            failureCount += settings.probesAllowed() ? 1 : 2; // where no probe may bear it out, a lost call stands for both
            recoveredAt = 2 * failureCount > successCount ? -1 : recoveredAt; // one bad endpoint does not undo the others' return
            suspect(now, "failed " + failureCount + " of " + (failureCount + successCount),
                    (consecutiveFailures += settings.probesAllowed() ? 1 : 2) >= 3 && now - lastDoneAt > settings.overloadWindow() / 2
                    || failureCount > 1 && (failureCount > successCount || consecutiveFailures > 1 && now - lastDoneAt > 2 * settings.overloadWindow()));
        }
        int part = successCount + failureCount > 12 ? 2 : 1;
        successCount /= part;
        failureCount /= part;
    }

    private void callDone(long now) {
        consecutiveRefusals = consecutiveFailures = 0;
        recentDoneCount = decayedDoneCount(now) + 1;
        double byChance = Math.min(Math.sqrt(recentDoneCount), 1.44 * Math.log(settings.nodeCount())); // at one of so many
        peakDoneCount = Math.max(suspect() ? peakDoneCount : 0.98 * peakDoneCount, recentDoneCount - byChance);
        lastDoneAt = now;
        learnedRate += 0.1 * Math.min(learnedRate, Math.max(1, (double) (now - rateReducedAt) / settings.overloadWindow()));
        successCount++;
        failureCount = isDown() ? 0 : failureCount;
        recoveredAt = isDown() ? now : recoveredAt;
        if (suspect() && (now - recoveredAt >= settings.warmUpTime() || lastFailureAt < suspectedAt)) { // warm, or only late
            log.accept("open after " + (now - suspectedAt) / 1000 + " ms");
            suspectedAt = -1;
        }
    }

    private double decayedDoneCount(long now) {
        return recentDoneCount * Math.exp((double) (lastDoneAt - now) / settings.overloadWindow());
    }

    long jittered(double span) {
        return (long) ((0.5 + random.nextDouble()) * span);
    }

    private void callRefused(long wait, long now) {
        firstRefusalAt = consecutiveRefusals == 0 ? now : firstRefusalAt;
        consecutiveRefusals = Math.min(6, consecutiveRefusals + (now < waitUntil ? 0 : 1)); // together: once
        if (wait > 2 * settings.overloadWindow() || consecutiveRefusals >= 3 && now - firstRefusalAt > settings.overloadWindow() / 2) {
            recoveredAt = -1;
            lastFailureAt = now;
            suspect(now, "refused " + consecutiveRefusals + " in a row, wait " + wait / 1000 + " ms", true);
        } else if (now >= learnedRateGrowsFrom - 250_000) {
            double known = Math.max(reportedLimit, listedRate) / settings.nodeCount();
            double seen = Math.max(1e6 * decayedDoneCount(now) / settings.overloadWindow(), 1.2 * known);
            learnedRate = Math.max(Math.max(0.1, 1.0 / settings.nodeCount()), 0.7 * Math.min(updateLearnedRate(now), seen));
            rateReducedAt = now;
            learnedRateGrowsFrom = now + 500_000;
        }
        long rest = jittered(Math.min(BASE_BACKOFF_MICROS, 1e6 / learnedRate));
        waitUntil = Math.max(waitUntil, now + wait + (rest << Math.max(0, consecutiveRefusals - 1)));
    }

    /** Silence is noticed before any call times out: calls overdue with no answer since, twice if far. */
    int overdueScore(long now) {
        int overdue = 0;
        for (Call call : inFlightCalls) {
            long late = now - call.startedAt - call.route.overdueAfter(now);
            overdue += lastDoneAt >= call.startedAt || late <= 0 ? 0 : 2 * late > now - call.startedAt ? 2 : 1;
        }
        return overdue;
    }

    void suspect(long now, String why, boolean enough) {
        if (enough && !suspect()) {
            suspectedAt = now;
            recoveredAt = -1;
            probeSucceeded = false;
            tokens = (double) settings.nodeIndex() / settings.nodeCount(); // nodes take turns by their own number
            tokensUpdatedAt = now;
            log.accept("suspect: " + why);
        }
    }
}
