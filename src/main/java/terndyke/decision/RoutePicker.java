package terndyke.decision;

import java.util.*;
import java.util.stream.IntStream;

/**
 * The mechanism of the HomoService paper, as pure functions. Of the routes' fits it picks the subset to call together that
 * maximises (L + L-hat)/L x (T + T-hat)/T, where L is the mean latency of the subset, T its 95th percentile, and L-hat and
 * T-hat are their targets. The reliability has to be at least R-hat and the cost at most C-hat. C-hat is the price of the
 * cheapest route that is likely to answer within L-hat, as a faster answer earns no more payoff.
 */
final class RoutePicker {
    private static final double TAIL_PROBABILITY = 0.05, // T is the 95th percentile
            MIN_SPREAD_MICROS = 1_000; // keeps the rate finite where all latencies are equal

    /**
     * A route's shifted exponential, F(x) = 1 - e^(-(x-t)/(m-t)) for x >= t, with t the minimum and m the mean latency in
     * microseconds, and its reliability: the fraction of calls that are done.
     */
    record Fit(double minLatency, double meanLatency, double reliability) {
        double spread() {
            return Math.max(MIN_SPREAD_MICROS, meanLatency - minLatency);
        }
    }

    /** The mean (L) and the 95th percentile (T) of the first answer, in microseconds. */
    record Latency(double mean, double tail) { }

    /** L and T of a set in closed form: between two minima the survival function of the set is one exponential. */
    static Latency latency(Fit... set) {
        Fit[] fits = set.clone();
        Arrays.sort(fits, Comparator.comparingDouble(Fit::minLatency));
        double mean = fits[0].minLatency(), tail = -1, survival = 1, rate = 0;
        for (int k = 0; k < fits.length; k++) {
            rate += 1 / fits[k].spread();
            double segmentLength = k + 1 < fits.length ? fits[k + 1].minLatency() - fits[k].minLatency()
                    : Double.POSITIVE_INFINITY;
            double survivalAtEnd = survival * Math.exp(-rate * segmentLength);
            mean += (survival - survivalAtEnd) / rate;
            if (tail < 0 && survivalAtEnd <= TAIL_PROBABILITY) {
                tail = fits[k].minLatency() + Math.log(survival / TAIL_PROBABILITY) / rate;
            }
            survival = survivalAtEnd;
        }
        return new Latency(mean, tail);
    }

    /**
     * Picks the subset to call. The targets are L-hat and T-hat, the least reliability is R-hat.
     *
     * @return the subset as bits over the fits; if none reaches R-hat, the most reliable affordable one
     */
    static int pickSubset(Fit[] fits, double[] prices, double targetMean, double targetTail, double leastReliability,
            int maxCalls) {
        int best = 0;
        double requiredReliability = Math.min(leastReliability,
                Arrays.stream(fits).mapToDouble(Fit::reliability).max().orElse(0));
        double budget = maxCalls * IntStream.range(0, fits.length)
                .filter(i -> fits[i].reliability() >= requiredReliability && latency(fits[i]).tail() <= targetMean)
                .mapToDouble(i -> prices[i]).min().orElse(Double.POSITIVE_INFINITY);
        double bestReliability = -1, bestIndex = -1;
        for (int set = 1; set < 1 << fits.length; set++) {
            int subset = set;
            int[] indices = IntStream.range(0, fits.length).filter(i -> (subset >> i & 1) != 0).toArray();
            Fit[] chosen = Arrays.stream(indices).mapToObj(i -> fits[i]).toArray(Fit[]::new);
            double failureProbability = Arrays.stream(chosen).mapToDouble(fit -> 1 - fit.reliability())
                    .reduce(1, (a, b) -> a * b);
            double cost = Arrays.stream(indices).mapToDouble(i -> prices[i]).sum();
            if (chosen.length <= maxCalls && cost <= budget) {
                Latency latency = latency(chosen);
                double index = (1 + targetMean / latency.mean()) * (1 + targetTail / latency.tail());
                double reliability = Math.min(1 - failureProbability, leastReliability); // above R-hat the index decides
                if (reliability > bestReliability || reliability == bestReliability && index > bestIndex) {
                    best = set;
                    bestReliability = reliability;
                    bestIndex = index;
                }
            }
        }
        return best;
    }
}
