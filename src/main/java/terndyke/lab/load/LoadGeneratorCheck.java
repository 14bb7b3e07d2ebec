package terndyke.lab.load;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongUnaryOperator;

import org.HdrHistogram.Histogram;

import terndyke.lab.standin.KnownDelayServer;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * Checks the load generator on the current machine against servers with known delays: every percentile must be within 2%
 * or 1 ms, whichever is larger, of the value that the schedule and the delays imply.
 */
public final class LoadGeneratorCheck {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final double RELATIVE_TOLERANCE = 0.02;
    private static final double MIN_TOLERANCE_MICROS = 1_000;

    private final PrintStream out;
    private boolean passed = true;

    public LoadGeneratorCheck(PrintStream out) {
        this.out = out;
    }

    /** Runs all checks; returns whether all passed. */
    public boolean run() throws IOException, InterruptedException {
        checkStall(500, 10_000_000, 4_000_000, 2_000_000, 16);
        checkKnownDelays();
        measureRates();
        return passed;
    }

    /** The result of a run, and the delays that the server really had. */
    private record Measurement(LoadGenerator.Result result, Histogram serverDelays) { }

    /**
     * Loads a server whose response times are given as a function of the request's arrival time. The preparation runs just
     * before the first due time.
     */
    private static Measurement measure(int connections, List<Arrival> arrivals, long timeoutMicros, Runnable beforeFirstRequest,
            LongUnaryOperator responseTime) throws IOException, InterruptedException {
        try (TaskScheduler scheduler = new TaskScheduler("terndyke-lab-proof");
                SocketReactor clientReactor = new SocketReactor("terndyke-lab-proof", 1);
                SocketReactor serverReactor = new SocketReactor("terndyke-lab-served", 1)) {
            InetSocketAddress address = SocketReactor.findFreeAddress("127.0.0.1");
            try (KnownDelayServer server = new KnownDelayServer(address, serverReactor, scheduler, responseTime)) {
                LoadGenerator loadGenerator = new LoadGenerator(clientReactor, address, connections);
                loadGenerator.openConnections(connections);
                beforeFirstRequest.run();
                return new Measurement(loadGenerator.run(arrivals, timeoutMicros), server.serverDelays());
            }
        }
    }

    private static List<Arrival> constantRateArrivals(double rate, long lengthMicros) {
        List<Arrival> arrivals = new ArrayList<>();
        for (int i = 0; i < rate * lengthMicros / 1e6; i++) {
            arrivals.add(new Arrival(Math.round(i / rate * 1e6), "any", "any", null, 0, 100));
        }
        return arrivals;
    }

    /** A server that answers in 5 ms stalls for a while. The connections are few, as in a closed-loop test. */
    void checkStall(double rate, long lengthMicros, long stallAtMicros, long stallMicros, int connections)
            throws IOException, InterruptedException {
        AtomicLong stallStartMicros = new AtomicLong(Long.MAX_VALUE);
        long serviceMicros = 5_000;
        out.printf(Locale.ROOT, "stall of %.1f s in %.0f s at %.0f/s, %d connections%n",
                stallMicros / 1e6, lengthMicros / 1e6, rate, connections);
        List<Arrival> arrivals = constantRateArrivals(rate, lengthMicros);
        LoadGenerator.Result result = measure(connections, arrivals, 10_000_000,
                () -> stallStartMicros.set(TaskScheduler.nowMicros() + 50_000 + stallAtMicros), now -> {
                    long start = stallStartMicros.get();
                    return now + serviceMicros > start && now < start + stallMicros ? start + stallMicros : now + serviceMicros;
                }).result;
        long[] expectedValues = expectedLatencies(arrivals, stallAtMicros, stallMicros, serviceMicros, connections);
        checkPercentiles("from due", result.latencyFromDue(), expectedValues);
        out.printf(Locale.ROOT, "  from sent, for comparison: p99 %.1f ms, p99.9 %.1f ms, max %.1f ms%n",
                result.latencyFromSent().getValueAtPercentile(99) / 1e3,
                result.latencyFromSent().getValueAtPercentile(99.9) / 1e3,
                result.latencyFromSent().getMaxValue() / 1e3);
        boolean stallHidden = result.latencyFromSent().getValueAtPercentile(99) * 10
                < result.latencyFromDue().getValueAtPercentile(99);
        passed &= stallHidden;
        out.printf("  measuring from the sent time %s%n",
                stallHidden ? "hides the stall at p99" : "does not hide the stall: FAILED");
    }

