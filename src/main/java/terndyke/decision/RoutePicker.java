package terndyke.decision;

import java.util.*;
import java.util.stream.IntStream;

/** The paper's mechanism (HomoService), pure: of the routes' fits, the subset called together that maximises
 * (L + L-hat)/L x (T + T-hat)/T, with reliability at least R-hat and cost within C-hat. C-hat is what the
 * cheapest route asks that is likely to answer within L-hat: what comes sooner than that wins no payoff. */
final class RoutePicker {
    private static final double TAIL_PROBABILITY = 0.05, MIN_SPREAD_MICROS = 1_000; // T is the 95th percentile

    /** A route's shifted exponential, F(x) = 1 - e^(-(x-t)/(m-t)) for x >= t, and its served fraction r. */
    record Fit(double minLatency, double meanLatency, double reliability) {
        double spread() {
            return Math.max(MIN_SPREAD_MICROS, meanLatency - minLatency);
        }
    }

    record Latency(double mean, double tail) { }

    /** L and T in closed form: between two minima, the survival of the set is one exponential. */
    static Latency latency(Fit... set) {
        Fit[] fits = set.clone();
        Arrays.sort(fits, Comparator.comparingDouble(Fit::minLatency));
        double mean = fits[0].minLatency(), tail = -1, survival = 1, rate = 0;
        for (int k = 0; k < fits.length; k++) {
            rate += 1 / fits[k].spread();
            double length = k + 1 < fits.length ? fits[k + 1].minLatency() - fits[k].minLatency() : Double.POSITIVE_INFINITY;
            double left = survival * Math.exp(-rate * length);
            mean += (survival - left) / rate;
            if (tail < 0 && left <= TAIL_PROBABILITY) {
                tail = fits[k].minLatency() + Math.log(survival / TAIL_PROBABILITY) / rate;
            }
            survival = left;
        }
        return new Latency(mean, tail);
    }

    /** The chosen subset as bits over the fits; if no set meets R-hat, the most reliable affordable one. */
    static int pickSubset(Fit[] fits, double[] prices, double targetL, double targetT, double leastReliability,
            int calls) {
        int best = 0;
        double reliable = Math.min(leastReliability, Arrays.stream(fits).mapToDouble(Fit::reliability).max().orElse(0));
        double budget = calls * IntStream.range(0, fits.length)
                .filter(i -> fits[i].reliability() >= reliable && latency(fits[i]).tail() <= targetL)
                .mapToDouble(i -> prices[i]).min().orElse(Double.POSITIVE_INFINITY);
        double bestReliability = -1, bestIndex = -1;
        for (int set = 1; set < 1 << fits.length; set++) {
            int members = set;
            int[] places = IntStream.range(0, fits.length).filter(i -> (members >> i & 1) != 0).toArray();
            Fit[] chosen = Arrays.stream(places).mapToObj(i -> fits[i]).toArray(Fit[]::new);
            double lost = Arrays.stream(chosen).mapToDouble(fit -> 1 - fit.reliability()).reduce(1, (a, b) -> a * b);
            double cost = Arrays.stream(places).mapToDouble(i -> prices[i]).sum();
            if (chosen.length <= calls && cost <= budget) {
                Latency answer = latency(chosen);
                double index = (1 + targetL / answer.mean()) * (1 + targetT / answer.tail());
                double reliability = Math.min(1 - lost, leastReliability); // above R-hat the index decides
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
