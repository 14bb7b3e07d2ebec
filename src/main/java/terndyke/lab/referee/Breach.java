package terndyke.lab.referee;

import java.util.List;

/** A broken rule: which, when, why, and the whole timeline of the record or receiver. */
public record Breach(int rule, long at, String id, String why, List<String> timeline) {
    @Override
    public String toString() {
        return String.format("rule %d broken at %.3f s: %s%n    %s", rule, at / 1e6, why,
                String.join(System.lineSeparator() + "    ", timeline));
    }
}
