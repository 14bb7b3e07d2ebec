package terndyke.node.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import terndyke.api.Ending;
import terndyke.api.ListedEndpoint.EndpointState;
import terndyke.node.discovery.ListEntry;

/**
 * Converts journal entries to bytes and back: a type byte, the record's number and the fields of the type, big-endian.
 * Strings are stored as UTF-8 with their length, -1 for null, and enum constants by their ordinal.
 */
final class JournalEntryCodec {
    private static final Ending[] ENDINGS = Ending.values();
    private static final JournalEntry.RecordOutcome[] RECORD_OUTCOMES = JournalEntry.RecordOutcome.values();

    private static final EndpointState[] ENDPOINT_STATES = EndpointState.values();

    private JournalEntryCodec() { }

    static byte[] encode(JournalEntry entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try {
            write(entry, new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new IllegalStateException("write to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static void write(JournalEntry entry, DataOutputStream out) throws IOException {
        if (entry instanceof JournalEntry.RecordAccepted accepted) {
            out.writeByte(1);
            out.writeLong(accepted.number());
            writeText(out, accepted.id());
            out.writeInt(accepted.grade());
            out.writeInt(accepted.tenant());
            out.writeLong(accepted.key());
            out.writeInt(accepted.destination());
            writeText(out, accepted.idempotencyKey());
            out.writeLong(accepted.acceptedAt());
            out.writeLong(accepted.abandonAt());
            out.writeInt(accepted.body().length);
            out.write(accepted.body());
        } else if (entry instanceof JournalEntry.ShotFired shotFired) {
            out.writeByte(2);
            out.writeLong(shotFired.number());
            out.writeInt(shotFired.shotIndex());
            writeText(out, shotFired.endpointUid());
            out.writeInt(shotFired.zone());
            out.writeLong(shotFired.firedAt());
        } else if (entry instanceof JournalEntry.ShotEnded shotEnded) {
            out.writeByte(3);
            out.writeLong(shotEnded.number());
            out.writeInt(shotEnded.shotIndex());
            out.writeByte(shotEnded.ending().ordinal());
        } else if (entry instanceof JournalEntry.RecordEnded recordEnded) {
            out.writeByte(4);
            out.writeLong(recordEnded.number());
            out.writeByte(recordEnded.outcome().ordinal());
            out.writeLong(recordEnded.retryAfter());
        } else if (entry instanceof JournalEntry.ClockReference reference) {
            out.writeByte(6);
            out.writeLong(reference.number());
            writeText(out, reference.clockIdentity());
            out.writeLong(reference.offsetMicros());
        } else if (entry instanceof JournalEntry.EndpointsListed listed) {
            out.writeByte(7);
            out.writeLong(listed.number());
            out.writeLong(listed.revision());
            out.writeInt(listed.entries().size());
            for (ListEntry listEntry : listed.entries()) {
                writeListEntry(out, listEntry);
            }
        } else {
            out.writeByte(5);
            out.writeLong(entry.number());
        }
    }

    static JournalEntry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int type = in.readUnsignedByte();
        long number = in.readLong();
        JournalEntry entry = switch (type) {
            case 1 -> new JournalEntry.RecordAccepted(number, readText(in), in.readInt(), in.readInt(), in.readLong(),
                    in.readInt(), readText(in), in.readLong(), in.readLong(), readBody(in));
            case 2 -> new JournalEntry.ShotFired(number, in.readInt(), readText(in), in.readInt(), in.readLong());
            case 3 -> new JournalEntry.ShotEnded(number, in.readInt(), ENDINGS[in.readUnsignedByte() % ENDINGS.length]);
            case 4 -> new JournalEntry.RecordEnded(number, RECORD_OUTCOMES[in.readUnsignedByte() % RECORD_OUTCOMES.length],
                    in.readLong());
            case 5 -> new JournalEntry.NoticeAnswered(number);
            case 6 -> new JournalEntry.ClockReference(readText(in), in.readLong());
            case 7 -> new JournalEntry.EndpointsListed(in.readLong(), readListEntries(in));
            default -> throw new IOException("entry of unknown type " + type);
        };
        if (in.available() > 0) {
            throw new IOException("entry has " + in.available() + " bytes too many");
        }
        return entry;
    }

    private static void writeListEntry(DataOutputStream out, ListEntry entry) throws IOException {
        writeText(out, entry.uid());
        writeText(out, entry.address());
        writeText(out, entry.zone());
        writeText(out, entry.kind());
        out.writeFloat(entry.rate());
        out.writeByte(entry.state().ordinal());
        out.writeLong(entry.bootMillis());
        out.writeInt(entry.destination());
    }

    private static List<ListEntry> readListEntries(DataInputStream in) throws IOException {
        List<ListEntry> entries = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            entries.add(new ListEntry(readText(in), readText(in), readText(in), readText(in), in.readFloat(),
                    ENDPOINT_STATES[in.readUnsignedByte() % ENDPOINT_STATES.length], in.readLong(), in.readInt()));
        }
        return entries;
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text == null ? null : text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes == null ? -1 : bytes.length);
        if (bytes != null) {
            out.write(bytes);
        }
    }

    private static String readText(DataInputStream in) throws IOException {
        int length = in.readInt();
        return length < 0 ? null : new String(readBytes(in, length), StandardCharsets.UTF_8);
    }

    private static byte[] readBody(DataInputStream in) throws IOException {
        return readBytes(in, in.readInt());
    }

    private static byte[] readBytes(DataInputStream in, int length) throws IOException {
        if (length < 0 || length > in.available()) {
            throw new IOException("length " + length + " is outside the entry");
        }
        return in.readNBytes(length);
    }
}
