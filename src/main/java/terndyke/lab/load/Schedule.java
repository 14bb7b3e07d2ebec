package terndyke.lab.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.Destinations;
import terndyke.lab.plan.Experiment.Grade;
import terndyke.lab.plan.Experiment.Load;
import terndyke.lab.plan.Experiment.Tenant;

/** Draws a day's records before it begins: the same seed gives the same ones, whatever the answers will be. */
public final class Schedule {
    private final Experiment day;
    private final Load load;
    private final UniformRandomProvider chance;
    private final double length;

    private Schedule(Experiment day) {
        this.day = day;
        load = day.load();
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed());
        length = day.length().seconds();
    }

    public static List<Arrival> of(Experiment day) {
        return new Schedule(day).draw();
    }

    private List<Arrival> draw() {
        double[] grades = upTo(day.grades(), Grade::share);
        double[] tenants = upTo(day.tenants(), Tenant::share);
        List<Destinations> kinds = new ArrayList<>();
        day.destinations().forEach(some -> {
            for (int i = 0; i < some.count(); i++) {
                kinds.add(some);
            }
        });
        double[] destinations = upTo(kinds, Destinations::share);
        List<Arrival> arrivals = new ArrayList<>();
        for (double due : times()) {
            Grade grade = day.grades().get(pick(grades));
            int key = chance.nextInt(load.keys());
            // a key's records go to one destination, as one house's orders go to one supplier
            int destination = grade.inOrder() ? Math.floorMod(Integer.hashCode(key * 0x9E3779B9), kinds.size())
                    : pick(destinations);
            arrivals.add(new Arrival(Math.round(due * 1e6), grade.name(), day.tenants().get(pick(tenants)).name(),
                    grade.inOrder() ? "k" + Integer.toHexString(key) : null, destination, load.bytes()));
        }
        return arrivals;
    }

    /** Seconds since the start, in order. */
    private List<Double> times() {
        List<Double> times = new ArrayList<>();
        if (load.shape() == Load.Shape.CONSTANT) {
            int count = (int) Math.round(load.rate() * length);
            for (int i = 0; i < count; i++) {
                times.add(i / load.rate());
            }
            return times;
        }
        double most = Math.max(load.rate(), load.peak());
        double at = 0;
        if (load.shape() == Load.Shape.CLUMPS) {
            while ((at += exponential(load.rate() / load.clump())) < length) {
                for (int i = 0; i < load.clump(); i++) {
                    times.add(at);
                }
            }
            return times;
        }
        while ((at += exponential(most)) < length) { // drawn at the highest rate, and thinned
            if (chance.nextDouble() * most < rate(at)) {
                times.add(at);
            }
        }
        return times;
    }

    private double exponential(double rate) {
        return -Math.log(1 - chance.nextDouble()) / rate;
    }

    /** Records a second at a time of the day. */
    private double rate(double at) {
        double from = load.from() == null ? 0 : load.from().seconds();
        double until = load.until() == null ? length : load.until().seconds();
        return switch (load.shape()) {
            case RAMP -> load.rate() + (load.peak() - load.rate()) * Math.min(1, Math.max(0, (at - from) / (until - from)));
            case SURGE -> at >= from && at < until ? load.peak() : load.rate();
            case WAVE -> load.rate() + (load.peak() - load.rate()) * (1 - Math.cos(2 * Math.PI * at / length)) / 2;
            default -> load.rate();
        };
    }

    private static <T> double[] upTo(List<T> items, ToDoubleFunction<T> share) {
        double[] sums = new double[items.size()];
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            sum += share.applyAsDouble(items.get(i));
            sums[i] = sum;
        }
        return sums;
    }

    private int pick(double[] sums) {
        int at = Arrays.binarySearch(sums, chance.nextDouble() * sums[sums.length - 1]);
        return Math.min(sums.length - 1, at < 0 ? -at - 1 : at + 1);
    }
}
