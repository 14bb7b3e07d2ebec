package terndyke.lab.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import terndyke.lab.plan.Failure.Kind;

class ShrinkerTest {
    private final Experiment base = base();

    private static Experiment base() {
        try {
            return ExperimentFile.read("day", ExperimentFileTest.SOUND.replace("length: 4s", "length: 16s"));
        } catch (BadInput e) {
            throw new IllegalStateException(e);
        }
    }

    private Experiment with(Kind... kinds) {
        return base.withFailures(java.util.Arrays.stream(kinds)
                .map(kind -> new Failure(kind, Span.of("1s"), Span.of("2s"), null, null)).toList());
    }

    private static Set<Kind> kinds(Experiment day) {
        Set<Kind> kinds = new HashSet<>();
        day.failures().forEach(failure -> kinds.add(failure.kind()));
        return kinds;
    }

    @Test
    void theTwoFailuresThatMatterTogetherAreLeft() throws Exception {
        Set<Kind> culprits = Set.of(Kind.KILL, Kind.SILENT);
        Shrinker shrinker = new Shrinker(day -> kinds(day).containsAll(culprits) && day.length().micros() >= 3_000_000, 1,
                text -> { });
        Experiment least = shrinker.shrink(with(Kind.HANG, Kind.KILL, Kind.SLOW, Kind.MUTE, Kind.SILENT, Kind.DRAIN,
                Kind.LIST_LATE));
        assertEquals(culprits, kinds(least));
        assertEquals(2, least.failures().size());
        assertEquals(4_000_000, least.length().micros());
        assertTrue(least.failures().stream().allMatch(failure -> failure.lasts().micros() < 200_000));
    }

    @Test
    void aDayThatDoesNotFailIsNotCutDown() throws Exception {
        assertNull(new Shrinker(day -> false, 1, text -> { }).shrink(with(Kind.HANG)));
    }

    @Test
    void theSameSeedDrawsTheSameDay() {
        for (long seed = 1; seed <= 50; seed++) {
            Experiment drawn = Drawer.draw(base, seed);
            assertEquals(ExperimentFile.write(drawn), ExperimentFile.write(Drawer.draw(base, seed)));
            assertTrue(drawn.contradictions().isEmpty(), drawn.contradictions().toString());
        }
        assertTrue(!Drawer.draw(base, 1).failures().equals(Drawer.draw(base, 2).failures()));
    }
}
