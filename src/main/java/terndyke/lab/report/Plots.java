package terndyke.lab.report;

import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

import terndyke.lab.plan.Failure;
import terndyke.lab.referee.Handed;
import terndyke.lab.run.Outcome;
import terndyke.lab.run.Sampler;

/** Draws a day's plots, with the failures shaded. */
final class Plots {
    private static final Color[] LINES = {new Color(0x4477aa), new Color(0x228833), new Color(0xcc8800), new Color(0xaa3377),
        new Color(0x66ccee), new Color(0x555555), new Color(0xee6677), new Color(0x999933)};
    private static final Color SHADE = new Color(200, 60, 60, 28);

    private final Outcome outcome;
    private final Summary summary;
    private final int seconds;
    private int lines;

    Plots(Outcome outcome, Summary summary) {
        this.outcome = outcome;
        this.summary = summary;
        seconds = Math.max(1, (int) Math.ceil(outcome.seconds()));
    }

    /** A plot as an image for a page: its title, and what is in it. */
    static String image(XYChart chart) throws IOException {
        return "data:image/png;base64," + Base64.getEncoder()
                .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder().width(900).height(300).title(title).xAxisTitle(x).yAxisTitle(y).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Line);
        chart.getStyler().setMarkerSize(0);
        return chart;
    }

    private void line(XYChart chart, String name, double[] x, double[] y) {
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(1.6f);
        series.setLineColor(LINES[lines++ % LINES.length]);
    }

    private void shade(XYChart chart, double top) {
        lines = 0;
        int number = 0;
        for (Failure failure : outcome.day().failures()) {
            double from = failure.at().seconds();
            double until = Math.min(seconds, from + Math.max(0.2, failure.lasts().seconds()));
            if (from < seconds) {
                XYSeries series = chart.addSeries(++number + " " + failure.kind().told(), new double[] {from, until},
                        new double[] {top, top});
                series.setXYSeriesRenderStyle(XYSeriesRenderStyle.Area);
                series.setFillColor(SHADE);
                series.setLineColor(SHADE);
                series.setMarker(SeriesMarkers.NONE);
                series.setShowInLegend(number <= 8);
            }
        }
    }

    private static double most(double[]... all) {
        double most = 1;
        for (double[] some : all) {
            for (double one : some) {
                most = Math.max(most, one);
            }
        }
        return most;
    }

    List<XYChart> all() {
        List<XYChart> charts = new ArrayList<>();
        charts.add(flow());
        charts.add(latency());
        charts.add(receivers());
        charts.add(machines("Memory of each node", "MB", sample -> sample.memoryMb()));
        charts.add(machines("CPU of each node", "cores", sample -> sample.cores()));
        charts.add(machines("Descriptors of each node", "open", sample -> java.util.Arrays.stream(sample.descriptors())
                .asDoubleStream().toArray()));
        return charts;
    }

    private double[] axis() {
        double[] x = new double[seconds];
        java.util.Arrays.setAll(x, i -> i + 0.5);
        return x;
    }

    private void count(double[] counts, long micros) {
        int at = (int) (micros / 1_000_000);
        if (at >= 0 && at < counts.length) {
            counts[at]++;
        }
    }

    private XYChart flow() {
        double[] offered = new double[seconds];
        double[] done = new double[seconds];
        double[] bounced = new double[seconds];
        double[] terminated = new double[seconds];
        for (Map.Entry<Integer, Handed> one : summary.messages().entrySet()) {
            count(offered, one.getValue().due());
        }
        summary.delivered().values().forEach(at -> count(done, at));
        outcome.stories().stream().filter(story -> story.noticeAt() >= 0)
                .forEach(story -> count("bounced".equals(story.notice()) ? bounced : terminated, story.noticeAt()));
        XYChart chart = chart("Records a second", "s", "records/s");
        shade(chart, most(offered, done));
        line(chart, "offered", axis(), offered);
        line(chart, "done", axis(), done);
        line(chart, "bounced", axis(), bounced);
        line(chart, "terminated", axis(), terminated);
        return chart;
    }

    /** Percentiles of the time to delivery, by the second in which records were due. */
    private XYChart latency() {
        List<Histogram> each = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            each.add(new Histogram(1, 600_000_000L, 3));
        }
        summary.delivered().forEach((message, at) -> {
            long due = summary.messages().get(message).due();
            int second = (int) (due / 1_000_000);
            if (second >= 0 && second < seconds) {
                each.get(second).recordValue(Math.max(1, at - due));
            }
        });
        XYChart chart = chart("Time from due to delivered, by the second it was due", "s", "ms");
        double[][] y = new double[3][seconds];
        for (int i = 0; i < seconds; i++) {
            y[0][i] = each.get(i).getValueAtPercentile(50) / 1e3;
            y[1][i] = each.get(i).getValueAtPercentile(99) / 1e3;
            y[2][i] = each.get(i).getMaxValue() / 1e3;
        }
        shade(chart, most(y[2]));
        line(chart, "p50", axis(), y[0]);
        line(chart, "p99", axis(), y[1]);
        line(chart, "max", axis(), y[2]);
        return chart;
    }

    private XYChart receivers() {
        XYChart chart = chart("Calls in hand, by destination (the eight fullest)", "s", "calls");
        List<Sampler.Sample> samples = outcome.samples();
        if (samples.isEmpty()) {
            return chart;
        }
        int count = samples.get(0).inHand().length;
        List<Integer> order = new ArrayList<>();
        double[] sums = new double[count];
        for (int i = 0; i < count; i++) {
            int destination = i;
            sums[i] = samples.stream().mapToInt(sample -> sample.inHand()[destination]).sum();
            order.add(i);
        }
        order.sort((a, b) -> Double.compare(sums[b], sums[a]));
        double[] x = samples.stream().mapToDouble(Sampler.Sample::at).toArray();
        List<double[]> lines = new ArrayList<>();
        for (int i = 0; i < Math.min(8, count); i++) {
            int destination = order.get(i);
            lines.add(samples.stream().mapToDouble(sample -> sample.inHand()[destination]).toArray());
        }
        shade(chart, most(lines.toArray(double[][]::new)));
        for (int i = 0; i < lines.size(); i++) {
            line(chart, "destination " + order.get(i), x, lines.get(i));
        }
        return chart;
    }

    private XYChart machines(String title, String unit, java.util.function.Function<Sampler.Sample, double[]> what) {
        XYChart chart = chart(title, "s", unit);
        List<Sampler.Sample> samples = outcome.samples();
        double[] x = samples.stream().mapToDouble(Sampler.Sample::at).toArray();
        List<double[]> lines = new ArrayList<>();
        for (int node = 0; node < outcome.day().nodes().count() && !samples.isEmpty(); node++) {
            int number = node;
            lines.add(samples.stream().mapToDouble(sample -> what.apply(sample)[number]).toArray());
        }
        if (!lines.isEmpty()) {
            double top = 0;
            for (double[] line : lines) {
                for (double one : line) {
                    top = Math.max(top, one);
                }
            }
            shade(chart, Math.max(top, 1e-3));
        }
        for (int node = 0; node < lines.size(); node++) {
            line(chart, "node " + node, x, lines.get(node));
        }
        return chart;
    }
}
