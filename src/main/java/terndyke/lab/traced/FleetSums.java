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
public final class FleetSums {
    /** The columns, in the order in which they are shown. */
    public enum Sum {
        TAKEN, SHOTS, OPENED, DONE, FULL, TOLD, CROWDED, FAILED, RECALLED, UNSENT, PROBES, LISTS, REFUSED, BOUNCED, TERMINATED,
        OUT, WAITING
    }

    /** The figures of one step, those of Sum in its order; out and waiting in microseconds until they are read. */
    private static final class Step {
        private final double[] sums = new double[Sum.values().length];

        private void add(Sum sum, double figure) {
            sums[sum.ordinal()] += figure;
        }
    }

    private final long start;
    private final long step;
    private final Map<String, TreeMap<Long, Step>> byDestination = new TreeMap<>();
    private final TreeMap<Long, Step> all = new TreeMap<>();
    private final Map<String, String> waiting = new HashMap<>(); // record at its node: its destination
    private final Map<String, String> out = new HashMap<>(); // shot at its node: its destination
    private long last;

    private FleetSums(long start, long step) {
        this.start = start;
        this.step = step;
        last = start;
    }

    /** Adds up what was traced, in order of time. */
    public static FleetSums of(List<Traced> lines, long step) {
        FleetSums sums = new FleetSums(lines.get(0).at(), step);
        lines.forEach(sums::take);
        return sums;
    }

    private void take(Traced line) {
        pass(line.at());
        String record = line.node() + " " + line.word(0);
        String shot = record + " " + line.word(1);
        switch (line.verb()) {
            case "taken" -> {
                add(line, line.word(3), Sum.TAKEN);
                if (out.keySet().stream().noneMatch(one -> one.startsWith(record + " "))) { // its shot may be told first
                    waiting.put(record, line.word(3));
                }
            }
            case "shot" -> {
                add(line, line.word(3), Sum.SHOTS);
                if (line.word(4).equals("new")) {
                    add(line, line.word(3), Sum.OPENED);
                }
                waiting.remove(record);
                out.put(shot, line.word(3));
            }
            case "over" -> {
                ended(line);
                if (out.remove(shot) != null && !line.word(4).equals("DONE") && !line.word(4).equals("RECALLED")) {
                    waiting.put(record, line.word(3));
                }
            }
            case "refused", "bounced", "terminated", "failed" -> {
                add(line, line.word(3), line.verb().equals("refused") ? Sum.REFUSED
                        : line.verb().equals("bounced") ? Sum.BOUNCED : Sum.TERMINATED);
                waiting.remove(record);
            }
            case "probe" -> add(line, line.word(1), Sum.PROBES);
            case "list" -> add(line, null, Sum.LISTS);
            case "serving" -> { // a new life of the node: what its last one had out is over
                out.keySet().removeIf(one -> one.startsWith(line.node() + " "));
                waiting.keySet().removeIf(one -> one.startsWith(line.node() + " "));
            }
            default -> { }
        }
    }

    private void ended(Traced line) {
        String ending = line.word(4);
        add(line, line.word(3), switch (ending) {
            case "DONE" -> Sum.DONE;
            case "FULL" -> Sum.FULL;
            case "CROWDED" -> Sum.CROWDED;
            case "RECALLED" -> Sum.RECALLED;
            case "NOT_SENT" -> Sum.UNSENT;
            default -> Sum.FAILED;
        });
        if (ending.equals("FULL") && !line.word(6).equals("0")) {
            add(line, line.word(3), Sum.TOLD);
        }
    }

    private void add(Traced line, String destination, Sum sum) {
        long at = (line.at() - start) / step;
        all.computeIfAbsent(at, number -> new Step()).add(sum, 1);
        if (destination != null) {
            byDestination.computeIfAbsent(destination, name -> new TreeMap<>())
                    .computeIfAbsent(at, number -> new Step()).add(sum, 1);
        }
    }

    /** The time up to now goes to what was out and what waited in it. */
    private void pass(long now) {
        while (last < now) {
            long at = (last - start) / step;
            long until = Math.min(now, start + (at + 1) * step);
            double share = (double) (until - last) / step;
            out.values().forEach(destination -> hold(at, destination, Sum.OUT, share));
            waiting.values().forEach(destination -> hold(at, destination, Sum.WAITING, share));
            last = until;
        }
    }

    private void hold(long at, String destination, Sum sum, double share) {
        all.computeIfAbsent(at, number -> new Step()).add(sum, share);
        byDestination.computeIfAbsent(destination, name -> new TreeMap<>())
                .computeIfAbsent(at, number -> new Step()).add(sum, share);
    }

    /** A figure of a step, of one destination or, where that is null, of all. */
    public double figure(String destination, long at, Sum sum) {
        Step found = (destination == null ? all : byDestination.getOrDefault(destination, new TreeMap<>())).get(at);
        return found == null ? 0 : found.sums[sum.ordinal()];
    }

    /** The destinations, those with the most records first. */
    public List<String> destinations() {
        List<String> names = new ArrayList<>(byDestination.keySet());
        names.sort(java.util.Comparator.comparingDouble(name -> -byDestination.get(name).values().stream()
                .mapToDouble(one -> one.sums[Sum.TAKEN.ordinal()]).sum()));
        return names;
    }

    public long steps() {
        return all.isEmpty() ? 0 : all.lastKey() + 1;
    }

    /** A table of one destination's steps, or of all where it is null. */
    public String table(String destination) {
        StringBuilder table = new StringBuilder(destination == null ? "all destinations" : "destination " + destination)
                .append(String.format("%n%8s", "s"));
        for (Sum sum : Sum.values()) {
            table.append(String.format(" %7s", sum.name().toLowerCase(Locale.ROOT).substring(0, Math.min(7,
                    sum.name().length()))));
        }
        table.append(System.lineSeparator());
        for (long at = 0; at < steps(); at++) {
            table.append(String.format(Locale.ROOT, "%8.1f", at * step / 1e6));
            for (Sum sum : Sum.values()) {
                table.append(String.format(Locale.ROOT, " %7.0f", figure(destination, at, sum)));
            }
            table.append(System.lineSeparator());
        }
        return table.toString();
    }
}
