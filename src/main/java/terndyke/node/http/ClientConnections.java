package terndyke.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;

/**
 * The clients' connections. Limits how many are open, for how long each may be idle, be silent after connecting, or be in the
 * middle of a request, and how much memory the requests on all of them take together. Used by the I/O thread alone, except for responses from other threads. Protects the node from
 * clients that never close their connections, connect without sending anything, or send half a request, and thereby also
 * from slow senders and leaked connections. The price: a well-behaved client that pauses for longer has to reconnect.
 */
final class ClientConnections {
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    private static final long FORCED_CLOSE_MICROS = 1_000_000; // after the deadline, where the owner thread could not close

    private final Limits limits;
    private final LongSupplier clock;
    private final Counters counters;
    private final DeadlineMonitor deadlineMonitor;
    private final MemoryBudget requestMemory;
    private final ByteBuffer discardBuffer;
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>(); // no request in progress; longest idle first
    private final Queue<ClientConnection> uncountedResponses = new ConcurrentLinkedQueue<>(); // by other threads
    private final Set<ClientConnection> readingConnections = new LinkedHashSet<>(); // in a request; longest first
    private int openCount;
    private volatile boolean full; // no other client is accepted until a connection ends

    /** Creates the connections' table; the monitor's clock is the given one. */
    ClientConnections(Limits limits, LongSupplier clock, DeadlineMonitor deadlineMonitor, Counters counters) {
        this.limits = limits;
        this.clock = clock;
        this.deadlineMonitor = deadlineMonitor;
        this.counters = counters;
        requestMemory = new MemoryBudget(limits.maxRequestMemoryBytes(), clock, counters, Counter.REQUEST_MEMORY_BYTES,
                Counter.REQUESTS_EVICTED);
        discardBuffer = ByteBuffer.allocate(limits.ioBufferBytes());
    }

    /** A request whose body is being read. */
    interface IncompleteRequest {

        /** The memory that the body takes. */
        int bufferedBytes();

        /** Refuses the request and drops what has been read of it; what follows is read and dropped as well. */
        void refuse();
    }

    /**
     * Accepts a client. At the limit an idle connection is closed for it, or, if there is none, all whose requests come slowly; returns null
     * if there are none of these either.
     */
    ClientConnection accept(IOSession session) {
        countResponsesOfOtherThreads();
        if (openCount >= limits.maxClientConnections() && !evictIdle(limits.silentClientEvictionMicros())) {
            evictSlowRequests();
        }
        if (openCount >= limits.maxOpenClientConnections()) {
            evictIdle(limits.silentClientEvictionMicros() / 10); // had more time to send something than the new client
        }
        if (openCount >= limits.maxOpenClientConnections()) {
            return null;
        }
        changeOpenCount(1);
        ClientConnection connection = new ClientConnection(session);
        connection.markIdle();
        deadlineMonitor.add(connection);
        return connection;
    }

    /** True while the spare places are in use: then connections are closed after their next response. */
    boolean isOverCapacity() {
        return openCount > limits.maxClientConnections();
    }

    private void countResponsesOfOtherThreads() {
        for (ClientConnection connection = uncountedResponses.poll(); connection != null;
                connection = uncountedResponses.poll()) {
            connection.countResponse();
        }
    }

    private void changeOpenCount(int change) {
        openCount += change;
        full = openCount >= limits.maxOpenClientConnections();
    }

    /** Closes connections for other clients that have been in the middle of a request for longest, down to the limit. */
    private void evictSlowRequests() {
        long now = clock.getAsLong();
        for (ClientConnection connection : List.copyOf(readingConnections)) {
            if (openCount < limits.maxClientConnections() || now - connection.phaseStartedAt < limits.slowRequestEvictionMicros()) {
                return;
            }
            connection.evict();
        }
    }

