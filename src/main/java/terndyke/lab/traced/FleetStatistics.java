package terndyke.lab.traced;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What all nodes of a fleet did together, by step of time: at all destinations, and at each one. A step's figures are
 * counts, but for the calls out and the records that waited, which are means over the step.
 */
public final class FleetStatistics {
    /** The columns, in the order in which they are shown. */
    public enum Metric {
        TAKEN, SHOTS, OPENED, DONE, FULL, TOLD, CROWDED, FAILED, RECALLED, UNSENT, PROBES, LISTS, REFUSED, BOUNCED, TERMINATED,
        OUT, WAITING
    }

    /** The figures of one step, those of Sum in its order; out and waiting in microseconds until they are read. */
    private static final class StepTotals {
        private final double[] totals = new double[Metric.values().length];

        private void add(Metric sum, double figure) {
            totals[sum.ordinal()] += figure;
        }
    }

    private final long startMicros;
    private final long stepMicros;
    private final Map<String, TreeMap<Long, StepTotals>> totalsByDestination = new TreeMap<>();
    private final TreeMap<Long, StepTotals> totalsByStep = new TreeMap<>();
    private final Map<String, String> destinationsByWaitingRecord = new HashMap<>(); // record at its node: its destination
    private final Map<String, String> destinationsByOpenShot = new HashMap<>(); // shot at its node: its destination
    private long accountedUntilMicros;

    private FleetStatistics(long start, long step) {
        this.startMicros = start;
        this.stepMicros = step;
        accountedUntilMicros = start;
    }

    /** Adds up what was traced, in order of time. */
    public static FleetStatistics of(List<TraceLine> lines, long step) {
        FleetStatistics sums = new FleetStatistics(lines.get(0).atMicros(), step);
        lines.forEach(sums::process);
        return sums;
    }

    private void process(TraceLine line) {
        advanceTo(line.atMicros());
        String record = line.node() + " " + line.argument(0);
        String shot = record + " " + line.argument(1);
        switch (line.verb()) {
            case "taken" -> {
                count(line, line.argument(3), Metric.TAKEN);
                if (destinationsByOpenShot.keySet().stream().noneMatch(one -> one.startsWith(record + " "))) { // its shot may be told first
                    destinationsByWaitingRecord.put(record, line.argument(3));
                }
            }
            case "shot" -> {
                count(line, line.argument(3), Metric.SHOTS);
                if (line.argument(4).equals("new")) {
                    count(line, line.argument(3), Metric.OPENED);
                }
                destinationsByWaitingRecord.remove(record);
                destinationsByOpenShot.put(shot, line.argument(3));
            }
            case "over" -> {
                countEnding(line);
                if (destinationsByOpenShot.remove(shot) != null && !line.argument(4).equals("DONE") && !line.argument(4).equals("RECALLED")) {
                    destinationsByWaitingRecord.put(record, line.argument(3));
                }
            }
            case "refused", "bounced", "terminated", "failed" -> {
                count(line, line.argument(3), line.verb().equals("refused") ? Metric.REFUSED
                        : line.verb().equals("bounced") ? Metric.BOUNCED : Metric.TERMINATED);
                destinationsByWaitingRecord.remove(record);
            }
            case "probe" -> count(line, line.argument(1), Metric.PROBES);
            case "list" -> count(line, null, Metric.LISTS);
            case "serving" -> { // a new life of the node: what its last one had out is over
                destinationsByOpenShot.keySet().removeIf(one -> one.startsWith(line.node() + " "));
                destinationsByWaitingRecord.keySet().removeIf(one -> one.startsWith(line.node() + " "));
            }
            default -> { }
        }
    }

    private void countEnding(TraceLine line) {
        String ending = line.argument(4);
        count(line, line.argument(3), switch (ending) {
            case "DONE" -> Metric.DONE;
            case "FULL" -> Metric.FULL;
            case "CROWDED" -> Metric.CROWDED;
            case "RECALLED" -> Metric.RECALLED;
            case "NOT_SENT" -> Metric.UNSENT;
            default -> Metric.FAILED;
        });
        if (ending.equals("FULL") && !line.argument(6).equals("0")) {
            count(line, line.argument(3), Metric.TOLD);
        }
    }

    private void count(TraceLine line, String destination, Metric sum) {
        long at = (line.atMicros() - startMicros) / stepMicros;
        totalsByStep.computeIfAbsent(at, number -> new StepTotals()).add(sum, 1);
        if (destination != null) {
            totalsByDestination.computeIfAbsent(destination, name -> new TreeMap<>())
                    .computeIfAbsent(at, number -> new StepTotals()).add(sum, 1);
        }
    }

    /** The time up to now goes to what was out and what waited in it. */
    private void advanceTo(long now) {
        while (accountedUntilMicros < now) {
            long at = (accountedUntilMicros - startMicros) / stepMicros;
            long until = Math.min(now, startMicros + (at + 1) * stepMicros);
            double share = (double) (until - accountedUntilMicros) / stepMicros;
            destinationsByOpenShot.values().forEach(destination -> addTimeShare(at, destination, Metric.OUT, share));
            destinationsByWaitingRecord.values().forEach(destination -> addTimeShare(at, destination, Metric.WAITING, share));
            accountedUntilMicros = until;
        }
    }

    private void addTimeShare(long at, String destination, Metric sum, double share) {
        totalsByStep.computeIfAbsent(at, number -> new StepTotals()).add(sum, share);
        totalsByDestination.computeIfAbsent(destination, name -> new TreeMap<>())
                .computeIfAbsent(at, number -> new StepTotals()).add(sum, share);
    }

    /** A figure of a step, of one destination or, where that is null, of all. */
    public double value(String destination, long at, Metric sum) {
        StepTotals found = (destination == null ? totalsByStep : totalsByDestination.getOrDefault(destination, new TreeMap<>())).get(at);
        return found == null ? 0 : found.totals[sum.ordinal()];
    }

    /** The destinations, those with the most records first. */
    public List<String> destinations() {
        List<String> names = new ArrayList<>(totalsByDestination.keySet());
        names.sort(java.util.Comparator.comparingDouble(name -> -totalsByDestination.get(name).values().stream()
                .mapToDouble(one -> one.totals[Metric.TAKEN.ordinal()]).sum()));
        return names;
    }

    public long stepCount() {
        return totalsByStep.isEmpty() ? 0 : totalsByStep.lastKey() + 1;
    }

    /** A table of one destination's steps, or of all where it is null. */
    public String formatTable(String destination) {
        StringBuilder table = new StringBuilder(destination == null ? "all destinations" : "destination " + destination)
                .append(String.format("%n%8s", "s"));
        for (Metric sum : Metric.values()) {
            table.append(String.format(" %7s", sum.name().toLowerCase(Locale.ROOT).substring(0, Math.min(7,
                    sum.name().length()))));
        }
        table.append(System.lineSeparator());
        for (long at = 0; at < stepCount(); at++) {
            table.append(String.format(Locale.ROOT, "%8.1f", at * stepMicros / 1e6));
            for (Metric sum : Metric.values()) {
                table.append(String.format(Locale.ROOT, " %7.0f", value(destination, at, sum)));
            }
            table.append(System.lineSeparator());
        }
        return table.toString();
    }
}
