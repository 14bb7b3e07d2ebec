package terndyke.decision;

import java.util.*;
import java.util.function.Consumer;

import terndyke.api.*;
import terndyke.decision.Held.Call;

/** What limits, waits, falls and returns as one: a route where routes are apart, else a whole destination. */
final class Destination {
    private static final double CAUTION = 0.9; // of a cold budget
    static final long AGAIN = 1_000_000, FULL_FOR = 5_000_000; // a first rest, by chance; see wasFull

    final List<Route> routes = new ArrayList<>();
    double listedRate, limitTold; // calls a second, as listed and as reported
    private final DeliveryTerms terms;
    private final Random chance;
    private final Consumer<String> log;
    final List<Call> out = new ArrayList<>();
    private int fine, failed, refusedInRow, failedInRow; // calls that ended so; the first two halved at times
    /** Calls done in about a span, now and at best; the learned pace in calls a second, its allowance. */
    private double served, best, pace = Double.POSITIVE_INFINITY, credit = 1;
    /** When a call was last done or failed, an outage suspected, its end seen; or -1. */
    private long creditAt, paceAt, cutAt, rowAt, okAt = -1, failedAt = -1, suspectAt = -1, cleanAt = -1;
    long unconnectedAt = -FULL_FOR; // where one comes up soon after, it was full: no outage is so short
    private boolean probeGood;
    long waitUntil;

    Destination(DeliveryTerms terms, Random chance, Consumer<String> log) {
        this.chance = chance;
        this.terms = terms;
        this.log = log;
    }

    boolean suspect() {
        return suspectAt >= 0;
    }

    private boolean down() {
        return suspect() && cleanAt < 0;
    }

    /** The design's companion rule: calls mostly fail, time out or run far past the fitted mean. */
    boolean sick(long now) {
        return suspect() || !out.isEmpty() && expected(now) > 3 * fitted(now);
    }

    double expected(long now) {
        return Math.max(fitted(now), out.isEmpty() ? 0 : now - out.get(0).firedAt);
    }

    private double fitted(long now) {
        return routes.stream().mapToDouble(route -> route.fit(now).m()).min().orElse(Route.OVERDUE_LEAST);
    }

    /** This node's part of what the destination takes, in calls a second, as told, listed or seen. */
    private double part() {
        return limitTold > 0 ? limitTold / terms.nodes()
                : Math.max(listedRate / terms.nodes(), 1e6 * best / terms.fallSpan());
    }

    /** Rule 4: a part of a cold destination's calls a second, shared by the nodes that met the outage. */
    private double returnRate(long now) {
        double warm = cleanAt < 0 ? 0 : Math.min(1, (double) (now - cleanAt) / terms.coldFor());
        double share = terms.coldShare() + (1 - terms.coldShare()) * warm;
        double all = part() * terms.nodes(), least = 1e6 / terms.fallSpan(); // one call in each span
        double called = all * Math.max(terms.coldFor(), now - suspectAt) / 1e6; // meanwhile, by all nodes
        double met = Math.max(1, terms.nodes() * (all > 0 ? -Math.expm1(-called / terms.nodes()) : 1));
        return share * Math.max(CAUTION * terms.fallMultiple() * all, least / terms.coldShare()) / met;
    }

    /** The learned pace, which grows by the clock from half a second after a cut. */
    private double pace(long now) {
        pace *= Math.exp(0.4 / terms.nodes() * Math.max(0, now - paceAt) / 1e6);
        paceAt = Math.max(now, paceAt);
        return pace;
    }

    /** May a call go now? Rules 4 and 6, and the learned pace. */
    boolean admits(long now) {
        double rate = Math.min(1e6, suspect() ? Math.min(pace(now), returnRate(now)) : pace(now));
        credit = Math.min(Math.max(1, rate / 2), credit + rate * (now - creditAt) / 1e6);
        creditAt = now;
        return now >= waitUntil && (probeGood || credit >= 1 && (!down() || !terms.probes()));
    }

    /** The route to probe now, where records wait; the call after a good probe overdraws credit. */
    Optional<Route> probe(long now) {
        boolean may = terms.probes() && down() && !probeGood && !admits(now) && now >= waitUntil;
        Optional<Route> route = routes.stream()
                .filter(r -> may && credit >= 1 && r.ready() && !r.addressee.waiting.isEmpty()).findFirst();
        credit -= route.isPresent() ? 1 : 0;
        return route;
    }

    void fired(Call call) {
        out.add(call);
        credit = Math.max(suspect() ? -1 : 0, credit - 1);
        probeGood = false;
    }

    boolean takesMore() {
        return !suspect() || !down() && credit > -1;
    }

    void joined(int before) {
        credit -= before > 0 && suspect() ? 0.25 : 0;
    }

