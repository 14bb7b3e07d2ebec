package terndyke.node;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A small logger: one line an event, with the time and the node's name. Repeats of one kind are thinned out. Where tracing
 * is asked for, each record, shot, probe and list gets its line too, and none is left out.
 */
public final class NodeLog {
    /** The first word of each traced line. */
    public static final String TRACE = "trace";
    private static final int LINES_PER_SECOND = 50;

    private final PrintStream out;
    private final String name;
    private final boolean tracing;
    private long second;
    private int lines;

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
        line("info ", text);
    }

    public void warn(String text) {
        line("warn ", text);
    }

    public void warn(String text, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        warn(text + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private synchronized void line(String level, String text) {
        Instant now = Instant.now();
        lines = now.getEpochSecond() == second ? lines + 1 : 0;
        second = now.getEpochSecond();
        if (lines < LINES_PER_SECOND) {
            out.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + name + " "
                    + text.replace('\n', ' ').replace('\r', ' '));
        } else if (lines == LINES_PER_SECOND) {
            out.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + name + " more lines left out this second");
        }
    }
}
