package terndyke.lab.model;

import terndyke.lab.plan.Experiment.RateLimit;

/** Rate limiter: a token bucket (rate and burst), or a fixed number of calls in each window of the clock. */
final class RateLimiter {
    private final RateLimit limit;
    private final double burst;
    private double tokens;
    private long lastRefillMicros = Long.MIN_VALUE;
    private long windowStartMicros;
    private int usedInWindow;

    RateLimiter(RateLimit limit) {
        this.limit = limit;
        burst = limit == null || limit.rate() == null ? 0
                : limit.burst() != null ? limit.burst() : Math.max(1, limit.rate() / 4);
        tokens = burst;
    }

    /** Returns whether one more call is allowed now. Only an allowed call uses up a permit. */
    boolean tryAcquire(long now) {
        if (limit == null) {
            return true;
        }
        refill(now);
        if (limit.rate() == null) {
            return usedInWindow < limit.count() && ++usedInWindow > 0;
        }
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** The time at which the next call would be allowed if no other call came before it. */
    long nextPermitMicros(long now) {
        refill(now);
        return limit.rate() == null ? windowStartMicros + limit.span().micros()
                : now + (long) Math.ceil((1 - tokens) / limit.rate() * 1e6);
    }

    /** The unused share of the limit, from 0 to 1; 1 where there is no limit. */
    double remainingShare(long now) {
        if (limit == null) {
            return 1;
        }
        refill(now);
        return limit.rate() == null ? 1 - usedInWindow / (double) limit.count() : tokens / burst;
    }

    /** The allowed calls per second; 0 where there is no limit. */
    double callsPerSecond() {
        return limit == null ? 0 : limit.rate() != null ? limit.rate() : limit.count() / limit.span().seconds();
    }

    private void refill(long now) {
        if (limit.rate() != null) {
            tokens = lastRefillMicros == Long.MIN_VALUE ? burst
                    : Math.min(burst, tokens + (now - lastRefillMicros) / 1e6 * limit.rate());
            lastRefillMicros = now;
        } else {
            long start = now - Math.floorMod(now, limit.span().micros());
            if (start != windowStartMicros) {
                windowStartMicros = start;
                usedInWindow = 0;
            }
        }
    }
}
