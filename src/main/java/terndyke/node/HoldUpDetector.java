package terndyke.node;

import java.util.function.LongSupplier;

/**
 * Detects that the process was held up: stopped, or without processor time. The decision thread says when it starts to wait and
 * when it goes on; if it goes on later than it wanted to, or one of its turns takes long, other threads may have been held up too.
 * Times are microseconds of the given clock.
 */
public final class HoldUpDetector {
    private final LongSupplier clock;
    private final long toleranceMicros;
    private volatile long expectedAt; // when the thread wants to go on at the latest, or when its present turn began
    private volatile long lastHoldUpEndedAt = Long.MIN_VALUE;

    public HoldUpDetector(LongSupplier clock, long toleranceMicros) {
        this.clock = clock;
        this.toleranceMicros = toleranceMicros;
        expectedAt = clock.getAsLong();
    }

    /** The decision thread ends its turn and waits for an event, at most for the given time. */
    public void beginWait(long maxWaitMicros) {
        long now = clock.getAsLong();
        noteIfLate(now);
        expectedAt = now + maxWaitMicros;
    }

    /** The decision thread goes on. */
    public void endWait() {
        long now = clock.getAsLong();
        noteIfLate(now);
        expectedAt = now;
    }

    private void noteIfLate(long now) {
        if (now - expectedAt > toleranceMicros) {
            lastHoldUpEndedAt = now;
        }
    }

    /** True if the process was held up at some time since the given one, or is just going on. May be called by any thread. */
    public boolean wasHeldUpSince(long time) {
        return lastHoldUpEndedAt >= time || clock.getAsLong() - expectedAt > toleranceMicros;
    }
}
