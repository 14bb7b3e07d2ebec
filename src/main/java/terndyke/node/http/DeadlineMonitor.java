package terndyke.node.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Ends connections at their deadlines, on the monotonic clock. The library's own time-outs follow the wall clock: after a step they end sound
 * connections at once, or keep others for as long as the step.
 */
final class DeadlineMonitor implements Runnable {
    /** The deadline of a connection that has none. */
    static final long NONE = Long.MAX_VALUE;

    private final LongSupplier clock;
    private final long checkIntervalMicros;
    private final Consumer<Exception> errorListener;
    private final Set<TimedConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closing;

    /** A connection with a deadline, in microseconds of the monitor's clock. */
    interface TimedConnection {

        /** The present deadline, or {@link #NONE}. May be called by any thread. */
        long deadline();

        /** Called by the monitor's thread at each check after the deadline. */
        void onDeadlinePassed(long now);
    }

    /** Creates a monitor; the listener is told of errors in ending a connection, which keep no other from its end. */
    DeadlineMonitor(LongSupplier clock, long checkIntervalMicros, Consumer<Exception> errorListener) {
        this.clock = clock;
        this.checkIntervalMicros = checkIntervalMicros;
        this.errorListener = errorListener;
    }

    void add(TimedConnection connection) {
        connections.add(connection);
    }

    void remove(TimedConnection connection) {
        connections.remove(connection);
    }

    void checkDeadlines() {
        long now = clock.getAsLong();
        for (TimedConnection connection : connections) {
            if (connection.deadline() <= now) {
                end(connection, now);
            }
        }
    }

    private void end(TimedConnection connection, long now) {
        try {
            connection.onDeadlinePassed(now);
        } catch (RuntimeException e) {
            errorListener.accept(e);
        }
    }

    @Override
    public void run() {
        try {
            while (!closing) {
                TimeUnit.MICROSECONDS.sleep(checkIntervalMicros);
                checkDeadlines();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void close() {
        closing = true;
    }
}
