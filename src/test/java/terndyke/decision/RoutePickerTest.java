package terndyke.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import terndyke.decision.RoutePicker.Fit;

class RoutePickerTest {
    private static final double LN20 = Math.log(20);

    @Test
    void oneRouteHasItsOwnMeanAndTail() {
        RoutePicker.Latency latency = RoutePicker.latency(new Fit(100_000, 300_000, 1));
        assertEquals(300_000, latency.mean(), 1e-6);
        assertEquals(100_000 + 200_000 * LN20, latency.tail(), 1e-6);
    }

    @Test
    void equalMinimaAddTheirRates() {
        RoutePicker.Latency latency = RoutePicker.latency(new Fit(100_000, 300_000, 1), new Fit(100_000, 300_000, 1));
        assertEquals(200_000, latency.mean(), 1e-6);
        assertEquals(100_000 + 100_000 * LN20, latency.tail(), 1e-6);
    }

    @Test
    void aLaterMinimumJoinsWhereItStarts() {
        RoutePicker.Latency latency = RoutePicker.latency(new Fit(300_000, 400_000, 1), new Fit(100_000, 300_000, 1));
        double survival = Math.exp(-1);
        assertEquals(100_000 + 200_000 * (1 - survival) + survival / (1 / 200_000.0 + 1 / 100_000.0), latency.mean(), 1e-6);
        assertEquals(300_000 + Math.log(survival * 20) / (1 / 200_000.0 + 1 / 100_000.0), latency.tail(), 1e-6);
    }

    @Test
    void spreadIsAtLeastAMillisecond() {
        assertEquals(101_000, RoutePicker.latency(new Fit(100_000, 100_000, 1)).mean(), 1e-6);
    }

    @Test
    void theFasterRouteIsPickedWithinABudgetOfOne() {
        Fit[] fits = {new Fit(100_000, 300_000, 1), new Fit(50_000, 150_000, 1)};
        assertEquals(0b10, RoutePicker.pickSubset(fits, new double[fits.length], 1e6, 1e7, 0.9, 1));
    }

    @Test
    void bothArePickedWhereTheBudgetAllows() {
        Fit[] fits = {new Fit(100_000, 300_000, 1), new Fit(50_000, 150_000, 1)};
        assertEquals(0b11, RoutePicker.pickSubset(fits, new double[fits.length], 1e6, 1e7, 0.9, 2));
    }

    @Test
    void theFasterRouteIsNotPickedBelowTheLeastReliability() {
        Fit[] fits = {new Fit(100_000, 300_000, 0.95), new Fit(50_000, 150_000, 0.5)};
        assertEquals(0b01, RoutePicker.pickSubset(fits, new double[fits.length], 1e6, 1e7, 0.9, 1));
    }

    @Test
    void theMostReliableSetIsPickedIfNoneIsReliableEnough() {
        Fit[] fits = {new Fit(50_000, 150_000, 0.3), new Fit(100_000, 300_000, 0.6)};
        assertEquals(0b10, RoutePicker.pickSubset(fits, new double[fits.length], 1e6, 1e7, 0.9, 1));
    }

    @Test
    void tiesOfReliabilityGoToTheIndex() {
        Fit[] fits = {new Fit(100_000, 300_000, 0.5), new Fit(50_000, 150_000, 0.5)};
        assertEquals(0b10, RoutePicker.pickSubset(fits, new double[fits.length], 1e6, 1e7, 0.9, 1));
    }

    @Test
    void ofRoutesThatAnswerWithinTheTargetTheCheapestIsPicked() {
        Fit[] fits = {new Fit(100_000, 300_000, 1), new Fit(50_000, 150_000, 1)};
        assertEquals(0b01, RoutePicker.pickSubset(fits, new double[] {0.01, 0.04}, 1e6, 1e7, 0.9, 1));
    }

    @Test
    void aCheapRouteThatIsLikelyToBeLateIsNotPicked() {
        Fit[] fits = {new Fit(100_000, 900_000, 1), new Fit(50_000, 150_000, 1)};
        assertEquals(0b10, RoutePicker.pickSubset(fits, new double[] {0.01, 0.04}, 1e6, 1e7, 0.9, 1));
    }

    @Test
    void aCheapRouteWithLowReliabilityIsNotPicked() {
        Fit[] fits = {new Fit(100_000, 300_000, 0.5), new Fit(50_000, 150_000, 0.95)};
        assertEquals(0b10, RoutePicker.pickSubset(fits, new double[] {0.01, 0.04}, 1e6, 1e7, 0.9, 1));
    }
}
