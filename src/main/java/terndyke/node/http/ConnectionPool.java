package terndyke.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.HoldUpDetector;
import terndyke.node.Limits;
import terndyke.node.NodeLog;

/**
 * Pool of the node's outbound HTTP/1.1 connections, with at most one call at a time on each. All methods are called by
 * one owner thread. Results are delivered to the {@link Call.ResultListener}s on the I/O thread; there, too, the release
 * listener gets each connection whose call has ended, for the owner to pass to {@link #release}.
 */
public final class ConnectionPool {
    private static final int MAX_WRITE_BYTES = 64 << 10; // of a request's body, between two checks of its start deadline
    private static final int STRAY_INPUT_LOG_BYTES = 64;
    private static final int EARLY_DELIVERY_DIVISOR = 2; // a delivery in less than this part of the shortest time is early
    private static final String STATUS_LINE_PREFIX = "HTTP/1.1 ";

    private final Reactor reactor;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final LongSupplier clock;
    private final CopyWindow copyWindow;
    private final MemoryBudget responseMemory;
    private final HoldUpDetector holdUpDetector;
    private final Consumer<PooledConnection> releaseListener;
    private final Map<Peer, Deque<PooledConnection>> idleConnections = new HashMap<>();
    private final Set<PooledConnection> busyConnections = new HashSet<>(); // with a call in progress
    private int openCount;
    private long lastConnectionNumber;

    public ConnectionPool(Reactor reactor, Limits limits, Counters counters, NodeLog log, LongSupplier clock,
            HoldUpDetector holdUpDetector, Consumer<PooledConnection> releaseListener) {
        this.reactor = reactor;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
        this.clock = clock;
        copyWindow = new CopyWindow(limits, () -> System.nanoTime() / 1000);
        responseMemory = new MemoryBudget(limits.maxResponseMemoryBytes(), () -> System.nanoTime() / 1000, counters,
                Counter.RESPONSE_MEMORY_BYTES, Counter.RESPONSES_EVICTED);
        this.holdUpDetector = holdUpDetector;
        this.releaseListener = releaseListener;
    }

    /** When a connection may serve another call. */
    private enum ConnectionReuse {
        ALWAYS,
        /** Once no copy of an earlier response is expected to come before the response to the next call. */
        WITHOUT_EXPECTED_COPIES,
        /** The same, and only while no other connection can be opened. */
        WITHOUT_NEW_CONNECTIONS
    }

    /**
     * The server at an address, for as long as it is the same one. A later server at that address is another peer and
     * never gets a connection of this one.
     */
    public static final class Peer {
        private final InetSocketAddress address;
        private final AtomicLong retryAfterReceivedAt; // last Retry-After of any peer of the destination
        private boolean platform; // its connections and responses are exempt from the limits on those of endpoints
        private ConnectionReuse connectionReuse = ConnectionReuse.WITHOUT_EXPECTED_COPIES;
        private volatile boolean removed;
        private volatile boolean connectFailed; // the last connection to it that was to be opened
        private ReadyConnections readyConnections; // null for peers whose connections are opened as they are needed
        private final DeliveryTimes deliveryTimes = new DeliveryTimes();

        /**
         * A peer of the platform, whose few calls are exempt from the limits on connections and on the memory of responses.
         * Otherwise endpoints that never respond, or never end their responses, could block notices and the watch. The limits
         * set sockets and memory aside for it.
         * Each call has a connection of its own, on which no late copy of an earlier response can come, for as long as connections
         * can be opened. So many are held ready for the calls to come, since a call may be due when the system has no socket.
         */
        public static Peer forPlatform(InetSocketAddress address, int readyConnections) {
            Peer peer = new Peer(address);
            peer.platform = true;
            peer.connectionReuse = ConnectionReuse.WITHOUT_NEW_CONNECTIONS;
            peer.readyConnections = new ReadyConnections(readyConnections);
            return peer;
        }

        /** The node's own listener, which never repeats a response. */
        public static Peer forOwnListener(InetSocketAddress address) {
            Peer peer = new Peer(address);
            peer.connectionReuse = ConnectionReuse.ALWAYS;
            return peer;
        }

        public Peer(InetSocketAddress address) {
            this(address, new AtomicLong());
        }

        /** One of several peers of a destination: a Retry-After from any of them applies to all. */
        public Peer(InetSocketAddress address, AtomicLong retryAfterReceivedAt) {
            this.address = address;
            this.retryAfterReceivedAt = retryAfterReceivedAt;
        }

        /** True if the last connection to it that was to be opened could not be established. */
        public boolean isConnectFailing() {
            return connectFailed;
        }

        public InetSocketAddress address() {
            return address;
        }

        /** Host and port as the Host header has them. */
        public String hostHeader() {
            return address.getHostString() + ":" + address.getPort();
        }
    }

