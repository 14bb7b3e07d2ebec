package terndyke.lab.plan;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/** An injected failure: its kind, start, duration, amount and target. */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Failure(Kind kind, TimeSpan at, @JsonProperty("for") TimeSpan duration, Double amount, Target on) {

    /** The part of the system that a kind of failure affects. */
    public enum TargetType { RECEIVER, DISCOVERY, NODE, CLIENT }

    /** The kinds of failures, each with the meaning of its amount and, as a parameter, the default amount. */
    public enum Kind {
        /** The process exits: connections are reset and new ones refused; it recovers with a slow start. */
        @JsonProperty("crash") CRASH(TargetType.RECEIVER, 0),
        /** Calls are read but not answered until the failure ends. */
        @JsonProperty("hang") HANG(TargetType.RECEIVER, 0),
        /** The service time is multiplied by the amount. */
        @JsonProperty("slow") SLOW(TargetType.RECEIVER, 4),
        /** The given share of the calls is answered with 500 at once. */
        @JsonProperty("errors") ERRORS(TargetType.RECEIVER, 0.9),
        /** Every call is rejected with 503. */
        @JsonProperty("shut") SHUT(TargetType.RECEIVER, 0),
        /** The machine is cut off from the network: nothing is read, and new connections are never established. */
        @JsonProperty("silent") SILENT(TargetType.RECEIVER, 0),
        /** Calls are executed, but the given share of the answers is lost while the connections stay open. */
        @JsonProperty("answer-lost") ANSWER_LOST(TargetType.RECEIVER, 0.5),
        /** The given share of the connections is reset while a call is being received, so that it is never executed. */
        @JsonProperty("reset-before") RESET_BEFORE(TargetType.RECEIVER, 0.5),
        /** The given share of the calls is executed, then the connection is reset instead of an answer. */
        @JsonProperty("reset-after") RESET_AFTER(TargetType.RECEIVER, 0.5),
        /** The given share of the answers is malformed, in the first line or after it. */
        @JsonProperty("spoilt") SPOILT(TargetType.RECEIVER, 0.5),
        /** The given share of the answers never ends. */
        @JsonProperty("endless") ENDLESS(TargetType.RECEIVER, 0.3),
        /** The given share of the answers is sent twice: the second time at once or up to 32 ms later. */
        @JsonProperty("doubled") DOUBLED(TargetType.RECEIVER, 0.3),
        /** New connections are refused; open ones keep working. */
        @JsonProperty("refused") REFUSED(TargetType.RECEIVER, 0),
        /** New connections are never established; open ones keep working. */
        @JsonProperty("never-up") NEVER_UP(TargetType.RECEIVER, 0),
        /** The receiver is listed as leaving, rejects calls after a grace period, and finally is removed. */
        @JsonProperty("drain") DRAIN(TargetType.RECEIVER, 0),
        /** The receiver process is replaced by a new one with the same address and a new uid. */
        @JsonProperty("replace") REPLACE(TargetType.RECEIVER, 0),
        /** The discovery agent does not answer. */
        @JsonProperty("list-silent") LIST_SILENT(TargetType.DISCOVERY, 0),
        /** Changes reach the discovery agent later by the amount in seconds. */
        @JsonProperty("list-late") LIST_LATE(TargetType.DISCOVERY, 2),
        /** The discovery agent's answers are malformed. */
        @JsonProperty("list-spoilt") LIST_SPOILT(TargetType.DISCOVERY, 0),
        /** Notices are answered with 500. */
        @JsonProperty("notices-refused") NOTICES_REFUSED(TargetType.DISCOVERY, 0),
        /** The node gets SIGKILL and is started again when the failure ends. */
        @JsonProperty("kill") KILL(TargetType.NODE, 0),
        /** The node gets SIGTERM, then SIGKILL if it has not exited within 3.7 s, and is started again. */
        @JsonProperty("restart") RESTART(TargetType.NODE, 0),
        /** The node gets SIGHUP as many times as the amount. */
        @JsonProperty("hangup") HANGUP(TargetType.NODE, 1),
        /**
         * Discovery moves to another address, the node's configuration is replaced and SIGHUP sent, as many times as the
         * amount within the failure's duration.
         */
        @JsonProperty("reload") RELOAD(TargetType.NODE, 1),
        /** The node gets SIGSTOP, and SIGCONT when the failure ends. */
        @JsonProperty("freeze") FREEZE(TargetType.NODE, 0),
        /** The node's state folder is filled up to its limit by a foreign file, which is deleted when the failure ends. */
        @JsonProperty("disk-full") DISK_FULL(TargetType.NODE, 0),
        /** As many extra clients as the amount send requests one byte at a time. */
        @JsonProperty("trickle") TRICKLE(TargetType.CLIENT, 20),
        /** As many extra clients as the amount connect and send nothing. */
        @JsonProperty("mute") MUTE(TargetType.CLIENT, 50),
        /** Extra requests beyond the schedule, as many per second as the amount, each on a new connection. */
        @JsonProperty("flood") FLOOD(TargetType.CLIENT, 200),
        /** Malformed requests, as many per second as the amount. */
        @JsonProperty("garbage") GARBAGE(TargetType.CLIENT, 50),
        /** The given share of the clients' records is preceded by a foreign request with the same id and different content. */
        @JsonProperty("foreign-ids") FOREIGN_IDS(TargetType.CLIENT, 0.05),
        /** Requests with a body of 60 MB, as many per second as the amount. */
        @JsonProperty("huge") HUGE(TargetType.CLIENT, 2);

        private final TargetType targetType;
        private final double defaultAmount;

        Kind(TargetType targetType, double defaultAmount) {
            this.targetType = targetType;
            this.defaultAmount = defaultAmount;
        }

        public TargetType targetType() {
            return targetType;
        }

        /** The name used in experiment files. */
        public String yamlName() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** The target of a failure: what matches all of the given criteria; without any, everything. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Target(String hall, String kind, List<Integer> destinations, List<Integer> receivers,
            List<Integer> nodes, Double share) { }

    public Failure {
        amount = amount != null ? amount : kind == null ? 0 : kind.defaultAmount;
        duration = duration != null ? duration : TimeSpan.of("3s");
        on = on != null ? on : new Target(null, null, null, null, null, null);
    }

    public long endMicros() {
        return at.micros() + duration.micros();
    }

    /** Whether the failure affects the given node. */
    public boolean affectsNode(int node) {
        return on.nodes == null || on.nodes.contains(node);
    }

    void findInconsistencies(Experiment experiment, String path, Map<String, String> errors) {
        if (on.hall != null && !experiment.halls().contains(on.hall)) {
            errors.put(path + "/on/hall", "unknown hall " + on.hall + ", the halls are " + experiment.halls());
        }
        if (on.kind != null && experiment.destinations().stream().noneMatch(group -> group.kind().equals(on.kind))) {
            errors.put(path + "/on/kind", "no destination is of kind " + on.kind);
        }
        for (int number : on.destinations == null ? List.<Integer>of() : on.destinations) {
            if (number >= experiment.destinationCount()) {
                errors.put(path + "/on/destinations", "destinations are numbered 0 to " + (experiment.destinationCount() - 1)
                        + ", found " + number);
            }
        }
        for (int number : on.nodes == null ? List.<Integer>of() : on.nodes) {
            if (number >= experiment.nodes().count()) {
                errors.put(path + "/on/nodes", "nodes are numbered 0 to " + (experiment.nodes().count() - 1) + ", found "
                        + number);
            }
        }
        boolean selectsReceivers = on.hall != null || on.kind != null || on.destinations != null || on.receivers != null;
        if (selectsReceivers && kind.targetType != TargetType.RECEIVER) {
            errors.put(path + "/on", kind.yamlName() + " does not affect receivers; only nodes can be selected");
        }
    }
}
