package terndyke.decision;

import java.util.*;

import terndyke.api.*;
import terndyke.api.ListedEndpoint.Standing;
import terndyke.decision.Held.Call;
import terndyke.decision.RoutePicker.Fit;

/** What limits, waits, falls and returns as one: a route where routes are apart, else a whole destination. */
final class Destination {
    /** Share of the budget for a cold destination that all nodes together use. */
    private static final double CAUTION = 0.9;
    private static final double LISTED_HIGH = 1.5; // a listed rate may be half too high
    private static final double RECORD_IN_CALL = 0.25; // what a further record adds to a call's weight
    private static final long OVERDUE_LEAST = 400_000;
    private static final long OVERDUE_UNKNOWN = 2_000_000;
    static final long FIRST_REST = 100_000;
    private static final int FAR = 3; // latency of so many times the usual is far past it

    final List<Route> routes = new ArrayList<>();
    double listedRate;
    private final DeliveryTerms terms;
    private final StringBuilder log;
    final List<Call> out = new ArrayList<>();
    private int fine, failed; // calls that ended well or badly, halved now and then
    /** Calls a second: the limit as reported, and what one span served at best and last. */
    private double limitTold, bestRate, lastRate;
    private int doneInSpan, refusedInRow, failedInRow;
    private long spanEnd, refusedSince;
    /** The learned pace in calls a second, and what it allows at once. */
    private double pace = Double.POSITIVE_INFINITY, credit = 1;
    private long creditAt, paceAt;
    /** When a call was last done or failed, an outage suspected, its end seen, a trial made; or -1. */
    private long okAt = -1, failedAt = -1, suspectAt = -1, cleanAt = -1, trialAt = -1;
    private boolean probeGood;
    long waitUntil;

    Destination(DeliveryTerms terms, StringBuilder log) {
        this.terms = terms;
        this.log = log;
    }

    boolean suspect() {
        return suspectAt >= 0;
    }

    /** The design's companion rule: calls mostly fail, time out or run far past the fitted mean. */
    boolean sick(long now) {
        return suspect() || !out.isEmpty() && expected(now) > FAR * fitted(now);
    }

    /** How long a call fired now is likely to hold its slot. */
    double expected(long now) {
        return Math.max(fitted(now), out.isEmpty() ? 0 : now - out.get(0).firedAt);
    }

    private double fitted(long now) {
        return routes.stream().map(route -> route.fit(now)).filter(Objects::nonNull).mapToDouble(Fit::m)
                .min().orElse(OVERDUE_LEAST);
    }

    /** How long a call may run before it is overdue. */
    static long overdueAfter(Fit fit) {
        return fit == null ? OVERDUE_UNKNOWN : (long) Math.max(OVERDUE_LEAST, fit.t() + 9 * fit.spread());
    }

    /** Rule 4: this node's part of what a cold destination may get, in calls a second, as it warms. */
    private double returnRate(long now) {
        double seen = bestRate * terms.nodes();
        double capacity = limitTold > 0 ? limitTold
                : Math.max(listedRate / LISTED_HIGH, listedRate > 0 ? seen / 2 : seen);
        double warm = cleanAt < 0 ? 0 : Math.min(1, (double) (now - cleanAt) / terms.coldFor());
        double share = terms.coldShare() + (1 - terms.coldShare()) * warm;
        double least = 1e6 / terms.fallSpan() / terms.coldShare(); // one call a span while cold
        return share * Math.max(CAUTION * terms.fallMultiple() * capacity, least) / terms.nodes();
    }

    /** The learned pace, which grows by a fifth a second from half a second after a cut. */
    private double pace(long now) {
        pace *= Math.exp(0.2 * Math.max(0, now - paceAt) / 1e6);
        paceAt = Math.max(now, paceAt);
        return pace;
    }

    /** May a call go now? Rules 4 and 6, and the learned pace. */
    boolean admits(long now) {
        if (now < waitUntil || suspect() && cleanAt < 0) {
            return now >= waitUntil && trialDue(now) && (probeGood || !terms.probes());
        }
        double rate = Math.min(1e6, suspect() ? Math.min(pace(now), returnRate(now)) : pace(now));
        credit = Math.min(Math.max(1, rate / 2), credit + rate * (now - creditAt) / 1e6);
        creditAt = now;
        return credit >= 1;
    }

    /** Nodes take turns at a destination that may have returned, each by its own number. */
    private boolean trialDue(long now) {
        long turn = (long) (1e6 / (returnRate(now) * terms.nodes()));
        return now / turn % terms.nodes() == terms.nodeNumber() && now / turn != trialAt / turn;
    }

    /** The route to probe now, or null. */
    Route probe(long now) {
        if (!terms.probes() || !suspect() || cleanAt >= 0 || probeGood || now < waitUntil || !trialDue(now)) {
            return null;
        }
        trialAt = now;
        return routes.stream().filter(route -> route.standing == Standing.READY).findFirst().orElse(null);
    }

