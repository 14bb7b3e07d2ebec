package terndyke.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reduces an experiment that breaks a rule to a small one that still does: failures are removed in ever smaller groups, as
 * in delta debugging, then the run and the remaining failures are shortened. An experiment counts as failing only if it
 * fails in every one of a number of runs, because runs with real nodes are not deterministic.
 */
public final class ExperimentShrinker {
    private static final long MIN_LENGTH_MICROS = 1_000_000;

    private final FailureCheck failureCheck;
    private final int tries;
    private final Consumer<String> progressListener;
    private int runCount;

    /** Runs an experiment and tells whether it fails. */
    public interface FailureCheck {
        boolean test(Experiment experiment) throws Exception;
    }

    /**
     * @param tries the number of runs that all have to fail
     * @param progressListener receives a line of text for each successful reduction
     */
    public ExperimentShrinker(FailureCheck failureCheck, int tries, Consumer<String> progressListener) {
        this.failureCheck = failureCheck;
        this.tries = tries;
        this.progressListener = progressListener;
    }

    public int runCount() {
        return runCount;
    }

    private boolean failsInEveryTry(Experiment experiment) throws Exception {
        for (int i = 0; i < tries; i++) {
            runCount++;
            if (!failureCheck.test(experiment)) {
                return false;
            }
        }
        return true;
    }

    /** The smallest failing experiment found; the given one if it cannot be reduced, null if it does not fail. */
    public Experiment shrink(Experiment experiment) throws Exception {
        if (!failsInEveryTry(experiment)) {
            return null;
        }
        Experiment smallest = removeFailures(experiment);
        smallest = shortenExperiment(smallest);
        return shortenFailures(smallest);
    }

    private Experiment removeFailures(Experiment experiment) throws Exception {
        Experiment smallest = experiment;
        for (int parts = 2; !smallest.failures().isEmpty();) {
            List<Failure> all = smallest.failures();
            int size = Math.max(1, (all.size() + parts - 1) / parts);
            boolean removed = false;
            for (int from = 0; from < all.size() && !removed; from += size) {
                List<Failure> remaining = new ArrayList<>(all.subList(0, from));
                remaining.addAll(all.subList(Math.min(all.size(), from + size), all.size()));
                Experiment smaller = smallest.withFailures(remaining);
                if (failsInEveryTry(smaller)) {
                    progressListener.accept("still fails with " + remaining.size() + " of " + all.size() + " failures");
                    smallest = smaller;
                    removed = true;
                }
            }
            if (!removed && size == 1) {
                return smallest;
            }
            parts = removed ? Math.max(2, parts - 1) : Math.min(all.size(), parts * 2);
        }
        return smallest;
    }

    private Experiment shortenExperiment(Experiment experiment) throws Exception {
        Experiment smallest = experiment;
        while (smallest.length().micros() / 2 >= MIN_LENGTH_MICROS) {
            Experiment half = smallest.withLength(new TimeSpan(smallest.length().micros() / 2 / 1000 * 1000));
            if (!failsInEveryTry(half)) {
                return smallest;
            }
            progressListener.accept("still fails with a length of " + half.length());
            smallest = half;
        }
        return smallest;
    }

    private Experiment shortenFailures(Experiment experiment) throws Exception {
        Experiment smallest = experiment;
        for (int i = 0; i < smallest.failures().size(); i++) {
            while (smallest.failures().get(i).duration().micros() / 2 >= 100_000) {
                Failure failure = smallest.failures().get(i);
                List<Failure> changed = new ArrayList<>(smallest.failures());
                changed.set(i, new Failure(failure.kind(), failure.at(),
                        new TimeSpan(failure.duration().micros() / 2 / 1000 * 1000), failure.amount(), failure.on()));
                if (!failsInEveryTry(smallest.withFailures(changed))) {
                    break;
                }
                smallest = smallest.withFailures(changed);
                progressListener.accept("still fails with " + failure.kind().yamlName() + " for " + changed.get(i).duration());
            }
        }
        return smallest;
    }
}
