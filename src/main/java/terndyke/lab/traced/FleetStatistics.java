package terndyke.lab.traced;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Statistics of all nodes of a fleet together, per time step: for all destinations and for each one. The metrics are
 * counts per step, except for OUT (shots in progress) and WAITING (waiting records), which are means over the step.
 */
public final class FleetStatistics {
    /** The columns of the table, in the order shown. */
    public enum Metric {
        TAKEN, SHOTS, OPENED, DONE, FULL, TOLD, CROWDED, FAILED, RECALLED, UNSENT, PROBES, LISTS, REFUSED, BOUNCED, TERMINATED,
        OUT, WAITING
    }

    /** The totals of one time step, indexed by the ordinal of {@link Metric}; OUT and WAITING as means over the step. */
    private static final class StepTotals {
        private final double[] totals = new double[Metric.values().length];

        private void add(Metric metric, double value) {
            totals[metric.ordinal()] += value;
        }
    }

    private final long startMicros;
    private final long stepMicros;
    private final Map<String, TreeMap<Long, StepTotals>> totalsByDestination = new TreeMap<>();
    private final TreeMap<Long, StepTotals> totalsByStep = new TreeMap<>();
    private final Map<String, String> destinationsByWaitingRecord = new HashMap<>(); // by node and record
    private final Map<String, String> destinationsByOpenShot = new HashMap<>(); // by node, record and shot
    private long accountedUntilMicros;

    private FleetStatistics(long startMicros, long stepMicros) {
        this.startMicros = startMicros;
        this.stepMicros = stepMicros;
        accountedUntilMicros = startMicros;
    }

    /** Computes the statistics of traced lines, which must be sorted by time; the step is in microseconds. */
    public static FleetStatistics of(List<TraceLine> lines, long stepMicros) {
        FleetStatistics statistics = new FleetStatistics(lines.get(0).atMicros(), stepMicros);
        lines.forEach(statistics::process);
        return statistics;
    }

    private void process(TraceLine line) {
        advanceTo(line.atMicros());
        String record = line.node() + " " + line.argument(0);
        String shot = record + " " + line.argument(1);
        switch (line.verb()) {
            case "taken" -> {
                count(line, line.argument(3), Metric.TAKEN);
                // the first shot of a record may be traced before the record itself
                if (destinationsByOpenShot.keySet().stream().noneMatch(key -> key.startsWith(record + " "))) {
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
                if (destinationsByOpenShot.remove(shot) != null && !line.argument(4).equals("DONE")
                        && !line.argument(4).equals("RECALLED")) {
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
            case "serving" -> { // a restart ends the shots and waits of the node's previous process run
                destinationsByOpenShot.keySet().removeIf(key -> key.startsWith(line.node() + " "));
                destinationsByWaitingRecord.keySet().removeIf(key -> key.startsWith(line.node() + " "));
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

    private void count(TraceLine line, String destination, Metric metric) {
        long step = (line.atMicros() - startMicros) / stepMicros;
        totalsByStep.computeIfAbsent(step, number -> new StepTotals()).add(metric, 1);
        if (destination != null) {
            totalsByDestination.computeIfAbsent(destination, name -> new TreeMap<>())
                    .computeIfAbsent(step, number -> new StepTotals()).add(metric, 1);
        }
    }

    /** Adds the time up to now to OUT and WAITING for the shots in progress and the records that are waiting. */
    private void advanceTo(long now) {
        while (accountedUntilMicros < now) {
            long step = (accountedUntilMicros - startMicros) / stepMicros;
            long until = Math.min(now, startMicros + (step + 1) * stepMicros);
            double share = (double) (until - accountedUntilMicros) / stepMicros;
            destinationsByOpenShot.values().forEach(destination -> addTimeShare(step, destination, Metric.OUT, share));
            destinationsByWaitingRecord.values().forEach(destination -> addTimeShare(step, destination, Metric.WAITING, share));
            accountedUntilMicros = until;
        }
    }

    private void addTimeShare(long step, String destination, Metric metric, double share) {
        totalsByStep.computeIfAbsent(step, number -> new StepTotals()).add(metric, share);
        totalsByDestination.computeIfAbsent(destination, name -> new TreeMap<>())
                .computeIfAbsent(step, number -> new StepTotals()).add(metric, share);
    }

    /** The value of a metric in the given step, for one destination or, if it is null, for all. */
    public double value(String destination, long step, Metric metric) {
        StepTotals totals = (destination == null ? totalsByStep
                : totalsByDestination.getOrDefault(destination, new TreeMap<>())).get(step);
        return totals == null ? 0 : totals.totals[metric.ordinal()];
    }

    /** The destinations, ordered by their number of accepted records, highest first. */
    public List<String> destinations() {
        List<String> names = new ArrayList<>(totalsByDestination.keySet());
        names.sort(java.util.Comparator.comparingDouble(name -> -totalsByDestination.get(name).values().stream()
                .mapToDouble(stepTotals -> stepTotals.totals[Metric.TAKEN.ordinal()]).sum()));
        return names;
    }

    public long stepCount() {
        return totalsByStep.isEmpty() ? 0 : totalsByStep.lastKey() + 1;
    }

    /** A table with one line per time step, for one destination or, if it is null, for all. */
    public String formatTable(String destination) {
        StringBuilder table = new StringBuilder(destination == null ? "all destinations" : "destination " + destination)
                .append(String.format("%n%8s", "s"));
        for (Metric metric : Metric.values()) {
            table.append(String.format(" %7s", metric.name().toLowerCase(Locale.ROOT).substring(0, Math.min(7,
                    metric.name().length()))));
        }
        table.append(System.lineSeparator());
        for (long step = 0; step < stepCount(); step++) {
            table.append(String.format(Locale.ROOT, "%8.1f", step * stepMicros / 1e6));
            for (Metric metric : Metric.values()) {
                table.append(String.format(Locale.ROOT, " %7.0f", value(destination, step, metric)));
            }
            table.append(System.lineSeparator());
        }
        return table.toString();
    }
}
