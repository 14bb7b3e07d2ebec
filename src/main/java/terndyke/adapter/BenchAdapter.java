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

/** Hosts many instances of the decision module on the bench's wire. It maps and decides nothing. */
public final class BenchAdapter {
    private static final int LARGEST_FRAME = 1 << 30;

    private final Map<Integer, Dispatcher> instances = new TreeMap<>();
    private final BatchReader reader = new BatchReader();
    private final ReplyWriter writer = new ReplyWriter();

    /** Serves until the input ends. Returns the exit status; a message goes to the log where it is not 0. */
    public int serve(InputStream rawInput, OutputStream output, PrintStream log) throws IOException {
        InputStream input = new BufferedInputStream(rawInput, 1 << 16);
        try {
            for (byte[] frame = nextFrame(input); frame != null; frame = nextFrame(input)) {
                output.write(answer(frame));
                output.flush();
            }
            return 0;
        } catch (WireException e) {
            log.println("terndyke: malformed input: " + e.getMessage());
            return 2;
        }
    }

    private static byte[] nextFrame(InputStream input) throws IOException, WireException {
        byte[] length = input.readNBytes(4);
        if (length.length == 0) {
            return null;
        }
        if (length.length < 4) {
            throw new WireException("input ends inside a frame's length");
        }
        int size = ByteBuffer.wrap(length).getInt();
        if (size < BatchReader.HEADER || size > LARGEST_FRAME) {
            throw new WireException("frame length " + (size & 0xffffffffL) + " is out of bounds");
        }
        byte[] rest = input.readNBytes(size - 4);
        if (rest.length < size - 4) {
            throw new WireException("input ends after " + (rest.length + 4) + " of a frame's " + size + " bytes");
        }
        return ByteBuffer.allocate(size).put(length).put(rest).array();
    }

    /** Answers one frame. */
    byte[] answer(byte[] frame) throws WireException {
        BatchReader.Batch batch = reader.read(ByteBuffer.wrap(frame));
        Map<Integer, List<Event>> told = new LinkedHashMap<>();
        for (BatchReader.Item item : batch.items()) {
            if (item.terms() != null) {
                instances.put(item.instance(), new Dispatcher(item.terms()));
                told.put(item.instance(), new ArrayList<>());
            } else if (!instances.containsKey(item.instance())) {
                throw new WireException("event for instance " + item.instance() + ", which has not been attached");
            } else if (item.exit()) {
                instances.remove(item.instance());
                told.remove(item.instance());
            } else {
                told.computeIfAbsent(item.instance(), n -> new ArrayList<>()).add(item.event());
            }
        }
        told.forEach((number, events) -> act(number, batch.now(), events));
        return writer.frame();
    }

    private void act(int number, long now, List<Event> events) {
        try {
            List<Action> actions = instances.get(number).handleEvents(now, events);
            if (!actions.isEmpty()) {
                writer.instance(number);
                actions.forEach(writer::action);
            }
        } catch (RuntimeException e) {
            writer.instance(number);
            StackTraceElement[] trace = e.getStackTrace();
            writer.crash(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
