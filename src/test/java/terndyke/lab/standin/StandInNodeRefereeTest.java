package terndyke.lab.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.ExperimentFile;
import terndyke.lab.referee.Breach;
import terndyke.lab.run.ExperimentRun;
import terndyke.lab.run.ExperimentResult;
import terndyke.lab.standin.StandInNode.Fault;

/**
 * Runs experiments with stand-in nodes on sockets. Guards against a referee that misses a broken rule or reports a rule that
 * was kept: for a node that breaks exactly one rule it must report that rule only, for a node that keeps all rules none.
 */
class StandInNodeRefereeTest {
    private static final String EXPERIMENT = """
            name: proving
            about: a little of everything that a rule is about
            length: 4500ms
            settle: 200ms
            late: 5s
            nodes: {count: 2}
            grades:
              - {name: status, effect: idempotent, target: 1s, abandon: 2s, share: 0.4}
              - {name: order, effect: deduplicated, target: 1s, abandon: 2s, share: 0.4, inOrder: true, window: 4s}
              - {name: payment, effect: unrepeatable, target: 1s, abandon: 2s, share: 0.2}
            destinations:
              - {kind: plain, count: 3, cold: {share: 0.1, warm: 3s, fallMultiple: 1, fallWithin: 500ms}, places: 2}
              - kind: limited
                count: 2
                limit: {rate: 10, burst: 4, tellsWait: 1, wait: 700ms}
            list: {delay: 50ms}
            load: {rate: 90, keys: 12}
            failures:
              - {kind: errors, at: 500ms, for: 2s, amount: 0.15, on: {destinations: [1]}}
              - {kind: drain, at: 400ms, for: 1s, on: {destinations: [2], receivers: [0]}}
              - {kind: crash, at: 1s, for: 2s, on: {destinations: [0]}}
            """;

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(Fault.class)
    void refereeReportsExactlyTheRuleThatTheStandInBreaks(Fault fault) throws Exception {
        Experiment experiment = ExperimentFile.read("proving", EXPERIMENT);
        ExperimentResult result =
                new ExperimentRun(experiment, folder, null, fault, new PrintStream(PrintStream.nullOutputStream())).execute();
        assertNull(result.voidedBecause());
        List<Integer> brokenRules = result.breaches().stream().map(Breach::rule).distinct().sorted().toList();
        int expectedRule = fault.ordinal(); // the faults are declared in the order of the rules that they break
        assertEquals(expectedRule == 0 ? List.of() : List.of(expectedRule), brokenRules, result.breaches()::toString);
        assertEquals(expectedRule == 0 ? 0 : 1, result.status());
        assertTrue(result.offeredCount() > 300);
    }
}
