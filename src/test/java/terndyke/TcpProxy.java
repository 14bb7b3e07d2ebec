package terndyke;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback. What passes through it, and how, is decided by the relay that a subclass creates for each connection. */
abstract class TcpProxy implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int BUFFER_BYTES = 64 << 10;

    private final ServerSocket serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final String serverAddress;

    TcpProxy(String serverAddress) throws IOException {
        this.serverAddress = serverAddress;
    }

    /** Starts to accept connections; called once the subclass is complete. */
    final void start() {
        startDaemon(this::acceptConnections);
    }

    /** Creates the relay of a connection that has been accepted. */
    abstract Relay createRelay(Socket client) throws IOException;

    static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "tcp-proxy");
        thread.setDaemon(true);
        return thread;
    }

    static void startDaemon(Runnable task) {
        daemonThread(task).start();
    }

    final String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    private void acceptConnections() {
        try {
            while (true) {
                createRelay(serverSocket.accept()).start();
            }
        } catch (IOException e) {
            // the proxy has been closed
        }
    }

    /** One connection through the proxy. What one read returns is passed on as a whole: here a request or a response. */
    abstract class Relay {
        private final Socket client;
        private final Socket server;

        Relay(Socket client) throws IOException {
            this.client = client;
            int portStart = serverAddress.indexOf(':') + 1;
            server = new Socket(InetAddress.getByName("127.0.0.1"), Integer.parseInt(serverAddress.substring(portStart)));
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            sockets.add(client);
            sockets.add(server);
        }

        abstract void forwardRequest(byte[] bytes) throws IOException;

        abstract void forwardResponse(byte[] bytes) throws IOException, InterruptedException;

        /** Called when the client has ended the connection, before the server's side is closed. */
        void onClientEnd() throws InterruptedException { }

        private void start() {
            startDaemon(() -> relay(client, this::forwardRequest, this::onClientEnd));
            startDaemon(() -> relay(server, this::forwardResponse, () -> { }));
        }

        private void relay(Socket source, Forwarder forwarder, EndListener endListener) {
            try (client; server) {
                forwardAll(source, forwarder);
                endListener.onEnd();
            } catch (IOException e) {
                // either side has been closed
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                sockets.remove(client);
                sockets.remove(server);
            }
        }

        /** Forwards what the source sends until it ends the connection, in good order or by a reset. */
        private void forwardAll(Socket source, Forwarder forwarder) throws IOException, InterruptedException {
            byte[] buffer = new byte[BUFFER_BYTES];
            InputStream in = source.getInputStream();
            for (int length = readOrEnd(in, buffer); length >= 0; length = readOrEnd(in, buffer)) {
                forwarder.forward(Arrays.copyOf(buffer, length));
            }
        }

        private static int readOrEnd(InputStream in, byte[] buffer) {
            try {
                return in.read(buffer);
            } catch (IOException e) {
                return -1;
            }
        }

        final void sendToServer(byte[] bytes) throws IOException {
            server.getOutputStream().write(bytes);
        }

        final synchronized void sendToClient(byte[] bytes) throws IOException {
            client.getOutputStream().write(bytes);
        }

        final void endOutputToClient() throws IOException {
            client.shutdownOutput();
        }

        /** Resets the client's connection when the relay ends. */
        final void resetClient() throws IOException {
            client.setSoLinger(true, 0);
            throw new IOException("reset on purpose");
        }
    }

    /** Is told that one side has ended the connection. */
    private interface EndListener {
        void onEnd() throws InterruptedException;
    }

    /** Passes bytes on to the other side. */
    private interface Forwarder {
        void forward(byte[] bytes) throws IOException, InterruptedException;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
