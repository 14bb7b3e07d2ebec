package terndyke.lab.referee;

import java.util.List;

/**
 * A breach of one of the six rules: the rule's number, when and why it was broken, and the complete timeline of the record
 * or receiver concerned.
 */
public record Breach(int rule, long atMicros, String id, String reason, List<String> timeline) {
    @Override
    public String toString() {
        return String.format("rule %d broken at %.3f s: %s%n    %s", rule, atMicros / 1e6, reason,
                String.join(System.lineSeparator() + "    ", timeline));
    }
}
