package terndyke.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

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
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;

/** The one I/O thread, for the clients' connections and for the node's own. */
public final class Reactor {
    private static final Object DOOR = new Object();

    private final DefaultListeningIOReactor reactor;
    private final DefaultHttpRequestWriterFactory calls;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final Visits visits;
    private final Http1Config http;
    private final DefaultHttpResponseWriterFactory answers;
    private final Semaphore places; // of clients' connections, from their accept to their close
    private volatile Thread acceptor;
    private volatile Door door;
    private volatile boolean closing;

    public Reactor(Limits limits, Counters counters, NodeLog log) {
        this.limits = limits;
        this.counters = counters;
        this.log = log;
        visits = new Visits(limits, () -> System.nanoTime() / 1000);
        http = http(limits);
        answers = new DefaultHttpResponseWriterFactory(http);
        calls = new DefaultHttpRequestWriterFactory(http);
        IOReactorConfig io = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true).setSoReuseAddress(true)
                .setSelectInterval(TimeValue.ofMicroseconds(limits.selectIntervalMicros()))
                .setBacklogSize(limits.listenBacklog()).build();
        places = new Semaphore(limits.maxClientConnections() + limits.maxExcessClientConnections() + limits.maxPendingConnections());
        reactor = new DefaultListeningIOReactor(this::handler, io, work -> thread(work, "terndyke-io"), work -> {
            acceptor = thread(work, "terndyke-accept");
            return acceptor;
        }, null, this::failed, null, null, ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK, threads -> takePlace());
    }

    /**
     * The library asks here which of its I/O threads, of which there is one, gets the next connection. Guards against
     * clients that come faster than they can be looked at: they would take all descriptors, and the first accept without
     * one ends the library's listener for good. Those in excess wait in the system's queue.
     */
    private int takePlace() {
        try {
            while (Thread.currentThread() == acceptor && !closing
                    && !places.tryAcquire(limits.selectIntervalMicros(), TimeUnit.MICROSECONDS)) {
                counters.add(Counter.ACCEPTS_HELD);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private static Http1Config http(Limits limits) {
        return Http1Config.custom().setBufferSize(limits.ioBufferBytes()).setMaxLineLength(limits.maxHeaderLineBytes())
                .setMaxHeaderCount(limits.maxHeaders()).setInitialWindowSize(limits.maxBodyBytes()).build();
    }

    private static Thread thread(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    private IOEventHandler handler(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof Calls.Line line) {
            ClientHttp1IOEventHandler handler = new LineSide(line, new CallStream(session, line));
            line.opened(session, handler);
            return handler;
        }
        return client(session);
    }

    /** The messages on a connection of the node's own. */
    private final class CallStream extends ClientHttp1StreamDuplexer {
        CallStream(ProtocolIOSession session, Calls.Line line) {
            super(session, HttpProcessorBuilder.create().build(), http, CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE, line.heads(http), calls.create(),
                    DefaultContentLengthStrategy.INSTANCE, DefaultContentLengthStrategy.INSTANCE, null);
        }

        @Override
        protected ContentDecoder createContentDecoder(long length, ReadableByteChannel channel, SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics) throws HttpException {
            return length == ContentLengthStrategy.CHUNKED ? new WholeChunks(channel, buffer, http, metrics)
                    : super.createContentDecoder(length, channel, buffer, metrics);
        }
    }

    /** The messages on a client's connection. */
    private final class ClientStream extends ServerHttp1StreamDuplexer {
        ClientStream(ProtocolIOSession session, HandlerFactory<AsyncServerExchangeHandler> exchanges,
                Http1StreamListener listener) {
            super(session, HttpProcessorBuilder.create().build(), exchanges, "http", http, CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE, new RequestHeads(http), answers.create(),
                    DefaultContentLengthStrategy.INSTANCE, DefaultContentLengthStrategy.INSTANCE, listener, cause -> { });
        }

        @Override
        protected ContentDecoder createContentDecoder(long length, ReadableByteChannel channel, SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics) throws HttpException {
            return length == ContentLengthStrategy.CHUNKED ? new WholeChunks(channel, buffer, http, metrics)
                    : super.createContentDecoder(length, channel, buffer, metrics);
        }
    }

    /** A connection of the node's own. */
    private static final class LineSide extends ClientHttp1IOEventHandler {
        private final Calls.Line line;

        LineSide(Calls.Line line, ClientHttp1StreamDuplexer duplexer) {
            super(duplexer);
            this.line = line;
        }

        @Override
        public void outputReady(IOSession session) throws IOException {
            if (line.mayLeave()) {
                super.outputReady(session);
            }
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            if (line.expects()) {
                try {
                    super.inputReady(session, source);
                } finally {
                    line.read();
                }
            }
        }
    }

    /** A client's connection. */
    private final class ClientSide extends ServerHttp1IOEventHandler {
        private final Visits.Visit visit;

        ClientSide(Visits.Visit visit, ServerHttp1StreamDuplexer duplexer) {
            super(duplexer);
            this.visit = visit;
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            visit.input();
            if (session.isOpen()) {
                super.inputReady(session, source);
            }
        }

        /** Once more where an answer came meanwhile: the library may have taken back the wish to write just then. */
        @Override
        public void outputReady(IOSession session) throws IOException {
            do {
                visit.writeAnswers();
                super.outputReady(session);
            } while (visit.hasAnswers());
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) {
            visit.close();
        }

        @Override
        public void disconnected(IOSession session) {
            visit.left();
            places.release();
            super.disconnected(session);
        }
    }

    private IOEventHandler client(ProtocolIOSession session) {
        counters.add(Counter.CLIENT_CONNECTIONS);
        Visits.Visit visit = visits.come(session);
        if (visit == null) {
            counters.add(Counter.TURNED_OUT);
            return new Stranger();
        }
        Http1StreamListener whenAnswered = new Http1StreamListener() {
            @Override
            public void onRequestHead(HttpConnection connection, HttpRequest request) { }

            @Override
            public void onResponseHead(HttpConnection connection, HttpResponse response) { }

            @Override
            public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
                visit.answered();
            }
        };
        return new ClientSide(visit, new ClientStream(session,
                (request, context) -> door.exchange(visit, visits.crowded()), whenAnswered));
    }

    /** A client for whom there is no place: closed at once. */
    private final class Stranger implements IOEventHandler {
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
            places.release();
        }
    }

    public void start() {
        reactor.start();
    }

    /** Serves clients on an address from now on. */
    public void listen(InetSocketAddress address, Door door) throws IOException {
        this.door = door;
        Future<ListenerEndpoint> listening = reactor.listen(address, DOOR, null);
        try {
            listening.get(limits.startTimeoutMicros(), TimeUnit.MICROSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting to listen", e);
        }
    }

    Future<IOSession> connect(InetSocketAddress address, long timeout, Calls.Line line,
            FutureCallback<IOSession> callback) {
        return reactor.connect(new NamedEndpoint() {
            @Override
            public String getHostName() {
                return address.getHostString();
            }

            @Override
            public int getPort() {
                return address.getPort();
            }
        }, address, null, Timeout.ofMicroseconds(timeout), line, callback);
    }

    private void failed(Exception cause) {
        if (!closing) {
            log.warn("I/O", cause);
        }
    }

    /** Closes idle connections in good order, waits a little for what is under way, and ends. */
    public void close() throws InterruptedException {
        closing = true;
        reactor.initiateShutdown();
        reactor.awaitShutdown(TimeValue.ofMicroseconds(limits.closeTimeoutMicros()));
        reactor.close(CloseMode.IMMEDIATE);
    }
}
