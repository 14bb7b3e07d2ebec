package terndyke.node.journal;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.zip.CRC32;

import terndyke.node.NodeLog;

/**
 * The node's persistent state: one file of entries, each with its length and checksum, and during a compaction a second
 * file that replaces it. Entries are written without fsync, so they survive a crash of the process, but not of the machine.
 */
public final class Journal implements Closeable {
    private static final int FRAME_HEADER_BYTES = 8;
    private static final int MIN_PAYLOAD_BYTES = 9; // the entry's type and its record's number
    private static final int MAX_PAYLOAD_BYTES = 1 << 17; // more than the largest body with its headers takes
    private static final int BLOCK_BYTES = 512;

    private final Path currentPath;
    private final Path nextPath;
    private final long maxBytes;
    private final NodeLog log;
    private RandomAccessFile file;
    private long size;

    private Journal(Path folder, long most, NodeLog log) {
        this.currentPath = folder.resolve("journal");
        this.nextPath = folder.resolve("journal.next");
        this.maxBytes = most;
        this.log = log;
    }

    /** Opens the journal in the folder and adds its entries to the given list. A torn tail is truncated. */
    public static Journal open(Path folder, long most, NodeLog log, List<JournalEntry> held) throws IOException {
        Files.createDirectories(folder);
        Journal journal = new Journal(folder, most, log);
        Files.deleteIfExists(journal.nextPath); // left by an unfinished compaction; the current file holds all entries
        journal.file = new RandomAccessFile(journal.currentPath.toFile(), "rw");
        journal.readEntries(held);
        return journal;
    }

    private void readEntries(List<JournalEntry> held) throws IOException {
        long length = file.length();
        byte[] bytes = new byte[(int) Math.min(length, Integer.MAX_VALUE - 8)];
        file.readFully(bytes);
        ByteBuffer all = ByteBuffer.wrap(bytes);
        for (int at = 0; at + FRAME_HEADER_BYTES < bytes.length; at++) {
            byte[] payload = readPayload(all, at);
            if (payload == null) {
                continue; // a torn tail, or a damaged entry before intact ones
            }
            if (at > size) {
                log.warn("journal: " + (at - size) + " damaged bytes skipped at byte " + size);
            }
            try {
                held.add(JournalEntryCodec.decode(payload));
            } catch (IOException e) {
                log.warn("journal: entry at byte " + at + " skipped: " + e.getMessage());
            }
            size = at + FRAME_HEADER_BYTES + payload.length;
            at = (int) size - 1;
        }
        if (size < length) {
            log.warn("journal: torn tail of " + (length - size) + " bytes truncated after " + held.size() + " entries");
            file.setLength(size);
        }
        file.seek(size);
    }

    /** The payload of the entry that starts at that position, or null if no intact entry does. */
    private static byte[] readPayload(ByteBuffer all, int at) {
        int length = all.getInt(at);
        if (length < MIN_PAYLOAD_BYTES || length > MAX_PAYLOAD_BYTES || length > all.capacity() - at - FRAME_HEADER_BYTES) {
            return null;
        }
        byte[] payload = new byte[length];
        all.get(at + FRAME_HEADER_BYTES, payload);
        return checksum(payload) == all.getInt(at + 4) ? payload : null;
    }

    private static int checksum(byte[] payload) {
        CRC32 sum = new CRC32();
        sum.update(payload);
        return (int) sum.getValue();
    }

    private static byte[] encodeFrame(JournalEntry entry) {
        byte[] payload = JournalEntryCodec.encode(entry);
        return ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length).putInt(payload.length).putInt(checksum(payload))
                .put(payload).array();
    }

    private static long roundUpToBlock(long bytes) {
        return (bytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }

    /** The number of bytes that can be appended with enough space left for a compaction to the given number of live bytes. */
    public long remainingBytes(long live) {
        return maxBytes - roundUpToBlock(size) - roundUpToBlock(live);
    }

    public long size() {
        return size;
    }

    /** Appends one entry completely, or throws and leaves the file as it was. */
    public void append(JournalEntry entry) throws IOException {
        byte[] frame = encodeFrame(entry);
        if (roundUpToBlock(size + frame.length) > maxBytes) {
            throw new IOException("journal is full");
        }
        try {
            file.write(frame);
            size += frame.length;
        } catch (IOException e) {
            file.setLength(size);
            file.seek(size);
            throw e;
        }
    }

    /** The size of the entry in the file, with length and checksum. */
    public static int encodedSize(JournalEntry entry) {
        return encodeFrame(entry).length;
    }

    /** Replaces the file by one with only the given entries. Returns false and keeps the old one if there is no room for both. */
    public boolean compact(Iterable<JournalEntry> live) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(1 << 16);
        for (JournalEntry entry : live) {
            whole.writeBytes(encodeFrame(entry));
        }
        if (roundUpToBlock(size) + roundUpToBlock(whole.size()) > maxBytes) {
            return false;
        }
        RandomAccessFile fresh = new RandomAccessFile(nextPath.toFile(), "rw");
        try {
            fresh.setLength(0);
            fresh.write(whole.toByteArray());
            Files.move(nextPath, currentPath, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(nextPath);
            throw e;
        }
        file.close();
        file = fresh;
        size = whole.size();
        return true;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
