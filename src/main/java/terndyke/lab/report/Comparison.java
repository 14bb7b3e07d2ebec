package terndyke.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Statistic;
import org.apache.commons.statistics.inference.AlternativeHypothesis;
import org.apache.commons.statistics.inference.TTest;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;

/**
 * Compares a metric of two sets of runs, A and B, with the same seeds. The test is paired by seed, so that the large
 * differences between seeds cancel out.
 */
public record Comparison(String metric, double[] valuesA, double[] valuesB) {
    private static final double SIGNIFICANCE_LEVEL = 0.05;

    public double meanA() {
        return mean(valuesA);
    }

    public double meanB() {
        return mean(valuesB);
    }

    private static double mean(double[] values) {
        return DoubleStatistics.of(java.util.EnumSet.of(Statistic.MEAN), values).getAsDouble(Statistic.MEAN);
    }

    static double standardDeviation(double[] values) {
        return values.length < 2 ? 0 : DoubleStatistics.of(java.util.EnumSet.of(Statistic.STANDARD_DEVIATION), values)
                .getAsDouble(Statistic.STANDARD_DEVIATION);
    }

    /** The p-value of the paired t-test; 1 if there are fewer than three pairs. */
    public double pValue() {
        double[] differences = differences();
        if (differences.length < 3) {
            return 1;
        }
        if (standardDeviation(differences) < 1e-12) {
            return Math.abs(mean(differences)) < 1e-12 ? 1 : 0;
        }
        return TTest.withDefaults().with(AlternativeHypothesis.TWO_SIDED).pairedTest(valuesA, valuesB).getPValue();
    }

    /** The p-value of the Wilcoxon signed-rank test, which is robust against a single outlier. */
    public double rankTestPValue() {
        double[] differences = differences();
        if (differences.length < 5 || standardDeviation(differences) < 1e-12) {
            return pValue();
        }
        return WilcoxonSignedRankTest.withDefaults().test(differences).getPValue();
    }

    private double[] differences() {
        double[] differences = new double[valuesA.length];
        java.util.Arrays.setAll(differences, i -> valuesB[i] - valuesA[i]);
        return differences;
    }

    public boolean isSignificant() {
        return pValue() < SIGNIFICANCE_LEVEL;
    }

    /** The comparison as one line of text. */
    public String describe() {
        double[] differences = differences();
        return String.format(Locale.ROOT, "%s: A %.3f (spread %.3f), B %.3f (spread %.3f), B - A %+.3f (spread %.3f), %s "
                + "(p %.3f by means%s, %d pairs)", metric, meanA(), standardDeviation(valuesA), meanB(),
                standardDeviation(valuesB), mean(differences), standardDeviation(differences),
                valuesA.length < 3 ? "too few pairs to tell" : isSignificant() ? "more than noise" : "no more than noise",
                pValue(), valuesA.length < 5 ? ""
                : String.format(Locale.ROOT, ", %.3f by ranks", rankTestPValue()), valuesA.length);
    }

    /** Compares the summaries of two sets of runs by their main metrics; both lists must be in the same order of seeds. */
    public static List<Comparison> of(List<com.fasterxml.jackson.databind.JsonNode> a,
            List<com.fasterxml.jackson.databind.JsonNode> b) {
        List<Comparison> comparisons = new ArrayList<>();
        for (String pointer : List.of("/goodput", "/messages/done", "/messages/doneInTarget", "/messages/bounced",
                "/messages/terminated", "/latencyMs/acceptedFromDue/p99", "/latencyMs/deliveredFromDue/p50",
                "/latencyMs/deliveredFromDue/p99", "/calls/came")) {
            comparisons.add(new Comparison(pointer.substring(1).replace('/', '.'),
                    a.stream().mapToDouble(json -> json.at(pointer).asDouble()).toArray(),
                    b.stream().mapToDouble(json -> json.at(pointer).asDouble()).toArray()));
        }
        return comparisons;
    }
}
