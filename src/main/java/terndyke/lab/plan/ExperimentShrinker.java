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
        boolean test(Experiment day) throws Exception;
    }

    /**
     * @param tries the number of runs that all have to fail
     * @param told receives a line of text for each successful reduction
     */
    public ExperimentShrinker(FailureCheck fails, int tries, Consumer<String> told) {
        this.failureCheck = fails;
        this.tries = tries;
        this.progressListener = told;
    }

    public int runCount() {
        return runCount;
    }

    private boolean failsInEveryTry(Experiment day) throws Exception {
        for (int i = 0; i < tries; i++) {
            runCount++;
            if (!failureCheck.test(day)) {
                return false;
            }
        }
        return true;
    }

    /** The smallest failing experiment found; the given one if it cannot be reduced, null if it does not fail. */
    public Experiment shrink(Experiment day) throws Exception {
        if (!failsInEveryTry(day)) {
            return null;
        }
        Experiment least = removeFailures(day);
        least = shortenExperiment(least);
        return shortenFailures(least);
    }

    private Experiment removeFailures(Experiment day) throws Exception {
        Experiment least = day;
        for (int parts = 2; !least.failures().isEmpty();) {
            List<Failure> all = least.failures();
            int size = Math.max(1, (all.size() + parts - 1) / parts);
            boolean went = false;
            for (int from = 0; from < all.size() && !went; from += size) {
                List<Failure> rest = new ArrayList<>(all.subList(0, from));
                rest.addAll(all.subList(Math.min(all.size(), from + size), all.size()));
                Experiment smaller = least.withFailures(rest);
                if (failsInEveryTry(smaller)) {
                    progressListener.accept("still fails with " + rest.size() + " of " + all.size() + " failures");
                    least = smaller;
                    went = true;
                }
            }
            if (!went && size == 1) {
                return least;
            }
            parts = went ? Math.max(2, parts - 1) : Math.min(all.size(), parts * 2);
        }
        return least;
    }

    private Experiment shortenExperiment(Experiment day) throws Exception {
        Experiment least = day;
        while (least.length().micros() / 2 >= MIN_LENGTH_MICROS) {
            Experiment half = least.withLength(new TimeSpan(least.length().micros() / 2 / 1000 * 1000));
            if (!failsInEveryTry(half)) {
                return least;
            }
            progressListener.accept("still fails with a length of " + half.length());
            least = half;
        }
        return least;
    }

    private Experiment shortenFailures(Experiment day) throws Exception {
        Experiment least = day;
        for (int i = 0; i < least.failures().size(); i++) {
            while (least.failures().get(i).lasts().micros() / 2 >= 100_000) {
                Failure failure = least.failures().get(i);
                List<Failure> changed = new ArrayList<>(least.failures());
                changed.set(i, new Failure(failure.kind(), failure.at(),
                        new TimeSpan(failure.lasts().micros() / 2 / 1000 * 1000), failure.amount(), failure.on()));
                if (!failsInEveryTry(least.withFailures(changed))) {
                    break;
                }
                least = least.withFailures(changed);
                progressListener.accept("still fails with " + failure.kind().yamlName() + " for " + changed.get(i).lasts());
            }
        }
        return least;
    }
}
