package terndyke;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TCP proxy on loopback that repeats, delays, splits, cuts, drops or prefixes responses and resets connections, at random from a
 * seed. It remembers which messages were delivered: those for which it has written the whole first line of a real response 200.
 */
final class FaultInjectingProxy implements AutoCloseable {
    private static final Pattern REQUEST_ID = Pattern.compile("Request-Id: (\\S+)");
    private static final String DELIVERED = "HTTP/1.1 200 OK\r\n";
    private static final byte[] PROCESSING = "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int BACKLOG = 64;
    private static final int BUFFER_BYTES = 64 << 10;
    private static final int MAX_COPY_LAG_MILLIS = 40;
    private static final int MAX_DELAY_MILLIS = 150;
    private static final int MAX_SPLIT_PAUSE_MILLIS = 20;

    private final ServerSocket serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<String> deliveredIds = ConcurrentHashMap.newKeySet();
    private final String serverAddress;
    private final Random seeds;

    /** What happens to one response. */
    private enum Fault { REPEATED, DELAYED, SPLIT, CUT, RESET, DROPPED, PREFIXED }

    FaultInjectingProxy(String serverAddress, long seed) throws IOException {
        this.serverAddress = serverAddress;
        seeds = new Random(seed);
        startDaemon(this::acceptConnections);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "fault-injecting-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    Set<String> deliveredIds() {
        return deliveredIds;
    }

    private void acceptConnections() {
        try {
            while (true) {
                new Relay(serverSocket.accept(), new Random(seeds.nextLong())).start();
            }
        } catch (IOException e) {
            // the proxy has been closed
        }
    }

    /** One connection through the proxy. */
    private final class Relay {
        private final Socket client;
        private final Socket server;
        private final Random random;
        private volatile String currentId = "";

        Relay(Socket client, Random random) throws IOException {
            this.client = client;
            this.random = random;
            int portStart = serverAddress.indexOf(':') + 1;
            server = new Socket(InetAddress.getByName("127.0.0.1"), Integer.parseInt(serverAddress.substring(portStart)));
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            sockets.add(client);
            sockets.add(server);
        }

        void start() {
            startDaemon(() -> relay(client, this::forwardRequest));
            startDaemon(() -> relay(server, this::forwardResponse));
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
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                sockets.remove(client);
                sockets.remove(server);
            }
        }

        private void forwardRequest(byte[] bytes) throws IOException {
            Matcher matcher = REQUEST_ID.matcher(new String(bytes, StandardCharsets.ISO_8859_1));
            currentId = matcher.find() ? matcher.group(1) : currentId;
            server.getOutputStream().write(bytes);
        }

        private void forwardResponse(byte[] bytes) throws IOException, InterruptedException {
            Fault[] faults = Fault.values();
            // the first numbers drawn stand for a fault each, the others for none; copies are the most frequent fault
            int drawn = random.nextInt(5 * faults.length);
            Fault fault = drawn < faults.length ? faults[drawn] : drawn < 2 * faults.length ? Fault.REPEATED : null;
            if (fault == Fault.DROPPED) {
                return;
            }
            if (fault == Fault.RESET) {
                client.setSoLinger(true, 0);
                throw new IOException("connection reset on purpose");
            }
            if (fault == Fault.DELAYED) {
                Thread.sleep(random.nextInt(MAX_DELAY_MILLIS));
            }
            if (fault == Fault.PREFIXED) {
                write(PROCESSING);
            }
            int firstPart = fault == Fault.SPLIT || fault == Fault.CUT ? random.nextInt(bytes.length) : bytes.length;
            String text = new String(bytes, 0, firstPart, StandardCharsets.ISO_8859_1);
            if (text.startsWith(DELIVERED) || fault == Fault.SPLIT && bytesStartWithDelivery(bytes)) {
                deliveredIds.add(currentId);
            }
            write(Arrays.copyOf(bytes, firstPart));
            if (fault == Fault.CUT) {
                client.shutdownOutput();
            } else if (fault == Fault.SPLIT) {
                Thread.sleep(random.nextInt(MAX_SPLIT_PAUSE_MILLIS));
                write(Arrays.copyOfRange(bytes, firstPart, bytes.length));
            } else if (fault == Fault.REPEATED) {
                repeatLater(bytes, random.nextInt(MAX_COPY_LAG_MILLIS));
            }
        }

        private static boolean bytesStartWithDelivery(byte[] bytes) {
            return new String(bytes, StandardCharsets.ISO_8859_1).startsWith(DELIVERED);
        }

        private void repeatLater(byte[] bytes, int lagMillis) {
            startDaemon(() -> {
                try {
                    Thread.sleep(lagMillis);
                    write(bytes);
                } catch (IOException e) {
                    // the client has disconnected
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }

        private void write(byte[] bytes) throws IOException {
            OutputStream out = client.getOutputStream();
            synchronized (out) {
                out.write(bytes);
            }
        }
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
