package terndyke.decision;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.DeliveryTerms;
import terndyke.api.Ending;
import terndyke.decision.RoutePicker.Fit;

/** What limits, waits, falls and returns as one: a route where routes are apart, else the whole destination. */
final class Destination {
    /** Share of the budget for a cold destination that all nodes together use. */
    private static final double CAUTION = 0.9;
    /** Listed rates may be half too high. */
    private static final double LISTED_HIGH = 1.5;
    /** What a further record adds to the weight of a call. */
    private static final double RECORD_IN_CALL = 0.25;
    private static final long OVERDUE_LEAST = 400_000;
    private static final long OVERDUE_UNKNOWN = 2_000_000;
    private static final long FIRST_REST = 100_000;
    /** Latency of so many times the usual is far past it. */
    private static final int FAR = 3;

    final List<Route> routes = new ArrayList<>();
    double listedRate;
    private final DeliveryTerms terms;
    private final StringBuilder log;
    private final List<Call> out = new ArrayList<>();
    private final Histogram usual = new Histogram(64);
    private final Histogram recent = new Histogram(6);
    private int fine; // calls that ended well or badly, halved now and then
    private int failed;
    private double limitTold;
    private double bestRate;
    private double lastRate;
    private int doneInSpan;
    private long spanEnd;
    private long waitUntil;
    private double pace = Double.POSITIVE_INFINITY;
    private double credit = 1;
    private long creditAt;
    private long paceCutAt;
    private int refusedInRow;
    private long refusedSince;
    private long okAt = -1;
    private long failedAt = -1;
    private long suspectAt = -1;
    private long cleanAt = -1;
    private long trialAt = -1;
    private boolean probeGood;

    Destination(DeliveryTerms terms, StringBuilder log) {
        this.terms = terms;
        this.log = log;
    }

    boolean suspect() {
        return suspectAt >= 0;
    }

    /** The design's companion rule for one unit. */
    boolean sick(long now, double slowness) {
        return suspect() || usual.median() > 0 && expected(now) > FAR * slowness * usual.median();
    }

    /** How long a call fired now is likely to hold its slot. */
    long expected(long now) {
        return Math.max(Math.max(1, recent.median()), out.isEmpty() ? 0 : now - out.get(0).firedAt);
    }

    /** True where a call fired then was lost to an outage that is over. */
    boolean returnedSince(long firedAt) {
        return cleanAt >= 0 && firedAt <= suspectAt;
    }

    String state(long now) {
        return "[pace " + Math.round(100 * pace) / 100.0 + " out " + out.size() + (suspect() ? " suspect " : "")
                + (cleanAt >= 0 ? " clean" + Math.round(100 * returnRate(now)) / 100.0 : "") + " wait "
                + Math.max(0, waitUntil - now) / 1000 + " last " + lastRate + " best " + Math.round(bestRate) + "]";
    }

    /** True where failures since the suspicion bear it out: what is out is most likely lost. */
    boolean confirmed() {
        return suspect() && failedAt >= suspectAt;
    }

    boolean waitOver(long now) {
        return now >= waitUntil;
    }

    /** How long a call may run before it is overdue; slowness everywhere at once stretches it. */
    static long overdueAfter(Fit fit, double slowness) {
        return fit == null ? OVERDUE_UNKNOWN
                : (long) (slowness * Math.max(OVERDUE_LEAST, fit.t() + 6 * fit.spread()));
    }

    /** Rule 4: this node's part of what a cold destination may get, in calls a second, warming from its return. */
    private double returnRate(long now) {
        double seen = bestRate * terms.nodes();
        double capacity = limitTold > 0 ? limitTold : Math.max(listedRate / LISTED_HIGH, listedRate > 0 ? seen / 2 : seen);
        double warm = cleanAt < 0 ? 0 : Math.min(1, (double) (now - cleanAt) / terms.coldFor());
        double share = terms.coldShare() + (1 - terms.coldShare()) * warm;
        double least = 1e6 / terms.fallSpan() / terms.coldShare(); // of the smallest: one call a span when cold
        return share * Math.max(CAUTION * terms.fallMultiple() * capacity, least) / terms.nodes();
    }

    /** May a call go now? Rules 4 and 6, and the learned pace. */
    boolean admits(long now) {
        if (now < waitUntil) {
            return false;
        }
        if (suspect() && cleanAt < 0) {
            return trialDue(now) && (probeGood || !terms.probes());
        }
        double rate = suspect() ? Math.min(pace, returnRate(now)) : pace;
        if (rate == Double.POSITIVE_INFINITY) {
            return true;
        }
        credit = Math.min(Math.max(1, rate / 2), credit + rate * (now - creditAt) / 1e6);
        creditAt = now;
        return credit >= 1;
    }

