package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

import terndyke.node.Counters.Count;
import terndyke.node.Watchdog.Doing;

class WatchdogTest {
    private final Counters counters = new Counters();
    private final Watchdog watchdog = new Watchdog(100_000, 1_000_000, counters);

    private String turn(long at, long module, long sweep) {
        watchdog.begin(at);
        watchdog.tookIn(1, at + 2_000);
        watchdog.did(Doing.MODULE, at + 2_000 + module);
        watchdog.did(Doing.SWEEP, at + 2_000 + module + sweep);
        return watchdog.end(at + 2_000 + module + sweep);
    }

    @Test
    void aSlowTurnIsToldWithWhatTookTheTime() {
        assertNull(turn(0, 50_000, 0));
        assertEquals("slow turn: 152 ms, 1 words, words 2 ms, module 30 ms, sweep 120 ms", turn(100_000, 30_000, 120_000));
        assertEquals(152_000, counters.of(Count.LONGEST_TURN));
        assertEquals(1, counters.of(Count.SLOW_TURNS));
    }

    @Test
    void withinASecondTheSlowestOfTheRestWaitsForTheNextLine() {
        turn(0, 200_000, 0);
        assertNull(turn(300_000, 400_000, 0));
        assertNull(turn(800_000, 150_000, 0));
        assertEquals("slow turn: 402 ms, 1 words, words 2 ms, module 400 ms, the slowest of 2", turn(1_300_000, 1_000, 0));
        assertNull(turn(2_400_000, 1_000, 0));
    }

    @Test
    void outsideATurnNothingIsMeasured() {
        watchdog.did(Doing.MODULE, 5_000_000);
        assertNull(turn(6_000_000, 1_000, 0));
    }
}
