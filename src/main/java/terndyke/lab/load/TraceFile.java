package terndyke.lab.load;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.luben.zstd.ZstdInputStream;
import com.github.luben.zstd.ZstdOutputStream;

import terndyke.lab.plan.UserInputException;
import terndyke.lab.plan.Experiment;

/** Reads and writes recorded schedules: JSON lines, one arrival per line, zstd-compressed if the file name ends in .zst. */
public final class TraceFile {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String COMPRESSED_SUFFIX = ".zst";

    private TraceFile() { }

    /** Writes a schedule to a trace file. */
    public static void write(Path file, List<Arrival> arrivals) throws IOException {
        OutputStream out = Files.newOutputStream(file);
        try (BufferedWriter writer = new BufferedWriter(new OutputStreamWriter(
                file.toString().endsWith(COMPRESSED_SUFFIX) ? new ZstdOutputStream(out) : out, StandardCharsets.UTF_8))) {
            for (Arrival arrival : arrivals) {
                writer.write(JSON.writeValueAsString(arrival));
                writer.newLine();
            }
        }
    }

    /** Reads a trace for an experiment. The exception lists every line that is invalid for it. */
    public static List<Arrival> read(Path file, Experiment experiment) throws UserInputException {
        List<Arrival> arrivals = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        try (InputStream in = Files.newInputStream(file);
                BufferedReader reader = new BufferedReader(new InputStreamReader(
                        file.toString().endsWith(COMPRESSED_SUFFIX) ? new ZstdInputStream(in) : in, StandardCharsets.UTF_8))) {
            long lastDueMicros = Long.MIN_VALUE;
            int number = 0;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                number++;
                try {
                    Arrival arrival = JSON.readValue(line, Arrival.class);
                    String error = validate(arrival, experiment, lastDueMicros);
                    if (error != null) {
                        errors.add(file + ":" + number + ": " + error);
                    }
                    lastDueMicros = arrival.due();
                    arrivals.add(arrival);
                } catch (JsonProcessingException e) {
                    errors.add(file + ":" + number + ": " + e.getOriginalMessage().lines().findFirst().orElse(""));
                }
            }
        } catch (IOException e) {
            throw new UserInputException(file + ": cannot be read: " + e.getMessage());
        }
        if (!errors.isEmpty()) {
            throw new UserInputException(errors);
        }
        return arrivals;
    }

    private static String validate(Arrival arrival, Experiment experiment, long lastDueMicros) {
        if (arrival.due() < Math.max(0, lastDueMicros)) {
            return "due: " + arrival.due() + " us is earlier than in the line before";
        }
        if (experiment.grades().stream().noneMatch(grade -> grade.name().equals(arrival.grade()))) {
            return "grade: " + arrival.grade() + " is not in the experiment";
        }
        if (experiment.tenants().stream().noneMatch(tenant -> tenant.name().equals(arrival.tenant()))) {
            return "tenant: " + arrival.tenant() + " is not in the experiment";
        }
        if (arrival.destination() < 0 || arrival.destination() >= experiment.destinationCount()) {
            return "destination: " + arrival.destination() + " is not in the experiment";
        }
        return arrival.bytes() < 0 || arrival.bytes() > 65_536 ? "bytes: " + arrival.bytes() + ", allowed: 0 to 65536" : null;
    }
}