    private boolean evictIdle(long minSilentMicros) {
        long now = clock.getAsLong();
        ClientConnection evicted = null;
        for (ClientConnection connection : idleConnections) {
            long idleMicros = now - connection.phaseStartedAt;
            if (idleMicros >= limits.idleClientEvictionMicros() || !connection.requestReceived && idleMicros >= minSilentMicros) {
                evicted = connection;
                break;
            }
        }
        if (evicted != null) {
            evicted.evict();
        }
        return evicted != null;
    }

    /** The connection of one client. */
    final class ClientConnection implements DeadlineMonitor.TimedConnection {
        private final IOSession session;
        private final Thread ownerThread = Thread.currentThread();
        private final Queue<Runnable> pendingResponses = new ConcurrentLinkedQueue<>();
        private final long connectedAt = clock.getAsLong();
        private volatile long deadline = DeadlineMonitor.NONE; // by when it is closed, if no input or response comes before
        private volatile long evictableAt = DeadlineMonitor.NONE; // from when it may be closed for another client
        private long phaseStartedAt; // start of the idle time, or of the request being read
        private boolean readingRequest;
        private boolean requestReceived;
        private boolean closed;
        private int unansweredRequests;
        private final MemoryBudget.Account memoryAccount = requestMemory.openAccount(this::refuseIncompleteRequest);
        private final HeaderSize trailerSize = new HeaderSize(limits.maxHeadBytes());
        private RequestHeadParser requestParser;
        private IncompleteRequest incompleteRequest; // whose body is being read; null in a head and between requests
        private volatile boolean readingSuspended; // a request waits unread until a response has been written
        private volatile boolean responseSubmitted; // by another thread while reading was suspended
        private long unreadSince; // reading was suspended then, and not all that waited has been read since; or 0
        private boolean discarding; // all further input is read and dropped
        private long discardedBytes;

        private ClientConnection(IOSession session) {
            this.session = session;
        }

        /** Creates the parser for the heads of the requests on this connection. */
        RequestHeadParser createRequestParser(Http1Config httpConfig) {
            requestParser = new RequestHeadParser(httpConfig, limits.maxHeadBytes(), this::mayBeginRequest);
            return requestParser;
        }

        /** The size of the trailers of the request that is being read. */
        HeaderSize trailerSize() {
            return trailerSize;
        }

        /** Called when the head of a request with a body has been read. */
        void onBodyBegins(IncompleteRequest request) {
            incompleteRequest = request;
        }

        /** The number of bytes that have been received on this connection and not parsed. */
        int unparsedBytes() {
            return requestParser.unparsedBytes();
        }

        /** Called when the input that had arrived has been processed: charges what is kept of a request that is not complete. */
        void onInputProcessed() {
            if (!closed && !discarding) {
                int bodyBytes = incompleteRequest == null ? 0 : incompleteRequest.bufferedBytes() + trailerSize.memoryBytes();
                memoryAccount.resize(requestParser.headBytes() + bodyBytes);
            }
            if (!closed && !suspendReading()) {
                unreadSince = 0;
            }
        }

        /** Reserves memory for a complete request until the node has handled it; returns null if there is not enough. */
        MemoryBudget.Reservation reserveMemory(long bytes) {
            return requestMemory.reserve(bytes);
        }

        /**
         * Gives up the request that is being read, since all requests together take too much memory. Its client gets a refusal
         * even if it has written the request to its end by now.
         */
        private void refuseIncompleteRequest() {
            if (incompleteRequest != null) {
                incompleteRequest.refuse();
            } else {
                requestParser.abandon();
                discarding = true;
                writeRefusal();
            }
        }

        /** Refuses a request whose head is incomplete. No response is being written, as no head is read behind an open request. */
        private void writeRefusal() {
            try {
                session.write(ByteBuffer.wrap(REFUSAL.getBytes(StandardCharsets.US_ASCII)));
            } catch (IOException e) {
                close();
            }
        }

        /** True if the connection's further input is to be passed to {@link #discardInput}. */
        boolean isDiscarding() {
            return discarding;
        }

