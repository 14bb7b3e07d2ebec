package terndyke.lab.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Runs the laboratory as its users do: as a separate process, with real nodes as child processes. */
class LabProcessTest {
    private static final String EXPERIMENT = """
            name: short
            about: a short day with a killed node and a hung destination
            length: %s
            settle: 200ms
            late: 5s
            clients: {patience: 3s}
            nodes: {count: 2}
            grades:
              - {name: status, effect: idempotent, target: 1s, abandon: 4s}
              - {name: order, effect: deduplicated, target: 1s, abandon: 4s, inOrder: true, window: 4s}
              - {name: payment, effect: unrepeatable, target: 1s, abandon: 4s}
            destinations:
              - {kind: shop, count: 3}
            load: {rate: 30}
            failures:
              - {kind: hang, at: 500ms, for: 1s, on: {destinations: [1]}}
              - {kind: kill, at: 1s, for: 300ms, on: {nodes: [0]}}
            """;

    @TempDir
    Path folder;

    private Process startLab(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "terndyke.Main", "lab"));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private String writeExperiment(String length) throws IOException {
        Path file = folder.resolve("day.yaml");
        Files.writeString(file, EXPERIMENT.formatted(length));
        return file.toString();
    }

    private static String readOutput(Process process) throws IOException {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private JsonNode readSummary() throws IOException {
        return new ObjectMapper().readTree(folder.resolve("out/summary.json").toFile());
    }

    @Test
    void realNodesKeepTheRulesThroughAKillAndTheReportSaysSo() throws Exception {
        Process lab = startLab("run", writeExperiment("2500ms"), "--out", folder.resolve("out").toString());
        String output = readOutput(lab);
        assertEquals(0, lab.waitFor(), output);
        assertTrue(output.contains("all six rules kept"), output);
        JsonNode summary = readSummary();
        assertTrue(summary.at("/messages/done").asInt() > 30, output);
        assertTrue(summary.at("/calls/ran").asInt() > 30, output);
        String page = Files.readString(folder.resolve("out/report.html"));
        assertEquals(6, page.split("data:image/png;base64,", -1).length - 1);
        assertFalse(page.contains("http://") || page.contains("https://"), "the report is self-contained");
        assertTrue(Files.size(folder.resolve("out/events.jsonl")) > 10_000);
        assertTrue(Files.readString(folder.resolve("out/latency.hlog")).startsWith("#[Histogram log format"));
    }

    @Test
    void anInterruptStopsEveryNodeAndStillWritesTheReport() throws Exception {
        Process lab = startLab("run", writeExperiment("60s"), "--out", folder.resolve("out").toString());
        BufferedReader lines = new BufferedReader(new InputStreamReader(lab.getInputStream(), StandardCharsets.UTF_8));
        String line = lines.readLine();
        while (line != null && !line.contains("handed in")) {
            line = lines.readLine();
        }
        List<ProcessHandle> nodes = lab.descendants().toList();
        assertTrue(nodes.size() >= 2, "the nodes are running");
        new ProcessBuilder("kill", "-INT", Long.toString(lab.pid())).start().waitFor();
        assertTrue(lab.waitFor(60, TimeUnit.SECONDS));
        assertEquals(3, lab.exitValue());
        assertTrue(nodes.stream().noneMatch(ProcessHandle::isAlive));
        assertEquals("interrupted", readSummary().path("void").asText());
        assertTrue(Files.size(folder.resolve("out/report.html")) > 10_000);
    }

    @Test
    void allInputErrorsAreReportedAndTheExitStatusIsTwo() throws Exception {
        Path file = folder.resolve("bad.yaml");
        Files.writeString(file, EXPERIMENT.formatted("soon").replace("rate: 30", "rate: fast, sahpe: wave"));
        Process lab = startLab("run", file.toString());
        String output = readOutput(lab);
        assertEquals(2, lab.waitFor(), output);
        assertTrue(output.contains("bad.yaml:3: length") && output.contains("load.rate")
                && output.contains("load.sahpe"), output);
        assertEquals(2, startLab("run").waitFor());
        assertEquals(2, startLab("stroll").waitFor());
        assertEquals(2, startLab("load", "--to", "192.0.2.1:80").waitFor());
    }
}
