package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

/** Which differences between two clocks are reported as steps of the wall clock. */
class WallClockMonitorTest {
    private final AtomicLong wallClock = new AtomicLong(1_000_000_000);
    private final AtomicLong monotonicClock = new AtomicLong(5);
    private final WallClockMonitor monitor = new WallClockMonitor(wallClock::get, monotonicClock::get);

    private void pass(long micros) {
        wallClock.addAndGet(micros);
        monotonicClock.addAndGet(micros);
    }

    @Test
    void aStepIsReportedOnce() {
        pass(3_000_000);
        assertEquals(0, monitor.pollStep());
        wallClock.addAndGet(-5_000_000);
        pass(20_000);
        assertEquals(-5_000_000, monitor.pollStep());
        assertEquals(0, monitor.pollStep());
    }

    @Test
    void aSlewedClockIsNotReported() {
        pass(1_000_000);
        wallClock.addAndGet(500);
        assertEquals(0, monitor.pollStep());
    }
}
