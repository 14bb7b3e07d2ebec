package terndyke.lab.traced;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects the traced lines of one record over all nodes, and over all process runs of each node. */
public final class RecordTrace {
    private static final Set<String> VERBS_WITH_RECORD_NUMBER = Set.of("taken", "shot", "over", "refused", "bounced",
            "terminated", "failed");
    private static final Set<String> VERBS_WITH_RECORD_ID = Set.of("taken", "refused", "bounced", "terminated", "failed");

    private RecordTrace() { }

    /** The lines of all records that any node had with this id; each node numbers its records independently. */
    public static List<TraceLine> findLines(List<TraceLine> lines, String id) {
        Set<String> records = new HashSet<>();
        lines.stream().filter(line -> VERBS_WITH_RECORD_ID.contains(line.verb()) && line.argument(1).equals(id))
                .forEach(line -> records.add(line.node() + " " + line.argument(0)));
        return lines.stream().filter(line -> VERBS_WITH_RECORD_NUMBER.contains(line.verb())
                && records.contains(line.node() + " " + line.argument(0))).toList();
    }
}
