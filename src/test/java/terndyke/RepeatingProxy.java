package terndyke;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy on loopback that sends each response a second time: shortly after the next request has passed on its connection, or
 * alone if none passes within the maximum lag. A response is what one read from the server returns.
 */
final class RepeatingProxy implements AutoCloseable {
    private static final long LAG_AFTER_NEXT_REQUEST_MILLIS = 5;
    private static final int BACKLOG = 64;
    private static final int BUFFER_BYTES = 64 << 10;

    private final ServerSocket serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(RepeatingProxy::daemonThread);
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final String serverAddress;
    private volatile long maxLagMillis;

    RepeatingProxy(String serverAddress, long maxLagMillis) throws IOException {
        this.serverAddress = serverAddress;
        this.maxLagMillis = maxLagMillis;
        daemonThread(this::acceptConnections).start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "repeating-proxy");
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    void setMaxLagMillis(long maxLagMillis) {
        this.maxLagMillis = maxLagMillis;
    }

    private void acceptConnections() {
        try {
            while (true) {
                new Relay(serverSocket.accept()).start();
            }
        } catch (IOException e) {
            // the proxy has been closed
        }
    }

    /** One connection through the proxy. */
    private final class Relay {
        private final Socket client;
        private final Socket server;
        private byte[] pendingCopy; // of the last response

        Relay(Socket client) throws IOException {
            this.client = client;
            int portStart = serverAddress.indexOf(':') + 1;
            server = new Socket(InetAddress.getByName("127.0.0.1"), Integer.parseInt(serverAddress.substring(portStart)));
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            sockets.add(client);
            sockets.add(server);
        }

        void start() {
            daemonThread(() -> relay(client, this::forwardRequest)).start();
            daemonThread(() -> relay(server, this::forwardResponse)).start();
        }

        private void relay(Socket source, Forwarder forwarder) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try (client; server) {
                InputStream in = source.getInputStream();
                for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                    forwarder.forward(Arrays.copyOf(buffer, length));
                }
            } catch (IOException e) {
                // either side has disconnected
            } finally {
                sockets.remove(client);
                sockets.remove(server);
            }
        }

        private void forwardRequest(byte[] bytes) throws IOException {
            server.getOutputStream().write(bytes);
            byte[] copy = takePendingCopy(null);
            if (copy != null) {
                scheduler.schedule(() -> sendToClient(copy), LAG_AFTER_NEXT_REQUEST_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        private synchronized void forwardResponse(byte[] bytes) throws IOException {
            client.getOutputStream().write(bytes);
            pendingCopy = bytes;
            scheduler.schedule(() -> sendToClient(takePendingCopy(bytes)), maxLagMillis, TimeUnit.MILLISECONDS);
        }

        /** Takes the pending copy: of the expected response, or of any if that is null. Returns null if there is none. */
        private synchronized byte[] takePendingCopy(byte[] expectedResponse) {
            byte[] copy = expectedResponse == null || expectedResponse == pendingCopy ? pendingCopy : null;
            pendingCopy = copy == null ? pendingCopy : null;
            return copy;
        }

        private synchronized void sendToClient(byte[] copy) {
            try {
                if (copy != null) {
                    client.getOutputStream().write(copy);
                }
            } catch (IOException e) {
                // the client has disconnected
            }
        }
    }

    /** Passes bytes on to the other side. */
    private interface Forwarder {
        void forward(byte[] bytes) throws IOException;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        scheduler.shutdownNow();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
