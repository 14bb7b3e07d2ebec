package terndyke.lab.traced;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import terndyke.lab.plan.UserInputException;

/** A line that a node wrote with serve --trace: its time (the node's clock, microseconds), node, verb and arguments. */
public record TraceLine(long atMicros, String node, String verb, List<String> arguments) {
    private static final String TRACE_PREFIX = "trace";
    private static final int MIN_FIELDS = 4;

    /** Reads all traced lines of one log, or of all logs in a folder, sorted by time; other lines are ignored. */
    public static List<TraceLine> read(Path logs) throws IOException, UserInputException {
        List<TraceLine> lines = new ArrayList<>();
        try (Stream<Path> files = Files.walk(logs)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                read(file, lines);
            }
        }
        if (lines.isEmpty()) {
            throw new UserInputException(logs + ": no traced lines found; nodes write them with serve --trace");
        }
        lines.sort(Comparator.comparingLong(TraceLine::atMicros));
        return lines;
    }

    private static void read(Path file, List<TraceLine> lines) throws IOException {
        try (BufferedReader reader = new BufferedReader(new java.io.InputStreamReader(Files.newInputStream(file),
                StandardCharsets.ISO_8859_1))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                TraceLine line = parse(text);
                if (line != null) {
                    lines.add(line);
                }
            }
        }
    }

    /** Parses a line, ignoring any time stamp that a log collector put in front; null if it is not a traced line. */
    static TraceLine parse(String text) {
        int start = text.startsWith(TRACE_PREFIX + " ") ? 0 : text.indexOf(" " + TRACE_PREFIX + " ") + 1;
        String[] fields = start == 0 && !text.startsWith(TRACE_PREFIX + " ") ? new String[0] : text.substring(start).split(" ");
        try {
            return fields.length < MIN_FIELDS ? null : new TraceLine(Long.parseLong(fields[1]), fields[2], fields[3],
                    List.of(fields).subList(MIN_FIELDS, fields.length));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** The argument at an index, or an empty string: a line may be truncated if its node was killed while writing it. */
    String argument(int index) {
        return index < arguments.size() ? arguments.get(index) : "";
    }
}
