package terndyke.node.journal;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.api.Ending;
import terndyke.node.NodeLog;

class JournalTest {
    private static final NodeLog LOG = new NodeLog(new PrintStream(PrintStream.nullOutputStream()), "test");
    private static final List<JournalEntry> ENTRIES = List.of(
            new JournalEntry.RecordAccepted(7, "id-\u00e9", 1, 2, 3, 4, "mark", 5, 6, new byte[] {0, -1, 9}),
            new JournalEntry.ShotFired(7, 0, "s-1", 1, 8), new JournalEntry.ShotEnded(7, 0, Ending.RESET),
            new JournalEntry.RecordEnded(7, JournalEntry.RecordOutcome.BOUNCED, 500), new JournalEntry.NoticeAnswered(7));

    @TempDir
    Path folder;

    private Journal openJournal(long most, List<JournalEntry> held) throws IOException {
        return Journal.open(folder, most, LOG, held);
    }

    private Path writeJournal(List<JournalEntry> entries) throws IOException {
        try (Journal journal = openJournal(1 << 20, new ArrayList<>())) {
            for (JournalEntry entry : entries) {
                journal.append(entry);
            }
        }
        return folder.resolve("journal");
    }

    private static List<String> typeNames(List<JournalEntry> entries) {
        return entries.stream().map(entry -> entry.getClass().getSimpleName()).toList();
    }

    @Test
    void everyEntryComesBackAsItWas() throws IOException {
        for (JournalEntry entry : ENTRIES) {
            JournalEntry back = JournalEntryCodec.decode(JournalEntryCodec.encode(entry));
            assertArrayEquals(JournalEntryCodec.encode(entry), JournalEntryCodec.encode(back));
            if (!(entry instanceof JournalEntry.RecordAccepted)) {
                assertEquals(entry, back);
            }
        }
        JournalEntry.RecordAccepted back = (JournalEntry.RecordAccepted)
                JournalEntryCodec.decode(JournalEntryCodec.encode(ENTRIES.get(0)));
        assertEquals("id-\u00e9", back.id());
        assertEquals("mark", back.idempotencyKey());
        assertArrayEquals(new byte[] {0, -1, 9}, back.body());
    }

    @Test
    void entryTruncatedAtAnyByteThrowsIOException() {
        for (JournalEntry entry : ENTRIES) {
            byte[] whole = JournalEntryCodec.encode(entry);
            for (int length = 0; length < whole.length; length++) {
                byte[] cut = Arrays.copyOf(whole, length);
                assertThrows(IOException.class, () -> JournalEntryCodec.decode(cut));
            }
        }
    }

    @Test
    void aJournalCutAtAnyByteKeepsAllWholeEntries() throws IOException {
        byte[] whole = Files.readAllBytes(writeJournal(ENTRIES));
        int[] ends = new int[ENTRIES.size()];
        for (int i = 0, at = 0; i < ends.length; i++) {
            at += Journal.encodedSize(ENTRIES.get(i));
            ends[i] = at;
        }
        for (int length = 0; length <= whole.length; length++) {
            Files.write(folder.resolve("journal"), Arrays.copyOf(whole, length));
            List<JournalEntry> held = new ArrayList<>();
            try (Journal journal = openJournal(1 << 20, held)) {
                int cut = length;
                long kept = Arrays.stream(ends).filter(end -> end <= cut).count();
                assertEquals(kept, held.size());
                journal.append(ENTRIES.get(4));
            }
            List<JournalEntry> again = new ArrayList<>();
            openJournal(1 << 20, again).close();
            assertEquals(held.size() + 1, again.size());
        }
    }

    @Test
    void anEntryWithAChangedByteIsPassedOver() throws IOException {
        byte[] whole = Files.readAllBytes(writeJournal(ENTRIES));
        int second = Journal.encodedSize(ENTRIES.get(0));
        whole[second + 20] ^= 1;
        Files.write(folder.resolve("journal"), whole);
        List<JournalEntry> held = new ArrayList<>();
        openJournal(1 << 20, held).close();
        assertEquals(List.of("RecordAccepted", "ShotEnded", "RecordEnded", "NoticeAnswered"), typeNames(held));
    }

    @Test
    void aFullJournalTakesAnEntryWholeOrNotAtAll() throws IOException {
        List<JournalEntry> held = new ArrayList<>();
        int written = 0;
        try (Journal journal = openJournal(2048, held)) {
            for (boolean full = false; !full; written += full ? 0 : 1) {
                try {
                    journal.append(ENTRIES.get(0));
                } catch (IOException e) {
                    full = true;
                }
            }
            assertTrue(journal.size() <= 2048);
        }
        openJournal(2048, held).close();
        assertEquals(written, held.size());
    }

    @Test
    void compactionKeepsWhatItIsGivenAndGoesOn() throws IOException {
        List<JournalEntry> held = new ArrayList<>();
        try (Journal journal = openJournal(1 << 20, held)) {
            for (int i = 0; i < 100; i++) {
                journal.append(ENTRIES.get(1));
            }
            assertTrue(journal.compact(List.of(ENTRIES.get(0), ENTRIES.get(1))));
            journal.append(ENTRIES.get(2));
        }
        openJournal(1 << 20, held).close();
        assertEquals(List.of("RecordAccepted", "ShotFired", "ShotEnded"), typeNames(held));
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count());
        }
    }

    @Test
    void compactionThatHasNoRoomLeavesTheOldFile() throws IOException {
        List<JournalEntry> held = new ArrayList<>();
        try (Journal journal = openJournal(1024, held)) {
            journal.append(ENTRIES.get(0));
            assertFalse(journal.compact(java.util.Collections.nCopies(20, ENTRIES.get(0))));
        }
        openJournal(1024, held).close();
        assertEquals(1, held.size());
    }

    @Test
    void unfinishedCompactionIsDeletedAndTheOldFileIsRead() throws IOException {
        writeJournal(ENTRIES);
        Files.write(folder.resolve("journal.next"), new byte[700]);
        List<JournalEntry> held = new ArrayList<>();
        openJournal(1 << 20, held).close();
        assertEquals(ENTRIES.size(), held.size());
        assertFalse(Files.exists(folder.resolve("journal.next")));
    }
}
