package terndyke.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;

/** Notices steps of the wall clock, which the node's own clock does not follow. Times are microseconds. */
public final class WallClockMonitor {
    private static final long MIN_STEP_MICROS = 100_000; // more than a clock is slewed, or a thread held up, between two reads

    private final LongSupplier wallClock;
    private final LongSupplier monotonicClock;
    private long lastOffset; // of the wall clock from the monotonic one

    public WallClockMonitor(LongSupplier wallClock, LongSupplier monotonicClock) {
        this.wallClock = wallClock;
        this.monotonicClock = monotonicClock;
        lastOffset = offset();
    }

    /** The system's wall clock, in microseconds since the epoch. */
    public static long systemWallClock() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }

    private long offset() {
        return wallClock.getAsLong() - monotonicClock.getAsLong();
    }

    /** By how much the wall clock has stepped since the last call, or 0 if it has not. */
    public long pollStep() {
        long offset = offset();
        long step = offset - lastOffset;
        lastOffset = offset;
        return Math.abs(step) >= MIN_STEP_MICROS ? step : 0;
    }
}