    void probeEnded(long now, Ending ending, float[] report) {
        told(now, 0, report);
        probeGood = ending == Ending.DONE;
        failedAt = probeGood ? failedAt : now;
        if (ending == Ending.NOT_CONNECTED || ending == Ending.TIMED_OUT) {
            ended(null, Ending.TIMED_OUT, 0, now); // a lost probe is as much evidence as a lost call
        }
    }

    /** Rule 6: a wait told by any outcome binds all that follows. */
    void told(long now, long wait, float[] load) {
        waitUntil = Math.max(waitUntil, now + wait);
        limitTold = terms.limitAt() >= 0 && terms.limitAt() < load.length ? load[terms.limitAt()] : limitTold;
    }

    void ended(Call call, Ending ending, long wait, long now) {
        out.remove(call);
        unconnectedAt = ending == Ending.NOT_CONNECTED ? now : unconnectedAt;
        if (ending == Ending.DONE) {
            done(now);
        } else if (ending == Ending.FULL) {
            refused(wait, now);
        } else if (ending != Ending.NOT_SENT && ending != Ending.RECALLED && ending != Ending.CROWDED) {
            refusedInRow = 0;
            failedAt = now;
            failed += terms.probes() ? 1 : 2; // where no probe may bear it out, a lost call stands for both
            cleanAt = 2 * failed > fine ? -1 : cleanAt; // one bad endpoint does not undo the others' return
            suspect(now, "failed " + failed + " of " + (failed + fine),
                    (failedInRow += terms.probes() ? 1 : 2) >= 3 && now - okAt > terms.fallSpan() / 2
                    || failed > 1 && (failed > fine || failedInRow > 1 && now - okAt > 2 * terms.fallSpan()));
        }
        int part = fine + failed > 12 ? 2 : 1;
        fine /= part;
        failed /= part;
    }

    private void done(long now) {
        refusedInRow = failedInRow = 0;
        served = served(now) + 1;
        double byChance = Math.min(Math.sqrt(served), 1.44 * Math.log(terms.nodes())); // at one of so many
        best = Math.max(suspect() ? best : 0.98 * best, served - byChance);
        okAt = now;
        pace += 0.1 * Math.min(pace, Math.max(1, (double) (now - cutAt) / terms.fallSpan()));
        fine++;
        failed = down() ? 0 : failed;
        cleanAt = down() ? now : cleanAt;
        if (suspect() && (now - cleanAt >= terms.coldFor() || failedAt < suspectAt)) { // warm, or only late
            log.accept("open after " + (now - suspectAt) / 1000 + " ms");
            suspectAt = -1;
        }
    }

    private double served(long now) {
        return served * Math.exp((double) (okAt - now) / terms.fallSpan());
    }

    long aboutOne(double span) {
        return (long) ((0.5 + chance.nextDouble()) * span);
    }

    private void refused(long wait, long now) {
        rowAt = refusedInRow == 0 ? now : rowAt;
        refusedInRow = Math.min(6, refusedInRow + (now < waitUntil ? 0 : 1)); // together: once
        if (wait > 2 * terms.fallSpan() || refusedInRow >= 3 && now - rowAt > terms.fallSpan() / 2) {
            cleanAt = -1;
            failedAt = now;
            suspect(now, "refused " + refusedInRow + " in a row, wait " + wait / 1000 + " ms", true);
        } else if (now >= paceAt - 250_000) {
            double known = Math.max(limitTold, listedRate) / terms.nodes();
            double seen = Math.max(1e6 * served(now) / terms.fallSpan(), 1.2 * known);
            pace = Math.max(Math.max(0.1, 1.0 / terms.nodes()), 0.7 * Math.min(pace(now), seen));
            cutAt = now;
            paceAt = now + 500_000;
        }
        long rest = aboutOne(Math.min(AGAIN, 1e6 / pace));
        waitUntil = Math.max(waitUntil, now + wait + (rest << Math.max(0, refusedInRow - 1)));
    }

    /** Silence is noticed before any call times out: calls overdue with no answer since, twice if far. */
    int overdue(long now) {
        int overdue = 0;
        for (Call call : out) {
            long late = now - call.firedAt - call.route.overdueAfter(now);
            overdue += okAt >= call.firedAt || late <= 0 ? 0 : 2 * late > now - call.firedAt ? 2 : 1;
        }
        return overdue;
    }

    void suspect(long now, String why, boolean enough) {
        if (enough && !suspect()) {
            suspectAt = now;
            cleanAt = -1;
            probeGood = false;
            credit = (double) terms.nodeNumber() / terms.nodes(); // nodes take turns by their own number
            creditAt = now;
            log.accept("suspect: " + why);
        }
    }
}
