package terndyke.node;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A small logger that writes one line per event, with the time and the node's name, at a limited rate per second. Lines about
 * single messages have a rate limit of their own, so that they never displace other lines. With tracing enabled, each message,
 * attempt, probe and list update is logged too, and no trace line is dropped.
 */
public final class NodeLog {
    /** The first word of each trace line. */
    public static final String TRACE_PREFIX = "trace";
    private static final int LINES_PER_SECOND = 50;
    private static final int RECORD_LINES_PER_SECOND = 20;

    private final PrintStream out;
    private final String name;
    private final boolean tracingEnabled;
    private final LineRateLimiter lineLimiter = new LineRateLimiter(LINES_PER_SECOND, "more lines dropped this second");
    private final LineRateLimiter recordLineLimiter = new LineRateLimiter(RECORD_LINES_PER_SECOND,
            "more lines about messages dropped this second");

    public NodeLog(PrintStream out, String name) {
        this(out, name, false);
    }

    public NodeLog(PrintStream out, String name, boolean tracingEnabled) {
        this.out = out;
        this.name = name;
        this.tracingEnabled = tracingEnabled;
    }

    /** Whether trace lines are written; lets callers skip the work of preparing one. */
    public boolean isTracing() {
        return tracingEnabled;
    }

    /** Writes a trace line: the time on the node's clock in whole microseconds, the node's name, the verb, and its arguments. */
    public void trace(long now, String verb, Object... arguments) {
        if (tracingEnabled) {
            StringBuilder line = new StringBuilder(TRACE_PREFIX).append(' ').append(now).append(' ').append(name).append(' ')
                    .append(verb);
            for (Object argument : arguments) {
                line.append(' ').append(argument);
            }
            out.println(line);
        }
    }

    public void info(String text) {
        writeLine(lineLimiter, "info ", text);
    }

    /** Logs an event about a single message that was not delivered in the ordinary way: its id, what happened, and why. */
    public void infoAboutRecord(String text) {
        writeLine(recordLineLimiter, "info ", text);
    }

    public void warn(String text) {
        writeLine(lineLimiter, "warn ", text);
    }

    public void warn(String text, Throwable cause) {
        StackTraceElement[] stackTrace = cause.getStackTrace();
        warn(text + ": " + cause + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
    }

    private synchronized void writeLine(LineRateLimiter limiter, String level, String text) {
        Instant now = Instant.now();
        int earlierLines = limiter.countLine(now.getEpochSecond());
        if (earlierLines < limiter.maxPerSecond) {
            out.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + name + " "
                    + text.replace('\n', ' ').replace('\r', ' '));
        } else if (earlierLines == limiter.maxPerSecond) {
            out.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + name + " " + limiter.exceededText);
        }
    }

    /** Counts the lines of one kind in the current second. */
    private static final class LineRateLimiter {
        private final int maxPerSecond;
        private final String exceededText;
        private long currentSecond;
        private int linesThisSecond;

        LineRateLimiter(int maxPerSecond, String exceededText) {
            this.maxPerSecond = maxPerSecond;
            this.exceededText = exceededText;
        }

        /** Counts one line and returns how many were counted before it in the same second. */
        int countLine(long epochSecond) {
            linesThisSecond = epochSecond == currentSecond ? linesThisSecond + 1 : 0;
            currentSecond = epochSecond;
            return linesThisSecond;
        }
    }
}
