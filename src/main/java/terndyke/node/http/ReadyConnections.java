package terndyke.node.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import terndyke.node.http.ConnectionPool.PooledConnection;

/**
 * The connections to a platform address that are held open before they are needed, as the system may have no socket at the moment at which a
 * call is due. A call gets one that has not carried a call, on which no late copy of an earlier response can come. Those that have carried
 * one are kept for the time in which no connection can be opened. Used by the pool's owner thread.
 */
final class ReadyConnections {
    private static final long OPEN_RETRY_MICROS = 25_000;
    private static final long MAX_AGE_MICROS = 10_000_000; // idle for longer, some networks and servers forget a connection

    private final int target;
    private final Deque<PooledConnection> unused = new ArrayDeque<>(); // the one opened first comes first; some are not established yet
    private final Deque<PooledConnection> used = new ArrayDeque<>(); // the one that has rested longest comes first
    private long nextOpenAt;

    /** Holds so many unused connections ready, and as many used ones. */
    ReadyConnections(int target) {
        this.target = target;
    }

    /** Takes the most recently opened unused connection; null if none is established. */
    PooledConnection takeUnused() {
        PooledConnection newest = null;
        for (PooledConnection connection : unused) {
            newest = connection.isUsable() ? connection : newest;
        }
        unused.remove(newest);
        return newest;
    }

    /** Takes the used connection that has rested longest; null if none has rested for the given time. */
    PooledConnection takeRested(long now, long minRestMicros) {
        used.removeIf(connection -> !connection.isUsable());
        return !used.isEmpty() && now - used.peekFirst().idleSince() >= minRestMicros ? used.pollFirst() : null;
    }

    /** Keeps a connection that has carried a call; returns false if there are enough. */
    boolean keepUsed(PooledConnection connection) {
        return used.size() < target && used.add(connection);
    }

    /**
     * Replaces the connections that are closed or old, one at a time, so that a failure to open another leaves the old ones. After a
     * connection could not be opened, the next one is tried after a while.
     */
    void maintain(long now, boolean lastOpenFailed, Supplier<PooledConnection> open, Consumer<PooledConnection> discard) {
        unused.removeIf(PooledConnection::isClosed);
        used.removeIf(PooledConnection::isClosed);
        while (!used.isEmpty() && isOld(used.peekFirst(), now)) {
            discard.accept(used.pollFirst());
        }
        if (unused.size() > target && unused.stream().filter(PooledConnection::isUsable).count() > target) {
            discard.accept(unused.pollFirst());
        }
        boolean replacementNeeded = unused.size() == target && isOld(unused.peekFirst(), now);
        if ((unused.size() < target || replacementNeeded) && now >= nextOpenAt) {
            nextOpenAt = replacementNeeded || lastOpenFailed ? now + OPEN_RETRY_MICROS : now;
            unused.addLast(open.get());
        }
    }

    private static boolean isOld(PooledConnection connection, long now) {
        return now - connection.idleSince() >= MAX_AGE_MICROS;
    }

    /** Removes and returns all connections. */
    List<PooledConnection> drain() {
        List<PooledConnection> all = new ArrayList<>(unused);
        all.addAll(used);
        unused.clear();
        used.clear();
        return all;
    }
}
