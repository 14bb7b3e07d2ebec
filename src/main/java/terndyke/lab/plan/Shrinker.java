package terndyke.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Cuts a day that fails down to a short one that still does: first failures go, in ever smaller parts as delta debugging
 * does, then the day and the failures become shorter. A day counts as failing only if it fails in every one of a number
 * of tries, since real nodes do not repeat themselves.
 */
public final class Shrinker {
    private static final long SHORTEST = 1_000_000;

    private final Fails fails;
    private final int tries;
    private final Consumer<String> told;
    private int played;

    /** Plays a day and says whether it fails. */
    public interface Fails {
        boolean test(Experiment day) throws Exception;
    }

    public Shrinker(Fails fails, int tries, Consumer<String> told) {
        this.fails = fails;
        this.tries = tries;
        this.told = told;
    }

    public int played() {
        return played;
    }

    private boolean fails(Experiment day) throws Exception {
        for (int i = 0; i < tries; i++) {
            played++;
            if (!fails.test(day)) {
                return false;
            }
        }
        return true;
    }

    /** The shortest day found that still fails; the day itself where nothing can go, null where it does not fail. */
    public Experiment shrink(Experiment day) throws Exception {
        if (!fails(day)) {
            return null;
        }
        Experiment least = fewer(day);
        least = shorter(least);
        return briefer(least);
    }

    private Experiment fewer(Experiment day) throws Exception {
        Experiment least = day;
        for (int parts = 2; !least.failures().isEmpty();) {
            List<Failure> all = least.failures();
            int size = Math.max(1, (all.size() + parts - 1) / parts);
            boolean went = false;
            for (int from = 0; from < all.size() && !went; from += size) {
                List<Failure> rest = new ArrayList<>(all.subList(0, from));
                rest.addAll(all.subList(Math.min(all.size(), from + size), all.size()));
                Experiment smaller = least.withFailures(rest);
                if (fails(smaller)) {
                    told.accept("fails with " + rest.size() + " of " + all.size() + " failures");
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

    private Experiment shorter(Experiment day) throws Exception {
        Experiment least = day;
        while (least.length().micros() / 2 >= SHORTEST) {
            Experiment half = least.withLength(new Span(least.length().micros() / 2 / 1000 * 1000));
            if (!fails(half)) {
                return least;
            }
            told.accept("fails within " + half.length());
            least = half;
        }
        return least;
    }

    private Experiment briefer(Experiment day) throws Exception {
        Experiment least = day;
        for (int i = 0; i < least.failures().size(); i++) {
            while (least.failures().get(i).lasts().micros() / 2 >= 100_000) {
                Failure failure = least.failures().get(i);
                List<Failure> changed = new ArrayList<>(least.failures());
                changed.set(i, new Failure(failure.kind(), failure.at(),
                        new Span(failure.lasts().micros() / 2 / 1000 * 1000), failure.amount(), failure.on()));
                if (!fails(least.withFailures(changed))) {
                    break;
                }
                least = least.withFailures(changed);
                told.accept("fails with " + failure.kind().told() + " for " + changed.get(i).lasts());
            }
        }
        return least;
    }
}
