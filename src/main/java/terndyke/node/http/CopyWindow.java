package terndyke.node.http;

import java.util.function.LongSupplier;

import terndyke.node.Limits;

/**
 * For how long after a response a second copy of it is expected on its connection. Copies that arrive on idle connections, where
 * they do no harm, show how late they come: the window is then widened for a while. Times are microseconds.
 */
final class CopyWindow {
    private static final int SAFETY_FACTOR = 2; // by how much later than those observed other copies are expected to come

    private final Limits limits;
    private final LongSupplier clock;
    private volatile long widenedMicros;
    private volatile long widenedUntil;

    CopyWindow(Limits limits, LongSupplier clock) {
        this.limits = limits;
        this.clock = clock;
    }

    /** Takes note of a copy that came so long after the response it repeats. Even a fast one shows that there are copies. */
    void addObservedLag(long lagMicros) {
        long neededMicros = Math.max(limits.widenedCopyWindowMicros(),
                Math.min(SAFETY_FACTOR * lagMicros, limits.maxResponseCopyWindowMicros()));
        if (neededMicros >= micros()) {
            widenedMicros = neededMicros;
            widenedUntil = clock.getAsLong() + limits.copyWindowRetentionMicros();
        }
    }

    /** The present length of the window. */
    long micros() {
        return clock.getAsLong() < widenedUntil ? Math.max(widenedMicros, limits.responseCopyWindowMicros())
                : limits.responseCopyWindowMicros();
    }
}
