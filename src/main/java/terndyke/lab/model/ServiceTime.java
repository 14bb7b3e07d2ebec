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
    static ServiceTime of(ServiceTimeDistribution distribution, UniformRandomProvider random) {
        double mean = distribution.mean().micros();
        return switch (distribution.shape()) {
            case FIXED -> () -> (long) mean;
            case EXPONENTIAL -> fromDistribution(ExponentialDistribution.of(Math.max(1, mean)), 0, random);
            case SHIFTED -> {
                double variableShare = Math.min(1, distribution.spread());
                yield fromDistribution(ExponentialDistribution.of(Math.max(1, mean * variableShare)),
                        mean * (1 - variableShare), random);
            }
            case LOGNORMAL -> fromDistribution(LogNormalDistribution.of(Math.log(Math.max(1, mean))
                    - distribution.spread() * distribution.spread() / 2, distribution.spread()), 0, random);
            case SAMPLE -> {
                List<TimeSpan> sample = distribution.sample();
                yield () -> sample.get(random.nextInt(sample.size())).micros();
            }
        };
    }

    private static ServiceTime fromDistribution(ContinuousDistribution distribution, double shift, UniformRandomProvider random) {
        ContinuousDistribution.Sampler sampler = distribution.createSampler(random);
        return () -> Math.round(shift + sampler.sample());
    }
}