        /**
         * Reads and drops input, and closes the connection at the end of the input or once there is too much. A close while
         * input arrives would reset the connection, and the reset could destroy the refusal before the client has read it.
         */
        void discardInput() throws IOException {
            discardBuffer.clear();
            int read = session.read(discardBuffer);
            discardedBytes += Math.max(0, read);
            if (read < 0 || discardedBytes > limits.maxDiscardedBodyBytes()) {
                close();
            }
        }

        private void markIdle() {
            phaseStartedAt = clock.getAsLong();
            idleConnections.add(this);
            deadline = phaseStartedAt + (requestReceived ? limits.idleClientTimeoutMicros() : limits.silentClientTimeoutMicros());
            evictableAt = phaseStartedAt + (requestReceived ? limits.idleClientEvictionMicros()
                    : limits.silentClientEvictionMicros());
        }

        /** Marks that a request is being read. Only one that is not read behind an open request may be given up for another client. */
        private void markReading(long now) {
            phaseStartedAt = readingRequest ? phaseStartedAt : now;
            readingRequest = true;
            if (unansweredRequests == 0) {
                readingConnections.add(this);
                evictableAt = phaseStartedAt + limits.slowRequestEvictionMicros();
            }
        }

        private void markNotReading() {
            readingRequest = false;
            readingConnections.remove(this);
            evictableAt = DeadlineMonitor.NONE;
        }

        /** Called when input arrives. One deadline applies to the whole request it belongs to, however slowly it arrives. */
        void onInput() {
            countResponsesOfOtherThreads();
            long now = clock.getAsLong();
            idleConnections.remove(this);
            markReading(now);
            deadline = Math.min(phaseStartedAt + limits.requestReadTimeoutMicros(),
                    requestReceived ? Long.MAX_VALUE : connectedAt + limits.firstRequestTimeoutMicros());
            closeIfOverdue();
        }

        /** While no other client is accepted, it may be closed for one as soon as that does no harm. */
        @Override
        public long deadline() {
            return full ? Math.min(deadline, evictableAt) : deadline;
        }

        /**
         * Wakes up the thread that owns the connection, which closes it unless input has come by then. It cannot where the client
         * does not read what is sent to it.
         */
        @Override
        public void onDeadlinePassed(long now) {
            if (now - deadline >= FORCED_CLOSE_MICROS) {
                session.close(CloseMode.IMMEDIATE);
            } else {
                requestOutputEvent();
            }
        }

        /** Closes the connection if its deadline has passed; returns whether it has. */
        boolean closeIfOverdue() {
            long now = clock.getAsLong();
            boolean overdue = deadline <= now;
            boolean evicted = !overdue && deadline() <= now;
            if (overdue) {
                close();
            } else if (evicted) {
                evict();
            }
            return overdue || evicted;
        }

        /** Lets the library call the owner thread as soon as output can be written. */
        private void requestOutputEvent() {
            try {
                session.setEvent(SelectionKey.OP_WRITE);
            } catch (CancelledKeyException e) {
                // it is being closed
            }
        }

        /**
         * Writes a response that closes its connection, on the thread that owns the connection. Written by another thread, the
         * response is lost if the owner is still processing the request: the owner finds the exchange complete and closes the
         * connection before the bytes are sent. A response that keeps the connection open may be written by any thread, which
         * saves a thread switch.
         */
        void respondAndClose(Runnable write) {
            if (Thread.currentThread() == ownerThread) {
                write.run();
            } else {
                pendingResponses.add(write);
                requestOutputEvent();
            }
        }

        /** True while responses from other threads wait to be written. */
        boolean hasPendingResponses() {
            return !pendingResponses.isEmpty();
        }

        /** Writes the responses from other threads. */
        void writePendingResponses() {
            for (Runnable write = pendingResponses.poll(); write != null; write = pendingResponses.poll()) {
                write.run();
            }
        }

        /** Called when a request has been read completely. */
        void onRequestComplete() {
            incompleteRequest = null;
            trailerSize.reset();
            memoryAccount.resize(0);
            markNotReading();
            requestReceived = true;
            unansweredRequests++;
            deadline = DeadlineMonitor.NONE; // every complete request is answered, however late
        }