    /**
     * One connection with its current call. Input that arrives while no call awaits a response belongs to no call: the
     * connection is closed, and the earlier response stands. Otherwise a duplicate of a response, or garbage after it,
     * would be taken for the response to the next call. The same rule handles endpoints that close the connection or
     * send garbage while it is idle.
     */
    public final class PooledConnection implements DeadlineMonitor.TimedConnection {
        private final Peer peer;
        private final long number = ++lastConnectionNumber;
        private int callCount = 1; // with the current call
        private long restMicros; // between the connection's release after the call before and the start of the current call
        private final ResponseHistory responseHistory = new ResponseHistory(copyWindow, holdUpDetector,
                limits);
        private volatile int lastStatus; // of the last response
        private volatile long lastResponseAt; // when the last response was complete, on System.nanoTime(), in microseconds
        private long previousResponseAt; // when the one before it was complete
        private Call.ResultListener lastDelivery; // of the last call, if an earlier response could be taken for its own; or null
        private volatile IOSession session;
        private volatile HttpConnection httpConnection;
        private volatile boolean discarded;
        private volatile ConnectAttempt connectAttempt; // null until it is opened
        private volatile Exchange exchange;
        private volatile boolean closeAfterCall; // the peer closes it, or closeIdle() has marked it
        private long idleSince;
        private volatile long requestEndOffset = Long.MAX_VALUE; // total bytes sent once the current request is written
        private boolean countedAsOpen; // among those to endpoints
        private ResponseHeadParser responseParser;
        private final HeaderSize trailerSize = new HeaderSize(limits.maxHeadBytes());
        private final MemoryBudget.Account memoryAccount;
        private boolean readingInput;
        private boolean firstCall = true; // the current call is the first on this connection

        private PooledConnection(Peer peer) {
            this.peer = peer;
            memoryAccount = peer.platform ? responseMemory.openProtectedAccount()
                    : responseMemory.openAccount(this::abandonResponse);
        }

        /** Gives up the response that is being read, since all responses together take too much memory. */
        private void abandonResponse() {
            Exchange currentExchange = exchange;
            if (currentExchange != null && !currentExchange.completed) {
                currentExchange.defect = ResponseDefect.UNREADABLE;
                currentExchange.failed(null);
            }
        }

        @Override
        public long deadline() {
            Exchange currentExchange = exchange;
            if (session == null) {
                return connectAttempt == null ? DeadlineMonitor.NONE : connectAttempt.nextDeadline();
            }
            return currentExchange == null || currentExchange.completed ? DeadlineMonitor.NONE : currentExchange.responseDeadline;
        }

        /** Tries again to establish the connection, gives that up, or gives up a response whose rest has not come in time. */
        @Override
        public void onDeadlinePassed(long now) {
            IOSession currentSession = session;
            if (currentSession == null) {
                connectAttempt.onDeadlinePassed(now);
            } else if (deadline() <= now) {
                currentSession.close(CloseMode.IMMEDIATE);
            }
        }

        /** True if it is not established yet because this machine lacks a socket or a local address for it. */
        public boolean lacksLocalResource() {
            return session == null && connectAttempt != null && connectAttempt.lacksLocalResource();
        }

        /** The number of bytes that have been received on this connection and not parsed. */
        int unparsedBytes() {
            return responseParser.unparsedBytes();
        }

        /** The size of the trailers of the response that is being read. */
        HeaderSize trailerSize() {
            return trailerSize;
        }

        /** Called on the I/O thread when the connection has been closed. */
        void onDisconnected() {
            memoryAccount.resize(0);
        }

        /** Creates the parser for the heads of the responses on this connection. */
        ResponseHeadParser createResponseParser(Http1Config httpConfig) {
            responseParser = new ResponseHeadParser(httpConfig, limits.maxHeadBytes(), new ResponseHeadParser.Listener() {
                @Override
                public void onStatusLine(int status) {
                    if (exchange != null) {
                        exchange.onStatusLine(status);
                    }
                }

                @Override
                public void onRetryAfter(String seconds) {
                    if (exchange != null) {
                        exchange.onRetryAfter(seconds);
                    }
                }

                @Override
                public void onTruncatedHead(ResponseDefect defect) {
                    if (exchange != null) {
                        exchange.defect = defect;
                    }
                }
            });
            return responseParser;
        }

        /**
         * Called when input, or the end of input, is ready to be read. Returns false, and closes the connection, if no call
         * awaits a response.
         */
        boolean beginInput() {
            Exchange currentExchange = exchange;
            readingInput = currentExchange != null && currentExchange.requestStarted && !currentExchange.completed;
            if (!readingInput) {
                boolean strayBytes = inspectStrayInput();
                session.close(CloseMode.IMMEDIATE);
                if (currentExchange != null && !currentExchange.completed) {
                    currentExchange.failBeforeStart(strayBytes);
                }
            }
            return readingInput;
        }

        /**
         * Whether the request may be started or continued. The first opportunity to write is skipped, so that input that
         * has already arrived is read first: a Retry-After on any connection, or garbage on this one. A request that is
         * only partly written at its start deadline is abandoned: a repeated shot that becomes complete after its
         * deduplication window would take effect a second time, whereas an incomplete request is never executed.
         */
        boolean canWriteRequest() {
            Exchange currentExchange = exchange;
            if (currentExchange != null && currentExchange.requestStarted && !isRequestWritten()
                    && currentExchange.abandonIfTooLate()) {
                return false;
            }
            boolean allowed = currentExchange == null || currentExchange.requestStarted || currentExchange.deferredOnce;
            if (currentExchange != null) {
                currentExchange.deferredOnce = true;
            }
            return allowed;
        }