    /** Nodes take turns at a destination that may have returned, each by its own number. */
    private boolean trialDue(long now) {
        long turn = (long) (1e6 / (returnRate(now) * terms.nodes()));
        return now / turn % terms.nodes() == terms.nodeNumber() && (trialAt < 0 || now / turn != trialAt / turn);
    }

    /** The route to probe now, or null. */
    Route probe(long now) {
        if (terms.probes() && suspect() && cleanAt < 0 && !probeGood && now >= waitUntil && trialDue(now)) {
            for (Route route : routes) {
                if (route.standing == terndyke.api.ListedEndpoint.Standing.READY) {
                    trialAt = now;
                    return route;
                }
            }
        }
        return null;
    }

    /** How many records one call may carry now. */
    int recordsPerCall(long now, int most) {
        return !suspect() ? most : cleanAt < 0 ? 1
                : (int) Math.max(1, Math.min(most, returnRate(now) * terms.fallSpan() / 2e6 / RECORD_IN_CALL));
    }

    void fired(Call call, long now) {
        out.add(call);
        credit = Math.max(0, credit - 1); // unpaced calls leave no debt
        if (suspect() && cleanAt < 0) {
            trialAt = now;
            probeGood = false;
        }
    }

    void joined() {
        credit -= suspect() ? RECORD_IN_CALL : 0;
    }

    void probeEnded(long now, Ending ending) {
        probeGood = ending == Ending.DONE;
        failedAt = probeGood ? failedAt : now;
    }

    /** Rule 6: a wait told by any outcome binds all that follows. */
    void told(long now, long wait, float[] report) {
        waitUntil = wait > 0 ? Math.max(waitUntil, now + wait) : waitUntil;
        limitTold = terms.limitAt() >= 0 && terms.limitAt() < report.length ? report[terms.limitAt()] : limitTold;
    }

    /** Takes in how a call ended. */
    void ended(Call call, Ending ending, long wait, long spent, long now) {
        out.remove(call);
        if (ending == Ending.DONE) {
            done(spent, now);
        } else if (ending == Ending.FULL) {
            refused(wait, now);
        } else if (ending != Ending.NOT_SENT && ending != Ending.RECALLED) {
            refusedInRow = 0;
            failedAt = now;
            failed++;
            cleanAt = 2 * failed > fine ? -1 : cleanAt; // one bad endpoint does not undo the others' return
            if (failed >= 2 && failed > fine) {
                suspect(now, "failed " + failed + " of " + (failed + fine));
            }
        }
        if (fine + failed > 12) {
            fine /= 2;
            failed /= 2;
        }
    }

    private void done(long spent, long now) {
        refusedInRow = 0;
        okAt = now;
        fine++;
        usual.add(spent);
        recent.add(spent);
        if (now >= spanEnd) {
            double rate = now - spanEnd < terms.fallSpan() ? doneInSpan * 1e6 / terms.fallSpan() : 0;
            lastRate = rate;
            bestRate = Math.max(suspect() ? bestRate : 0.9 * bestRate, rate);
            doneInSpan = 0;
            spanEnd = now + terms.fallSpan();
        }
        doneInSpan++;
        if (suspect() && cleanAt < 0) {
            cleanAt = now;
            fine = 1;
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
        waitUntil = Math.max(waitUntil, now + (wait > 0 ? wait : FIRST_REST << Math.min(4, refusedInRow - 1)));
        if (wait > 2 * terms.fallSpan() || refusedInRow >= 4 && now - refusedSince >= 2 * terms.fallSpan()) {
            failedAt = now;
            cleanAt = -1;
            suspect(now, "refused " + refusedInRow + " in a row, wait " + wait / 1000 + " ms");
        } else if (now - paceCutAt >= 250_000) {
            double served = Math.max(lastRate, 1e6 * doneInSpan / terms.fallSpan());
            double known = Math.max(limitTold, listedRate / LISTED_HIGH) / terms.nodes();
            pace = Math.max(0.5, 0.85 * Math.min(pace, Math.max(served, 1.2 * known)));
            paceCutAt = now;
        }
    }

    /** Looks at the calls that are out: silence is noticed before any of them times out. */
    void tick(long now, double slowness) {
        pace *= now - paceCutAt > 500_000 ? 1.002 : 1;
        int overdue = 0;
        for (Call call : out) {
            long late = now - call.firedAt - overdueAfter(call.route.fit(now), slowness);
            overdue += okAt >= call.firedAt || late <= 0 ? 0 : 2 * late > now - call.firedAt ? 2 : 1;
        }
        if (overdue >= 2) {
            suspect(now, overdue + " overdue");
        }
    }

    private void suspect(long now, String why) {
        if (!suspect()) {
            suspectAt = now;
            cleanAt = -1;
            probeGood = false;
            log.append("suspect: ").append(why).append('\n');
        }
    }
}
