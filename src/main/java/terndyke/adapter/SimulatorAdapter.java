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
        byte[] lengthField = input.readNBytes(4);
        if (lengthField.length == 0) {
            return null;
        }
        if (lengthField.length < 4) {
            throw new InvalidInputException("input ends within a frame's length field");
        }
        int size = ByteBuffer.wrap(lengthField).getInt();
        if (size < BatchReader.HEADER_BYTES || size > MAX_FRAME_BYTES) {
            throw new InvalidInputException("frame length " + (size & 0xffffffffL) + " is out of range");
        }
        byte[] rest = input.readNBytes(size - 4);
        if (rest.length < size - 4) {
            throw new InvalidInputException("input ends after " + (rest.length + 4) + " of a frame's " + size + " bytes");
        }
        return ByteBuffer.allocate(size).put(lengthField).put(rest).array();
    }

    /** Processes one batch frame and returns the reply frame. */
    byte[] processFrame(byte[] frame) throws InvalidInputException {
        BatchReader.Batch batch = reader.read(ByteBuffer.wrap(frame));
        Map<Integer, List<Event>> eventsByInstance = new LinkedHashMap<>();
        for (BatchReader.InstanceInput input : batch.inputs()) {
            if (input.settings() != null) {
                instances.put(input.instance(), new Dispatcher(input.settings()));
                eventsByInstance.put(input.instance(), new ArrayList<>());
            } else if (!instances.containsKey(input.instance())) {
                throw new InvalidInputException("event for instance " + input.instance() + ", which has not been attached");
            } else if (input.exit()) {
                instances.remove(input.instance());
                eventsByInstance.remove(input.instance());
            } else {
                eventsByInstance.computeIfAbsent(input.instance(), n -> new ArrayList<>()).add(input.event());
            }
        }
        eventsByInstance.forEach((number, events) -> runInstance(number, batch.now(), events));
        return writer.finishFrame();
    }

    private void runInstance(int instance, long now, List<Event> events) {
        try {
            List<Action> actions = instances.get(instance).handleEvents(now, events);
            if (!actions.isEmpty()) {
                writer.writeInstance(instance);
                actions.forEach(writer::writeAction);
            }
        } catch (RuntimeException e) {
            writer.writeInstance(instance);
            StackTraceElement[] trace = e.getStackTrace();
            writer.writeCrash(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
