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
    public SlowTurnDetector(long thresholdMicros, long logIntervalMicros, Counters counters) {
        this.thresholdMicros = thresholdMicros;
        this.logIntervalMicros = logIntervalMicros;
        this.counters = counters;
    }

    public void beginTurn(long now) {
        turnStartedAt = now;
        phaseStartedAt = now;
        eventCount = 0;
        java.util.Arrays.fill(phaseMicros, 0);
    }

    /** Reports how long a request waited for this turn after it was read from its socket. */
    public void recordQueueWait(long micros) {
        counters.recordMaximum(Counter.LONGEST_WAIT, micros);
    }

    /** Ends the phase in which events were handled, with their number. */
    public void endEventPhase(int count, long now) {
        eventCount = count;
        endPhase(Phase.WORDS, now);
    }

    /** Attributes the time since the previous phase ended to the given phase. Outside a turn nothing is measured. */
    public void endPhase(Phase phase, long now) {
        if (turnStartedAt >= 0) {
            phaseMicros[phase.ordinal()] += now - phaseStartedAt;
            phaseStartedAt = now;
        }
    }

    /** Ends the turn; returns a line for the log, or null. */
    public String endTurn(long now) {
        long durationMicros = now - turnStartedAt;
        turnStartedAt = -1;
        counters.recordMaximum(Counter.LONGEST_TURN, durationMicros);
        if (durationMicros >= thresholdMicros) {
            counters.add(Counter.SLOW_TURNS);
            unreportedTurns++;
            if (durationMicros > slowestUnreportedMicros) {
                slowestUnreportedMicros = durationMicros;
                slowestDescription = describeTurn(durationMicros);
            }
        }
        if (unreportedTurns == 0 || lastReportedAt != Long.MIN_VALUE && now < lastReportedAt + logIntervalMicros) {
            return null;
        }
        String line = slowestDescription + (unreportedTurns > 1 ? ", the slowest of " + unreportedTurns : "");
        lastReportedAt = now;
        unreportedTurns = 0;
        slowestUnreportedMicros = 0;
        return line;
    }

    private String describeTurn(long durationMicros) {
        StringBuilder text = new StringBuilder("slow turn: ").append(durationMicros / 1000).append(" ms, ").append(eventCount)
                .append(" words");
        for (Phase phase : Phase.values()) {
            if (phaseMicros[phase.ordinal()] >= 1_000) {
                text.append(", ").append(phase.name().toLowerCase(Locale.ROOT)).append(' ')
                        .append(phaseMicros[phase.ordinal()] / 1000).append(" ms");
            }
        }
        return text.toString();
    }
}
