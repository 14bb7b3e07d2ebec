package terndyke.lab.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import terndyke.lab.emulate.Emulator;
import terndyke.lab.wire.TaskScheduler;

/** Samples the resource use of the node processes from /proc, and the load of the receivers. */
public final class ResourceSampler {
    /**
     * One sample: seconds since the start of the run; for each node its memory in MB, CPU use in cores and number of open
     * file descriptors; for each destination its calls in progress and its connections.
     */
    public record Sample(double atSeconds, double[] memoryMb, double[] cores, int[] fileDescriptors, int[] callsInProgress,
            int[] connections) { }

    private static final double CLOCK_TICKS_PER_SECOND = 100; // the unit of CPU times in /proc
    private final List<NodeUnderTest> nodes;
    private final Emulator emulator;
    private final List<Sample> samples = new ArrayList<>();
    private final long[] lastCpuTicks;
    private final long[] lastPids;
    private long lastSampleAtMicros;

    ResourceSampler(List<NodeUnderTest> nodes, Emulator emulator) {
        this.nodes = nodes;
        this.emulator = emulator;
        lastCpuTicks = new long[nodes.size()];
        lastPids = new long[nodes.size()];
    }

    synchronized void takeSample(long startMicros) {
        long now = TaskScheduler.nowMicros();
        int count = nodes.size();
        double[] memory = new double[count];
        double[] cores = new double[count];
        int[] descriptors = new int[count];
        for (int i = 0; i < count; i++) {
            long pid = nodes.get(i).isRunning() ? nodes.get(i).pid() : 0;
            if (pid == 0) {
                continue;
            }
            try {
                String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
                String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
                memory[i] = Long.parseLong(fields[21]) * 4096 / 1e6;
                if (lastPids[i] == pid && now > lastSampleAtMicros) {
                    cores[i] = (ticks - lastCpuTicks[i]) / CLOCK_TICKS_PER_SECOND / ((now - lastSampleAtMicros) / 1e6);
                }
                lastCpuTicks[i] = ticks;
                lastPids[i] = pid;
                try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
                    descriptors[i] = (int) open.count();
                }
            } catch (IOException | RuntimeException e) {
                lastPids[i] = 0; // the process has just exited
            }
        }
        lastSampleAtMicros = now;
        int[][] load = emulator.loadByDestination();
        int[] callsInProgress = new int[load.length];
        int[] connections = new int[load.length];
        for (int i = 0; i < load.length; i++) {
            callsInProgress[i] = load[i][0];
            connections[i] = load[i][1];
        }
        samples.add(new Sample((now - startMicros) / 1e6, memory, cores, descriptors, callsInProgress, connections));
    }

    synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }
}
