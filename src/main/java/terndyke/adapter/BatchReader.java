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

/**
 * Decodes batch frames: a header, events of a fixed size, and a tail with the texts and lists they refer to. A TO event
 * names the instance that the following ones are for. A list that CENSUS defines keeps its number over later batches.
 */
final class BatchReader {
    static final int HEADER_BYTES = 16;
    private static final int EVENT_BYTES = 48;
    private static final int LIST_ENTRY_BYTES = 23;
    // CROWDED has no code in the protocol.
    private static final Ending[] ENDINGS_BY_CODE = Arrays.copyOf(Ending.values(), Ending.NOT_SENT.ordinal() + 1);

    /** One input for an instance: exactly one of settings, event and exit is set. */
    record InstanceInput(int instance, DeliverySettings settings, Event event, boolean exit) { }

    /** A decoded frame, with its clock time in microseconds. */
    record Batch(long now, List<InstanceInput> inputs) { }

    private final Map<Integer, List<ListedEndpoint>> listsByNumber = new java.util.TreeMap<>();
    private ByteBuffer frame;
    private int eventOffset;
    private int tailOffset;

    Batch read(ByteBuffer batch) throws InvalidInputException {
        frame = batch;
        if (batch.limit() < HEADER_BYTES) {
            throw new InvalidInputException("batch of " + batch.limit() + " bytes is shorter than its header");
        }
        double clockSeconds = batch.getDouble(4);
        long count = batch.getInt(12) & 0xffffffffL;
        if (HEADER_BYTES + count * EVENT_BYTES > batch.limit()) {
            throw new InvalidInputException("batch of " + batch.limit() + " bytes is too short for its " + count + " events");
        }
        if (!Double.isFinite(clockSeconds)) {
            throw new InvalidInputException("batch clock is not a finite number");
        }
        tailOffset = (int) (HEADER_BYTES + count * EVENT_BYTES);
        List<InstanceInput> inputs = new ArrayList<>((int) count);
        int instance = -1;
        for (int i = 0; i < count; i++) {
            eventOffset = HEADER_BYTES + i * EVENT_BYTES;
            int code = frame.getShort(eventOffset) & 0xffff;
            try {
                if (code == 12) {
                    instance = readUnsignedShort(2);
                } else if (code == 11) {
                    listsByNumber.put(readUnsignedByte(2), readListEntries());
                } else if (code < 1 || code > 12) {
                    throw new InvalidInputException("unknown event code " + code);
                } else if (instance < 0) {
                    throw new InvalidInputException("event code " + code + " before any TO");
                } else if (code == 1) {
                    inputs.add(new InstanceInput(instance,
                            DeliverySettingsReader.read(frame.getLong(eventOffset + 2), readText(10)), null, false));
                } else if (code == 10) {
                    inputs.add(new InstanceInput(instance, null, null, true));
                } else {
                    inputs.add(new InstanceInput(instance, null, readEvent(code), false));
                }
            } catch (InvalidInputException e) {
                throw new InvalidInputException("event " + i + " at byte " + eventOffset + ": " + e.getMessage());
            } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
                throw new InvalidInputException("event " + i + " at byte " + eventOffset + ": refers to bytes outside the frame");
            }
        }
        return new Batch(Math.round(clockSeconds * 1e6), inputs);
    }

    private Event readEvent(int code) throws InvalidInputException {
        return switch (code) {
            case 2 -> readListEvent();
            case 3 -> new Event.RecordAccepted(frame.getLong(eventOffset + 2), readUnsignedShort(10),
                    frame.getInt(eventOffset + 12), frame.getLong(eventOffset + 16), readMicros(24),
                    (readUnsignedByte(44) & 1) != 0 ? readMicros(32) : 0,
                    (int) frame.getFloat(eventOffset + 40), (readUnsignedByte(44) & 2) != 0, (readUnsignedByte(44) & 4) != 0,
                    (readUnsignedByte(44) & 16) != 0);
            case 4 -> new Event.ResponseStarted(frame.getLong(eventOffset + 2), readUnsignedByte(10),
                    readEndpoint(eventOffset + 11), readMicros(17));
            case 5 -> new Event.ShotEnded(frame.getLong(eventOffset + 2), readUnsignedByte(29), readEndpoint(eventOffset + 10),
                    readEnding(28), readMicros(16),
                    readEnding(28) == Ending.FULL ? (frame.getInt(eventOffset + 24) & 0xffffffffL) * 1000 : 0,
                    readEnding(28) == Ending.NOT_SENT && frame.getInt(eventOffset + 24) == 1, readUnsignedByte(30) != 0,
                    readLoadReport(31));
            case 6 -> new Event.RecordWithdrawn(frame.getLong(eventOffset + 2));
            case 7 -> new Event.TimerExpired(frame.getInt(eventOffset + 2));
            case 8 -> new Event.ProbeEnded(readEndpoint(eventOffset + 2), readEnding(8), readMicros(9), readLoadReport(17));
            default -> new Event.PeerMessageReceived(readUnsignedShort(2), readContent(4));
        };
    }

    private Event readListEvent() throws InvalidInputException {
        int kind = readUnsignedByte(11);
        if (kind == 2) {
            return new Event.ListRequestFailed();
        }
        if (kind > 3) {
            throw new InvalidInputException("VIEW of unknown kind " + kind);
        }
        List<ListedEndpoint> entries = listsByNumber.get(readUnsignedByte(10));
        if (entries == null) {
            throw new InvalidInputException("VIEW refers to list " + readUnsignedByte(10) + ", which no CENSUS has defined");
        }
        return new Event.ListReceived(entries, kind != 0);
    }

    private List<ListedEndpoint> readListEntries() throws InvalidInputException {
        long start = frame.getInt(eventOffset + 3) & 0xffffffffL;
        long count = frame.getInt(eventOffset + 7) & 0xffffffffL;
        if (tailOffset + start + count * LIST_ENTRY_BYTES > frame.limit()) {
            throw new InvalidInputException("CENSUS refers to bytes outside the frame");
        }
        List<ListedEndpoint> entries = new ArrayList<>((int) count);
        for (int i = 0; i < count; i++) {
            int position = (int) (tailOffset + start) + i * LIST_ENTRY_BYTES;
            EndpointState state = switch (frame.get(position + 12)) {
                case 0 -> EndpointState.GONE;
                case 1 -> EndpointState.READY;
                case 2 -> EndpointState.DRAINING;
                default -> throw new InvalidInputException("CENSUS entry " + i + ": unknown state " + frame.get(position + 12));
            };
            entries.add(new ListedEndpoint(readEndpoint(position), frame.get(position + 6) & 0xff, frame.get(position + 7) & 0xff,
                    frame.getFloat(position + 8), state, Math.round(frame.getDouble(position + 13) * 1e6),
                    frame.getShort(position + 21) & 0xffff));
        }
        return List.copyOf(entries);
    }

    private float[] readLoadReport(int offset) throws InvalidInputException {
        int count = readUnsignedByte(offset);
        if (count > 4) {
            throw new InvalidInputException("load report has " + count + " values, more than 4");
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = frame.getFloat(eventOffset + offset + 1 + 4 * i);
        }
        return values;
    }

    private Ending readEnding(int offset) throws InvalidInputException {
        int code = readUnsignedByte(offset);
        if (code >= ENDINGS_BY_CODE.length) {
            throw new InvalidInputException("unknown code of an ending: " + code);
        }
        return ENDINGS_BY_CODE[code];
    }

    private long readEndpoint(int position) {
        return (frame.getInt(position) & 0xffffffffL) << 16 | frame.getShort(position + 4) & 0xffff;
    }

    private byte[] readContent(int offset) throws InvalidInputException {
        long start = tailOffset + (frame.getInt(eventOffset + offset) & 0xffffffffL);
        long length = frame.getInt(eventOffset + offset + 4) & 0xffffffffL;
        if (start + length > frame.limit()) {
            throw new InvalidInputException("content reaches beyond the frame");
        }
        byte[] content = new byte[(int) length];
        frame.get((int) start, content);
        return content;
    }

    private String readText(int offset) throws InvalidInputException {
        return new String(readContent(offset), StandardCharsets.UTF_8);
    }

    private long readMicros(int offset) {
        return Math.round(frame.getDouble(eventOffset + offset) * 1e6);
    }

    private int readUnsignedShort(int offset) {
        return frame.getShort(eventOffset + offset) & 0xffff;
    }

    private int readUnsignedByte(int offset) {
        return frame.get(eventOffset + offset) & 0xff;
    }
}
