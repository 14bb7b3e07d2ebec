package terndyke.adapter;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import terndyke.api.Action;
import terndyke.api.Event;
import terndyke.decision.Dispatcher;

/**
 * Hosts many instances of the decision module for a simulator, with binary frames on standard input and output. It only
 * translates between frames and the module's events and actions, and decides nothing.
 */
public final class SimulatorAdapter {
    private static final int MAX_FRAME_BYTES = 1 << 30;

    private final Map<Integer, Dispatcher> instances = new TreeMap<>();
    private final BatchReader reader = new BatchReader();
    private final ReplyWriter writer = new ReplyWriter();

    /** Serves until the input ends. Returns the exit status: 0, or 2 after malformed input, with one message in the log. */
    public int serve(InputStream rawInput, OutputStream output, PrintStream log) throws IOException {
        InputStream input = new BufferedInputStream(rawInput, 1 << 16);
        try {
            for (byte[] frame = readFrame(input); frame != null; frame = readFrame(input)) {
                output.write(processFrame(frame));
                output.flush();
            }
            return 0;
        } catch (InvalidInputException e) {
            log.println("terndyke: malformed input: " + e.getMessage());
            return 2;
        }
    }

    private static byte[] readFrame(InputStream input) throws IOException, InvalidInputException {
        byte[] length = input.readNBytes(4);
        if (length.length == 0) {
            return null;
        }
        if (length.length < 4) {
            throw new InvalidInputException("input ends within a frame's length field");
        }
        int size = ByteBuffer.wrap(length).getInt();
        if (size < BatchReader.HEADER_BYTES || size > MAX_FRAME_BYTES) {
            throw new InvalidInputException("frame length " + (size & 0xffffffffL) + " is out of range");
        }
        byte[] rest = input.readNBytes(size - 4);
        if (rest.length < size - 4) {
            throw new InvalidInputException("input ends after " + (rest.length + 4) + " of a frame's " + size + " bytes");
        }
        return ByteBuffer.allocate(size).put(length).put(rest).array();
    }

    /** Processes one batch frame and returns the reply frame. */
    byte[] processFrame(byte[] frame) throws InvalidInputException {
        BatchReader.Batch batch = reader.read(ByteBuffer.wrap(frame));
        Map<Integer, List<Event>> told = new LinkedHashMap<>();
        for (BatchReader.InstanceInput item : batch.inputs()) {
            if (item.settings() != null) {
                instances.put(item.instance(), new Dispatcher(item.settings()));
                told.put(item.instance(), new ArrayList<>());
            } else if (!instances.containsKey(item.instance())) {
                throw new InvalidInputException("event for instance " + item.instance() + ", which has not been attached");
            } else if (item.exit()) {
                instances.remove(item.instance());
                told.remove(item.instance());
            } else {
                told.computeIfAbsent(item.instance(), n -> new ArrayList<>()).add(item.event());
            }
        }
        told.forEach((number, events) -> runInstance(number, batch.now(), events));
        return writer.finishFrame();
    }

    private void runInstance(int number, long now, List<Event> events) {
        try {
            List<Action> actions = instances.get(number).handleEvents(now, events);
            if (!actions.isEmpty()) {
                writer.writeInstance(number);
                actions.forEach(writer::writeAction);
            }
        } catch (RuntimeException e) {
            writer.writeInstance(number);
            StackTraceElement[] trace = e.getStackTrace();
            writer.writeCrash(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
