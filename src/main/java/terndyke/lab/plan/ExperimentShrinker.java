package terndyke.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Cuts a day that fails down to a short one that still does: first failures go, in ever smaller parts as delta debugging
 * does, then the day and the failures become shorter. A day counts as failing only if it fails in every one of a number
 * of tries, since real nodes do not repeat themselves.
 */
public final class ExperimentShrinker {
    private static final long MIN_LENGTH_MICROS = 1_000_000;

    private final FailureCheck failureCheck;
    private final int tries;
    private final Consumer<String> progressListener;
    private int runCount;

    /** Plays a day and says whether it fails. */
    public interface FailureCheck {
        boolean test(Experiment day) throws Exception;
    }

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

    /** The shortest day found that still fails; the day itself where nothing can go, null where it does not fail. */
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
                    progressListener.accept("fails with " + rest.size() + " of " + all.size() + " failures");
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
            progressListener.accept("fails within " + half.length());
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
                progressListener.accept("fails with " + failure.kind().yamlName() + " for " + changed.get(i).lasts());
            }
        }
        return least;
    }
}
