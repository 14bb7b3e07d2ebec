package terndyke.node;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A small logger: one line an event, with the time and the node's name, and so many lines a second at most. Lines about single
 * messages are counted apart, so that they never displace the others. Where tracing is asked for, each message, attempt, probe
 * and list gets its line too, and none is left out.
 */
public final class NodeLog {
    /** The first word of each traced line. */
    public static final String TRACE = "trace";
    private static final int LINES_PER_SECOND = 50;
    private static final int MESSAGE_LINES_PER_SECOND = 20;

    private final PrintStream out;
    private final String name;
    private final boolean tracing;
    private final Budget lines = new Budget(LINES_PER_SECOND, "more lines left out this second");
    private final Budget messageLines = new Budget(MESSAGE_LINES_PER_SECOND, "more lines on messages left out this second");

    public NodeLog(PrintStream out, String name) {
        this(out, name, false);
    }

    public NodeLog(PrintStream out, String name, boolean tracing) {
        this.out = out;
        this.name = name;
        this.tracing = tracing;
    }

    /** Whether it is worth finding out what a traced line would say. */
    public boolean tracing() {
        return tracing;
    }

    /** One traced line: when, on the node's clock in whole microseconds, the verb, and what it is about, in order. */
    public void trace(long now, String verb, Object... about) {
        if (tracing) {
            StringBuilder line = new StringBuilder(TRACE).append(' ').append(now).append(' ').append(name).append(' ')
                    .append(verb);
            for (Object one : about) {
                line.append(' ').append(one);
            }
            out.println(line);
        }
    }

    public void info(String text) {
        line(lines, "info ", text);
    }

    /** What became of one message that did not go the ordinary way: its id, what happened, and why. */
    public void message(String text) {
        line(messageLines, "info ", text);
    }

    public void warn(String text) {
        line(lines, "warn ", text);
    }

    public void warn(String text, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        warn(text + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private synchronized void line(Budget budget, String level, String text) {
        Instant now = Instant.now();
        int before = budget.take(now.getEpochSecond());
        if (before < budget.most) {
            out.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + name + " "
                    + text.replace('\n', ' ').replace('\r', ' '));
        } else if (before == budget.most) {
            out.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + name + " " + budget.whenSpent);
        }
    }

    /** How many lines of one kind have been asked for in the current second. */
    private static final class Budget {
        private final int most;
        private final String whenSpent;
        private long second;
        private int taken;

        Budget(int most, String whenSpent) {
            this.most = most;
            this.whenSpent = whenSpent;
        }

        /** Takes one line, and says how many were taken before it in the same second. */
        int take(long now) {
            taken = now == second ? taken + 1 : 0;
            second = now;
            return taken;
        }
    }
}
