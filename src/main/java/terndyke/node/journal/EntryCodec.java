package terndyke.node.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import terndyke.api.Ending;

/** Entries as bytes and back. */
final class EntryCodec {
    private static final Ending[] ENDINGS = Ending.values();
    private static final Entry.End[] ENDS = Entry.End.values();

    private EntryCodec() { }

    static byte[] encode(Entry entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try {
            write(entry, new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory", e);
        }
        return bytes.toByteArray();
    }

    private static void write(Entry entry, DataOutputStream out) throws IOException {
        if (entry instanceof Entry.Taken taken) {
            out.writeByte(1);
            out.writeLong(taken.number());
            text(out, taken.id());
            out.writeInt(taken.grade());
            out.writeInt(taken.tenant());
            out.writeLong(taken.key());
            out.writeInt(taken.destination());
            text(out, taken.mark());
            out.writeLong(taken.takenAt());
            out.writeLong(taken.abandonAt());
            out.writeInt(taken.body().length);
            out.write(taken.body());
        } else if (entry instanceof Entry.ShotFired fired) {
            out.writeByte(2);
            out.writeLong(fired.number());
            out.writeInt(fired.shot());
            text(out, fired.endpoint());
            out.writeInt(fired.zone());
            out.writeLong(fired.at());
        } else if (entry instanceof Entry.ShotOver over) {
            out.writeByte(3);
            out.writeLong(over.number());
            out.writeInt(over.shot());
            out.writeByte(over.ending().ordinal());
        } else if (entry instanceof Entry.Ended ended) {
            out.writeByte(4);
            out.writeLong(ended.number());
            out.writeByte(ended.end().ordinal());
            out.writeLong(ended.waitTold());
        } else {
            out.writeByte(5);
            out.writeLong(entry.number());
        }
    }

    static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int type = in.readUnsignedByte();
        long number = in.readLong();
        Entry entry = switch (type) {
            case 1 -> new Entry.Taken(number, text(in), in.readInt(), in.readInt(), in.readLong(), in.readInt(),
                    text(in), in.readLong(), in.readLong(), body(in));
            case 2 -> new Entry.ShotFired(number, in.readInt(), text(in), in.readInt(), in.readLong());
            case 3 -> new Entry.ShotOver(number, in.readInt(), ENDINGS[in.readUnsignedByte() % ENDINGS.length]);
            case 4 -> new Entry.Ended(number, ENDS[in.readUnsignedByte() % ENDS.length], in.readLong());
            case 5 -> new Entry.Told(number);
            default -> throw new IOException("entry of unknown type " + type);
        };
        if (in.available() > 0) {
            throw new IOException("entry with " + in.available() + " bytes too many");
        }
        return entry;
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text == null ? null : text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes == null ? -1 : bytes.length);
        if (bytes != null) {
            out.write(bytes);
        }
    }

    private static String text(DataInputStream in) throws IOException {
        int length = in.readInt();
        return length < 0 ? null : new String(bytes(in, length), StandardCharsets.UTF_8);
    }

    private static byte[] body(DataInputStream in) throws IOException {
        return bytes(in, in.readInt());
    }

    private static byte[] bytes(DataInputStream in, int length) throws IOException {
        if (length < 0 || length > in.available()) {
            throw new IOException("length " + length + " points outside the entry");
        }
        return in.readNBytes(length);
    }
}
