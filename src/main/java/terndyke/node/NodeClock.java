package terndyke.node;

import java.util.function.LongSupplier;

import terndyke.node.journal.JournalEntry;

/**
 * The node's clock in whole microseconds: the monotonic clock plus an offset. At the first start the offset is such that the clock shows the
 * wall clock's time; steps of the wall clock do not move it. A restarted node goes on with the offset of its previous run, so that times
 * in the journal stay comparable with the present, unless the monotonic clock is another one: after a boot of the machine.
 */
public final class NodeClock {
    private final LongSupplier monotonicClock;
    private final long offsetMicros;
    private final String clockIdentity;
    private final boolean continued;

    private NodeClock(LongSupplier monotonicClock, long offsetMicros, String clockIdentity, boolean continued) {
        this.monotonicClock = monotonicClock;
        this.offsetMicros = offsetMicros;
        this.clockIdentity = clockIdentity;
        this.continued = continued;
    }

    /** A clock without a previous run. */
    public NodeClock() {
        this(NodeClock::systemMonotonicClock, WallClockMonitor.systemWallClock() - systemMonotonicClock(), "", false);
    }

    /** The clock of a node with the given reference of its previous run, or null, and the latest time in the journal. */
    public static NodeClock continueFrom(JournalEntry.ClockReference reference, long latestTime) {
        return continueFrom(reference, latestTime, MonotonicClockIdentity.read(), NodeClock::systemMonotonicClock,
                WallClockMonitor.systemWallClock());
    }

    /**
     * Goes on with the previous run's offset if the monotonic clock has the same identity, and does not show that it began anew. Otherwise
     * the wall clock alone is known, and time begins no earlier than the journal ends.
     */
    static NodeClock continueFrom(JournalEntry.ClockReference reference, long latestTime, String clockIdentity,
            LongSupplier monotonicClock, long wallClockMicros) {
        long monotonicMicros = monotonicClock.getAsLong();
        boolean sameClock = reference != null && !clockIdentity.isEmpty() && clockIdentity.equals(reference.clockIdentity())
                && monotonicMicros + reference.offsetMicros() >= latestTime;
        long offset = sameClock ? reference.offsetMicros() : Math.max(wallClockMicros, latestTime) - monotonicMicros;
        return new NodeClock(monotonicClock, offset, clockIdentity, sameClock);
    }

    private static long systemMonotonicClock() {
        return System.nanoTime() / 1000;
    }

    public long now() {
        return monotonicClock.getAsLong() + offsetMicros;
    }

    /** True if the times of the previous run are on this clock. */
    public boolean isContinued() {
        return continued;
    }

    /** What the next run needs to go on with this clock. */
    public JournalEntry.ClockReference reference() {
        return new JournalEntry.ClockReference(clockIdentity, offsetMicros);
    }
}
