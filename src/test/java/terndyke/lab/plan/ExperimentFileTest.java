package terndyke.lab.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;

class ExperimentFileTest {
    static final String VALID_EXPERIMENT = """
            name: day
            about: a day
            length: 4s
            grades:
              - {name: status, effect: idempotent, target: 1s, abandon: 3s}
              - {name: order, effect: deduplicated, target: 1s, abandon: 3s, inOrder: true}
            destinations:
              - {kind: shop, count: 2}
            failures:
              - {kind: hang, at: 1s, for: 500ms, on: {hall: west}}
            """;

    private static List<String> readErrors(String text) {
        return assertThrows(UserInputException.class, () -> ExperimentFile.read("day.yaml", text)).errors();
    }

    @Test
    void aValidFileIsReadAndWrittenCompletely() throws UserInputException {
        Experiment experiment = ExperimentFile.read("day.yaml", VALID_EXPERIMENT);
        assertEquals(4_000_000, experiment.length().micros());
        assertEquals(Experiment.RepeatSemantics.DEDUPLICATED, experiment.grades().get(1).effect());
        assertEquals(Failure.Kind.HANG, experiment.failures().get(0).kind());
        assertEquals(500_000, experiment.failures().get(0).duration().micros());
        assertEquals(experiment, ExperimentFile.read("again", ExperimentFile.toYaml(experiment)));
    }

    @Test
    void allErrorsAreReportedTogetherWithTheirLines() {
        List<String> errors = readErrors(VALID_EXPERIMENT.replace("length: 4s", "lenght: 4s").replace("count: 2", "count: two")
                .replace("effect: idempotent", "effect: harmless").replace("for: 500ms", "for: soon")
                .replace("target: 1s, abandon: 3s}\n", "abandon: 3s}\n"));
        assertEquals(5, errors.size(), errors.toString());
        assertTrue(errors.get(0).startsWith("day.yaml:3: lenght: unknown field; nearest known: length"), errors.get(0));
        assertTrue(errors.stream().anyMatch(error -> error.startsWith("day.yaml:5: grades.0.effect: found \"harmless\"")));
        assertTrue(errors.stream().anyMatch(error -> error.startsWith("day.yaml:5: grades.0.target: is missing")));
        assertTrue(errors.stream().anyMatch(error -> error.startsWith("day.yaml:8: destinations.0.count: found string")));
        assertTrue(errors.stream().anyMatch(error -> error.startsWith("day.yaml:10: failures.0.for: found \"soon\"")));
    }

    @Test
    void inconsistentFieldsAreReportedToo() {
        List<String> errors = readErrors(VALID_EXPERIMENT.replace("hall: west", "hall: moon")
                .replace("target: 1s, abandon: 3s, inOrder", "target: 9s, abandon: 3s, inOrder")
                .replace("count: 2}", "count: 2, limit: {rate: 2, count: 3}}"));
        assertEquals(3, errors.size(), errors.toString());
        assertTrue(errors.get(0).contains("grades.1.target: target 9s is after abandon 3s"), errors.get(0));
    }

    @Test
    void textThatIsNoExperimentIsReportedAsAnError() {
        for (String text : List.of("", "- 1", "name: [", "\t", "\u0000", "name: day\nname: {", "{}")) {
            assertTrue(!readErrors(text).isEmpty(), text);
        }
    }
}
