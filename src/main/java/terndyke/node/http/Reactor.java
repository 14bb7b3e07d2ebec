package terndyke.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.AcceptedChannels;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.FatalErrorHandler;
import terndyke.node.Limits;
import terndyke.node.NodeLog;

/** The node's network I/O: one thread for the clients' connections and for the outbound ones, and one that accepts clients. */
public final class Reactor {
    private static final long SHUTDOWN_POLL_MILLIS = 10;

    private final DefaultConnectingIOReactor ioReactor;
    private final DefaultHttpRequestWriterFactory requestWriterFactory;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final DeadlineMonitor deadlineMonitor;
    private final ClientConnections clientConnections;
    private final Http1Config httpConfig;
    private final DefaultHttpResponseWriterFactory responseWriterFactory;
    private final Semaphore connectionPermits; // one for each client's connection, from accept to close: others wait for a place, unaccepted
    private final FatalErrorHandler fatalErrorHandler;
    private volatile ClientListener clientListener;
    private volatile ClientRequestHandler requestHandler;
    private volatile boolean closing;

    /** Creates a reactor; fails if the system has no descriptor for its selector. */
    public static Reactor open(Limits limits, Counters counters, NodeLog log, FatalErrorHandler fatalErrorHandler) throws IOException {
        try {
            return new Reactor(limits, counters, log, fatalErrorHandler);
        } catch (IllegalStateException e) { // as the library reports it
            throw new IOException("no selector: " + e.getMessage(), e);
        }
    }

