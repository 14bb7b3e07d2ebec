package terndyke.lab.traced;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All that befell one record, through every node and life that had it. */
public final class Story {
    private static final Set<String> BY_NUMBER = Set.of("taken", "shot", "over", "refused", "bounced", "terminated", "failed");
    private static final Set<String> WITH_ID = Set.of("taken", "refused", "bounced", "terminated", "failed");

    private Story() { }

    /** The lines of the records that some node had under this id; each node has numbers of its own. */
    public static List<Traced> of(List<Traced> lines, String id) {
        Set<String> records = new HashSet<>();
        lines.stream().filter(line -> WITH_ID.contains(line.verb()) && line.word(1).equals(id))
                .forEach(line -> records.add(line.node() + " " + line.word(0)));
        return lines.stream().filter(line -> BY_NUMBER.contains(line.verb())
                && records.contains(line.node() + " " + line.word(0))).toList();
    }
}
