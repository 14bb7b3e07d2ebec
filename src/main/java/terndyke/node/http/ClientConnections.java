package terndyke.node.http;

import java.nio.channels.SelectionKey;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

import terndyke.node.Limits;

/**
 * The clients' connections: how many there may be, and how long each may stand idle, say nothing or be in the midst
 * of a request. On the I/O thread alone, but for the answers that other threads give. Guards against clients that keep
 * their connection for good, connect and say nothing, or send half a request; covers slow senders and leaked connections
 * too. It costs usual clients who pause for longer than that a new connection.
 */
final class ClientConnections {
    private final Limits limits;
    private final LongSupplier clock;
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>(); // without an open request, longest first
    private final Queue<ClientConnection> uncountedResponses = new ConcurrentLinkedQueue<>(); // by other threads, not yet counted
    private int openCount;

    ClientConnections(Limits limits, LongSupplier clock) {
        this.limits = limits;
        this.clock = clock;
    }

    /** Lets a client in, in the place of one that stands idle where all are taken; null where there is no place. */
    ClientConnection accept(IOSession session) {
        countResponsesOfOtherThreads();
        int most = limits.maxClientConnections() + limits.maxExcessClientConnections();
        if (openCount >= limits.maxClientConnections()) {
            evictIdle(limits.silentClientEvictionMicros());
        }
        if (openCount >= most) {
            evictIdle(limits.silentClientEvictionMicros() / 10); // had more time to say something than who comes now
        }
        if (openCount >= most) {
            return null;
        }
        openCount++;
        ClientConnection visit = new ClientConnection(session);
        visit.markIdle();
        return visit;
    }

    /** True while more clients are connected than are served; those in excess are refused and let go. */
    boolean isOverCapacity() {
        return openCount > limits.maxClientConnections();
    }

    private void countResponsesOfOtherThreads() {
        for (ClientConnection visit = uncountedResponses.poll(); visit != null; visit = uncountedResponses.poll()) {
            visit.countResponse();
        }
    }

    private void evictIdle(long silentAtLeast) {
        long now = clock.getAsLong();
        ClientConnection first = null;
        for (ClientConnection visit : idleConnections) {
            long rested = now - visit.phaseStartedAt;
            if (rested >= limits.idleClientEvictionMicros() || !visit.requestReceived && rested >= silentAtLeast) {
                first = visit;
                break;
            }
        }
        if (first != null) {
            first.close();
        }
    }

    /** One client's connection. */
    final class ClientConnection {
        private final IOSession session;
        private final Thread ownerThread = Thread.currentThread();
        private final Queue<Runnable> pendingResponses = new ConcurrentLinkedQueue<>();
        private final long connectedAt = clock.getAsLong();
        private long phaseStartedAt; // resting, or reading the request that comes in
        private boolean readingRequest;
        private boolean requestReceived;
        private boolean closed;
        private int unansweredRequests;

        private ClientConnection(IOSession session) {
            this.session = session;
        }

        private void markIdle() {
            phaseStartedAt = clock.getAsLong();
            idleConnections.add(this);
            session.setSocketTimeout(Timeout.ofMicroseconds(requestReceived ? limits.idleClientTimeoutMicros() : limits.silentClientTimeoutMicros()));
        }

        /** Bytes have come in. The request that they belong to has to be whole in time, however it trickles. */
        void onInput() {
            countResponsesOfOtherThreads();
            long now = clock.getAsLong();
            idleConnections.remove(this);
            phaseStartedAt = readingRequest ? phaseStartedAt : now;
            readingRequest = true;
            long due = Math.min(phaseStartedAt + limits.requestReadTimeoutMicros(), requestReceived ? Long.MAX_VALUE : connectedAt + limits.firstRequestTimeoutMicros());
            if (due <= now) {
                close();
            } else {
                session.setSocketTimeout(Timeout.ofMicroseconds(due - now));
            }
        }

        /**
         * Writes an answer that closes its connection, on the thread that owns it. Written on another one, it is lost where the
         * owner is still busy with the request: that one sees the exchange finished and closes the connection before the bytes
         * have left. An answer that keeps the connection may come from any thread, which saves a change of threads.
         */
        void respondAndClose(Runnable write) {
            if (Thread.currentThread() == ownerThread) {
                write.run();
            } else {
                pendingResponses.add(write);
                session.setEvent(SelectionKey.OP_WRITE);
            }
        }

        /** Answers of other threads wait to be written. */
        boolean hasPendingResponses() {
            return !pendingResponses.isEmpty();
        }

        /** Writes the answers of other threads. */
        void writePendingResponses() {
            for (Runnable write = pendingResponses.poll(); write != null; write = pendingResponses.poll()) {
                write.run();
            }
        }

        /** A request is whole. */
        void onRequestComplete() {
            readingRequest = false;
            requestReceived = true;
            unansweredRequests++;
            session.setSocketTimeout(Timeout.DISABLED); // every whole request is answered, however late the node is
        }

        /** More requests wait on this connection than a client has reason for. */
        boolean hasTooManyPendingRequests() {
            return unansweredRequests > limits.maxPipelinedRequests();
        }

        /** A request has its answer; from any thread, and counted on the one that owns the connections. */
        void onResponseComplete() {
            if (Thread.currentThread() == ownerThread) {
                countResponse();
            } else {
                uncountedResponses.add(this);
            }
        }

        /** Usual clients send the next request only when the last one has its answer, so nothing is half read. */
        private void countResponse() {
            unansweredRequests = Math.max(0, unansweredRequests - 1);
            if (unansweredRequests == 0 && !closed) {
                readingRequest = false;
                markIdle();
            }
        }

        /** Closes the connection: nothing more is read, and what was written still arrives. */
        void close() {
            session.close(CloseMode.GRACEFUL);
            markClosed();
        }

        /** The connection is gone. */
        void markClosed() {
            openCount -= closed ? 0 : 1;
            closed = true;
            idleConnections.remove(this);
        }
    }
}
