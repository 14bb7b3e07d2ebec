package terndyke.lab.plan;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/** One thing that goes wrong: what, from when, how long, how much, and to whom. */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Failure(Kind kind, TimeSpan at, @JsonProperty("for") TimeSpan lasts, Double amount, Target on) {

    /** Whom a kind of failure befalls. */
    public enum TargetType { RECEIVER, DISCOVERY, NODE, CLIENT }

    /** What can go wrong. The amount's meaning and its value where none is told stand with each. */
    public enum Kind {
        /** The process ends: connections are reset, new ones refused; it comes back cold. */
        @JsonProperty("crash") CRASH(TargetType.RECEIVER, 0),
        /** Calls are read and not answered until it is over. */
        @JsonProperty("hang") HANG(TargetType.RECEIVER, 0),
        /** Work takes so many times as long. */
        @JsonProperty("slow") SLOW(TargetType.RECEIVER, 4),
        /** A share of the calls ends at once with 500. */
        @JsonProperty("errors") ERRORS(TargetType.RECEIVER, 0.9),
        /** Every call is turned away with 503. */
        @JsonProperty("shut") SHUT(TargetType.RECEIVER, 0),
        /** The machine is cut off: nothing is read, new connections never come up. */
        @JsonProperty("silent") SILENT(TargetType.RECEIVER, 0),
        /** Calls arrive and run, a share of the answers is lost with the connection left open. */
        @JsonProperty("answer-lost") ANSWER_LOST(TargetType.RECEIVER, 0.5),
        /** A share of the connections is reset while a call comes in, so that it never ran. */
        @JsonProperty("reset-before") RESET_BEFORE(TargetType.RECEIVER, 0.5),
        /** A share of the calls runs and ends in a reset. */
        @JsonProperty("reset-after") RESET_AFTER(TargetType.RECEIVER, 0.5),
        /** A share of the answers cannot be read, from the first line or after it. */
        @JsonProperty("spoilt") SPOILT(TargetType.RECEIVER, 0.5),
        /** A share of the answers has no end. */
        @JsonProperty("endless") ENDLESS(TargetType.RECEIVER, 0.3),
        /** A share of the answers comes twice. */
        @JsonProperty("doubled") DOUBLED(TargetType.RECEIVER, 0.3),
        /** New connections are refused; those that are open stay good. */
        @JsonProperty("refused") REFUSED(TargetType.RECEIVER, 0),
        /** New connections never come up; those that are open stay good. */
        @JsonProperty("never-up") NEVER_UP(TargetType.RECEIVER, 0),
        /** It asks for no new work in the list, and turns calls away once its grace is over; then it is gone. */
        @JsonProperty("drain") DRAIN(TargetType.RECEIVER, 0),
        /** Its process is replaced by a new one at the same address, under a new uid. */
        @JsonProperty("replace") REPLACE(TargetType.RECEIVER, 0),
        /** The agent says nothing. */
        @JsonProperty("list-silent") LIST_SILENT(TargetType.DISCOVERY, 0),
        /** Changes reach the agent so many seconds later than usual. */
        @JsonProperty("list-late") LIST_LATE(TargetType.DISCOVERY, 2),
        /** The agent's answers cannot be read. */
        @JsonProperty("list-spoilt") LIST_SPOILT(TargetType.DISCOVERY, 0),
        /** Notices are answered with 500. */
        @JsonProperty("notices-refused") NOTICES_REFUSED(TargetType.DISCOVERY, 0),
        /** SIGKILL, and a new start once the time is over. */
        @JsonProperty("kill") KILL(TargetType.NODE, 0),
        /** SIGTERM, SIGKILL where 3.7 s did not suffice, and a new start. */
        @JsonProperty("restart") RESTART(TargetType.NODE, 0),
        /** SIGHUP; the amount is how many. */
        @JsonProperty("hangup") HANGUP(TargetType.NODE, 1),
        /** Discovery moves to another address; the configuration is replaced and SIGHUP sent, so often within its time. */
        @JsonProperty("reload") RELOAD(TargetType.NODE, 1),
        /** SIGSTOP, and SIGCONT once the time is over. */
        @JsonProperty("freeze") FREEZE(TargetType.NODE, 0),
        /** The node's folder is filled up to its limit by somebody else, and freed again. */
        @JsonProperty("disk-full") DISK_FULL(TargetType.NODE, 0),
        /** So many clients hand in requests a byte at a time. */
        @JsonProperty("trickle") TRICKLE(TargetType.CLIENT, 20),
        /** So many clients connect and say nothing. */
        @JsonProperty("mute") MUTE(TargetType.CLIENT, 50),
        /** So many requests a second beyond the schedule, each on a connection of its own. */
        @JsonProperty("flood") FLOOD(TargetType.CLIENT, 200),
        /** So many requests a second that cannot be read. */
        @JsonProperty("garbage") GARBAGE(TargetType.CLIENT, 50),
        /** A share of the clients' records is preceded by a foreign request under the same id with its own content. */
        @JsonProperty("foreign-ids") FOREIGN_IDS(TargetType.CLIENT, 0.05),
        /** So many requests a second with a body of 60 MB. */
        @JsonProperty("huge") HUGE(TargetType.CLIENT, 2);

        private final TargetType targetType;
        private final double defaultAmount;

        Kind(TargetType side, double amount) {
            this.targetType = side;
            this.defaultAmount = amount;
        }

        public TargetType targetType() {
            return targetType;
        }

        /** The name that files use. */
        public String yamlName() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** Whom it befalls: everything named here together; nothing named is everybody. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Target(String hall, String kind, List<Integer> destinations, List<Integer> receivers,
            List<Integer> nodes, Double share) { }

    public Failure {
        amount = amount != null ? amount : kind == null ? 0 : kind.defaultAmount;
        lasts = lasts != null ? lasts : TimeSpan.of("3s");
        on = on != null ? on : new Target(null, null, null, null, null, null);
    }

    public long endMicros() {
        return at.micros() + lasts.micros();
    }

    /** Whether it befalls that node. */
    public boolean affectsNode(int node) {
        return on.nodes == null || on.nodes.contains(node);
    }

    void findInconsistencies(Experiment day, String place, Map<String, String> found) {
        if (on.hall != null && !day.halls().contains(on.hall)) {
            found.put(place + "/on/hall", "hall " + on.hall + " is none of " + day.halls());
        }
        if (on.kind != null && day.destinations().stream().noneMatch(some -> some.kind().equals(on.kind))) {
            found.put(place + "/on/kind", "no destinations are of kind " + on.kind);
        }
        for (int number : on.destinations == null ? List.<Integer>of() : on.destinations) {
            if (number >= day.destinationCount()) {
                found.put(place + "/on/destinations", "there are destinations 0 to " + (day.destinationCount() - 1)
                        + ", none with number " + number);
            }
        }
        for (int number : on.nodes == null ? List.<Integer>of() : on.nodes) {
            if (number >= day.nodes().count()) {
                found.put(place + "/on/nodes", "there are nodes 0 to " + (day.nodes().count() - 1) + ", none with number "
                        + number);
            }
        }
        boolean ofReceivers = on.hall != null || on.kind != null || on.destinations != null || on.receivers != null;
        if (ofReceivers && kind.targetType != TargetType.RECEIVER) {
            found.put(place + "/on", kind.yamlName() + " befalls no receivers; only nodes can be named");
        }
    }
}
