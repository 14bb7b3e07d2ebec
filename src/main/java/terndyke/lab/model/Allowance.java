package terndyke.lab.model;

import terndyke.lab.plan.Experiment.Limit;

/** The calls that one limit lets through: a rate with a burst, or a count in each span of the clock. */
final class Allowance {
    private final Limit limit;
    private final double burst;
    private double tokens;
    private long at = Long.MIN_VALUE;
    private long spanStart;
    private int used;

    Allowance(Limit limit) {
        this.limit = limit;
        burst = limit == null || limit.rate() == null ? 0
                : limit.burst() != null ? limit.burst() : Math.max(1, limit.rate() / 4);
        tokens = burst;
    }

    /** Whether one more call is let through; only such a one uses it up. */
    boolean take(long now) {
        if (limit == null) {
            return true;
        }
        refill(now);
        if (limit.rate() == null) {
            return used < limit.count() && ++used > 0;
        }
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** When the next call would be let through, if nobody else came. */
    long freeAt(long now) {
        refill(now);
        return limit.rate() == null ? spanStart + limit.span().micros()
                : now + (long) Math.ceil((1 - tokens) / limit.rate() * 1e6);
    }

    /** The share that is left. */
    double left(long now) {
        if (limit == null) {
            return 1;
        }
        refill(now);
        return limit.rate() == null ? 1 - used / (double) limit.count() : tokens / burst;
    }

    /** Calls a second; 0 where there is no limit. */
    double perSecond() {
        return limit == null ? 0 : limit.rate() != null ? limit.rate() : limit.count() / limit.span().seconds();
    }

    private void refill(long now) {
        if (limit.rate() != null) {
            tokens = at == Long.MIN_VALUE ? burst : Math.min(burst, tokens + (now - at) / 1e6 * limit.rate());
            at = now;
        } else {
            long start = now - Math.floorMod(now, limit.span().micros());
            if (start != spanStart) {
                spanStart = start;
                used = 0;
            }
        }
    }
}
