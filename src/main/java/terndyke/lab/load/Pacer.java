package terndyke.lab.load;

import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;
import java.util.function.IntToLongFunction;

import org.HdrHistogram.Histogram;

/** Starts each item of a schedule when it is due, without waiting for anything else, and measures how late each start was. */
public final class Pacer {
    private static final long SPIN_NANOS = 60_000; // before a due time, these last nanoseconds are busy-waited, not slept

    private final Histogram lateness = new Histogram(1, 3_600_000_000L, 3);
    private volatile boolean stopped;

    /** Runs items 0 to count - 1. The due times are nanoseconds of System.nanoTime. Returns the number of items started. */
    public int run(int count, IntToLongFunction dueTimeNanos, IntConsumer action) {
        for (int i = 0; i < count; i++) {
            long dueNanos = dueTimeNanos.applyAsLong(i);
            for (long remainingNanos = dueNanos - System.nanoTime();
                    remainingNanos > 0 && !stopped;
                    remainingNanos = dueNanos - System.nanoTime()) {
                if (remainingNanos > SPIN_NANOS) {
                    LockSupport.parkNanos(Math.min(remainingNanos - SPIN_NANOS, 100_000_000));
                } else {
                    Thread.onSpinWait();
                }
            }
            if (stopped) {
                return i;
            }
            lateness.recordValue(Math.min(3_600_000_000L, Math.max(0, (System.nanoTime() - dueNanos) / 1000)));
            action.accept(i);
        }
        return count;
    }

    /** Makes run return before the next item is started. */
    public void stop() {
        stopped = true;
    }

    /** How late items were started, in microseconds. To be read only after run has returned. */
    public Histogram lateness() {
        return lateness;
    }
}