    /** How many records one call may carry now. */
    int recordsPerCall(long now, int most) {
        double cold = cleanAt < 0 ? 1 : returnRate(now) * terms.fallSpan() / 2e6 / RECORD_IN_CALL;
        return suspect() ? (int) Math.max(1, Math.min(most, cold)) : most;
    }

    /** Counts a record that goes out with a call; unpaced calls leave no debt. */
    void fired(Call call, long now) {
        if (call.records > 0) {
            credit -= suspect() ? RECORD_IN_CALL : 0;
            return;
        }
        out.add(call);
        credit = Math.max(0, credit - 1);
        trialAt = now;
        probeGood = false;
    }

    void probeEnded(long now, Ending ending, float[] report) {
        told(now, 0, report);
        probeGood = ending == Ending.DONE;
        failedAt = probeGood ? failedAt : now;
    }

    /** Rule 6: a wait told by any outcome binds all that follows. */
    void told(long now, long wait, float[] report) {
        waitUntil = Math.max(waitUntil, now + wait);
        boolean told = terms.limitAt() >= 0 && terms.limitAt() < report.length;
        limitTold = told ? report[terms.limitAt()] : limitTold;
    }

    /** Takes in how a call ended. */
    void ended(Call call, Ending ending, long wait, long now) {
        out.remove(call);
        if (ending == Ending.DONE) {
            done(now);
        } else if (ending == Ending.FULL) {
            refused(wait, now);
        } else if (ending != Ending.NOT_SENT && ending != Ending.RECALLED) {
            refusedInRow = 0;
            failedAt = now;
            failed++;
            cleanAt = 2 * failed > fine ? -1 : cleanAt; // one bad endpoint does not undo the others' return
            suspect(now, "failed " + failed + " of " + (failed + fine),
                    ++failedInRow >= 3 && now - okAt > terms.fallSpan() / 2 || // a good past proves little
                    failed >= 2 && failed > fine);
        }
        int part = fine + failed > 12 ? 2 : 1;
        fine /= part;
        failed /= part;
    }

    private void done(long now) {
        refusedInRow = failedInRow = 0;
        okAt = now;
        fine++;
        if (now >= spanEnd) {
            lastRate = now - spanEnd < terms.fallSpan() ? doneInSpan * 1e6 / terms.fallSpan() : 0;
            bestRate = Math.max(suspect() ? bestRate : 0.9 * bestRate, lastRate);
            doneInSpan = 0;
            spanEnd = now + terms.fallSpan();
        }
        doneInSpan++;
        if (suspect() && cleanAt < 0) {
            cleanAt = now;
            failed = 0;
            credit = 0;
            creditAt = now;
        }
        if (suspect() && (now - cleanAt >= terms.coldFor() || failedAt < suspectAt)) { // warm, or only late
            log.append("open after ").append((now - suspectAt) / 1000).append(" ms\n");
            suspectAt = -1;
            failed = 0;
        }
    }

    private void refused(long wait, long now) {
        refusedSince = refusedInRow++ == 0 ? now : refusedSince;
        long rest = wait > 0 ? wait : FIRST_REST << Math.min(4, refusedInRow - 1);
        waitUntil = Math.max(waitUntil, now + rest);
        if (wait > 2 * terms.fallSpan() || refusedInRow >= 4 && now - refusedSince >= 2 * terms.fallSpan()) {
            cleanAt = -1;
            failedAt = now;
            suspect(now, "refused " + refusedInRow + " in a row, wait " + wait / 1000 + " ms", true);
        } else if (now >= paceAt - 250_000) {
            double served = Math.max(lastRate, 1e6 * doneInSpan / terms.fallSpan());
            double known = Math.max(limitTold, listedRate / LISTED_HIGH) / terms.nodes();
            pace = Math.max(0.5, 0.85 * Math.min(pace(now), Math.max(served, 1.2 * known)));
            paceAt = now + 500_000;
        }
    }

    /** Silence is noticed before any call times out: calls overdue with no answer since, twice if far. */
    int overdue(long now) {
        int overdue = 0;
        for (Call call : out) {
            long late = now - call.firedAt - overdueAfter(call.route.fit(now));
            overdue += okAt >= call.firedAt || late <= 0 ? 0 : 2 * late > now - call.firedAt ? 2 : 1;
        }
        return overdue;
    }

    void tick(long now, boolean allLate) {
        suspect(now, "overdue " + overdue(now), !allLate && overdue(now) >= 2);
    }

    private void suspect(long now, String why, boolean enough) {
        if (enough && !suspect()) {
            suspectAt = now;
            cleanAt = -1;
            probeGood = false;
            log.append("suspect: ").append(why).append('\n');
        }
    }
}
