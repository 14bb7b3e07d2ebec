package terndyke.lab.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.Host;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** The laboratory's sockets on HttpCore's reactor: listeners and connections, each with its own {@link RawHttpConnection}. */
public final class SocketReactor implements AutoCloseable {
    private static final long LISTEN_TIMEOUT_SECONDS = 10;

    private final DefaultListeningIOReactor reactor;

    /** Creates the handler of a new connection. */
    public interface ConnectionFactory extends Function<IOSession, RawHttpConnection> { }

    public SocketReactor(String name, int threads) {
        AtomicInteger threadNumber = new AtomicInteger();
        IOReactorConfig config = IOReactorConfig.custom().setIoThreadCount(threads).setTcpNoDelay(true).setSoReuseAddress(true)
                .setSelectInterval(TimeValue.ofMilliseconds(50)).setBacklogSize(512).build();
        reactor = new DefaultListeningIOReactor(SocketReactor::createHandler, config,
                task -> newDaemonThread(task, name + "-io-" + threadNumber.incrementAndGet()),
                task -> newDaemonThread(task, name + "-accept"), null, cause -> { }, null,
                ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK);
        reactor.start();
    }

    private static IOEventHandler createHandler(ProtocolIOSession session, Object factory) {
        return ((ConnectionFactory) factory).apply(session);
    }

    private static Thread newDaemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Listens on an address until the listener is closed. */
    public ListenerEndpoint listen(InetSocketAddress address, ConnectionFactory factory) throws IOException {
        Future<ListenerEndpoint> listening = reactor.listen(address, factory, null);
        try {
            return listening.get(LISTEN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting to listen", e);
        }
    }

    /** Connects. The new connection reports its progress by its own callbacks; whenFailed runs if it is not established. */
    public void connect(InetSocketAddress address, long timeoutMicros, ConnectionFactory factory, Runnable whenFailed) {
        try {
            reactor.connect(new Host(address.getHostString(), address.getPort()), address, null,
                    Timeout.ofMicroseconds(timeoutMicros), factory,
                    new FutureCallback<IOSession>() {
                        @Override
                        public void completed(IOSession session) { }

                        @Override
                        public void failed(Exception cause) {
                            whenFailed.run();
                        }

                        @Override
                        public void cancelled() {
                            whenFailed.run();
                        }
                    });
        } catch (RuntimeException e) {
            whenFailed.run(); // the reactor is closing
        }
    }

    /** Returns this loopback address with a port that is free now. */
    public static InetSocketAddress findFreeAddress(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    @Override
    public void close() {
        reactor.close(CloseMode.IMMEDIATE);
    }
}