        /**
         * False while a request awaits its response: a request sent behind it stays unread until then. Each request that is read
         * takes memory until its response and all those before it have been written, and a client may send any number at once.
         */
        private boolean mayBeginRequest() {
            return unansweredRequests == 0;
        }

        /**
         * Suspends reading if a request waits unread, until {@link #resumeReading}. Without one, reading goes on, so that the node
         * notices if the client leaves before its response. Returns true if nothing is to be read now.
         */
        boolean suspendReading() {
            if (!readingSuspended && !discarding && isRequestWaitingUnread()) {
                unreadSince = unreadSince != 0 ? unreadSince : clock.getAsLong();
                markNotReading();
                readingSuspended = true;
                deadline = DeadlineMonitor.NONE;
                session.setEvent(SelectionKey.OP_WRITE); // for a response whose thread has not seen that reading is suspended
                counters.add(Counter.READS_SUSPENDED);
            }
            if (readingSuspended) {
                session.clearEvent(SelectionKey.OP_READ);
            }
            return readingSuspended;
        }

        private boolean isRequestWaitingUnread() {
            boolean insideRequest = requestParser.isInsideHead() || incompleteRequest != null;
            return !insideRequest && !mayBeginRequest() && requestParser.unparsedBytes() > 0;
        }

        /**
         * Called when responses have been written. Returns true if the input that waits unread is to be processed now; the
         * system reports only input that arrives later.
         */
        boolean resumeReading() {
            countResponsesOfOtherThreads();
            if (!readingSuspended || closed || !mayBeginRequest()) {
                return false;
            }
            readingSuspended = false;
            session.setEvent(SelectionKey.OP_READ);
            return true;
        }

        /** For how long the request that has just been read may have waited unread, in microseconds. */
        long unreadMicros() {
            return unreadSince == 0 ? 0 : clock.getAsLong() - unreadSince;
        }

        /**
         * Called by the thread that has submitted a response, afterwards. The library may clear the session's interest in writing
         * while another thread submits a response, without having seen its end. While reading is suspended no other event
         * would follow, so the owner thread is told to look again.
         */
        void onResponseSubmitted() {
            if (readingSuspended && Thread.currentThread() != ownerThread) {
                responseSubmitted = true;
                requestOutputEvent();
            }
        }

        /** Returns true once after a response that the library may have overlooked. */
        boolean pollResponseSubmitted() {
            boolean submitted = responseSubmitted;
            responseSubmitted = false;
            return submitted;
        }

        /** Called by any thread when a response is complete; it is counted by the thread that owns the connections. */
        void onResponseComplete() {
            if (Thread.currentThread() == ownerThread) {
                countResponse();
            } else {
                uncountedResponses.add(this);
                if (readingSuspended) {
                    requestOutputEvent(); // wakes up the owner thread, which resumes reading
                }
            }
        }

        /** Well-behaved clients send a request only after the last response, so that no request is partly read by now. */
        private void countResponse() {
            unansweredRequests = Math.max(0, unansweredRequests - 1);
            if (unansweredRequests == 0 && !closed) {
                markNotReading();
                markIdle();
            }
        }

        /** Closes the connection for another client. */
        private void evict() {
            counters.add(Counter.CLIENTS_EVICTED);
            close();
        }

        /** Closes the connection gracefully: nothing more is read, but what has been written is still sent. */
        void close() {
            session.close(CloseMode.GRACEFUL);
            markClosed();
        }

        /** Called when the connection is closed; may be called more than once. */
        void markClosed() {
            changeOpenCount(closed ? 0 : -1);
            closed = true;
            deadline = DeadlineMonitor.NONE;
            deadlineMonitor.remove(this);
            incompleteRequest = null;
            memoryAccount.resize(0);
            idleConnections.remove(this);
            markNotReading();
        }
    }
}
