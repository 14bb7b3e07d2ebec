package terndyke.node;

import java.util.Locale;

import terndyke.node.Counters.Counter;

/**
 * Measures each turn of the decision thread and reports which phase of a slow turn took the time: handling events, timers,
 * the decision module, performing its actions (journal writes included), or the periodic sweep. At most one line is
 * reported per log interval; it describes the slowest turn since the previous line. The times are passed in by the caller.
 * Not thread-safe: used by the decision thread only.
 */
public final class SlowTurnDetector {
    /** The phases of a turn, logged by name in lower case; WORDS is the handling of queued events. */
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

    /** Both times in microseconds: the duration from which a turn is slow, and the minimum time between two log lines. */
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

    /** Reports how long a request waited for this turn after it was read from its socket. */
    public void measureQueueWait(long micros) {
        counters.recordMaximum(Counter.LONGEST_WAIT, micros);
    }

    /** Ends the phase in which events were handled, with their number. */
    public void endEventPhase(int many, long now) {
        eventCount = many;
        endPhase(Phase.WORDS, now);
    }

    /** Attributes the time since the previous phase ended to the given phase. Outside a turn nothing is measured. */
    public void endPhase(Phase doing, long now) {
        if (turnStartedAt >= 0) {
            phaseMicros[doing.ordinal()] += now - phaseStartedAt;
            phaseStartedAt = now;
        }
    }

    /** Ends the turn; returns a line for the log, or null. */
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
        StringBuilder text = new StringBuilder("slow turn: ").append(took / 1000).append(" ms, ").append(eventCount)
                .append(" words");
        for (Phase doing : Phase.values()) {
            if (phaseMicros[doing.ordinal()] >= 1_000) {
                text.append(", ").append(doing.name().toLowerCase(Locale.ROOT)).append(' ')
                        .append(phaseMicros[doing.ordinal()] / 1000).append(" ms");
            }
        }
        return text.toString();
    }
}
