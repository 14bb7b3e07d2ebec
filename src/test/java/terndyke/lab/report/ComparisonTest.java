package terndyke.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ComparisonTest {
    private static final double[] DAYS = {0.91, 0.55, 0.78, 0.99, 0.62, 0.84, 0.70, 0.95};

    private static double[] shifted(double by, double... noise) {
        double[] figures = DAYS.clone();
        for (int i = 0; i < figures.length; i++) {
            figures[i] += by + noise[i % noise.length];
        }
        return figures;
    }

    @Test
    void aSmallSteadyGainIsSeenThroughTheSeedsLargeDifferences() {
        assertTrue(new Comparison("goodput", DAYS, shifted(0.02, 0.004, -0.003, 0.002)).moreThanNoise());
    }

    @Test
    void noiseIsCalledNoise() {
        assertFalse(new Comparison("goodput", DAYS, shifted(0, 0.03, -0.03, 0.02, -0.02)).moreThanNoise());
        assertFalse(new Comparison("goodput", DAYS, DAYS).moreThanNoise());
    }

    @Test
    void twoPairsTellNothing() {
        Comparison two = new Comparison("goodput", new double[] {0.1, 0.2}, new double[] {0.8, 0.9});
        assertFalse(two.moreThanNoise());
        assertTrue(two.words().contains("too few"));
        assertEquals(0.15, two.meanA(), 1e-9);
    }
}
