package terndyke.decision;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.DeliveryTerms;
import terndyke.api.Ending;
import terndyke.decision.RoutePicker.Fit;

/** What limits, waits, falls and returns as one: a route where routes are apart, else the whole destination. */
final class Destination {
    /** Share of the budget for a cold destination that all nodes together use. */
    private static final double CAUTION = 0.6;
    /** Listed rates may be half too high. */
    private static final double LISTED_HIGH = 1.5;
    private static final double RECORD_IN_CALL = 0.25;
    private static final long OVERDUE_LEAST = 400_000;
    private static final long OVERDUE_UNKNOWN = 2_000_000;
    private static final long REST_FIRST = 100_000;

    final List<Call> out = new ArrayList<>();
    final List<Route> routes = new ArrayList<>();
    private final DeliveryTerms terms;
    private final StringBuilder log;
    private final int[] seen = new int[3]; // in time, far past the fit, failed
    double listedRate;
    private double limitTold;
    private double bestRate;
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

    boolean returning() {
        return suspectAt >= 0 && cleanAt >= 0;
    }

    boolean sick() {
        return suspectAt >= 0 || seen[1] + seen[2] > seen[0] && seen[1] + seen[2] > 2;
    }

    /** True where a call fired then was lost to an outage that is over. */
    boolean returnedSince(long firedAt) {
        return cleanAt >= 0 && firedAt < cleanAt && firedAt <= suspectAt;
    }

    /** How long a call may run before it is overdue; slowness everywhere at once stretches it. */
    static long overdueAfter(Fit fit, double slowness) {
        return fit == null ? OVERDUE_UNKNOWN
                : (long) (slowness * Math.max(OVERDUE_LEAST, fit.t() + 6 * fit.spread()));
    }

    /** Calls a second that a destination of this size takes from all nodes, as far as can be told. */
    private double capacity() {
        double seenRate = bestRate * terms.nodes();
        return limitTold > 0 ? limitTold : listedRate > 0 ? Math.max(listedRate / LISTED_HIGH, seenRate / 2) : seenRate;
    }

    /** Rule 4: this node's part of what a returning destination may get, in calls a second. */
    private double returnRate(long now) {
        double warm = cleanAt < 0 ? 0 : Math.min(1, (double) (now - cleanAt) / terms.coldFor());
        double share = terms.coldShare() + (1 - terms.coldShare()) * warm;
        double all = Math.max(CAUTION * terms.fallMultiple() * share * capacity(), 1e6 / terms.fallSpan());
        return all / terms.nodes();
    }

    private double rate(long now) {
        return suspect() ? Math.min(pace, returnRate(now)) : pace;
    }

