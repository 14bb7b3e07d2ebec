package terndyke.node.journal;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.file.AccessDeniedException;
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

    private Journal(Path folder, long maxBytes, NodeLog log) {
        this.currentPath = folder.resolve("journal");
        this.nextPath = folder.resolve("journal.next");
        this.maxBytes = maxBytes;
        this.log = log;
    }

    /** Opens the journal in the folder and adds its entries to the given list. A torn tail is truncated. */
    public static Journal open(Path folder, long maxBytes, NodeLog log, List<JournalEntry> entries) throws IOException {
        Files.createDirectories(folder);
        if (!Files.isWritable(folder)) {
            throw new AccessDeniedException(folder.toString());
        }
        Journal journal = new Journal(folder, maxBytes, log);
        journal.deleteUnfinishedCompaction();
        journal.file = new RandomAccessFile(journal.currentPath.toFile(), "rw");
        try {
            journal.readEntries(entries);
        } catch (IOException e) {
            journal.file.close();
            throw e;
        }
        return journal;
    }

    /** The current file holds all entries. If the other one cannot be deleted, the next compaction overwrites it. */
    private void deleteUnfinishedCompaction() {
        try {
            Files.deleteIfExists(nextPath);
        } catch (IOException e) {
            log.warn("journal: " + nextPath.getFileName() + " cannot be deleted", e);
        }
    }

    private void readEntries(List<JournalEntry> entries) throws IOException {
        long length = file.length();
        byte[] bytes = new byte[(int) Math.min(length, Integer.MAX_VALUE - 8)];
        file.readFully(bytes);
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        for (int offset = 0; offset + FRAME_HEADER_BYTES < bytes.length; offset++) {
            byte[] payload = readPayload(buffer, offset);
            if (payload == null) {
                continue; // a torn tail, or a damaged entry before intact ones
            }
            if (offset > size) {
                log.warn("journal: " + (offset - size) + " damaged bytes skipped at byte " + size);
            }
            try {
                entries.add(JournalEntryCodec.decode(payload));
            } catch (IOException e) {
                log.warn("journal: entry at byte " + offset + " skipped: " + e.getMessage());
            }
            size = offset + FRAME_HEADER_BYTES + payload.length;
            offset = (int) size - 1;
        }
        if (size < length) {
            log.warn("journal: torn tail of " + (length - size) + " bytes truncated after " + entries.size() + " entries");
            truncate();
        }
        file.seek(size);
    }

    /** The payload of the entry that starts at that position, or null if no intact entry does. */
    private static byte[] readPayload(ByteBuffer buffer, int offset) {
        int length = buffer.getInt(offset);
        if (length < MIN_PAYLOAD_BYTES || length > MAX_PAYLOAD_BYTES
                || length > buffer.capacity() - offset - FRAME_HEADER_BYTES) {
            return null;
        }
        byte[] payload = new byte[length];
        buffer.get(offset + FRAME_HEADER_BYTES, payload);
        return checksum(payload) == buffer.getInt(offset + 4) ? payload : null;
    }

    private static int checksum(byte[] payload) {
        CRC32 crc = new CRC32();
        crc.update(payload);
        return (int) crc.getValue();
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
    public long remainingBytes(long liveBytes) {
        return maxBytes - roundUpToBlock(size) - roundUpToBlock(liveBytes);
    }

    /** The size of the file in bytes. */
    public long size() {
        return size;
    }

    /** Appends one entry completely, or throws and leaves the file as it was, or with a torn tail. */
    public void append(JournalEntry entry) throws IOException {
        byte[] frame = encodeFrame(entry);
        if (roundUpToBlock(size + frame.length) > maxBytes) {
            throw new IOException("journal is full");
        }
        file.seek(size); // behind the last whole entry: what a failed write has left there is overwritten
        try {
            file.write(frame);
        } catch (IOException e) {
            truncate();
            throw e;
        }
        size += frame.length;
    }

    /** Cuts off what stands behind the last whole entry. If that fails, the entries to come overwrite it, and a start skips the rest. */
    private void truncate() {
        try {
            file.setLength(size);
        } catch (IOException e) {
            // nothing that is needed stands there
        }
    }

    /** The size of the entry in the file, with length and checksum. */
    public static int encodedSize(JournalEntry entry) {
        return encodeFrame(entry).length;
    }

    /** Replaces the file by one with only the given entries. Returns false and keeps the old one if there is no room for both. */
    public boolean compact(Iterable<JournalEntry> liveEntries) throws IOException {
        ByteArrayOutputStream contents = new ByteArrayOutputStream(1 << 16);
        for (JournalEntry entry : liveEntries) {
            contents.writeBytes(encodeFrame(entry));
        }
        if (roundUpToBlock(size) + roundUpToBlock(contents.size()) > maxBytes) {
            return false;
        }
        RandomAccessFile newFile = new RandomAccessFile(nextPath.toFile(), "rw");
        try {
            newFile.setLength(0);
            newFile.write(contents.toByteArray());
            Files.move(nextPath, currentPath, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            newFile.close();
            Files.deleteIfExists(nextPath);
            throw e;
        }
        file.close();
        file = newFile;
        size = contents.size();
        return true;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
