package terndyke.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
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

import terndyke.node.Limits;
import terndyke.node.NodeLog;

/** The one I/O thread, for the clients' connections and for the node's own. */
public final class Reactor {
    private static final Object DOOR = new Object();

    private final DefaultListeningIOReactor reactor;
    private final ClientHttp1StreamDuplexerFactory out;
    private final NodeLog log;
    private ServerHttp1StreamDuplexerFactory in;

    public Reactor(Limits limits, NodeLog log) {
        this.log = log;
        Http1Config http = http(limits);
        out = new ClientHttp1StreamDuplexerFactory(HttpProcessorBuilder.create().build(), http,
                CharCodingConfig.DEFAULT);
        IOReactorConfig io = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true).setSoReuseAddress(true)
                .setSelectInterval(TimeValue.ofMilliseconds(100)).setBacklogSize(256).build();
        reactor = new DefaultListeningIOReactor(this::handler, io, work -> thread(work, "terndyke-io"),
                work -> thread(work, "terndyke-accept"), null, e -> log.warn("I/O", e), null, null);
    }

    private static Http1Config http(Limits limits) {
        return Http1Config.custom().setBufferSize(4096).setMaxLineLength(limits.lineBytes())
                .setMaxHeaderCount(limits.headers()).setInitialWindowSize(limits.bodyBytes()).build();
    }

    private static Thread thread(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    private IOEventHandler handler(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof Calls.Line line) {
            ClientHttp1IOEventHandler handler = new ClientHttp1IOEventHandler(out.create(session));
            line.opened(session, handler);
            return handler;
        }
        session.setSocketTimeout(Timeout.ofSeconds(60));
        return new ServerHttp1IOEventHandler(in.create("http", session));
    }

    public void start() {
        reactor.start();
    }

    /** Serves clients on an address from now on. */
    public void listen(InetSocketAddress address, Limits limits, HandlerFactory<AsyncServerExchangeHandler> door)
            throws IOException {
        in = new ServerHttp1StreamDuplexerFactory(HttpProcessorBuilder.create().build(), door, http(limits),
                CharCodingConfig.DEFAULT, DefaultConnectionReuseStrategy.INSTANCE,
                new DefaultHttpRequestParserFactory(http(limits)), new DefaultHttpResponseWriterFactory(http(limits)),
                null, e -> { });
        Future<ListenerEndpoint> listening = reactor.listen(address, DOOR, null);
        try {
            listening.get(10, TimeUnit.SECONDS);
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

    public void close() {
        reactor.close(CloseMode.IMMEDIATE);
    }
}
