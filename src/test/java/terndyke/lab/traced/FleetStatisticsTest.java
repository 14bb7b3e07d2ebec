package terndyke.lab.traced;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import terndyke.lab.traced.FleetStatistics.Metric;

class FleetStatisticsTest {
    /** Two nodes at destination 3 in the first second; one of them is killed and restarted in the next. */
    private static final List<TraceLine> TRACE_LINES = Stream.of(
            "1.371 trace 1000000 n0 taken 1 aa 0 3 5000000 0",
            "1.372 trace 1000000 n0 shot 1 0 s-1 3 new",
            "trace 1500000 n1 taken 1 bb 0 3 5000000 0",
            "trace 1600000 n0 over 1 0 s-1 3 FULL 600000 250000",
            "trace 1700000 n1 shot 1 0 s-1 3 kept",
            "trace 1800000 n0 probe s-1 3",
            "trace 1900000 n1 over 1 0 s-1 3 DONE 200000 0",
            "trace 2000000 n0 taken 2 cc 0 3 5000000 0",
            "trace 2000000 n0 shot 2 0 s-1 3 new",
            "trace 2500000 n0 serving",
            "trace 2500000 n0 bounced 1 aa 0 3 10 1",
            "trace 3000000 n0 list 4").map(TraceLine::parse).toList();

    @Test
    void allNodesAreAddedUpByStepAndDestination() {
        FleetStatistics statistics = FleetStatistics.of(TRACE_LINES, 1_000_000);
        assertEquals(List.of("3"), statistics.destinations());
        for (String destination : new String[] {null, "3"}) {
            assertEquals(2, statistics.value(destination, 0, Metric.TAKEN));
            assertEquals(2, statistics.value(destination, 0, Metric.SHOTS));
            assertEquals(1, statistics.value(destination, 0, Metric.OPENED));
            assertEquals(1, statistics.value(destination, 0, Metric.FULL));
            assertEquals(1, statistics.value(destination, 0, Metric.TOLD));
            assertEquals(1, statistics.value(destination, 0, Metric.PROBES));
            assertEquals(0.8, statistics.value(destination, 0, Metric.OUT), 1e-9, "0.6 s and 0.2 s in a second");
            assertEquals(0.2 + 0.4, statistics.value(destination, 0, Metric.WAITING), 1e-9,
                    "n1's first 0.2 s, n0's after its refusal");
            assertEquals(1, statistics.value(destination, 1, Metric.BOUNCED));
            assertEquals(0.5, statistics.value(destination, 1, Metric.OUT), 1e-9,
                    "shots of a killed node end with its process run");
        }
        assertEquals(1, statistics.value(null, 2, Metric.LISTS));
    }

    @Test
    void aRecordIsFoundByItsIdAndOtherLinesAreIgnored() {
        assertEquals(List.of("taken", "shot", "over", "bounced"),
                RecordTrace.findLines(TRACE_LINES, "aa").stream().map(TraceLine::verb).toList());
        assertNull(TraceLine.parse("1.371 2026 info n0 suspect: a trace is no line"));
        assertNull(TraceLine.parse("trace x n0 taken"));
        assertEquals("", TraceLine.parse("trace 5 n0 over 1").argument(4));
    }
}
