package terndyke.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ComparisonTest {
    private static final double[] GOODPUTS = {0.91, 0.55, 0.78, 0.99, 0.62, 0.84, 0.70, 0.95};

    private static double[] shifted(double offset, double... noise) {
        double[] values = GOODPUTS.clone();
        for (int i = 0; i < values.length; i++) {
            values[i] += offset + noise[i % noise.length];
        }
        return values;
    }

    @Test
    void aSmallSteadyGainIsSeenThroughTheSeedsLargeDifferences() {
        assertTrue(new Comparison("goodput", GOODPUTS, shifted(0.02, 0.004, -0.003, 0.002)).isSignificant());
    }

    @Test
    void noiseIsNotReportedAsSignificant() {
        assertFalse(new Comparison("goodput", GOODPUTS, shifted(0, 0.03, -0.03, 0.02, -0.02)).isSignificant());
        assertFalse(new Comparison("goodput", GOODPUTS, GOODPUTS).isSignificant());
    }

    @Test
    void twoPairsAreTooFewToTell() {
        Comparison comparison = new Comparison("goodput", new double[] {0.1, 0.2}, new double[] {0.8, 0.9});
        assertFalse(comparison.isSignificant());
        assertTrue(comparison.describe().contains("too few"));
        assertEquals(0.15, comparison.meanA(), 1e-9);
    }
}
