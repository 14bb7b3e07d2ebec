package terndyke.lab.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.DestinationGroup;
import terndyke.lab.plan.Experiment.Grade;
import terndyke.lab.plan.Experiment.LoadProfile;
import terndyke.lab.plan.Experiment.Tenant;

/**
 * Generates the records of an experiment before it starts. The same seed gives the same records, independent of the
 * responses.
 */
public final class ScheduleGenerator {
    private final Experiment experiment;
    private final LoadProfile load;
    private final UniformRandomProvider random;
    private final double lengthSeconds;

    private ScheduleGenerator(Experiment day) {
        this.experiment = day;
        load = day.load();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed());
        lengthSeconds = day.length().seconds();
    }

    /** Generates the records of an experiment, sorted by due time. */
    public static List<Arrival> generate(Experiment day) {
        return new ScheduleGenerator(day).generateArrivals();
    }

    private List<Arrival> generateArrivals() {
        double[] grades = cumulativeShares(experiment.grades(), Grade::share);
        double[] tenants = cumulativeShares(experiment.tenants(), Tenant::share);
        List<DestinationGroup> kinds = new ArrayList<>();
        experiment.destinations().forEach(some -> {
            for (int i = 0; i < some.count(); i++) {
                kinds.add(some);
            }
        });
        double[] destinations = cumulativeShares(kinds, DestinationGroup::share);
        List<Arrival> arrivals = new ArrayList<>();
        for (double due : generateDueSeconds()) {
            Grade grade = experiment.grades().get(drawIndex(grades));
            int key = random.nextInt(load.keys());
            // all records of a key go to the same destination, as one customer's orders go to one supplier
            int destination = grade.inOrder() ? Math.floorMod(Integer.hashCode(key * 0x9E3779B9), kinds.size())
                    : drawIndex(destinations);
            arrivals.add(new Arrival(Math.round(due * 1e6), grade.name(), experiment.tenants().get(drawIndex(tenants)).name(),
                    grade.inOrder() ? "k" + Integer.toHexString(key) : null, destination, load.bytes()));
        }
        return arrivals;
    }

    /** The due times, in seconds since the start, in ascending order. */
    private List<Double> generateDueSeconds() {
        List<Double> times = new ArrayList<>();
        if (load.shape() == LoadProfile.Shape.CONSTANT) {
            int count = (int) Math.round(load.rate() * lengthSeconds);
            for (int i = 0; i < count; i++) {
                times.add(i / load.rate());
            }
            return times;
        }
        double most = Math.max(load.rate(), load.peak());
        double at = 0;
        if (load.shape() == LoadProfile.Shape.CLUMPS) {
            while ((at += drawExponential(load.rate() / load.clump())) < lengthSeconds) {
                for (int i = 0; i < load.clump(); i++) {
                    times.add(at);
                }
            }
            return times;
        }
        while ((at += drawExponential(most)) < lengthSeconds) { // Poisson process at the peak rate, thinned to rateAt
            if (random.nextDouble() * most < rateAt(at)) {
                times.add(at);
            }
        }
        return times;
    }

    private double drawExponential(double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }

    /** The rate in records per second at the given second of the run. */
    private double rateAt(double at) {
        double from = load.from() == null ? 0 : load.from().seconds();
        double until = load.until() == null ? lengthSeconds : load.until().seconds();
        return switch (load.shape()) {
            case RAMP -> load.rate() + (load.peak() - load.rate()) * Math.min(1, Math.max(0, (at - from) / (until - from)));
            case SURGE -> at >= from && at < until ? load.peak() : load.rate();
            case WAVE -> load.rate() + (load.peak() - load.rate()) * (1 - Math.cos(2 * Math.PI * at / lengthSeconds)) / 2;
            default -> load.rate();
        };
    }

    private static <T> double[] cumulativeShares(List<T> items, ToDoubleFunction<T> share) {
        double[] sums = new double[items.size()];
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            sum += share.applyAsDouble(items.get(i));
            sums[i] = sum;
        }
        return sums;
    }

    private int drawIndex(double[] sums) {
        int at = Arrays.binarySearch(sums, random.nextDouble() * sums[sums.length - 1]);
        return Math.min(sums.length - 1, at < 0 ? -at - 1 : at + 1);
    }
}
