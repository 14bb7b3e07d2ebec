package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.node.journal.JournalEntry.ClockReference;

/** How the node's clock goes on over a restart, and what it shows where only the wall clock is known. */
class NodeClockTest {
    private static final long WALL_MICROS = 1_700_000_000_000_000L;
    private static final long MONOTONIC_MICROS = 40_000_000;
    private static final long LATEST_MICROS = WALL_MICROS - 1_000_000;
    private static final long UNREADABLE_MILLIS = 300;
    private static final ClockReference PREVIOUS_RUN = new ClockReference("boot 1", WALL_MICROS - MONOTONIC_MICROS);

    private static NodeClock restart(ClockReference previous, String identity, long monotonicMicros, long wallMicros) {
        return NodeClock.continueFrom(previous, LATEST_MICROS, identity, () -> monotonicMicros, wallMicros);
    }

    @Test
    void aStepOfTheWallClockBetweenTwoRunsDoesNotMoveTheClock() {
        for (long step : new long[] {-3_600_000_000L, -5_000_000, 5_000_000, 3_600_000_000L}) {
            NodeClock clock = restart(PREVIOUS_RUN, "boot 1", MONOTONIC_MICROS + 600_000, WALL_MICROS + step);
            assertTrue(clock.isContinued());
            assertEquals(WALL_MICROS + 600_000, clock.now());
            assertEquals(PREVIOUS_RUN, clock.reference());
        }
    }

    @Test
    void afterABootTheWallClockCounts() {
        NodeClock clock = restart(PREVIOUS_RUN, "boot 2", 10_000_000, WALL_MICROS + 60_000_000);
        assertFalse(clock.isContinued());
        assertEquals(WALL_MICROS + 60_000_000, clock.now());
    }

    @Test
    void timeNeverGoesBackBehindTheJournal() {
        NodeClock clock = restart(PREVIOUS_RUN, "boot 2", 10_000_000, WALL_MICROS - 60_000_000);
        assertEquals(LATEST_MICROS, clock.now());
    }

    @Test
    void aMonotonicClockThatBeganAnewIsAnotherOne() {
        assertFalse(restart(PREVIOUS_RUN, "boot 1", 10_000_000, WALL_MICROS).isContinued());
    }

    @Test
    void withoutAnIdentityOrAReferenceTheWallClockCounts() {
        assertFalse(restart(new ClockReference("", PREVIOUS_RUN.offsetMicros()), "", MONOTONIC_MICROS, WALL_MICROS).isContinued());
        assertFalse(restart(null, "boot 1", MONOTONIC_MICROS, WALL_MICROS).isContinued());
    }

    @Test
    void thisMachineHasAMonotonicClockThatOutlivesTheProcess() {
        assertFalse(MonotonicClockIdentity.read().isEmpty());
    }

    /** Guards against deadlines on the wall clock where the system has no descriptor at the moment of the start. */
    @Test
    void anIdentityThatCannotBeReadAtOnceIsReadAgain(@TempDir Path folder) throws Exception {
        Path bootId = Files.createDirectory(folder.resolve("boot_id")); // cannot be read as a file
        CompletableFuture<String> identity = CompletableFuture.supplyAsync(() ->
                MonotonicClockIdentity.read(bootId, folder.resolve("missing")));
        Thread.sleep(UNREADABLE_MILLIS);
        Files.move(Files.writeString(folder.resolve("readable"), "boot 1"), bootId, StandardCopyOption.REPLACE_EXISTING);
        assertTrue(identity.get(5, TimeUnit.SECONDS).contains("boot 1"));
    }
}
