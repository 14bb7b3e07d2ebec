package terndyke;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Clients that misuse their connections, each at full speed, and connect again once the node has closed their connection. */
final class HostileClients {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int PATIENCE_MILLIS = 3_000; // the longest that a connection may stay open
    private static final int PAUSE_MILLIS = 5; // between two connections of a client
    private static final int LONG_LINE_BYTES = 8_000;
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int SLOW_BYTES = 16;
    private static final int SLOW_WRITE_INTERVAL_MILLIS = 20;
    private static final int MESSAGES_AT_ONCE = 300;
    private static final String HEAD = "POST /status HTTP/1.1\r\nHost: n0\r\nRequest-Timeout-Ms: 5000\r\nX-Consignee: dest=0\r\n";

    /** What the clients send on each connection. */
    enum Misuse {
        ENDLESS_HEADS, ENDLESS_TRAILERS, INCOMPLETE_BODIES, SLOW_BODIES, LARGE_MESSAGES_AT_ONCE, MANY_MESSAGES_AT_ONCE
    }

    private final int port;
    private final Misuse misuse;
    private final long endNanos;
    private final List<Thread> threads = new ArrayList<>();

    private HostileClients(int port, Misuse misuse, long millis) {
        this.port = port;
        this.misuse = misuse;
        endNanos = System.nanoTime() + millis * 1_000_000;
    }

    /** Starts the given number of clients, which stop after the given time. */
    static HostileClients start(int port, Misuse misuse, int count, long millis) {
        HostileClients clients = new HostileClients(port, misuse, millis);
        for (int i = 0; i < count; i++) {
            String name = "hostile-" + i;
            clients.threads.add(startDaemon(() -> clients.misuseConnections(name)));
        }
        return clients;
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task, "hostile-client");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    boolean isRunning() {
        return System.nanoTime() < endNanos;
    }

    void awaitEnd() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void misuseConnections(String name) {
        for (int round = 0; isRunning(); round++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
                Thread reader = startDaemon(() -> readToEnd(socket));
                send(socket.getOutputStream(), name + "-" + round);
                reader.join(PATIENCE_MILLIS);
            } catch (IOException e) {
                // the node has closed the connection, as it may
            } catch (InterruptedException e) {
                return;
            }
            ProcessTestSupport.sleep(PAUSE_MILLIS);
        }
    }

    private static void readToEnd(Socket socket) {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // closed by a reset, or by the client itself
        }
    }

    private void send(OutputStream out, String id) throws IOException {
        switch (misuse) {
            case ENDLESS_HEADS -> sendEndlessLines(out, HEAD);
            case ENDLESS_TRAILERS -> sendEndlessLines(out, HEAD + "Request-Id: " + id
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n");
            case INCOMPLETE_BODIES -> out.write(Arrays.copyOf(message(id, MAX_BODY_BYTES), MAX_BODY_BYTES));
            case SLOW_BODIES -> sendSlowly(out, message(id, MAX_BODY_BYTES));
            case LARGE_MESSAGES_AT_ONCE -> out.write(message(id, MAX_BODY_BYTES));
            case MANY_MESSAGES_AT_ONCE -> sendManyMessages(out, id);
            default -> throw new IllegalStateException(misuse.name());
        }
    }

    private void sendEndlessLines(OutputStream out, String firstLines) throws IOException {
        out.write(firstLines.getBytes(StandardCharsets.ISO_8859_1));
        byte[] line = ("X-Note: " + "a".repeat(LONG_LINE_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        long patienceEndNanos = System.nanoTime() + PATIENCE_MILLIS * 1_000_000L;
        while (isRunning() && System.nanoTime() < patienceEndNanos) {
            out.write(line);
        }
    }

    private void sendSlowly(OutputStream out, byte[] message) throws IOException {
        for (int offset = 0; isRunning() && offset + SLOW_BYTES <= message.length; offset += SLOW_BYTES) {
            out.write(message, offset, SLOW_BYTES);
            ProcessTestSupport.sleep(SLOW_WRITE_INTERVAL_MILLIS);
        }
    }

    private static void sendManyMessages(OutputStream out, String id) throws IOException {
        for (int i = 0; i < MESSAGES_AT_ONCE; i++) {
            out.write(message(id + "-" + i, 200));
        }
    }

    private static byte[] message(String id, int bodyBytes) {
        byte[] head = (HEAD + "Request-Id: " + id + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return Arrays.copyOf(head, head.length + bodyBytes);
    }
}