        /** Counts and logs bytes that belong to no call, and returns true if there are any: the end of the input alone is none. */
        private boolean inspectStrayInput() {
            ByteBuffer firstBytes = ByteBuffer.allocate(STRAY_INPUT_LOG_BYTES);
            try {
                if (session.read(firstBytes) > 0) {
                    String text = new String(firstBytes.array(), 0, firstBytes.position(), StandardCharsets.ISO_8859_1);
                    reportStrayInput(text);
                    interpretStrayInput(text);
                    return true;
                }
            } catch (IOException e) {
                // a reset: nothing has arrived
            }
            return false;
        }

        /**
         * A response with the status of the last one is its copy. Another one shows that the last one may have been a copy; only a
         * 408 is sent by servers on their own, before they close an idle connection.
         */
        private void interpretStrayInput(String text) {
            if (text.startsWith(STATUS_LINE_PREFIX + lastStatus)) {
                copyWindow.addObservedLag(System.nanoTime() / 1000 - lastResponseAt);
            } else if (text.startsWith(STATUS_LINE_PREFIX) && !text.startsWith(STATUS_LINE_PREFIX + HttpStatus.SC_REQUEST_TIMEOUT)
                    && lastDelivery != null) {
                copyWindow.addObservedLag(lastResponseAt - previousResponseAt);
                lastDelivery.onDeliveryContradicted();
                lastDelivery = null;
            }
        }

        private void reportStrayInput(String firstBytes) {
            counters.add(Counter.STRAY_ANSWERS);
            log.infoAboutRecord(describe() + " closed: bytes that belong to no call, "
                    + (System.nanoTime() / 1000 - lastResponseAt) / 1000 + " ms after its last response: "
                    + firstBytes.lines().findFirst().orElse(""));
        }

        /** The connection with its current call and the rest before that, for the log. */
        public String describe() {
            return "connection " + number + " to " + peer.hostHeader() + ", call " + callCount
                    + (callCount > 1 ? " after " + restMicros / 1000 + " ms of rest" : "");
        }

        /** Called when the available input has been read. */
        void endInput() {
            readingInput = false;
            Exchange currentExchange = exchange;
            if (currentExchange != null && currentExchange.completed) {
                if (responseParser.hasLeftoverBytes()) {
                    reportStrayInput("in the same read as its last response");
                    session.close(CloseMode.IMMEDIATE);
                }
                currentExchange.releaseConnection();
                trailerSize.reset();
                memoryAccount.resize(0);
            } else if (currentExchange != null) {
                currentExchange.onPartialResponse();
                chargePartialResponse(currentExchange);
            }
        }

        private void chargePartialResponse(Exchange currentExchange) {
            if (!currentExchange.completed) {
                memoryAccount.resize(responseParser.headBytes() + trailerSize.memoryBytes() + currentExchange.bufferedBytes());
            }
        }

        void onConnected(IOSession newSession, HttpConnection newHttpConnection) {
            httpConnection = newHttpConnection;
            session = newSession;
            if (discarded) {
                newSession.close(CloseMode.IMMEDIATE);
            }
        }

        boolean isUsable() {
            return session != null && session.isOpen();
        }

        /** True if it was established and is not any more, or if it is not to be used again. */
        boolean isClosed() {
            return discarded || session != null && !session.isOpen();
        }

        /** Since when it has carried no call. */
        long idleSince() {
            return idleSince;
        }

        /** True once all bytes of the current request have been written to the socket. */
        private boolean isRequestWritten() {
            Exchange currentExchange = exchange;
            return currentExchange != null && currentExchange.requestStarted
                    && httpConnection.getEndpointDetails().getSentBytesCount() >= requestEndOffset;
        }
    }

    /** Starts a call that was decided on with knowledge of everything received by now. */
    public PooledConnection startCall(Peer peer, Call call, long now, Call.ResultListener resultListener) {
        return startCall(peer, call, now, now, resultListener);
    }

    /**
     * Starts a call, whose listener is called once with its result. Returns the connection, for {@link #cancelCall}, or null
     * if the maximum of connections is open and there is no idle one to close for it. The call is not sent if its
     * destination has sent a Retry-After later than the time up to which received input was known to its caller.
     */
    public PooledConnection startCall(Peer peer, Call call, long now, long inputKnownUntil,
            Call.ResultListener resultListener) {
        PooledConnection kept = peer.readyConnections == null ? takeIdleConnection(peer, call, now)
                : takeReadyConnection(peer, now);
        if (kept != null) {
            kept.exchange = new Exchange(kept, call, inputKnownUntil, resultListener);
            busyConnections.add(kept);
            enqueueCall(kept.session, kept.exchange);
            return kept;
        }
        if (openCount >= limits.maxEndpointConnections() && !peer.platform && !closeOldestIdle()) {
            return null;
        }
        PooledConnection connection = new PooledConnection(peer);
        Exchange exchange = new Exchange(connection, call, inputKnownUntil, resultListener);
        connection.exchange = exchange;
        busyConnections.add(connection);
        open(connection, session -> enqueueCall(session, exchange),
                failure -> exchange.deliverResult(Call.Result.withoutResponse(
                        failure == ConnectAttempt.Failure.LOCAL && !peer.platform ? Ending.NOT_SENT : Ending.NOT_CONNECTED)));
        return connection;
    }

