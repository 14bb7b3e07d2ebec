package terndyke.lab.report;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;
import org.knowm.xchart.XYChart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import terndyke.lab.plan.ExperimentFile;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.HandedInRecord;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.run.ExperimentResult;

/**
 * Writes the results of a run to a folder: the experiment, its summary, latency histograms, events, breaches, and a
 * self-contained HTML report.
 */
public final class ReportWriter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CSS = "body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;color:#222}"
            + "table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}"
            + "pre{background:#f6f6f6;padding:.8em;overflow:auto}img{max-width:100%}.bad{color:#b00020}.good{color:#1b6e2a}";

    private ReportWriter() { }

    /** Writes all files, prints the summary, and returns it as JSON. */
    public static JsonNode write(ExperimentResult result, Path folder, PrintStream out) throws IOException {
        Files.createDirectories(folder);
        Summary summary = new Summary(result);
        ObjectNode json = summary.toJson();
        Files.writeString(folder.resolve("experiment.yaml"), ExperimentFile.toYaml(result.experiment()));
        Files.writeString(folder.resolve("summary.json"), JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json));
        writeEvents(result, folder.resolve("events.jsonl"));
        writeHistograms(result, summary, folder.resolve("latency.hlog"));
        List<String> breaches = result.breaches().stream().map(Breach::toString).toList();
        Files.write(folder.resolve("breaches.txt"), breaches);
        Files.writeString(folder.resolve("report.html"), createPage(result, summary, json));
        out.println(Summary.describe(json, result.breaches()));
        out.println("report: " + folder.resolve("report.html"));
        return json;
    }

    private static void writeEvents(ExperimentResult result, Path file) throws IOException {
        try (BufferedWriter lines = Files.newBufferedWriter(file)) {
            for (ObservedEvent event : result.events()) {
                lines.write(JSON.writeValueAsString(event));
                lines.newLine();
            }
        }
    }

    /** Writes one interval per second in which records were due, in the HdrHistogram log format; values are microseconds. */
    private static void writeHistograms(ExperimentResult result, Summary summary, Path file) throws IOException {
        int seconds = Math.max(1, (int) Math.ceil(result.seconds()));
        try (PrintStream stream = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.US_ASCII)) {
            HistogramLogWriter log = new HistogramLogWriter(stream);
            log.outputLogFormatVersion();
            log.outputComment("time from due to delivered, microseconds");
            log.outputLegend();
            for (int second = 0; second < seconds; second++) {
                Histogram histogram = new Histogram(1, 600_000_000L, 3);
                int currentSecond = second;
                summary.deliveredAtMicrosByMessage().forEach((message, at) -> {
                    HandedInRecord handed = summary.recordsByMessage().get(message);
                    if (handed.due() / 1_000_000 == currentSecond) {
                        histogram.recordValue(Math.max(1, at - handed.due()));
                    }
                });
                histogram.setStartTimeStamp(second * 1000L);
                histogram.setEndTimeStamp(second * 1000L + 1000);
                log.outputIntervalHistogram(histogram);
            }
        }
    }

    private static String createPage(ExperimentResult result, Summary summary, JsonNode json) throws IOException {
        StringBuilder html = new StringBuilder(1 << 20);
        html.append("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                .append(escapeHtml(result.experiment().name()))
                .append("</title><style>").append(CSS).append("</style><h1>").append(escapeHtml(result.experiment().name()))
                .append(", seed ").append(result.experiment().seed()).append("</h1><p>")
                .append(escapeHtml(result.experiment().about())).append("</p>");
        String verdict = result.voidedBecause() != null ? "Void: " + result.voidedBecause() + ". None of the figures is valid."
                : result.breaches().isEmpty() ? "All six rules kept." : result.breaches().size() + " breaches of the rules.";
        html.append("<p class=\"").append(result.status() == 0 ? "good" : "bad").append("\"><b>").append(escapeHtml(verdict))
                .append("</b></p>");
        html.append("<p>Build: ").append(escapeHtml(result.build())).append("</p>");
        appendTable(html, "Messages", json.path("messages"));
        html.append("<p>Goodput (delivered payoff as a share of the offered payoff): <b>").append(json.path("goodput"))
                .append("</b></p>");
        for (XYChart chart : new Plots(result, summary).createAll()) {
            html.append("<p><img alt=\"").append(escapeHtml(chart.getTitle())).append("\" src=\"").append(Plots.toDataUri(chart))
                    .append("\"></p>");
        }
        appendLatencyTable(html, json.path("latencyMs"), json.path("toolLatenessMs"));
        appendGradeTable(html, json.path("grades"));
        appendTable(html, "Calls at the receivers", json.path("calls"));
        appendTable(html, "Records that went to more than one hall", json.path("crossings"));
        html.append("<h2>Machines</h2><table><tr><th>node<th>max memory, MB<th>max CPU, cores<th>max file descriptors</tr>");
        json.path("machines").forEach(machine -> html.append("<tr><td>").append(machine.path("node")).append("<td>")
                .append(machine.path("mostMemoryMb")).append("<td>").append(machine.path("mostCores")).append("<td>")
                .append(machine.path("mostDescriptors")).append("</tr>"));
        html.append("</table>");
        if (!result.breaches().isEmpty()) {
            html.append("<h2 class=\"bad\">Breaches</h2>");
            result.breaches().stream().limit(20).forEach(breach -> html.append("<pre>").append(escapeHtml(breach.toString()))
                    .append("</pre>"));
        }
        html.append("<h2>Experiment</h2><pre>").append(escapeHtml(ExperimentFile.toYaml(result.experiment())))
                .append("</pre></html>");
        return html.toString();
    }

    private static void appendLatencyTable(StringBuilder html, JsonNode latency, JsonNode lateness) {
        html.append("<h2>Latencies, ms</h2><p>\"From due\" starts at the scheduled time; \"from sent\" excludes the wait "
                + "before sending, and so hides stalls.</p><table><tr><th><th>count<th>p50<th>p90<th>p99<th>p99.9<th>max</tr>");
        List<String> names = new ArrayList<>();
        latency.fieldNames().forEachRemaining(names::add);
        names.forEach(name -> appendLatencyRow(html, name, latency.path(name)));
        appendLatencyRow(html, "lateness of the load tool", lateness);
        html.append("</table>");
    }

    private static void appendLatencyRow(StringBuilder html, String name, JsonNode percentiles) {
        html.append("<tr><td>").append(escapeHtml(name));
        for (String key : List.of("count", "p50", "p90", "p99", "p999", "max")) {
            html.append("<td>").append(percentiles.path(key).isMissingNode() ? "" : percentiles.path(key).asText());
        }
        html.append("</tr>");
    }

    private static void appendGradeTable(StringBuilder html, JsonNode grades) {
        html.append("<h2>Service grades</h2><table><tr><th>grade<th>offered<th>done<th>goodput</tr>");
        grades.properties().forEach(entry -> html.append("<tr><td>").append(escapeHtml(entry.getKey())).append("<td>")
                .append(entry.getValue().path("offered")).append("<td>").append(entry.getValue().path("done")).append("<td>")
                .append(entry.getValue().path("goodput")).append("</tr>"));
        html.append("</table>");
    }

    private static void appendTable(StringBuilder html, String title, JsonNode values) {
        html.append("<h2>").append(title).append("</h2><table>");
        values.properties().forEach(entry -> html.append("<tr><td>").append(escapeHtml(entry.getKey())).append("<td>")
                .append(escapeHtml(entry.getValue().asText())).append("</tr>"));
        html.append("</table>");
    }

    static String escapeHtml(String text) {
        return String.valueOf(text).replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
