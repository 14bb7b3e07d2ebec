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

    private ScheduleGenerator(Experiment experiment) {
        this.experiment = experiment;
        load = experiment.load();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(experiment.seed());
        lengthSeconds = experiment.length().seconds();
    }

    /** Generates the records of an experiment, sorted by due time. */
    public static List<Arrival> generate(Experiment experiment) {
        return new ScheduleGenerator(experiment).generateArrivals();
    }

    private List<Arrival> generateArrivals() {
        double[] gradeShares = cumulativeShares(experiment.grades(), Grade::share);
        double[] tenantShares = cumulativeShares(experiment.tenants(), Tenant::share);
        List<DestinationGroup> groupsByDestination = new ArrayList<>();
        experiment.destinations().forEach(group -> {
            for (int i = 0; i < group.count(); i++) {
                groupsByDestination.add(group);
            }
        });
        double[] destinationShares = cumulativeShares(groupsByDestination, DestinationGroup::share);
        List<Arrival> arrivals = new ArrayList<>();
        for (double dueSeconds : generateDueSeconds()) {
            Grade grade = experiment.grades().get(drawIndex(gradeShares));
            int key = random.nextInt(load.keys());
            // all records of a key go to the same destination, as one customer's orders go to one supplier
            int destination = grade.inOrder() ? Math.floorMod(Integer.hashCode(key * 0x9E3779B9), groupsByDestination.size())
                    : drawIndex(destinationShares);
            arrivals.add(new Arrival(Math.round(dueSeconds * 1e6), grade.name(),
                    experiment.tenants().get(drawIndex(tenantShares)).name(),
                    grade.inOrder() ? "k" + Integer.toHexString(key) : null, destination, load.bytes()));
        }
        return arrivals;
    }

    /** The due times, in seconds since the start, in ascending order. */
    private List<Double> generateDueSeconds() {
        List<Double> dueSeconds = new ArrayList<>();
        if (load.shape() == LoadProfile.Shape.CONSTANT) {
            int count = (int) Math.round(load.rate() * lengthSeconds);
            for (int i = 0; i < count; i++) {
                dueSeconds.add(i / load.rate());
            }
            return dueSeconds;
        }
        double maxRate = Math.max(load.rate(), load.peak());
        double seconds = 0;
        if (load.shape() == LoadProfile.Shape.CLUMPS) {
            while ((seconds += drawExponential(load.rate() / load.clump())) < lengthSeconds) {
                for (int i = 0; i < load.clump(); i++) {
                    dueSeconds.add(seconds);
                }
            }
            return dueSeconds;
        }
        while ((seconds += drawExponential(maxRate)) < lengthSeconds) { // Poisson process at the peak rate, thinned to rateAt
            if (random.nextDouble() * maxRate < rateAt(seconds)) {
                dueSeconds.add(seconds);
            }
        }
        return dueSeconds;
    }

    private double drawExponential(double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }

    /** The rate in records per second at the given second of the run. */
    private double rateAt(double seconds) {
        double fromSeconds = load.from() == null ? 0 : load.from().seconds();
        double untilSeconds = load.until() == null ? lengthSeconds : load.until().seconds();
        return switch (load.shape()) {
            case RAMP -> load.rate() + (load.peak() - load.rate())
                    * Math.min(1, Math.max(0, (seconds - fromSeconds) / (untilSeconds - fromSeconds)));
            case SURGE -> seconds >= fromSeconds && seconds < untilSeconds ? load.peak() : load.rate();
            case WAVE -> load.rate() + (load.peak() - load.rate()) * (1 - Math.cos(2 * Math.PI * seconds / lengthSeconds)) / 2;
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

    private int drawIndex(double[] shareSums) {
        int index = Arrays.binarySearch(shareSums, random.nextDouble() * shareSums[shareSums.length - 1]);
        return Math.min(shareSums.length - 1, index < 0 ? -index - 1 : index + 1);
    }
}
