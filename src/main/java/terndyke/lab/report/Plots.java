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
import terndyke.lab.referee.HandedInRecord;
import terndyke.lab.run.ExperimentResult;
import terndyke.lab.run.ResourceSampler;

/** Creates the charts of a run, with the times of failures shaded. */
final class Plots {
    private static final Color[] LINE_COLORS = {new Color(0x4477aa), new Color(0x228833), new Color(0xcc8800),
        new Color(0xaa3377), new Color(0x66ccee), new Color(0x555555), new Color(0xee6677), new Color(0x999933)};
    private static final Color FAILURE_COLOR = new Color(200, 60, 60, 28);

    private final ExperimentResult experimentResult;
    private final Summary summary;
    private final int seconds;
    private int lineCount;

    Plots(ExperimentResult experimentResult, Summary summary) {
        this.experimentResult = experimentResult;
        this.summary = summary;
        seconds = Math.max(1, (int) Math.ceil(experimentResult.seconds()));
    }

    /** The chart as a PNG image in a data URI, so that the page needs no other files. */
    static String toDataUri(XYChart chart) throws IOException {
        return "data:image/png;base64," + Base64.getEncoder()
                .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    static XYChart createChart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder().width(900).height(300).title(title).xAxisTitle(x).yAxisTitle(y).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Line);
        chart.getStyler().setMarkerSize(0);
        return chart;
    }

    private void addLine(XYChart chart, String name, double[] x, double[] y) {
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(1.6f);
        series.setLineColor(LINE_COLORS[lineCount++ % LINE_COLORS.length]);
    }

    private void shadeFailures(XYChart chart, double top) {
        lineCount = 0;
        int number = 0;
        for (Failure failure : experimentResult.experiment().failures()) {
            double from = failure.at().seconds();
            double until = Math.min(seconds, from + Math.max(0.2, failure.duration().seconds()));
            if (from < seconds) {
                XYSeries series = chart.addSeries(++number + " " + failure.kind().yamlName(), new double[] {from, until},
                        new double[] {top, top});
                series.setXYSeriesRenderStyle(XYSeriesRenderStyle.Area);
                series.setFillColor(FAILURE_COLOR);
                series.setLineColor(FAILURE_COLOR);
                series.setMarker(SeriesMarkers.NONE);
                series.setShowInLegend(number <= 8);
            }
        }
    }

    private static double maxValue(double[]... series) {
        double max = 1;
        for (double[] values : series) {
            for (double value : values) {
                max = Math.max(max, value);
            }
        }
        return max;
    }

    List<XYChart> createAll() {
        List<XYChart> charts = new ArrayList<>();
        charts.add(createThroughputChart());
        charts.add(createLatencyChart());
        charts.add(createCallsInProgressChart());
        charts.add(createNodeChart("Memory of each node", "MB", sample -> sample.memoryMb()));
        charts.add(createNodeChart("CPU of each node", "cores", sample -> sample.cores()));
        charts.add(createNodeChart("File descriptors of each node", "open", sample -> java.util.Arrays
                .stream(sample.fileDescriptors()).asDoubleStream().toArray()));
        return charts;
    }

    private double[] secondsAxis() {
        double[] x = new double[seconds];
        java.util.Arrays.setAll(x, i -> i + 0.5);
        return x;
    }

    private void countInSecond(double[] counts, long micros) {
        int second = (int) (micros / 1_000_000);
        if (second >= 0 && second < counts.length) {
            counts[second]++;
        }
    }

    private XYChart createThroughputChart() {
        double[] offered = new double[seconds];
        double[] done = new double[seconds];
        double[] bounced = new double[seconds];
        double[] terminated = new double[seconds];
        for (Map.Entry<Integer, HandedInRecord> entry : summary.recordsByMessage().entrySet()) {
            countInSecond(offered, entry.getValue().due());
        }
        summary.deliveredAtMicrosByMessage().values().forEach(at -> countInSecond(done, at));
        experimentResult.histories().stream().filter(history -> history.noticeAtMicros() >= 0)
                .forEach(history -> countInSecond("bounced".equals(history.noticeResult()) ? bounced : terminated,
                        history.noticeAtMicros()));
        XYChart chart = createChart("Records per second", "s", "records/s");
        shadeFailures(chart, maxValue(offered, done));
        addLine(chart, "offered", secondsAxis(), offered);
        addLine(chart, "done", secondsAxis(), done);
        addLine(chart, "bounced", secondsAxis(), bounced);
        addLine(chart, "terminated", secondsAxis(), terminated);
        return chart;
    }

    /** Percentiles of the time from due to delivered, by the second in which the records were due. */
    private XYChart createLatencyChart() {
        List<Histogram> histograms = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            histograms.add(new Histogram(1, 600_000_000L, 3));
        }
        summary.deliveredAtMicrosByMessage().forEach((message, at) -> {
            long due = summary.recordsByMessage().get(message).due();
            int second = (int) (due / 1_000_000);
            if (second >= 0 && second < seconds) {
                histograms.get(second).recordValue(Math.max(1, at - due));
            }
        });
        XYChart chart = createChart("Time from due to delivered, by the second it was due", "s", "ms");
        double[][] y = new double[3][seconds];
        for (int i = 0; i < seconds; i++) {
            y[0][i] = histograms.get(i).getValueAtPercentile(50) / 1e3;
            y[1][i] = histograms.get(i).getValueAtPercentile(99) / 1e3;
            y[2][i] = histograms.get(i).getMaxValue() / 1e3;
        }
        shadeFailures(chart, maxValue(y[2]));
        addLine(chart, "p50", secondsAxis(), y[0]);
        addLine(chart, "p99", secondsAxis(), y[1]);
        addLine(chart, "max", secondsAxis(), y[2]);
        return chart;
    }

    private XYChart createCallsInProgressChart() {
        XYChart chart = createChart("Calls in progress by destination (the eight busiest)", "s", "calls");
        List<ResourceSampler.Sample> samples = experimentResult.samples();
        if (samples.isEmpty()) {
            return chart;
        }
        int count = samples.get(0).callsInProgress().length;
        List<Integer> order = new ArrayList<>();
        double[] sums = new double[count];
        for (int i = 0; i < count; i++) {
            int destination = i;
            sums[i] = samples.stream().mapToInt(sample -> sample.callsInProgress()[destination]).sum();
            order.add(i);
        }
        order.sort((a, b) -> Double.compare(sums[b], sums[a]));
        double[] x = samples.stream().mapToDouble(ResourceSampler.Sample::atSeconds).toArray();
        List<double[]> lines = new ArrayList<>();
        for (int i = 0; i < Math.min(8, count); i++) {
            int destination = order.get(i);
            lines.add(samples.stream().mapToDouble(sample -> sample.callsInProgress()[destination]).toArray());
        }
        shadeFailures(chart, maxValue(lines.toArray(double[][]::new)));
        for (int i = 0; i < lines.size(); i++) {
            addLine(chart, "destination " + order.get(i), x, lines.get(i));
        }
        return chart;
    }

    private XYChart createNodeChart(String title, String unit,
            java.util.function.Function<ResourceSampler.Sample, double[]> metric) {
        XYChart chart = createChart(title, "s", unit);
        List<ResourceSampler.Sample> samples = experimentResult.samples();
        double[] x = samples.stream().mapToDouble(ResourceSampler.Sample::atSeconds).toArray();
        List<double[]> lines = new ArrayList<>();
        for (int node = 0; node < experimentResult.experiment().nodes().count() && !samples.isEmpty(); node++) {
            int nodeNumber = node;
            lines.add(samples.stream().mapToDouble(sample -> metric.apply(sample)[nodeNumber]).toArray());
        }
        if (!lines.isEmpty()) {
            double top = 0;
            for (double[] line : lines) {
                for (double value : line) {
                    top = Math.max(top, value);
                }
            }
            shadeFailures(chart, Math.max(top, 1e-3));
        }
        for (int node = 0; node < lines.size(); node++) {
            addLine(chart, "node " + node, x, lines.get(node));
        }
        return chart;
    }
}
