package terndyke.node;

import java.time.Duration;
import java.time.Instant;

/** The node's clock in whole microseconds since the epoch: the wall clock at its start, advanced by the monotonic clock. */
public final class NodeClock {
    private final long wallClockAtStartMicros;
    private final long monotonicAtStartNanos = System.nanoTime();

    public NodeClock() {
        Duration sinceEpoch = Duration.between(Instant.EPOCH, Instant.now());
        wallClockAtStartMicros = sinceEpoch.getSeconds() * 1_000_000 + sinceEpoch.getNano() / 1000;
    }

    public long now() {
        return wallClockAtStartMicros + (System.nanoTime() - monotonicAtStartNanos) / 1000;
    }
}