    /** Creates a reactor; the handler is told if one of its threads ends before {@link #close}. */
    public Reactor(Limits limits, Counters counters, NodeLog log, FatalErrorHandler fatalErrorHandler) {
        this.fatalErrorHandler = fatalErrorHandler;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
        deadlineMonitor = new DeadlineMonitor(() -> System.nanoTime() / 1000, limits.selectIntervalMicros(), this::logIoError);
        clientConnections = new ClientConnections(limits, () -> System.nanoTime() / 1000, deadlineMonitor, counters);
        httpConfig = createHttpConfig(limits);
        responseWriterFactory = new DefaultHttpResponseWriterFactory(httpConfig);
        requestWriterFactory = new DefaultHttpRequestWriterFactory(httpConfig);
        IOReactorConfig ioConfig = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true).setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMicroseconds(limits.selectIntervalMicros())).build();
        connectionPermits = new Semaphore(limits.maxOpenClientConnections());
        ioReactor = new DefaultConnectingIOReactor(this::createEventHandler, ioConfig, task -> createDaemonThread(task, "terndyke-io"), null,
                this::logIoError, null, ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK);
    }

    private static Http1Config createHttpConfig(Limits limits) {
        return Http1Config.custom().setBufferSize(limits.ioBufferBytes()).setMaxLineLength(limits.maxHeadBytes())
                .setMaxHeaderCount(limits.maxHeaders()).setInitialWindowSize(limits.maxBodyBytes()).build();
    }

    /** One byte more than the longest line, so that a full buffer either holds a line or shows that one is too long. */
    private int maxUnparsedBytes() {
        return limits.maxHeadBytes() + 1;
    }

    private Thread createDaemonThread(Runnable task, String name) {
        Thread thread = new Thread(() -> runUntilClosed(task, name), name);
        thread.setDaemon(true);
        return thread;
    }

    private void runUntilClosed(Runnable task, String threadName) {
        Throwable cause = null;
        try {
            task.run();
        } catch (Throwable e) { // a node without this thread only looks alive, whatever ended it
            cause = e;
        }
        if (!closing) {
            fatalErrorHandler.onThreadEnded(threadName, cause);
        }
    }

    private IOEventHandler createEventHandler(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof ConnectionPool.PooledConnection pooledConnection) {
            GuardedSession guardedSession = new GuardedSession(session);
            ClientHttp1IOEventHandler handler = new OutboundEventHandler(pooledConnection, guardedSession,
                    new OutboundStreamDuplexer(guardedSession, pooledConnection));
            pooledConnection.onConnected(session, handler);
            return handler;
        }
        return createInboundHandler(session);
    }

    /** Requests and responses on an outbound connection. */
    private final class OutboundStreamDuplexer extends ClientHttp1StreamDuplexer {
        private final ConnectionPool.PooledConnection pooledConnection;

        OutboundStreamDuplexer(ProtocolIOSession session, ConnectionPool.PooledConnection pooledConnection) {
            super(session, HttpProcessorBuilder.create().build(), httpConfig, CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE, pooledConnection.createResponseParser(httpConfig),
                    requestWriterFactory.create(),
                    DefaultContentLengthStrategy.INSTANCE, DefaultContentLengthStrategy.INSTANCE, null);
            this.pooledConnection = pooledConnection;
        }

        @Override
        protected ContentDecoder createContentDecoder(long length, ReadableByteChannel channel, SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics) throws HttpException {
            return length == ContentLengthStrategy.CHUNKED
                    ? new StrictChunkDecoder(channel, buffer, httpConfig, metrics, pooledConnection.trailerSize())
                    : super.createContentDecoder(length, channel, buffer, metrics);
        }
    }

    /** Requests and responses on a client's connection. */
    private final class InboundStreamDuplexer extends ServerHttp1StreamDuplexer {
        private final ClientConnections.ClientConnection clientConnection;

        InboundStreamDuplexer(ProtocolIOSession session, ClientConnections.ClientConnection clientConnection,
                HandlerFactory<AsyncServerExchangeHandler> exchangeFactory, Http1StreamListener listener) {
            super(session, HttpProcessorBuilder.create().build(), exchangeFactory, "http", httpConfig, CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE, clientConnection.createRequestParser(httpConfig),
                    responseWriterFactory.create(),
                    DefaultContentLengthStrategy.INSTANCE, DefaultContentLengthStrategy.INSTANCE, listener, cause -> { });
            this.clientConnection = clientConnection;
        }

        @Override
        protected ContentDecoder createContentDecoder(long length, ReadableByteChannel channel, SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics) throws HttpException {
            return length == ContentLengthStrategy.CHUNKED
                    ? new StrictChunkDecoder(channel, buffer, httpConfig, metrics, clientConnection.trailerSize())
                    : super.createContentDecoder(length, channel, buffer, metrics);
        }
    }

    /** I/O events of an outbound connection. */
    private final class OutboundEventHandler extends ClientHttp1IOEventHandler {
        private final ConnectionPool.PooledConnection pooledConnection;
        private final GuardedSession guardedSession;

        OutboundEventHandler(ConnectionPool.PooledConnection pooledConnection, GuardedSession guardedSession,
                ClientHttp1StreamDuplexer duplexer) {
            super(duplexer);
            this.pooledConnection = pooledConnection;
            this.guardedSession = guardedSession;
        }

        @Override
        public void outputReady(IOSession session) throws IOException {
            if (pooledConnection.canWriteRequest()) {
                super.outputReady(session);
            }
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            if (pooledConnection.beginInput()) {
                guardedSession.beginPass(maxUnparsedBytes() - pooledConnection.unparsedBytes());
                try {
                    super.inputReady(session, source);
                } finally {
                    pooledConnection.endInput();
                }
            }
        }

        @Override
        public void disconnected(IOSession session) {
            super.disconnected(session);
            deadlineMonitor.remove(pooledConnection);
            pooledConnection.onDisconnected();
        }
    }

    /** I/O events of a client's connection. */
    private final class InboundEventHandler extends ServerHttp1IOEventHandler {
        private final ClientConnections.ClientConnection clientConnection;
        private final GuardedSession guardedSession;

        InboundEventHandler(ClientConnections.ClientConnection clientConnection, GuardedSession guardedSession,
                ServerHttp1StreamDuplexer duplexer) {
            super(duplexer);
            this.clientConnection = clientConnection;
            this.guardedSession = guardedSession;
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            if (clientConnection.suspendReading()) {
                return;
            }
            clientConnection.onInput();
            if (session.isOpen() && clientConnection.isDiscarding()) {
                clientConnection.discardInput();
            } else if (session.isOpen()) {
                guardedSession.beginPass(maxUnparsedBytes() - clientConnection.unparsedBytes());
                super.inputReady(session, source);
                clientConnection.onInputProcessed();
            }
        }

        /**
         * Repeats if another thread has added or submitted a response meanwhile: the library may have cleared the session's interest in
         * writing just after that thread set it.
         */
        @Override
        public void outputReady(IOSession session) throws IOException {
            if (clientConnection.closeIfOverdue()) {
                return;
            }
            do {
                clientConnection.writePendingResponses();
                super.outputReady(session);
            } while (clientConnection.hasPendingResponses() || clientConnection.pollResponseSubmitted());
            if (session.isOpen() && clientConnection.resumeReading()) {
                inputReady(session, null);
            }
        }

        @Override
        public void disconnected(IOSession session) {
            clientConnection.markClosed();
            connectionPermits.release();
            super.disconnected(session);
        }
    }

    private IOEventHandler createInboundHandler(ProtocolIOSession session) {
        counters.add(Counter.CLIENT_CONNECTIONS);
        ClientConnections.ClientConnection clientConnection = clientConnections.accept(session);
        if (clientConnection == null) {
            counters.add(Counter.TURNED_OUT);
            return new RejectingEventHandler();
        }
        Http1StreamListener streamListener = new Http1StreamListener() {
            @Override
            public void onRequestHead(HttpConnection connection, HttpRequest request) { }

            @Override
            public void onResponseHead(HttpConnection connection, HttpResponse response) { }

            @Override
            public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
                clientConnection.onResponseComplete();
            }
        };
        GuardedSession guardedSession = new GuardedSession(session);
        return new InboundEventHandler(clientConnection, guardedSession, new InboundStreamDuplexer(guardedSession, clientConnection,
                (request, context) -> requestHandler.createExchange(clientConnection, clientConnections.isOverCapacity()),
                streamListener));
    }

    /** Handles the connection of a client that exceeds the limit: closes it at once. */
    private final class RejectingEventHandler implements IOEventHandler {
        @Override
        public void connected(IOSession session) {
            session.close(CloseMode.IMMEDIATE);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) { }

        @Override
        public void outputReady(IOSession session) { }

        @Override
        public void timeout(IOSession session, Timeout timeout) { }

        @Override
        public void exception(IOSession session, Exception cause) { }

        @Override
        public void disconnected(IOSession session) {
            connectionPermits.release();
        }
    }

    /** Starts the I/O threads. */
    public void start() {
        ioReactor.start();
        createDaemonThread(deadlineMonitor, "terndyke-deadlines").start();
    }

    /** Starts to accept clients on an address. */
    public void listen(InetSocketAddress address, ClientRequestHandler handler) throws IOException {
        requestHandler = handler;
        clientListener = ClientListener.open(address, connectionPermits, channel -> AcceptedChannels.enqueue(ioReactor, channel), limits,
                counters, log);
        createDaemonThread(clientListener, "terndyke-accept").start();
    }

    /** Opens an outbound connection, without a timeout of the library. */
    Future<IOSession> connect(InetSocketAddress address, ConnectionPool.PooledConnection pooledConnection,
            FutureCallback<IOSession> callback) {
        return ioReactor.connect(new NamedEndpoint() {
            @Override
            public String getHostName() {
                return address.getHostString();
            }

            @Override
            public int getPort() {
                return address.getPort();
            }
        }, address, null, Timeout.DISABLED, pooledConnection, callback);
    }

    /** The monitor of the deadlines of all connections; outbound ones are removed from it once they are disconnected. */
    DeadlineMonitor deadlines() {
        return deadlineMonitor;
    }

    private void logIoError(Exception cause) {
        if (!closing) {
            log.warn("I/O error in the reactor", cause);
        }
    }

    /** Closes idle connections gracefully, waits for exchanges in progress up to the close timeout, then closes the rest. */
    public void close() throws InterruptedException {
        closing = true;
        closeListener();
        ioReactor.initiateShutdown();
        awaitShutdown();
        deadlineMonitor.close();
        ioReactor.close(CloseMode.IMMEDIATE);
    }

    /** Waits until all connections are closed, at most for the close timeout; the library's method follows the wall clock. */
    private void awaitShutdown() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + limits.closeTimeoutMicros() * 1000;
        while (ioReactor.getStatus() != IOReactorStatus.SHUT_DOWN && System.nanoTime() < deadlineNanos) {
            Thread.sleep(SHUTDOWN_POLL_MILLIS);
        }
    }

    private void closeListener() {
        try {
            if (clientListener != null) {
                clientListener.close();
            }
        } catch (IOException e) {
            log.warn("the listener cannot be closed", e);
        }
    }
}
