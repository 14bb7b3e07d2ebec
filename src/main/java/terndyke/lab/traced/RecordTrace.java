package terndyke.lab.traced;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All that befell one record, through every node and life that had it. */
public final class RecordTrace {
    private static final Set<String> VERBS_WITH_RECORD_NUMBER = Set.of("taken", "shot", "over", "refused", "bounced", "terminated", "failed");
    private static final Set<String> VERBS_WITH_RECORD_ID = Set.of("taken", "refused", "bounced", "terminated", "failed");

    private RecordTrace() { }

    /** The lines of the records that some node had under this id; each node has numbers of its own. */
    public static List<TraceLine> findLines(List<TraceLine> lines, String id) {
        Set<String> records = new HashSet<>();
        lines.stream().filter(line -> VERBS_WITH_RECORD_ID.contains(line.verb()) && line.argument(1).equals(id))
                .forEach(line -> records.add(line.node() + " " + line.argument(0)));
        return lines.stream().filter(line -> VERBS_WITH_RECORD_NUMBER.contains(line.verb())
                && records.contains(line.node() + " " + line.argument(0))).toList();
    }
}
