package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

import terndyke.node.Counters.Counter;
import terndyke.node.SlowTurnDetector.Phase;

/** Which turns of the decision thread are logged as slow, and what the line says. */
class SlowTurnDetectorTest {
    private final Counters counters = new Counters();
    private final SlowTurnDetector detector = new SlowTurnDetector(100_000, 1_000_000, counters);

    private String runTurn(long startMicros, long moduleMicros, long sweepMicros) {
        detector.beginTurn(startMicros);
        detector.endEventPhase(1, startMicros + 2_000);
        detector.endPhase(Phase.MODULE, startMicros + 2_000 + moduleMicros);
        detector.endPhase(Phase.SWEEP, startMicros + 2_000 + moduleMicros + sweepMicros);
        return detector.endTurn(startMicros + 2_000 + moduleMicros + sweepMicros);
    }

    @Test
    void aSlowTurnIsReportedWithTheTimeOfEachPhase() {
        assertNull(runTurn(0, 50_000, 0));
        assertEquals("slow turn: 152 ms, 1 words, words 2 ms, module 30 ms, sweep 120 ms", runTurn(100_000, 30_000, 120_000));
        assertEquals(152_000, counters.get(Counter.LONGEST_TURN));
        assertEquals(1, counters.get(Counter.SLOW_TURNS));
    }

    @Test
    void withinTheLogIntervalOnlyTheSlowestTurnIsKeptForTheNextLine() {
        runTurn(0, 200_000, 0);
        assertNull(runTurn(300_000, 400_000, 0));
        assertNull(runTurn(800_000, 150_000, 0));
        assertEquals("slow turn: 402 ms, 1 words, words 2 ms, module 400 ms, the slowest of 2", runTurn(1_300_000, 1_000, 0));
        assertNull(runTurn(2_400_000, 1_000, 0));
    }

    @Test
    void outsideATurnNothingIsMeasured() {
        detector.endPhase(Phase.MODULE, 5_000_000);
        assertNull(runTurn(6_000_000, 1_000, 0));
    }
}
