package terndyke.lab.referee;

import java.util.List;

/** A broken rule: which, when, why, and the whole timeline of the record or receiver. */
public record Breach(int rule, long atMicros, String id, String reason, List<String> timeline) {
    @Override
    public String toString() {
        return String.format("rule %d broken at %.3f s: %s%n    %s", rule, atMicros / 1e6, reason,
                String.join(System.lineSeparator() + "    ", timeline));
    }
}
