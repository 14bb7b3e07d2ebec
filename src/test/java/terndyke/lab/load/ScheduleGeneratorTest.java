package terndyke.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.lab.plan.UserInputException;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.ExperimentFile;

/** Tests the generated schedules, trace files, and the latencies that the check of the load generator expects. */
class ScheduleGeneratorTest {
    @TempDir
    Path folder;

    private static Experiment readExperiment(String load, long seed) throws UserInputException {
        return ExperimentFile.read("day", "name: day\nabout: a day\nlength: 20s\ngrades:\n  - {name: status, effect: "
                + "idempotent, target: 1s, abandon: 3s, share: 3}\n  - {name: order, effect: unrepeatable, target: 1s, "
                + "abandon: 3s, inOrder: true}\ndestinations:\n  - {kind: shop, count: 5}\nload: " + load + "\n")
                .withSeed(seed);
    }

    private static long countBetween(List<Arrival> arrivals, double from, double until) {
        return arrivals.stream().filter(arrival -> arrival.due() >= from * 1e6 && arrival.due() < until * 1e6).count();
    }

    @Test
    void theSameSeedGivesTheSameScheduleByteForByte() throws Exception {
        for (String shape : List.of("constant", "poisson", "ramp", "surge", "wave", "clumps")) {
            String load = "{shape: " + shape + ", rate: 50, peak: 100, from: 5s, until: 10s}";
            TraceFile.write(folder.resolve("a"), ScheduleGenerator.generate(readExperiment(load, 7)));
            TraceFile.write(folder.resolve("b"), ScheduleGenerator.generate(readExperiment(load, 7)));
            assertEquals(-1, Files.mismatch(folder.resolve("a"), folder.resolve("b")), shape);
            assertTrue(!ScheduleGenerator.generate(readExperiment(load, 7))
                    .equals(ScheduleGenerator.generate(readExperiment(load, 8))), shape);
        }
    }

    @Test
    void loadShapesPlaceRecordsInTheTimesTheyDefine() throws UserInputException {
        assertEquals(1000, ScheduleGenerator.generate(readExperiment("{shape: constant, rate: 50}", 1)).size());
        List<Arrival> surge = ScheduleGenerator.generate(
                readExperiment("{shape: surge, rate: 50, peak: 500, from: 5s, until: 10s}", 1));
        assertTrue(countBetween(surge, 5, 10) > 5 * countBetween(surge, 10, 15));
        List<Arrival> ramp = ScheduleGenerator.generate(readExperiment("{shape: ramp, rate: 10, peak: 300}", 1));
        assertTrue(countBetween(ramp, 15, 20) > 3 * countBetween(ramp, 0, 5));
        List<Arrival> wave = ScheduleGenerator.generate(readExperiment("{shape: wave, rate: 10, peak: 300}", 1));
        assertTrue(countBetween(wave, 8, 12) > 3 * countBetween(wave, 0, 4));
        List<Arrival> clumps = ScheduleGenerator.generate(readExperiment("{shape: clumps, rate: 50, clump: 10}", 1));
        assertEquals(0, clumps.size() % 10);
    }

    @Test
    void aKeyKeepsItsDestination() throws UserInputException {
        java.util.Map<String, Integer> destinationsByKey = new java.util.HashMap<>();
        for (Arrival arrival : ScheduleGenerator.generate(readExperiment("{rate: 200, keys: 20}", 3))) {
            assertEquals(arrival.grade().equals("order"), arrival.key() != null);
            if (arrival.key() != null) {
                assertEquals(arrival.destination(),
                        destinationsByKey.computeIfAbsent(arrival.key(), key -> arrival.destination()));
            }
        }
    }

    @Test
    void aTraceIsReplayedAsItWasRecordedCompressedOrNot() throws Exception {
        Experiment experiment = readExperiment("{rate: 50}", 5);
        List<Arrival> arrivals = ScheduleGenerator.generate(experiment);
        for (String name : List.of("trace.jsonl", "trace.jsonl.zst")) {
            TraceFile.write(folder.resolve(name), arrivals);
            assertEquals(arrivals, TraceFile.read(folder.resolve(name), experiment));
        }
        assertTrue(Files.size(folder.resolve("trace.jsonl.zst")) * 4 < Files.size(folder.resolve("trace.jsonl")));
    }

    @Test
    void everyInvalidLineOfATraceIsReported() throws Exception {
        Path file = folder.resolve("trace.jsonl");
        Files.write(file, List.of("{\"due\":5,\"grade\":\"status\",\"tenant\":\"acme\",\"destination\":0,\"bytes\":1}",
                "{\"due\":4,\"grade\":\"status\",\"tenant\":\"acme\",\"destination\":0,\"bytes\":1}", "{",
                "{\"due\":6,\"grade\":\"none\",\"tenant\":\"acme\",\"destination\":0,\"bytes\":1}",
                "{\"due\":6,\"grade\":\"status\",\"tenant\":\"acme\",\"destination\":9,\"bytes\":1}"));
        List<String> errors = assertThrows(UserInputException.class,
                () -> TraceFile.read(file, readExperiment("{rate: 50}", 5))).errors();
        assertEquals(4, errors.size(), errors.toString());
        assertTrue(errors.get(0).contains(":2: due"), errors.get(0));
    }

    @Test
    void expectedLatenciesOfAStallCountFromTheDueTimes() {
        List<Arrival> arrivals = new java.util.ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            arrivals.add(new Arrival(i * 2_000L, "any", "any", null, 0, 1));
        }
        long[] latencies = LoadGeneratorCheck.expectedLatencies(arrivals, 4_000_000, 2_000_000, 5_000, 4);
        assertEquals(5_000, latencies[0]);
        assertTrue(latencies[4_999] >= 2_000_000 && latencies[4_999] <= 2_005_000,
                "the first request of the stall waits for all of it");
        assertTrue(latencies[4_949] > 1_800_000, "the stall shows at p99");
    }
}