    /** Queues a call on an established connection. If that is being closed at this moment, the call has not been sent. */
    private static void enqueueCall(IOSession session, Exchange exchange) {
        try {
            session.enqueue(exchange.createCommand(), Command.Priority.NORMAL);
        } catch (CancelledKeyException e) {
            exchange.failed(e);
        }
    }

    /**
     * Opens a connection; one of the listeners is called, on another thread. Calls to endpoints wait for a local resource that is missing;
     * those to the platform have other connections to turn to.
     */
    private void open(PooledConnection connection, Consumer<IOSession> onConnected, Consumer<ConnectAttempt.Failure> onFailure) {
        connection.countedAsOpen = !connection.peer.platform;
        openCount += connection.countedAsOpen ? 1 : 0;
        counters.add(Counter.CONNECTIONS_OPENED);
        LongSupplier monotonicClock = () -> System.nanoTime() / 1000;
        connection.connectAttempt = new ConnectAttempt(callback -> reactor.connect(connection.peer.address, connection, callback),
                createConnectListener(connection, onConnected, onFailure), monotonicClock,
                monotonicClock.getAsLong() + limits.connectTimeoutMicros(), !connection.peer.platform);
        reactor.deadlines().add(connection);
        connection.connectAttempt.start();
    }

    private ConnectAttempt.Listener createConnectListener(PooledConnection connection, Consumer<IOSession> onConnected,
            Consumer<ConnectAttempt.Failure> onFailure) {
        return new ConnectAttempt.Listener() {
            @Override
            public void onLocalFailure(Exception cause) {
                connection.peer.connectFailed = true;
                counters.add(Counter.CONNECTS_FAILED_LOCALLY);
            }

            @Override
            public void onConnected(IOSession session) {
                connection.peer.connectFailed = false;
                onConnected.accept(session);
            }

            @Override
            public void onFailed(ConnectAttempt.Failure failure, String reason) {
                reactor.deadlines().remove(connection);
                if (failure != ConnectAttempt.Failure.CANCELLED) {
                    connection.peer.connectFailed = true;
                    counters.add(Counter.CONNECTS_FAILED, failure == ConnectAttempt.Failure.REMOTE ? 1 : 0);
                    log.infoAboutRecord(connection.describe() + " not established: " + reason);
                }
                onFailure.accept(failure);
                releaseListener.accept(connection);
            }
        };
    }

    /**
     * Replaces the connections that are held ready for a peer, where they are missing, closed or old. To be called in each turn of the owner
     * thread.
     */
    public void maintainReadyConnections(Peer peer, long now) {
        peer.readyConnections.maintain(now, peer.connectFailed, () -> openReadyConnection(peer, now), this::discard);
    }

    private PooledConnection openReadyConnection(Peer peer, long now) {
        PooledConnection connection = new PooledConnection(peer);
        connection.idleSince = now;
        open(connection, session -> { }, failure -> { });
        return connection;
    }

    /** Takes an unused connection; if another one cannot be opened, one that has rested for as long as copies are expected. */
    private PooledConnection takeReadyConnection(Peer peer, long now) {
        PooledConnection unused = peer.readyConnections.takeUnused();
        PooledConnection rested = unused == null && peer.connectFailed
                ? peer.readyConnections.takeRested(now, copyWindow.micros()) : null;
        if (rested != null) {
            noteReuse(rested, now);
            counters.add(Counter.PLATFORM_CONNECTIONS_REUSED);
        }
        return unused != null ? unused : rested;
    }

    private static void noteReuse(PooledConnection connection, long now) {
        connection.firstCall = false; // ordered before the write of the volatile exchange
        connection.callCount++;
        connection.restMicros = now - connection.idleSince;
    }

    /** Takes an idle connection that may serve the call; null if there is none. */
    private PooledConnection takeIdleConnection(Peer peer, Call call, long now) {
        Deque<PooledConnection> idle = idleConnections.getOrDefault(peer, new ArrayDeque<>(0));
        for (PooledConnection connection = takeIdleConnection(idle, call, now); connection != null;
                connection = takeIdleConnection(idle, call, now)) {
            if (connection.isUsable() && now - connection.idleSince < limits.idleConnectionTimeoutMicros()) {
                noteReuse(connection, now);
                return connection;
            }
            discard(connection);
        }
        return null;
    }

