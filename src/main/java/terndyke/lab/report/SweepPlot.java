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
     * @param all for each value, the summaries of its seeds
     */
    public static void write(Path file, String field, List<String> values, List<String> figures, List<List<JsonNode>> all,
            PrintStream out) throws IOException {
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>sweep</title>");
        for (String figure : figures) {
            html.append("<p><img alt=\"").append(ReportWriter.escapeHtml(figure)).append("\" src=\"")
                    .append(Plots.toDataUri(createChart(field, values, figure, all, out))).append("\"></p>");
        }
        Files.createDirectories(file.getParent());
        Files.writeString(file, html);
    }

    private static XYChart createChart(String field, List<String> values, String figure, List<List<JsonNode>> all,
            PrintStream out) {
        double[] x = new double[values.size()];
        double[] mean = new double[x.length];
        double[] spread = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            x[i] = axisPosition(values.get(i), i);
            double[] figures = all.get(i).stream().mapToDouble(json -> json.at("/" + figure.replace('.', '/')).asDouble())
                    .toArray();
            mean[i] = java.util.Arrays.stream(figures).average().orElse(0);
            spread[i] = Comparison.standardDeviation(figures);
            out.printf(Locale.ROOT, "%s=%s: %s %.3f, spread %.3f over %d seeds%n", field, values.get(i), figure, mean[i],
                    spread[i], figures.length);
        }
        XYChart chart = Plots.createChart(figure + " by " + field, field, figure);
        chart.addSeries(figure, x, mean, spread).setMarker(SeriesMarkers.CIRCLE);
        chart.getStyler().setMarkerSize(6);
        return chart;
    }

    /** The position of a value on the x axis: its number without the unit, or its index if it is not a number. */
    private static double axisPosition(String value, int turn) {
        String digits = value.replaceAll("[a-zA-Z]+$", "");
        try {
            return Double.parseDouble(digits);
        } catch (NumberFormatException e) {
            return turn;
        }
    }
}
