package terndyke.decision;

import java.util.*;

import terndyke.api.Ending;

/** The latest outcomes of one route, destination or hall, and the distribution fitted to them. */
final class OutcomeHistory {
    static final long RETENTION_MICROS = 60_000_000, MAX_OUTCOMES = 50; // how long and how many outcomes are kept

    private final Deque<Outcome> outcomes = new ArrayDeque<>(0);
    private RoutePicker.Fit cachedFit;
    int doneCount; // outcomes that are done, and their mean latency; as of the last fit
    double meanDoneLatency;

    private record Outcome(long endedAt, long latency, boolean done) { } // latency: -1 if unknown

    /** The mean time between calls with a known latency; attempts that were turned away do not use a connection. */
    long meanCallInterval(long now) {
        long callsWithLatency = outcomes.stream().filter(outcome -> outcome.latency >= 0).count();
        return callsWithLatency < 2 ? RETENTION_MICROS : (now - outcomes.getFirst().endedAt) / (callsWithLatency - 1);
    }

    /**
     * Adds an outcome. Refusals and errors count against the reliability only: how fast they come says nothing about the
     * latency of answers.
     */
    void addOutcome(long now, Ending ending, long elapsed) {
        boolean latencyKnown = ending == Ending.DONE || ending == Ending.TIMED_OUT || ending == Ending.RECALLED;
        outcomes.addLast(new Outcome(now, latencyKnown ? elapsed : -1, ending == Ending.DONE));
        cachedFit = null;
    }

    /** The shifted exponential fitted to the kept outcomes, or null if none has a known latency. */
    RoutePicker.Fit fit(long now) {
        while (!outcomes.isEmpty() && (outcomes.size() > MAX_OUTCOMES || outcomes.getFirst().endedAt < now - RETENTION_MICROS)) {
            outcomes.removeFirst();
            cachedFit = null;
        }
        if (cachedFit == null && !outcomes.isEmpty()) {
            LongSummaryStatistics knownLatencies = new LongSummaryStatistics(), doneLatencies = new LongSummaryStatistics();
            outcomes.stream().filter(outcome -> outcome.latency >= 0).forEach(outcome -> knownLatencies.accept(outcome.latency));
            outcomes.stream().filter(Outcome::done).forEach(outcome -> doneLatencies.accept(outcome.latency));
            doneCount = (int) doneLatencies.getCount();
            meanDoneLatency = doneLatencies.getAverage();
            cachedFit = knownLatencies.getCount() == 0 ? null
                    : new RoutePicker.Fit(knownLatencies.getMin(), knownLatencies.getAverage(),
                            (double) doneCount / outcomes.size());
        }
        return cachedFit;
    }
}
