package terndyke.node;

import java.util.Locale;

import terndyke.node.Counters.Count;

/**
 * Measures each turn of the decision thread, and says of slow ones what took the time: words taken in, timers, the
 * module, carrying out its actions (journal included), or sweeping. One line a second at most; the slowest of those that
 * were not told goes into the next one. Told times, it has no clock; of the decision thread alone.
 */
public final class Watchdog {
    /** What a turn is doing. */
    public enum Doing { WORDS, TIMERS, MODULE, ACTIONS, SWEEP }

    private final long slow;
    private final long lineEvery;
    private final Counters counters;
    private final long[] spent = new long[Doing.values().length];
    private long began = -1;
    private long at;
    private int words;
    private int untold;
    private long slowest;
    private String line;
    private long lineAt = Long.MIN_VALUE;

    /** Both times in microseconds: from when on a turn is slow, and between two lines. */
    public Watchdog(long slow, long lineEvery, Counters counters) {
        this.slow = slow;
        this.lineEvery = lineEvery;
        this.counters = counters;
    }

    public void begin(long now) {
        began = now;
        at = now;
        words = 0;
        java.util.Arrays.fill(spent, 0);
    }

    /** A record has waited so long for this turn, since it was read off its socket. */
    public void waited(long micros) {
        counters.most(Count.LONGEST_WAIT, micros);
    }

    /** So many words have been taken in, in the time since the last one was told. */
    public void tookIn(int many, long now) {
        words = many;
        did(Doing.WORDS, now);
    }

    /** What has passed since the last word was spent so. Outside a turn nothing is measured. */
    public void did(Doing doing, long now) {
        if (began >= 0) {
            spent[doing.ordinal()] += now - at;
            at = now;
        }
    }

    /** The turn is over; returns a line for the log, or null. */
    public String end(long now) {
        long took = now - began;
        began = -1;
        counters.most(Count.LONGEST_TURN, took);
        if (took >= slow) {
            counters.add(Count.SLOW_TURNS);
            untold++;
            if (took > slowest) {
                slowest = took;
                line = describe(took);
            }
        }
        if (untold == 0 || lineAt != Long.MIN_VALUE && now < lineAt + lineEvery) {
            return null;
        }
        String told = line + (untold > 1 ? ", the slowest of " + untold : "");
        lineAt = now;
        untold = 0;
        slowest = 0;
        return told;
    }

    private String describe(long took) {
        StringBuilder text = new StringBuilder("slow turn: ").append(took / 1000).append(" ms, ").append(words).append(" words");
        for (Doing doing : Doing.values()) {
            if (spent[doing.ordinal()] >= 1_000) {
                text.append(", ").append(doing.name().toLowerCase(Locale.ROOT)).append(' ')
                        .append(spent[doing.ordinal()] / 1000).append(" ms");
            }
        }
        return text.toString();
    }
}
