package terndyke.node;

import java.util.Locale;

import terndyke.node.Counters.Counter;

/**
 * Measures each turn of the decision thread, and says of slow ones what took the time: words taken in, timers, the
 * module, carrying out its actions (journal included), or sweeping. One line a second at most; the slowest of those that
 * were not told goes into the next one. Told times, it has no clock; of the decision thread alone.
 */
public final class SlowTurnDetector {
    /** What a turn is doing. */
    public enum Phase { WORDS, TIMERS, MODULE, ACTIONS, SWEEP }

    private final long thresholdMicros;
    private final long logIntervalMicros;
    private final Counters counters;
    private final long[] phaseMicros = new long[Phase.values().length];
    private long turnStartedAt = -1;
    private long phaseStartedAt;
    private int eventCount;
    private int unreportedTurns;
    private long slowestUnreportedMicros;
    private String slowestDescription;
    private long lastReportedAt = Long.MIN_VALUE;

    /** Both times in microseconds: from when on a turn is slow, and between two lines. */
    public SlowTurnDetector(long slow, long lineEvery, Counters counters) {
        this.thresholdMicros = slow;
        this.logIntervalMicros = lineEvery;
        this.counters = counters;
    }

    public void beginTurn(long now) {
        turnStartedAt = now;
        phaseStartedAt = now;
        eventCount = 0;
        java.util.Arrays.fill(phaseMicros, 0);
    }

    /** A record has waited so long for this turn, since it was read off its socket. */
    public void measureQueueWait(long micros) {
        counters.recordMaximum(Counter.LONGEST_WAIT, micros);
    }

    /** So many words have been taken in, in the time since the last one was told. */
    public void endEventPhase(int many, long now) {
        eventCount = many;
        endPhase(Phase.WORDS, now);
    }

    /** What has passed since the last word was spent so. Outside a turn nothing is measured. */
    public void endPhase(Phase doing, long now) {
        if (turnStartedAt >= 0) {
            phaseMicros[doing.ordinal()] += now - phaseStartedAt;
            phaseStartedAt = now;
        }
    }

    /** The turn is over; returns a line for the log, or null. */
    public String endTurn(long now) {
        long took = now - turnStartedAt;
        turnStartedAt = -1;
        counters.recordMaximum(Counter.LONGEST_TURN, took);
        if (took >= thresholdMicros) {
            counters.add(Counter.SLOW_TURNS);
            unreportedTurns++;
            if (took > slowestUnreportedMicros) {
                slowestUnreportedMicros = took;
                slowestDescription = describeTurn(took);
            }
        }
        if (unreportedTurns == 0 || lastReportedAt != Long.MIN_VALUE && now < lastReportedAt + logIntervalMicros) {
            return null;
        }
        String told = slowestDescription + (unreportedTurns > 1 ? ", the slowest of " + unreportedTurns : "");
        lastReportedAt = now;
        unreportedTurns = 0;
        slowestUnreportedMicros = 0;
        return told;
    }

    private String describeTurn(long took) {
        StringBuilder text = new StringBuilder("slow turn: ").append(took / 1000).append(" ms, ").append(eventCount).append(" words");
        for (Phase doing : Phase.values()) {
            if (phaseMicros[doing.ordinal()] >= 1_000) {
                text.append(", ").append(doing.name().toLowerCase(Locale.ROOT)).append(' ')
                        .append(phaseMicros[doing.ordinal()] / 1000).append(" ms");
            }
        }
        return text.toString();
    }
}
