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
 * The folder that lasts: one file of entries, each with its length and checksum, and for moments a second one that
 * takes its place. Plain writes, so what was written outlives the process, not the machine.
 */
public final class Journal implements Closeable {
    private static final int FRAME = 8;
    private static final int LEAST = 9; // an entry's type and number
    private static final int MOST = 1 << 17; // more than a body and its headers can come to
    private static final int BLOCK = 512;

    private final Path current;
    private final Path next;
    private final long most;
    private final NodeLog log;
    private RandomAccessFile file;
    private long size;

    private Journal(Path folder, long most, NodeLog log) {
        this.current = folder.resolve("journal");
        this.next = folder.resolve("journal.next");
        this.most = most;
        this.log = log;
    }

    /** Opens the folder's journal and adds what it holds to the given list; a torn tail is cut off. */
    public static Journal open(Path folder, long most, NodeLog log, List<Entry> held) throws IOException {
        Files.createDirectories(folder);
        Journal journal = new Journal(folder, most, log);
        Files.deleteIfExists(journal.next); // a compaction that was not finished; the old file holds all
        journal.file = new RandomAccessFile(journal.current.toFile(), "rw");
        journal.read(held);
        return journal;
    }

    private void read(List<Entry> held) throws IOException {
        long length = file.length();
        byte[] bytes = new byte[(int) Math.min(length, Integer.MAX_VALUE - 8)];
        file.readFully(bytes);
        ByteBuffer all = ByteBuffer.wrap(bytes);
        for (int at = 0; at + FRAME < bytes.length; at++) {
            byte[] payload = payload(all, at);
            if (payload == null) {
                continue; // a torn tail, or a damaged entry before others that are whole
            }
            if (at > size) {
                log.warn("journal: " + (at - size) + " damaged bytes passed over at byte " + size);
            }
            try {
                held.add(EntryCodec.decode(payload));
            } catch (IOException e) {
                log.warn("journal: entry at byte " + at + " passed over: " + e.getMessage());
            }
            size = at + FRAME + payload.length;
            at = (int) size - 1;
        }
        if (size < length) {
            log.warn("journal: torn tail of " + (length - size) + " bytes dropped after " + held.size() + " entries");
            file.setLength(size);
        }
        file.seek(size);
    }

    /** The payload of the whole entry that begins there, or null where none does. */
    private static byte[] payload(ByteBuffer all, int at) {
        int length = all.getInt(at);
        if (length < LEAST || length > MOST || length > all.capacity() - at - FRAME) {
            return null;
        }
        byte[] payload = new byte[length];
        all.get(at + FRAME, payload);
        return checksum(payload) == all.getInt(at + 4) ? payload : null;
    }

    private static int checksum(byte[] payload) {
        CRC32 sum = new CRC32();
        sum.update(payload);
        return (int) sum.getValue();
    }

    private static byte[] frame(Entry entry) {
        byte[] payload = EntryCodec.encode(entry);
        return ByteBuffer.allocate(FRAME + payload.length).putInt(payload.length).putInt(checksum(payload))
                .put(payload).array();
    }

    private static long blocks(long bytes) {
        return (bytes + BLOCK - 1) / BLOCK * BLOCK;
    }

    /** How many bytes would still go in, leaving room for a compaction that keeps as much as the given live bytes. */
    public long room(long live) {
        return most - blocks(size) - blocks(live);
    }

    public long size() {
        return size;
    }

    /** Appends one entry whole, or not at all. */
    public void append(Entry entry) throws IOException {
        byte[] frame = frame(entry);
        if (blocks(size + frame.length) > most) {
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

    /** The bytes that an entry takes. */
    public static int bytes(Entry entry) {
        return frame(entry).length;
    }

    /** Replaces the file by one that holds the given entries alone; the old one stays where there is no room. */
    public boolean compact(Iterable<Entry> live) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(1 << 16);
        for (Entry entry : live) {
            whole.writeBytes(frame(entry));
        }
        if (blocks(size) + blocks(whole.size()) > most) {
            return false;
        }
        RandomAccessFile fresh = new RandomAccessFile(next.toFile(), "rw");
        try {
            fresh.setLength(0);
            fresh.write(whole.toByteArray());
            Files.move(next, current, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(next);
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