    /** May a call go now? Rules 4 and 6, and the learned pace. */
    boolean admits(long now) {
        if (now < waitUntil) {
            return false;
        }
        if (suspect() && cleanAt < 0) {
            return trialDue(now) && (probeGood || !terms.probes());
        }
        double rate = rate(now);
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

    /** True where a probe is the next thing to send. */
    boolean wantsProbe(long now) {
        return terms.probes() && suspect() && cleanAt < 0 && !probeGood && now >= waitUntil && trialDue(now);
    }

    void probed(long now) {
        trialAt = now;
    }

    /** How many records one call may carry now. */
    int recordsPerCall(long now, int most) {
        return !suspect() ? most : cleanAt < 0 ? 1
                : (int) Math.max(1, Math.min(most, returnRate(now) * terms.fallSpan() / 2e6 / RECORD_IN_CALL));
    }

    void fired(Call call, long now) {
        out.add(call);
        credit -= 1;
        if (suspect() && cleanAt < 0) {
            trialAt = now;
            probeGood = false;
        }
    }

    void joined() {
        credit -= suspect() ? RECORD_IN_CALL : 0;
    }

    void probeEnded(long now, Ending ending, long wait) {
        probeGood = ending == Ending.DONE;
        if (!probeGood) {
            failedAt = now;
        }
        told(now, wait);
    }

    boolean waitOver(long now) {
        return now >= waitUntil;
    }

    void told(long now, long wait) {
        if (wait > 0) {
            waitUntil = Math.max(waitUntil, now + wait);
        }
    }

    void reported(float[] report) {
        if (terms.limitAt() >= 0 && terms.limitAt() < report.length) {
            limitTold = report[terms.limitAt()];
        }
    }

    /** Takes in how a call ended. Far: it ran far past the fit. */
    void ended(Call call, Ending ending, long wait, boolean far, long now) {
        out.remove(call);
        told(now, wait);
        if (ending == Ending.DONE) {
            done(far, now);
        } else if (ending == Ending.FULL) {
            refused(wait, now);
        } else if (ending != Ending.NOT_SENT && ending != Ending.RECALLED) {
            refusedInRow = 0;
            failedAt = now;
            count(2);
            cleanAt = -1;
            if (seen[2] >= 2 && 2 * seen[2] > seen[0] + seen[1]) {
                suspect(now, "failed " + seen[2] + " of " + (seen[0] + seen[1] + seen[2]));
            }
        }
    }

    private void done(boolean far, long now) {
        refusedInRow = 0;
        okAt = now;
        count(far ? 1 : 0);
        if (now >= spanEnd) {
            bestRate = Math.max(0.9 * bestRate, now - spanEnd < terms.fallSpan() ? doneInSpan * 1e6 / terms.fallSpan() : 0);
            doneInSpan = 0;
            spanEnd = now + terms.fallSpan();
        }
        doneInSpan++;
        if (suspect() && cleanAt < 0) {
            if (failedAt < suspectAt - terms.fallSpan() && now - suspectAt < terms.fallSpan()) {
                clear(now, "late answer, no failure");
            } else {
                cleanAt = now;
                credit = 0;
                creditAt = now;
            }
        } else if (suspect() && now - cleanAt >= terms.coldFor()) {
            clear(now, "warm");
        }
    }

    private void refused(long wait, long now) {
        refusedSince = refusedInRow++ == 0 ? now : refusedSince;
        if (wait == 0) {
            waitUntil = Math.max(waitUntil, now + (REST_FIRST << Math.min(4, refusedInRow - 1)));
        }
        if (wait > 2 * terms.fallSpan() || refusedInRow >= 4 && now - refusedSince >= 2 * terms.fallSpan()) {
            failedAt = now;
            cleanAt = -1;
            suspect(now, "refused " + refusedInRow + " in a row, wait " + wait / 1000 + " ms");
        } else if (now - paceCutAt >= 250_000) {
            double accepted = Math.max(bestRate / 2, 1e6 * doneInSpan / terms.fallSpan());
            double known = Math.max(limitTold, listedRate / LISTED_HIGH) / terms.nodes();
            pace = Math.max(0.5, 0.85 * Math.min(pace, Math.max(accepted, known)));
            paceCutAt = now;
        }
    }

    private void count(int bin) {
        if (++seen[bin] + seen[0] + seen[1] + seen[2] > 16) {
            for (int i = 0; i < seen.length; i++) {
                seen[i] /= 2;
            }
        }
    }

    /** Looks at the calls that are out: silence is noticed before any of them times out. */
    void tick(long now, double slowness) {
        if (pace < Double.POSITIVE_INFINITY && now - paceCutAt > 500_000) {
            pace *= 1.002;
        }
        int overdue = 0;
        for (Call call : out) {
            long bound = overdueAfter(call.route.fit(now), slowness);
            if (okAt < call.firedAt && now - call.firedAt > bound) {
                overdue += now - call.firedAt > 2 * bound ? 2 : 1;
            }
        }
        if (overdue >= 2 && !suspect()) {
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

    private void clear(long now, String why) {
        log.append("open after ").append((now - suspectAt) / 1000).append(" ms: ").append(why).append('\n');
        suspectAt = -1;
        cleanAt = -1;
        seen[1] = seen[2] = 0;
    }
}
