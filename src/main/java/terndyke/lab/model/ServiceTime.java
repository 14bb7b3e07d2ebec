package terndyke.lab.model;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.statistics.distribution.ContinuousDistribution;
import org.apache.commons.statistics.distribution.ExponentialDistribution;
import org.apache.commons.statistics.distribution.LogNormalDistribution;

import terndyke.lab.plan.Experiment.ServiceTimeDistribution;
import terndyke.lab.plan.TimeSpan;

/** Samples the service time of a call, in whole microseconds. */
public interface ServiceTime {
    long sampleMicros();

    /**
     * Creates the distribution that an experiment configures. The spread is the share of the mean that varies (shifted
     * exponential) or sigma (lognormal).
     */
    static ServiceTime of(ServiceTimeDistribution told, UniformRandomProvider chance) {
        double mean = told.mean().micros();
        return switch (told.shape()) {
            case FIXED -> () -> (long) mean;
            case EXPONENTIAL -> fromDistribution(ExponentialDistribution.of(Math.max(1, mean)), 0, chance);
            case SHIFTED -> {
                double varies = Math.min(1, told.spread());
                yield fromDistribution(ExponentialDistribution.of(Math.max(1, mean * varies)), mean * (1 - varies), chance);
            }
            case LOGNORMAL -> fromDistribution(LogNormalDistribution.of(Math.log(Math.max(1, mean))
                    - told.spread() * told.spread() / 2, told.spread()), 0, chance);
            case SAMPLE -> {
                List<TimeSpan> sample = told.sample();
                yield () -> sample.get(chance.nextInt(sample.size())).micros();
            }
        };
    }

    private static ServiceTime fromDistribution(ContinuousDistribution distribution, double shift, UniformRandomProvider chance) {
        ContinuousDistribution.Sampler sampler = distribution.createSampler(chance);
        return () -> Math.round(shift + sampler.sample());
    }
}
