package terndyke.adapter;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import terndyke.api.DeliverySettings;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.EndpointState;

/** Decodes one batch frame. Each item comes with the instance it is for; lists by number last over batches. */
final class BatchReader {
    static final int HEADER = 16;
    private static final int SIZE = 48;
    private static final int ENTRY = 23;
    private static final Ending[] ENDINGS = Arrays.copyOf(Ending.values(), Ending.NOT_SENT.ordinal() + 1); // by code

    /** One thing told to an instance: exactly one of terms, event and exit is set. */
    record Item(int instance, DeliverySettings terms, Event event, boolean exit) { }

    /** A decoded frame. */
    record Batch(long now, List<Item> items) { }

    private final Map<Integer, List<ListedEndpoint>> lists = new java.util.TreeMap<>();
    private ByteBuffer frame;
    private int at;
    private int tail;

    Batch read(ByteBuffer whole) throws WireException {
        frame = whole;
        if (whole.limit() < HEADER) {
            throw new WireException("batch of " + whole.limit() + " bytes is shorter than its header");
        }
        double clock = whole.getDouble(4);
        long count = whole.getInt(12) & 0xffffffffL;
        if (HEADER + count * SIZE > whole.limit()) {
            throw new WireException("batch of " + whole.limit() + " bytes is too short for its " + count + " records");
        }
        if (!Double.isFinite(clock)) {
            throw new WireException("batch clock is not a number");
        }
        tail = (int) (HEADER + count * SIZE);
        List<Item> items = new ArrayList<>((int) count);
        int instance = -1;
        for (int i = 0; i < count; i++) {
            at = HEADER + i * SIZE;
            int code = frame.getShort(at) & 0xffff;
            try {
                if (code == 12) {
                    instance = u16(2);
                } else if (code == 11) {
                    lists.put(u8(2), entries());
                } else if (code < 1 || code > 12) {
                    throw new WireException("unknown event code " + code);
                } else if (instance < 0) {
                    throw new WireException("event code " + code + " before any TO");
                } else if (code == 1) {
                    items.add(new Item(instance, TermsReader.read(frame.getLong(at + 2), text(10)), null, false));
                } else if (code == 10) {
                    items.add(new Item(instance, null, null, true));
                } else {
                    items.add(new Item(instance, null, event(code), false));
                }
            } catch (WireException e) {
                throw new WireException("record " + i + " at byte " + at + ": " + e.getMessage());
            } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
                throw new WireException("record " + i + " at byte " + at + ": points outside the frame");
            }
        }
        return new Batch(Math.round(clock * 1e6), items);
    }

    private Event event(int code) throws WireException {
        return switch (code) {
            case 2 -> list();
            case 3 -> new Event.RecordAccepted(frame.getLong(at + 2), u16(10), frame.getInt(at + 12),
                    frame.getLong(at + 16), micros(24), (u8(44) & 1) != 0 ? micros(32) : 0,
                    (int) frame.getFloat(at + 40), (u8(44) & 2) != 0, (u8(44) & 4) != 0, (u8(44) & 16) != 0);
            case 4 -> new Event.ResponseStarted(frame.getLong(at + 2), u8(10), endpoint(at + 11), micros(17));
            case 5 -> new Event.ShotEnded(frame.getLong(at + 2), u8(29), endpoint(at + 10), ending(28), micros(16),
                    ending(28) == Ending.FULL ? (frame.getInt(at + 24) & 0xffffffffL) * 1000 : 0,
                    ending(28) == Ending.NOT_SENT && frame.getInt(at + 24) == 1, u8(30) != 0, report(31));
            case 6 -> new Event.RecordWithdrawn(frame.getLong(at + 2));
            case 7 -> new Event.TimerExpired(frame.getInt(at + 2));
            case 8 -> new Event.ProbeEnded(endpoint(at + 2), ending(8), micros(9), report(17));
            default -> new Event.PeerMessageReceived(u16(2), bytes(4));
        };
    }

    private Event list() throws WireException {
        int kind = u8(11);
        if (kind == 2) {
            return new Event.ListRequestFailed();
        }
        if (kind > 3) {
            throw new WireException("VIEW of unknown kind " + kind);
        }
        List<ListedEndpoint> entries = lists.get(u8(10));
        if (entries == null) {
            throw new WireException("VIEW names list " + u8(10) + ", which no CENSUS has brought");
        }
        return new Event.ListReceived(entries, kind != 0);
    }

    private List<ListedEndpoint> entries() throws WireException {
        long from = frame.getInt(at + 3) & 0xffffffffL;
        long count = frame.getInt(at + 7) & 0xffffffffL;
        if (tail + from + count * ENTRY > frame.limit()) {
            throw new WireException("CENSUS points outside the frame");
        }
        List<ListedEndpoint> entries = new ArrayList<>((int) count);
        for (int i = 0; i < count; i++) {
            int p = (int) (tail + from) + i * ENTRY;
            EndpointState standing = switch (frame.get(p + 12)) {
                case 0 -> EndpointState.GONE;
                case 1 -> EndpointState.READY;
                case 2 -> EndpointState.DRAINING;
                default -> throw new WireException("CENSUS entry " + i + ": unknown readiness " + frame.get(p + 12));
            };
            entries.add(new ListedEndpoint(endpoint(p), frame.get(p + 6) & 0xff, frame.get(p + 7) & 0xff,
                    frame.getFloat(p + 8), standing, Math.round(frame.getDouble(p + 13) * 1e6),
                    frame.getShort(p + 21) & 0xffff));
        }
        return List.copyOf(entries);
    }

    private float[] report(int offset) throws WireException {
        int n = u8(offset);
        if (n > 4) {
            throw new WireException("load report of " + n + " values");
        }
        float[] values = new float[n];
        for (int i = 0; i < n; i++) {
            values[i] = frame.getFloat(at + offset + 1 + 4 * i);
        }
        return values;
    }

    private Ending ending(int offset) throws WireException {
        int code = u8(offset);
        if (code >= ENDINGS.length) {
            throw new WireException("unknown ending " + code);
        }
        return ENDINGS[code];
    }

    private long endpoint(int position) {
        return (frame.getInt(position) & 0xffffffffL) << 16 | frame.getShort(position + 4) & 0xffff;
    }

    private byte[] bytes(int offset) throws WireException {
        long from = tail + (frame.getInt(at + offset) & 0xffffffffL);
        long length = frame.getInt(at + offset + 4) & 0xffffffffL;
        if (from + length > frame.limit()) {
            throw new WireException("content points outside the frame");
        }
        byte[] content = new byte[(int) length];
        frame.get((int) from, content);
        return content;
    }

    private String text(int offset) throws WireException {
        return new String(bytes(offset), StandardCharsets.UTF_8);
    }

    private long micros(int offset) {
        return Math.round(frame.getDouble(at + offset) * 1e6);
    }

    private int u16(int offset) {
        return frame.getShort(at + offset) & 0xffff;
    }

    private int u8(int offset) {
        return frame.get(at + offset) & 0xff;
    }
}