    /**
     * The sorted latencies, in microseconds from the due times, that the schedule and the stall imply: each request waits for
     * the first free connection.
     */
    static long[] expectedLatencies(List<Arrival> arrivals, long stallAtMicros, long stallMicros, long serviceMicros,
            int connections) {
        long[] freeAtMicros = new long[connections];
        long[] latencies = new long[arrivals.size()];
        for (int i = 0; i < latencies.length; i++) {
            int firstFree = 0;
            for (int j = 1; j < freeAtMicros.length; j++) {
                firstFree = freeAtMicros[j] < freeAtMicros[firstFree] ? j : firstFree;
            }
            long due = arrivals.get(i).due();
            long start = Math.max(due, freeAtMicros[firstFree]);
            long end = start + serviceMicros > stallAtMicros && start < stallAtMicros + stallMicros
                    ? stallAtMicros + stallMicros : start + serviceMicros;
            freeAtMicros[firstFree] = end;
            latencies[i] = end - due;
        }
        Arrays.sort(latencies);
        return latencies;
    }

    /** Delays of 2, 10, 50 and 200 ms, each for a fixed share of the requests. */
    private void checkKnownDelays() throws IOException, InterruptedException {
        out.println("delays of about 2 ms (60%), 10 ms (35%), 50 ms (4.5%) and 200 ms (0.5%) at 1000/s");
        AtomicInteger requestCount = new AtomicInteger();
        Measurement measurement = measure(256, constantRateArrivals(1_000, 4_000_000), 5_000_000, () -> { },
                now -> now + delayMicros(requestCount.getAndIncrement()));
        checkPercentiles("from due", measurement.result.latencyFromDue(), measurement.serverDelays);
    }

    private static long delayMicros(int requestNumber) {
        int permille = requestNumber * 7919 % 1000;
        return permille < 5 ? 200_000 : permille < 50 ? 50_000 : permille < 400 ? 10_000 : 2_000;
    }

    private void checkPercentiles(String label, Histogram measured, long[] expectedValues) {
        Histogram expected = new Histogram(1, 600_000_000L, 3);
        for (long latency : expectedValues) {
            expected.recordValue(latency);
        }
        checkPercentiles(label, measured, expected);
    }

    private void checkPercentiles(String label, Histogram measured, Histogram expectedValues) {
        for (double percentile : PERCENTILES) {
            double actual = measured.getValueAtPercentile(percentile);
            double expected = expectedValues.getValueAtPercentile(percentile);
            boolean withinTolerance = Math.abs(actual - expected)
                    <= Math.max(MIN_TOLERANCE_MICROS, RELATIVE_TOLERANCE * expected);
            passed &= withinTolerance;
            out.printf(Locale.ROOT, "  %s p%s: %.2f ms, implied %.2f ms, %s%n", label, Double.toString(percentile), actual / 1e3,
                    expected / 1e3, withinTolerance ? "holds" : "FAILED");
        }
    }

    /** Prints lateness and latencies at rising rates, to show up to which rate the load generator sends on time. */
    private void measureRates() throws IOException, InterruptedException {
        out.println("rates against a receiver that answers at once (start lateness, and latency from due, in ms)");
        for (double rate : new double[] {1_000, 5_000, 10_000, 15_000, 20_000, 30_000}) {
            LoadGenerator.Result result =
                    measure(64, constantRateArrivals(rate, 5_000_000), 5_000_000, () -> { }, now -> now).result;
            out.printf(Locale.ROOT, "  %6.0f/s: late p99 %.3f, p99.9 %.3f, max %.3f; answered p50 %.3f, p99 %.3f, max "
                    + "%.3f; %d of %d answered%n", rate, result.lateness().getValueAtPercentile(99) / 1e3,
                    result.lateness().getValueAtPercentile(99.9) / 1e3, result.lateness().getMaxValue() / 1e3,
                    result.latencyFromDue().getValueAtPercentile(50) / 1e3,
                    result.latencyFromDue().getValueAtPercentile(99) / 1e3,
                    result.latencyFromDue().getMaxValue() / 1e3, result.answered(), result.offered());
        }
    }
}