    /** Takes the most recently used idle connection on which no copy of an earlier response is expected any more; null if none. */
    private PooledConnection takeIdleConnection(Deque<PooledConnection> idle, Call call, long now) {
        for (Iterator<PooledConnection> newestFirst = idle.descendingIterator(); newestFirst.hasNext();) {
            PooledConnection connection = newestFirst.next();
            if (isResponseUnmistakable(connection, call, now)) {
                newestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /**
     * True once the connection has rested for as long as copies of an earlier response are expected: those that have arrived by
     * then are read before the next request is written, however late the node reads them. After a delivery also true if a copy would
     * be read before the endpoint is likely to deliver again; what the node reads after a hold-up is then doubted.
     */
    private boolean isResponseUnmistakable(PooledConnection connection, Call call, long now) {
        long restMicros = now - connection.idleSince;
        boolean deliveriesOnly = connection.lastStatus == HttpStatus.SC_OK && !call.method().equals("GET");
        return connection.peer.connectionReuse == ConnectionReuse.ALWAYS || restMicros >= copyWindow.micros()
                || deliveriesOnly && restMicros + connection.peer.deliveryTimes.shortestMicros()
                        >= copyWindow.micros() + limits.undetectedHoldUpMicros();
    }

    /**
     * Cancels the call on a connection by closing the connection; any later result of the call is to be ignored. Returns
     * true if the connection was never established, so that the call cannot have been executed. Once it is established,
     * this thread cannot know: the last byte may be being written at this very moment.
     */
    public boolean cancelCall(PooledConnection connection) {
        if (connection.session != null) {
            endOutput(connection.session);
        }
        discard(connection);
        return connection.session == null;
    }

    /**
     * Ends the sending on a connection, which cancels its call for the endpoint at once. A close alone takes effect only when
     * the I/O thread, which may be busy, selects again.
     */
    private static void endOutput(IOSession session) {
        try {
            if (session.channel() instanceof SocketChannel channel) {
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            // closed already
        }
    }

    /** Takes back a connection whose call has ended: keeps it for the next call if it is reusable, else closes it. */
    public void release(PooledConnection connection, long now) {
        busyConnections.remove(connection);
        boolean reusable = connection.isUsable() && !connection.discarded && !connection.closeAfterCall
                && !connection.peer.removed;
        connection.idleSince = now;
        if (!reusable || !keepIdle(connection)) {
            discard(connection);
        }
    }

    private boolean keepIdle(PooledConnection connection) {
        connection.exchange = null;
        if (connection.peer.readyConnections != null) {
            return connection.peer.readyConnections.keepUsed(connection);
        }
        return limits.idleConnectionTimeoutMicros() > 0
                && idleConnections.computeIfAbsent(connection.peer, p -> new ArrayDeque<>(4)).add(connection);
    }

    /**
     * Prevents all calls to a peer that have not started to send. Meant for calls that were decided on before a Retry-After
     * was received but whose connection is established only after it. A call that starts at this very moment is still sent.
     */
    public void withhold(Peer peer) {
        busyConnections.stream().filter(connection -> connection.peer == peer && connection.exchange != null)
                .forEach(connection -> connection.exchange.withheld = true);
    }

    /**
     * Called when a peer is gone from its address, or another one may be there: none of its connections is used again, and no
     * call to it starts any more.
     */
    public void removePeer(Peer peer) {
        peer.removed = true;
        cancelUnstartedCalls(peer);
        closeIdle(peer);
    }

    /**
     * Cancels the calls to a peer of which nothing has been sent, most of them on connections that are still coming up. Each is
     * reported as not sent at once, and its connection is closed.
     */
    public void cancelUnstartedCalls(Peer peer) {
        List<PooledConnection> cancelled = busyConnections.stream().filter(connection -> connection.peer == peer
                && connection.exchange != null && connection.exchange.cancelBeforeStart()).toList();
        counters.add(Counter.CALLS_CANCELLED_BY_LIST, cancelled.size());
        cancelled.forEach(this::discard);
    }

    /**
     * Closes the idle connections to a peer, and marks those whose result has been delivered to be closed on release. The
     * owner thread may process a result before the I/O thread releases its connection, which would otherwise stay open
     * and idle for seconds.
     */
    public void closeIdle(Peer peer) {
        busyConnections.stream().filter(connection -> connection.peer == peer && connection.exchange != null
                        && connection.exchange.resultDelivered.get())
                .forEach(connection -> connection.closeAfterCall = true);
        Deque<PooledConnection> idle = idleConnections.remove(peer);
        if (idle != null) {
            idle.forEach(this::discard);
        }
        if (peer.readyConnections != null) {
            peer.readyConnections.drain().forEach(this::discard);
        }
    }

    /** Closes connections that have been idle for so long that the peer is about to close them, or that are closed already. */
    public void closeExpired(long now) {
        for (Iterator<Deque<PooledConnection>> queueIterator = idleConnections.values().iterator(); queueIterator.hasNext();) {
            Deque<PooledConnection> idle = queueIterator.next();
            while (!idle.isEmpty() && (now - idle.peekFirst().idleSince >= limits.idleConnectionTimeoutMicros()
                    || !idle.peekFirst().isUsable())) {
                discard(idle.pollFirst());
            }
            if (idle.isEmpty()) {
                queueIterator.remove();
            }
        }
    }

    /** Closes all connections, including those with a call in progress. */
    public void close() {
        List.copyOf(busyConnections).forEach(this::discard);
        idleConnections.values().forEach(idle -> idle.forEach(this::discard));
        idleConnections.clear();
    }

    private boolean closeOldestIdle() {
        PooledConnection oldest = null;
        for (Deque<PooledConnection> idle : idleConnections.values()) {
            PooledConnection first = idle.peekFirst();
            oldest = first != null && (oldest == null || first.idleSince < oldest.idleSince) ? first : oldest;
        }
        if (oldest != null) {
            idleConnections.get(oldest.peer).remove(oldest);
            discard(oldest);
        }
        return oldest != null;
    }

    private void discard(PooledConnection connection) {
        busyConnections.remove(connection);
        connection.discarded = true;
        openCount -= connection.countedAsOpen ? 1 : 0;
        connection.countedAsOpen = false;
        if (connection.connectAttempt != null && connection.session == null) {
            connection.connectAttempt.cancel();
        }
        IOSession session = connection.session;
        if (session != null) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /** The exchange of one call, run on the I/O thread. */
    private final class Exchange implements AsyncClientExchangeHandler {
        private final PooledConnection pooledConnection;
        private final Call call;
        private final Call.ResultListener resultListener;
        private final ByteBuffer requestBody;
        private HttpResponse responseHead;
        private int status; // from the status line, known before the head is complete; 0 before that
        private long retryAfterMicros; // from its header line, known before the head is complete
        private ByteBuffer responseBody;
        private final AtomicBoolean startOrCancelClaimed = new AtomicBoolean(); // by whichever comes first
        private volatile boolean requestStarted;
        private long requestStartedAt; // on System.nanoTime(), in microseconds
        private volatile boolean withheld;
        private final long inputKnownUntil;
        private boolean deferredOnce; // one pass over all connections has been made since the call was queued
        private final AtomicBoolean resultDelivered = new AtomicBoolean();
        private volatile boolean completed;
        private boolean released;
        private int discardedBytes; // bytes of the response body that were not kept
        private int informationalResponses;
        private volatile long responseDeadline = DeadlineMonitor.NONE; // by when the response has to be complete, on System.nanoTime(), in microseconds
        private ResponseDefect defect = ResponseDefect.NONE;

        Exchange(PooledConnection pooledConnection, Call call, long inputKnownUntil, Call.ResultListener resultListener) {
            this.inputKnownUntil = inputKnownUntil;
            this.pooledConnection = pooledConnection;
            this.call = call;
            this.resultListener = resultListener;
            this.requestBody = ByteBuffer.wrap(call.body());
        }

        Command createCommand() {
            return new RequestExecutionCommand(this, null, HttpCoreContext.create());
        }

        void deliverResult(Call.Result result) {
            if (resultDelivered.compareAndSet(false, true)) {
                countDefect(result.defect());
                resultListener.onResult(result);
            }
        }

        private void countDefect(ResponseDefect resultDefect) {
            switch (resultDefect) {
                case NONE -> { }
                case MISSING -> counters.add(Counter.ANSWERS_MISSING);
                case CUT_IN_FIRST_LINE, CUT_IN_HEAD, CUT_IN_BODY -> counters.add(Counter.ANSWERS_CUT);
                case UNREADABLE -> counters.add(Counter.ANSWERS_UNREADABLE);
                case STALLED -> counters.add(Counter.ANSWERS_STALLED);
                case POSSIBLE_COPY, PREMATURE -> counters.add(Counter.ANSWERS_DOUBTFUL);
            }
        }

        /** The status line decides the outcome: with 200 the call is done, even if the rest of the response is corrupt. */
        void onStatusLine(int newStatus) {
            status = newStatus;
            retryAfterMicros = 0;
            if (pooledConnection.peer.connectionReuse != ConnectionReuse.ALWAYS
                    && pooledConnection.responseHistory.mayBeCopy(newStatus, requestStartedAt, System.nanoTime() / 1000)) {
                defect = ResponseDefect.POSSIBLE_COPY;
            }
            if (isDone()) {
                logIfEarly();
            }
            if (newStatus == HttpStatus.SC_OK && !pooledConnection.isRequestWritten()) {
                defect = ResponseDefect.PREMATURE;
            }
        }

        /** Logs a delivery that came before the request was written, or much sooner than the endpoint's others. */
        private void logIfEarly() {
            long now = System.nanoTime() / 1000;
            long elapsedMicros = now - requestStartedAt;
            long shortestMicros = pooledConnection.peer.deliveryTimes.shortestMicros();
            boolean written = pooledConnection.isRequestWritten();
            if (written && (pooledConnection.firstCall || elapsedMicros >= shortestMicros / EARLY_DELIVERY_DIVISOR)) {
                return;
            }
            counters.add(Counter.DELIVERIES_EARLY);
            log.infoAboutRecord(pooledConnection.describe() + ": status 200 " + elapsedMicros / 1000
                    + " ms after the start of the request" + (written ? "" : ", which is not written to its end") + ", "
                    + (now - pooledConnection.lastResponseAt) / 1000 + " ms after the response before it; its endpoint takes "
                    + shortestMicros / 1000 + " ms or more for a delivery");
        }

        /** True if the response may belong to another call. */
        private boolean isDoubtful() {
            return defect == ResponseDefect.POSSIBLE_COPY || defect == ResponseDefect.PREMATURE;
        }

        /**
         * Takes a Retry-After as soon as its header line is read, since the rest of the response may never arrive: from now on
         * no call is sent that was decided on without knowing of it.
         */
        void onRetryAfter(String seconds) {
            pooledConnection.peer.retryAfterReceivedAt.set(clock.getAsLong());
            retryAfterMicros = Math.max(retryAfterMicros, secondsToMicros(seconds));
        }

        private boolean isDone() {
            return status == 200 && !call.method().equals("GET") && !isDoubtful();
        }

        /** Called when part of the response has arrived: one deadline applies to all of the rest, however slowly it arrives. */
        void onPartialResponse() {
            long now = System.nanoTime() / 1000;
            responseDeadline = Math.min(responseDeadline, now + limits.responseReadTimeoutMicros());
            if (responseHead == null && isDone()) {
                deliverResult(new Call.Result(status, null, 0, false, null, null));
            }
            if (now >= responseDeadline) {
                failed(null);
            }
        }

        private void complete() {
            if (!completed) {
                completed = true;
                pooledConnection.previousResponseAt = pooledConnection.lastResponseAt;
                pooledConnection.lastResponseAt = System.nanoTime() / 1000;
            }
            if (!pooledConnection.readingInput) {
                releaseConnection();
            }
        }

        /** Hands the connection back, once all input that arrived with the response has been inspected. */
        private void releaseConnection() {
            if (!released) {
                released = true;
                releaseListener.accept(pooledConnection);
            }
        }

        /** True if what has happened since the call was decided on forbids it to start. */
        private boolean isOvertaken() {
            return withheld || pooledConnection.peer.removed
                    || pooledConnection.peer.retryAfterReceivedAt.get() > inputKnownUntil
                    || clock.getAsLong() >= call.startDeadline();
        }

        @Override
        public void produceRequest(RequestChannel channel, HttpContext context)
                throws HttpException, IOException {
            if (isOvertaken() || !startOrCancelClaimed.compareAndSet(false, true)) {
                deliverResult(Call.Result.withoutResponse(Ending.NOT_SENT)); // the connection, or this thread, was too late
                throw new IOException("request not sent: cancelled, withheld, or past its start deadline");
            }
            BasicHttpRequest request = new BasicHttpRequest(call.method(), call.path());
            int headBytes = call.method().length() + call.path().length() + " ".length() + " HTTP/1.1\r\n".length() + 2;
            for (int i = 0; i < call.headers().length; i += 2) {
                request.addHeader(call.headers()[i], call.headers()[i + 1]);
                headBytes += call.headers()[i].length() + call.headers()[i + 1].length() + 4;
            }
            pooledConnection.requestEndOffset = pooledConnection.httpConnection.getEndpointDetails().getSentBytesCount()
                    + headBytes + call.body().length;
            requestStarted = true;
            requestStartedAt = System.nanoTime() / 1000;
            channel.sendRequest(request, call.body().length == 0 ? null
                    : new BasicEntityDetails(call.body().length, null), context);
        }

        @Override
        public int available() {
            return requestBody.remaining();
        }

        /**
         * Writes the body in pieces, and checks before each that it is not too late. The library writes on for as long as the
         * peer reads, so that a single write of a large body can last past the start deadline.
         */
        @Override
        public void produce(DataStreamChannel channel) throws IOException {
            boolean writable = true;
            while (writable && requestBody.hasRemaining()) {
                if (abandonIfTooLate()) {
                    return;
                }
                writable = writePiece(channel);
            }
            if (!requestBody.hasRemaining()) {
                channel.endStream(null);
            }
        }

        /** Writes the next piece of the body. Returns false if the connection does not take more at the moment. */
        private boolean writePiece(DataStreamChannel channel) throws IOException {
            ByteBuffer piece = requestBody.duplicate();
            piece.limit(Math.min(requestBody.limit(), requestBody.position() + MAX_WRITE_BYTES));
            channel.write(piece);
            requestBody.position(piece.position());
            return !piece.hasRemaining();
        }

        /** Gives the call up, and returns true, if its start deadline has passed. */
        private boolean abandonIfTooLate() {
            if (clock.getAsLong() < call.startDeadline()) {
                return false;
            }
            failed(null);
            return true;
        }

        @Override
        public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
            if (++informationalResponses > limits.maxHeaders()) {
                throw new HttpException("too many informational responses to one request");
            }
        }

        @Override
        public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
                throws IOException {
            responseHead = response;
            Header connectionHeader = response.getFirstHeader("Connection");
            pooledConnection.closeAfterCall = connectionHeader != null && connectionHeader.getValue().equalsIgnoreCase("close");
            if (isDone()) {
                deliverResult(createResult(null));
            } else if (response.getCode() == 200) {
                responseBody = ByteBuffer.allocate(limits.ioBufferBytes());
            }
            if (entity != null && entity.getContentLength() > maxResponseBodyBytes()) {
                throw new IOException("response body is too large");
            }
            if (entity == null) {
                completeResponse();
            }
        }

        /**
         * Called when the response is complete. Only then does a status other than 200 show that the call was not executed.
         */
        private void completeResponse() {
            if (isDoubtful()) {
                failed(null);
                return;
            }
            long now = System.nanoTime() / 1000;
            pooledConnection.responseHistory.add(status, now);
            pooledConnection.lastStatus = status;
            pooledConnection.lastDelivery = isDone() && !pooledConnection.firstCall ? resultListener : null;
            if (isDone()) {
                pooledConnection.peer.deliveryTimes.add(now - requestStartedAt);
            }
            byte[] body = null;
            if (responseBody != null) {
                body = new byte[responseBody.flip().remaining()];
                responseBody.get(body);
                responseBody = null;
            }
            deliverResult(createResult(body));
            complete();
        }

        /** The Retry-After of a 429 or 503, which counts once its header line has been read, even if the rest is corrupt. */
        private long effectiveRetryAfterMicros() {
            return status == 429 || status == 503 ? retryAfterMicros : 0;
        }

        private Call.Result createResult(byte[] body) {
            Header serverLoad = responseHead.countHeaders("Server-Load") == 1 ? responseHead.getFirstHeader("Server-Load") : null;
            return new Call.Result(responseHead.getCode(), null, retryAfterMicros, responseHead.containsHeader("X-Line-Busy"),
                    serverLoad == null ? null : serverLoad.getValue(), body,
                    pooledConnection.closeAfterCall && pooledConnection.firstCall, defect);
        }

        /** Only the platform sends long responses: its lists. */
        private int maxResponseBodyBytes() {
            return responseBody != null && pooledConnection.peer.platform ? limits.maxResponseBytes() : limits.maxBodyBytes();
        }

        /** The memory that the part of the body takes which has been read. */
        private int bufferedBytes() {
            return responseBody == null ? 0 : responseBody.capacity();
        }

        @Override
        public void updateCapacity(CapacityChannel channel) throws IOException {
            channel.update(Integer.MAX_VALUE);
        }

        @Override
        public void consume(ByteBuffer source) throws IOException {
            if (responseBody != null && !resultDelivered.get()) {
                if (responseBody.remaining() < source.remaining()) {
                    int newCapacity = Math.max(2 * responseBody.capacity(), responseBody.position() + source.remaining());
                    if (newCapacity > maxResponseBodyBytes()) {
                        throw new IOException("response body is too large");
                    }
                    responseBody = ByteBuffer.allocate(newCapacity).put(responseBody.flip());
                }
                responseBody.put(source);
            } else if ((discardedBytes += source.remaining()) > limits.maxBodyBytes()) {
                throw new IOException("discarded part of the response body is too large");
            } else {
                source.position(source.limit());
            }
        }

        @Override
        public void streamEnd(List<? extends Header> trailers) {
            completeResponse();
        }

        @Override
        public void failed(Exception cause) {
            Call.Result result = isDone() ? new Call.Result(status, null, 0, false, null, null)
                    : Call.Result.withoutResponse(endingWithoutResponse(), effectiveRetryAfterMicros(), classifyDefect(cause));
            IOSession session = pooledConnection.session;
            if (session != null) {
                endOutput(session);
                session.close(CloseMode.IMMEDIATE);
            }
            deliverResult(result);
            complete();
        }

        /** A request that is not written to its end is never executed. A response that is not believed says nothing of the endpoint. */
        private Ending endingWithoutResponse() {
            if (!pooledConnection.isRequestWritten()) {
                return Ending.NOT_CONNECTED;
            }
            return isDoubtful() ? Ending.RECALLED : Ending.RESET;
        }

        /** Called by the owner thread: cancels the call, and returns true, unless its request has been started. */
        boolean cancelBeforeStart() {
            boolean cancelled = startOrCancelClaimed.compareAndSet(false, true);
            if (cancelled) {
                deliverResult(Call.Result.withoutResponse(Ending.NOT_SENT));
            }
            return cancelled;
        }

        /** Its connection is lost before the request was started; stray bytes are the reason why, and say nothing of the endpoint. */
        void failBeforeStart(boolean strayBytes) {
            if (strayBytes) {
                deliverResult(Call.Result.withoutResponse(Ending.NOT_SENT));
            }
            failed(null);
        }

        /** How an incomplete response falls short, from how much of it was read. */
        private ResponseDefect classifyDefect(Exception cause) {
            if (defect != ResponseDefect.NONE) {
                return defect;
            }
            if (System.nanoTime() / 1000 >= responseDeadline) {
                return ResponseDefect.STALLED;
            }
            if (cause instanceof HttpException) {
                return ResponseDefect.UNREADABLE;
            }
            if (responseHead != null) {
                return ResponseDefect.CUT_IN_BODY;
            }
            return status != 0 ? ResponseDefect.CUT_IN_HEAD : ResponseDefect.MISSING;
        }

        @Override
        public void cancel() {
            failed(null);
        }

        @Override
        public void releaseResources() {
            if (!resultDelivered.get()) {
                failed(null);
            }
        }
    }

    /** Converts seconds, whole or decimal, to whole microseconds; 0 if the text is not a number between 0 and 1e6. */
    static long secondsToMicros(String text) {
        try {
            double seconds = Double.parseDouble(text);
            return seconds > 0 && seconds < 1e6 ? Math.round(seconds * 1e6) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Parses a numeric IP address with port; null for anything else. Host names are not looked up. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]")) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }
}
