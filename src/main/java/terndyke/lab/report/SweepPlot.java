package terndyke.lab.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.knowm.xchart.XYChart;
import org.knowm.xchart.style.markers.SeriesMarkers;

import com.fasterxml.jackson.databind.JsonNode;

/** Plots metrics of the summaries against the values of a field: mean and standard deviation over the seeds. */
public final class SweepPlot {
    private SweepPlot() { }

    /**
     * Writes an HTML page with a plot for each metric.
     *
     * @param summaries for each value, the summaries of its seeds
     */
    public static void write(Path file, String field, List<String> values, List<String> metrics, List<List<JsonNode>> summaries,
            PrintStream out) throws IOException {
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>sweep</title>");
        for (String metric : metrics) {
            html.append("<p><img alt=\"").append(ReportWriter.escapeHtml(metric)).append("\" src=\"")
                    .append(Plots.toDataUri(createChart(field, values, metric, summaries, out))).append("\"></p>");
        }
        Files.createDirectories(file.getParent());
        Files.writeString(file, html);
    }

    private static XYChart createChart(String field, List<String> values, String metric, List<List<JsonNode>> summaries,
            PrintStream out) {
        double[] x = new double[values.size()];
        double[] means = new double[x.length];
        double[] standardDeviations = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            x[i] = axisPosition(values.get(i), i);
            double[] samples = summaries.get(i).stream().mapToDouble(json -> json.at("/" + metric.replace('.', '/')).asDouble())
                    .toArray();
            means[i] = java.util.Arrays.stream(samples).average().orElse(0);
            standardDeviations[i] = Comparison.standardDeviation(samples);
            out.printf(Locale.ROOT, "%s=%s: %s %.3f, spread %.3f over %d seeds%n", field, values.get(i), metric, means[i],
                    standardDeviations[i], samples.length);
        }
        XYChart chart = Plots.createChart(metric + " by " + field, field, metric);
        chart.addSeries(metric, x, means, standardDeviations).setMarker(SeriesMarkers.CIRCLE);
        chart.getStyler().setMarkerSize(6);
        return chart;
    }

    /** The position of a value on the x axis: its number without the unit, or its index if it is not a number. */
    private static double axisPosition(String value, int index) {
        String digits = value.replaceAll("[a-zA-Z]+$", "");
        try {
            return Double.parseDouble(digits);
        } catch (NumberFormatException e) {
            return index;
        }
    }
}
