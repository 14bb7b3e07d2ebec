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
    private static Measurement measure(int connections, List<Arrival> arrivals, long patience, Runnable ahead,
            LongUnaryOperator answerAt) throws IOException, InterruptedException {
        try (TaskScheduler ticker = new TaskScheduler("terndyke-lab-proof");
                SocketReactor net = new SocketReactor("terndyke-lab-proof", 1);
                SocketReactor serving = new SocketReactor("terndyke-lab-served", 1)) {
            InetSocketAddress address = SocketReactor.findFreeAddress("127.0.0.1");
            try (KnownDelayServer receiver = new KnownDelayServer(address, serving, ticker, answerAt)) {
                LoadGenerator tool = new LoadGenerator(net, address, connections);
                tool.openConnections(connections);
                ahead.run();
                return new Measurement(tool.run(arrivals, patience), receiver.serverDelays());
            }
        }
    }

    private static List<Arrival> constantRateArrivals(double rate, long micros) {
        List<Arrival> arrivals = new ArrayList<>();
        for (int i = 0; i < rate * micros / 1e6; i++) {
            arrivals.add(new Arrival(Math.round(i / rate * 1e6), "any", "any", null, 0, 100));
        }
        return arrivals;
    }

    /** A server that answers in 5 ms stalls for a while. The connections are few, as in a closed-loop test. */
    void checkStall(double rate, long length, long at, long lasts, int connections) throws IOException, InterruptedException {
        AtomicLong stallFrom = new AtomicLong(Long.MAX_VALUE);
        long service = 5_000;
        out.printf(Locale.ROOT, "stall of %.1f s in %.0f s at %.0f/s, %d connections%n", lasts / 1e6, length / 1e6, rate,
                connections);
        List<Arrival> arrivals = constantRateArrivals(rate, length);
        LoadGenerator.Result run = measure(connections, arrivals, 10_000_000,
                () -> stallFrom.set(TaskScheduler.nowMicros() + 50_000 + at), now -> {
                    long from = stallFrom.get();
                    return now + service > from && now < from + lasts ? from + lasts : now + service;
                }).result;
        long[] implied = expectedLatencies(arrivals, at, lasts, service, connections);
        checkPercentiles("from due", run.latencyFromDue(), implied);
        out.printf(Locale.ROOT, "  from sent, for comparison: p99 %.1f ms, p99.9 %.1f ms, max %.1f ms%n",
                run.latencyFromSent().getValueAtPercentile(99) / 1e3, run.latencyFromSent().getValueAtPercentile(99.9) / 1e3,
                run.latencyFromSent().getMaxValue() / 1e3);
        boolean hidden = run.latencyFromSent().getValueAtPercentile(99) * 10 < run.latencyFromDue().getValueAtPercentile(99);
        passed &= hidden;
        out.printf("  measuring from the sent time %s%n", hidden ? "hides the stall at p99" : "does not hide the stall: FAILED");
    }

    /**
     * The sorted latencies, in microseconds from the due times, that the schedule and the stall imply: each request waits for
     * the first free connection.
     */
    static long[] expectedLatencies(List<Arrival> arrivals, long at, long lasts, long service, int connections) {
        long[] free = new long[connections];
        long[] times = new long[arrivals.size()];
        for (int i = 0; i < times.length; i++) {
            int first = 0;
            for (int j = 1; j < free.length; j++) {
                first = free[j] < free[first] ? j : first;
            }
            long due = arrivals.get(i).due();
            long start = Math.max(due, free[first]);
            long end = start + service > at && start < at + lasts ? at + lasts : start + service;
            free[first] = end;
            times[i] = end - due;
        }
        Arrays.sort(times);
        return times;
    }

    /** Delays of 2, 10, 50 and 200 ms, each for a fixed share of the requests. */
    private void checkKnownDelays() throws IOException, InterruptedException {
        out.println("delays of about 2 ms (60%), 10 ms (35%), 50 ms (4.5%) and 200 ms (0.5%) at 1000/s");
        AtomicInteger number = new AtomicInteger();
        Measurement measured = measure(256, constantRateArrivals(1_000, 4_000_000), 5_000_000, () -> { },
                now -> now + delayMicros(number.getAndIncrement()));
        checkPercentiles("from due", measured.result.latencyFromDue(), measured.serverDelays);
    }

    private static long delayMicros(int number) {
        int share = number * 7919 % 1000;
        return share < 5 ? 200_000 : share < 50 ? 50_000 : share < 400 ? 10_000 : 2_000;
    }

    private void checkPercentiles(String what, Histogram measured, long[] implied) {
        Histogram should = new Histogram(1, 600_000_000L, 3);
        for (long one : implied) {
            should.recordValue(one);
        }
        checkPercentiles(what, measured, should);
    }

    private void checkPercentiles(String what, Histogram measured, Histogram implied) {
        for (double percentile : PERCENTILES) {
            double is = measured.getValueAtPercentile(percentile);
            double should = implied.getValueAtPercentile(percentile);
            boolean good = Math.abs(is - should) <= Math.max(MIN_TOLERANCE_MICROS, RELATIVE_TOLERANCE * should);
            passed &= good;
            out.printf(Locale.ROOT, "  %s p%s: %.2f ms, implied %.2f ms, %s%n", what, Double.toString(percentile), is / 1e3,
                    should / 1e3, good ? "holds" : "FAILED");
        }
    }

    /** Prints lateness and latencies at rising rates, to show up to which rate the load generator sends on time. */
    private void measureRates() throws IOException, InterruptedException {
        out.println("rates against a receiver that answers at once (start lateness, and latency from due, in ms)");
        for (double rate : new double[] {1_000, 5_000, 10_000, 15_000, 20_000, 30_000}) {
            LoadGenerator.Result run =
                    measure(64, constantRateArrivals(rate, 5_000_000), 5_000_000, () -> { }, now -> now).result;
            out.printf(Locale.ROOT, "  %6.0f/s: late p99 %.3f, p99.9 %.3f, max %.3f; answered p50 %.3f, p99 %.3f, max "
                    + "%.3f; %d of %d answered%n", rate, run.lateness().getValueAtPercentile(99) / 1e3,
                    run.lateness().getValueAtPercentile(99.9) / 1e3, run.lateness().getMaxValue() / 1e3,
                    run.latencyFromDue().getValueAtPercentile(50) / 1e3, run.latencyFromDue().getValueAtPercentile(99) / 1e3,
                    run.latencyFromDue().getMaxValue() / 1e3, run.answered(), run.offered());
        }
    }
}
