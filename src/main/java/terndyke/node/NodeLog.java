package terndyke.node;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** A small logger: one line an event, with the time and the node's name. Repeats of one kind are thinned out. */
public final class NodeLog {
    private static final int LINES_PER_SECOND = 50;

    private final PrintStream out;
    private final String name;
    private long second;
    private int lines;

    public NodeLog(PrintStream out, String name) {
        this.out = out;
        this.name = name;
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
