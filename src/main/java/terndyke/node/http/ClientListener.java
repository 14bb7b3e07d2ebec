package terndyke.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;

/**
 * Accepts clients' connections, on a thread of its own, and goes on whatever accept fails with: connections that cannot be accepted wait in
 * the operating system's backlog. Without the permits, clients that connect faster than they are processed could use up all descriptors.
 */
final class ClientListener implements Runnable, AutoCloseable {
    private static final long RETRY_MILLIS = 20; // after a failure, which is likely to last

    private final ServerSocketChannel serverChannel;
    private final Selector selector;
    private final Semaphore connectionPermits;
    private final Consumer<SocketChannel> connectionConsumer;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private int consecutiveFailures;
    private volatile boolean closing;

    private ClientListener(ServerSocketChannel serverChannel, Selector selector, Semaphore connectionPermits,
            Consumer<SocketChannel> connectionConsumer, Limits limits, Counters counters, NodeLog log) {
        this.serverChannel = serverChannel;
        this.selector = selector;
        this.connectionPermits = connectionPermits;
        this.connectionConsumer = connectionConsumer;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
    }

    /** Begins to listen. Each connection that {@link #run} accepts takes a permit, which its end has to give back. */
    static ClientListener open(InetSocketAddress address, Semaphore connectionPermits, Consumer<SocketChannel> connectionConsumer,
            Limits limits, Counters counters, NodeLog log) throws IOException {
        ServerSocketChannel serverChannel = ServerSocketChannel.open();
        try {
            serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            serverChannel.bind(address, limits.listenBacklog());
            serverChannel.configureBlocking(false);
            Selector selector = Selector.open();
            serverChannel.register(selector, SelectionKey.OP_ACCEPT);
            return new ClientListener(serverChannel, selector, connectionPermits, connectionConsumer, limits, counters, log);
        } catch (IOException e) {
            serverChannel.close();
            throw e;
        }
    }

    @Override
    public void run() {
        try {
            while (!closing) {
                acceptNext();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ClosedSelectorException e) {
            // closed while it waited for a client
        }
    }

    private void acceptNext() throws InterruptedException {
        if (!connectionPermits.tryAcquire(limits.selectIntervalMicros(), TimeUnit.MICROSECONDS)) {
            counters.add(Counter.ACCEPTS_HELD);
            return;
        }
        SocketChannel connection = null;
        try {
            connection = accept();
        } catch (IOException e) {
            handleFailure(e);
        } finally {
            if (connection == null) {
                connectionPermits.release();
            }
        }
        if (connection != null) {
            consecutiveFailures = 0;
            connectionConsumer.accept(connection);
        }
    }

    /** Waits for a client for a while; null if none has come. */
    private SocketChannel accept() throws IOException {
        SocketChannel connection = serverChannel.accept();
        if (connection == null) {
            selector.select(TimeUnit.MICROSECONDS.toMillis(limits.selectIntervalMicros()));
            selector.selectedKeys().clear();
            connection = serverChannel.accept();
        }
        return connection;
    }

    private void handleFailure(IOException cause) throws InterruptedException {
        if (closing) {
            return;
        }
        counters.add(Counter.ACCEPTS_FAILED);
        if (consecutiveFailures++ == 0) {
            log.warn("accept failed, goes on: " + cause);
        }
        Thread.sleep(RETRY_MILLIS);
    }

    @Override
    public void close() throws IOException {
        closing = true;
        selector.close();
        serverChannel.close();
    }
}
