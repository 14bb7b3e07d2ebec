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
import terndyke.api.ListedEndpoint.EndpointState;
import terndyke.node.NodeLog;
import terndyke.node.discovery.ListEntry;

/** Guards against entries lost or misread after truncation, damage, a full journal or an unfinished compaction. */
class JournalTest {
    private static final NodeLog LOG = new NodeLog(new PrintStream(PrintStream.nullOutputStream()), "test");
    private static final List<JournalEntry> ENTRIES = List.of(
            new JournalEntry.RecordAccepted(7, "id-\u00e9", 1, 2, 3, 4, "mark", 5, 6, new byte[] {0, -1, 9}),
            new JournalEntry.ShotFired(7, 0, "s-1", 1, 8), new JournalEntry.ShotEnded(7, 0, Ending.RESET),
            new JournalEntry.RecordEnded(7, JournalEntry.RecordOutcome.BOUNCED, 500), new JournalEntry.NoticeAnswered(7),
            new JournalEntry.EndpointsListed(44, List.of(
                    new ListEntry("s-1", "127.0.0.1:1", "east", "a", 7.5f, EndpointState.READY, 12, 3))));

    @TempDir
    Path folder;

    private Journal openJournal(long maxBytes, List<JournalEntry> entries) throws IOException {
        return Journal.open(folder, maxBytes, LOG, entries);
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
    void everyEntryIsDecodedAsItWasEncoded() throws IOException {
        for (JournalEntry entry : ENTRIES) {
            JournalEntry decoded = JournalEntryCodec.decode(JournalEntryCodec.encode(entry));
            assertArrayEquals(JournalEntryCodec.encode(entry), JournalEntryCodec.encode(decoded));
            if (!(entry instanceof JournalEntry.RecordAccepted)) {
                assertEquals(entry, decoded);
            }
        }
        JournalEntry.RecordAccepted decoded = (JournalEntry.RecordAccepted)
                JournalEntryCodec.decode(JournalEntryCodec.encode(ENTRIES.get(0)));
        assertEquals("id-\u00e9", decoded.id());
        assertEquals("mark", decoded.idempotencyKey());
        assertArrayEquals(new byte[] {0, -1, 9}, decoded.body());
    }

    @Test
    void entryTruncatedAtAnyByteThrowsIOException() {
        for (JournalEntry entry : ENTRIES) {
            byte[] encoded = JournalEntryCodec.encode(entry);
            for (int length = 0; length < encoded.length; length++) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThrows(IOException.class, () -> JournalEntryCodec.decode(truncated));
            }
        }
    }

    @Test
    void aJournalCutAtAnyByteKeepsAllWholeEntries() throws IOException {
        byte[] journalBytes = Files.readAllBytes(writeJournal(ENTRIES));
        int[] ends = new int[ENTRIES.size()];
        for (int i = 0, offset = 0; i < ends.length; i++) {
            offset += Journal.encodedSize(ENTRIES.get(i));
            ends[i] = offset;
        }
        for (int length = 0; length <= journalBytes.length; length++) {
            Files.write(folder.resolve("journal"), Arrays.copyOf(journalBytes, length));
            List<JournalEntry> entries = new ArrayList<>();
            try (Journal journal = openJournal(1 << 20, entries)) {
                int truncatedLength = length;
                long intactCount = Arrays.stream(ends).filter(end -> end <= truncatedLength).count();
                assertEquals(intactCount, entries.size());
                journal.append(ENTRIES.get(4));
            }
            List<JournalEntry> reopenedEntries = new ArrayList<>();
            openJournal(1 << 20, reopenedEntries).close();
            assertEquals(entries.size() + 1, reopenedEntries.size());
        }
    }

    @Test
    void entryWithAChangedByteIsSkippedAndLaterOnesAreRead() throws IOException {
        byte[] journalBytes = Files.readAllBytes(writeJournal(ENTRIES));
        int secondEntryOffset = Journal.encodedSize(ENTRIES.get(0));
        journalBytes[secondEntryOffset + 20] ^= 1;
        Files.write(folder.resolve("journal"), journalBytes);
        List<JournalEntry> entries = new ArrayList<>();
        openJournal(1 << 20, entries).close();
        assertEquals(List.of("RecordAccepted", "ShotEnded", "RecordEnded", "NoticeAnswered", "EndpointsListed"), typeNames(entries));
    }

    @Test
    void fullJournalAppendsAnEntryWholeOrNotAtAll() throws IOException {
        List<JournalEntry> entries = new ArrayList<>();
        int written = 0;
        try (Journal journal = openJournal(2048, entries)) {
            for (boolean full = false; !full; written += full ? 0 : 1) {
                try {
                    journal.append(ENTRIES.get(0));
                } catch (IOException e) {
                    full = true;
                }
            }
            assertTrue(journal.size() <= 2048);
        }
        openJournal(2048, entries).close();
        assertEquals(written, entries.size());
    }

    @Test
    void compactionKeepsTheGivenEntriesAndLaterOnesAreAppended() throws IOException {
        List<JournalEntry> entries = new ArrayList<>();
        try (Journal journal = openJournal(1 << 20, entries)) {
            for (int i = 0; i < 100; i++) {
                journal.append(ENTRIES.get(1));
            }
            assertTrue(journal.compact(List.of(ENTRIES.get(0), ENTRIES.get(1))));
            journal.append(ENTRIES.get(2));
        }
        openJournal(1 << 20, entries).close();
        assertEquals(List.of("RecordAccepted", "ShotFired", "ShotEnded"), typeNames(entries));
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count());
        }
    }

    @Test
    void compactionThatHasNoRoomLeavesTheOldFile() throws IOException {
        List<JournalEntry> entries = new ArrayList<>();
        try (Journal journal = openJournal(1024, entries)) {
            journal.append(ENTRIES.get(0));
            assertFalse(journal.compact(java.util.Collections.nCopies(20, ENTRIES.get(0))));
        }
        openJournal(1024, entries).close();
        assertEquals(1, entries.size());
    }

    @Test
    void unfinishedCompactionIsDeletedAndTheOldFileIsRead() throws IOException {
        writeJournal(ENTRIES);
        Files.write(folder.resolve("journal.next"), new byte[700]);
        List<JournalEntry> entries = new ArrayList<>();
        openJournal(1 << 20, entries).close();
        assertEquals(ENTRIES.size(), entries.size());
        assertFalse(Files.exists(folder.resolve("journal.next")));
    }
}
