package terndyke.decision;

import java.util.Arrays;
import java.util.Comparator;

/**
 * The paper's mechanism (HomoService), pure: of the routes' fits, the subset called together that maximises
 * (L + L-hat)/L x (T + T-hat)/T, with reliability at least R-hat and cost (one unit a call) within C-hat.
 */
final class RoutePicker {
    /** Tail of the latency, as a share of answers: the 95th percentile. */
    private static final double TAIL = 0.95;
    private static final double FLOOR = 1_000;

    private RoutePicker() { }

    /** A route's shifted exponential, F(x) = 1 - e^(-(x-t)/(m-t)) for x >= t, and the fraction r it served. */
    record Fit(double t, double m, double r) {
        double spread() {
            return Math.max(FLOOR, m - t);
        }
    }

    /** Mean L and tail T of the first answer from a set called together. */
    record Latency(double mean, double tail) { }

    /** L and T in closed form: between two minima the survival of the set is one exponential. */
    static Latency latency(Fit... set) {
        Fit[] byMinimum = set.clone();
        Arrays.sort(byMinimum, Comparator.comparingDouble(Fit::t));
        double x = byMinimum[0].t();
        double mean = x;
        double survival = 1;
        double rate = 0;
        for (int k = 0; ; k++) {
            rate += 1 / byMinimum[k].spread();
            double end = k + 1 < byMinimum.length ? byMinimum[k + 1].t() : Double.POSITIVE_INFINITY;
            double left = survival * Math.exp(-rate * (end - x));
            mean += (survival - left) / rate;
            if (left <= 1 - TAIL) {
                double tail = x + Math.log(survival / (1 - TAIL)) / rate;
                for (; k + 1 < byMinimum.length; k++) { // the mean still needs what lies behind the tail
                    x = byMinimum[k + 1].t();
                    rate += 1 / byMinimum[k + 1].spread();
                    end = k + 2 < byMinimum.length ? byMinimum[k + 2].t() : Double.POSITIVE_INFINITY;
                    double after = left * Math.exp(-rate * (end - x));
                    mean += (left - after) / rate;
                    left = after;
                }
                return new Latency(mean, tail);
            }
            survival = left;
            x = end;
        }
    }

    /** The chosen subset as a bit mask over the fits; where no set meets R-hat, the most reliable affordable one. */
    static int pick(Fit[] fits, double targetL, double targetT, double leastReliability, int budget) {
        int best = 0;
        int surest = 0;
        double bestIndex = -1;
        double surestReliability = -1;
        double surestIndex = -1;
        for (int set = 1; set < 1 << fits.length; set++) {
            if (Integer.bitCount(set) > budget) {
                continue;
            }
            Fit[] chosen = new Fit[Integer.bitCount(set)];
            double lost = 1;
            for (int i = 0, n = 0; i < fits.length; i++) {
                if ((set >> i & 1) != 0) {
                    chosen[n++] = fits[i];
                    lost *= 1 - fits[i].r();
                }
            }
            Latency answer = latency(chosen);
            double index = (answer.mean() + targetL) / answer.mean() * (answer.tail() + targetT) / answer.tail();
            double reliability = 1 - lost;
            if (reliability >= leastReliability && index > bestIndex) {
                best = set;
                bestIndex = index;
            }
            if (reliability > surestReliability || reliability == surestReliability && index > surestIndex) {
                surest = set;
                surestReliability = reliability;
                surestIndex = index;
            }
        }
        return best != 0 ? best : surest;
    }
}
