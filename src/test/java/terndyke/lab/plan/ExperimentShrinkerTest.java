package terndyke.lab.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import terndyke.lab.plan.Failure.Kind;

class ExperimentShrinkerTest {
    private final Experiment baseExperiment = baseExperiment();

    private static Experiment baseExperiment() {
        try {
            return ExperimentFile.read("day", ExperimentFileTest.VALID_EXPERIMENT.replace("length: 4s", "length: 16s"));
        } catch (UserInputException e) {
            throw new IllegalStateException(e);
        }
    }

    private Experiment withFailures(Kind... kinds) {
        return baseExperiment.withFailures(java.util.Arrays.stream(kinds)
                .map(kind -> new Failure(kind, TimeSpan.of("1s"), TimeSpan.of("2s"), null, null)).toList());
    }

    private static Set<Kind> failureKinds(Experiment experiment) {
        Set<Kind> kinds = new HashSet<>();
        experiment.failures().forEach(failure -> kinds.add(failure.kind()));
        return kinds;
    }

    @Test
    void theTwoFailuresThatFailOnlyTogetherAreKept() throws Exception {
        Set<Kind> culprits = Set.of(Kind.KILL, Kind.SILENT);
        ExperimentShrinker shrinker = new ExperimentShrinker(
                experiment -> failureKinds(experiment).containsAll(culprits)
                && experiment.length().micros() >= 3_000_000, 1, text -> { });
        Experiment smallest = shrinker.shrink(withFailures(Kind.HANG, Kind.KILL, Kind.SLOW, Kind.MUTE, Kind.SILENT, Kind.DRAIN,
                Kind.LIST_LATE));
        assertEquals(culprits, failureKinds(smallest));
        assertEquals(2, smallest.failures().size());
        assertEquals(4_000_000, smallest.length().micros());
        assertTrue(smallest.failures().stream().allMatch(failure -> failure.duration().micros() < 200_000));
    }

    @Test
    void anExperimentThatDoesNotFailIsNotShrunk() throws Exception {
        assertNull(new ExperimentShrinker(experiment -> false, 1, text -> { }).shrink(withFailures(Kind.HANG)));
    }

    @Test
    void theSameSeedGeneratesTheSameConsistentExperiment() {
        for (long seed = 1; seed <= 50; seed++) {
            Experiment generated = ExperimentGenerator.generate(baseExperiment, seed);
            assertEquals(ExperimentFile.toYaml(generated),
                    ExperimentFile.toYaml(ExperimentGenerator.generate(baseExperiment, seed)));
            assertTrue(generated.findInconsistencies().isEmpty(), generated.findInconsistencies().toString());
        }
        assertTrue(!ExperimentGenerator.generate(baseExperiment, 1).failures()
                .equals(ExperimentGenerator.generate(baseExperiment, 2).failures()));
    }
}
