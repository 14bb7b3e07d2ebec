package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import com.sun.net.httpserver.HttpServer;

/** The quiet period of a key, after a call that may still run, at a node that is held up between two steps. */
class KeyQuietPeriodTest {
    private static final long QUIET_PERIOD_NANOS = 100_000_000; // keyQuiet of the settings
    private static final long HOLD_UP_MILLIS = 150;
    private static final int FIRST_TIMEOUT_MILLIS = 1_000;
    private static final int SECOND_TIMEOUT_MILLIS = 20_000;
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

    private final CompletableFuture<Long> heldUpUntilNanos = new CompletableFuture<>();

    @TempDir
    Path folder;

    /** A log whose write of the first record's end takes long, just before the node closes the connection of its call. */
    private NodeLog slowLog() {
        return new NodeLog(new PrintStream(OutputStream.nullOutputStream()) {
            @Override
            public void println(String line) {
                holdUpIfFirstRecordEnded(line);
            }
        }, "test");
    }

    private void holdUpIfFirstRecordEnded(String line) {
        if (line.contains("message first ended")) {
            try {
                Thread.sleep(HOLD_UP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            heldUpUntilNanos.complete(System.nanoTime());
        }
    }

    /** Guards against a quiet period that began when the turn did, and not when the connection of the call was closed. */
    @Test
    void theQuietPeriodIsCountedFromTheCloseOfTheCall() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        HttpServer platform = HttpServer.create(new InetSocketAddress(loopback, 0), 50);
        int port = freePort(loopback);
        try (ServerSocket endpoint = new ServerSocket(0, 50, loopback)) {
            endpoint.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String list = "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:"
                    + endpoint.getLocalPort() + "\",\"az\":\"east\",\"model\":\"a\",\"pod_group\":3,\"state\":\"active\","
                    + "\"capacity_hint\":50,\"boot_ms\":0}]}";
            platform.createContext("/v2/finals", call -> {
                call.getRequestBody().readAllBytes();
                call.sendResponseHeaders(204, -1);
                call.close();
            });
            platform.createContext("/catalog/members", call -> {
                if (call.getRequestURI().getQuery() == null) { // otherwise a watch, which stays unanswered
                    byte[] body = list.getBytes(StandardCharsets.UTF_8);
                    call.sendResponseHeaders(200, body.length);
                    call.getResponseBody().write(body);
                    call.close();
                }
            });
            platform.start();
            String json = "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                    + platform.getAddress().getPort() + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":192,\"sockets\":1024,"
                    + "\"disk_mb\":3},\"known\":" + list + ",\"settings\":" + NodeConfigurationTest.SETTINGS + "}";
            try (DeliveryNode node = new DeliveryNode(NodeConfiguration.read(json.getBytes(StandardCharsets.UTF_8),
                    new NodeConfiguration.StartupOptions("file", null, null, null, folder.toString())), slowLog())) {
                node.start();
                assertEquals(202, submit(port, "first", FIRST_TIMEOUT_MILLIS));
                assertEquals(202, submit(port, "second", SECOND_TIMEOUT_MILLIS));
                try (Socket firstCall = endpoint.accept()) {
                    awaitEnd(firstCall);
                    try (Socket secondCall = endpoint.accept()) {
                        secondCall.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
                        assertEquals('P', secondCall.getInputStream().read());
                        long quietNanos = System.nanoTime() - heldUpUntilNanos.get(1, TimeUnit.SECONDS);
                        assertTrue(quietNanos >= QUIET_PERIOD_NANOS, "the next call of the key came " + quietNanos / 1_000_000
                                + " ms after a call that may still run was given up");
                    }
                }
            }
        } finally {
            platform.stop(0);
        }
    }

    private static int freePort(InetAddress address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return socket.getLocalPort();
        }
    }

    private static int submit(int port, String id, int timeoutMillis) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/order"))
                .header("Request-Id", id).header("Tenant", "acme").header("Request-Timeout-Ms", Integer.toString(timeoutMillis))
                .header("X-Consignee", "dest=3").header("Cookie", "key=7f3a9c21e0b4d655").header("Idempotency-Key", id)
                .POST(HttpRequest.BodyPublishers.ofString(id)).build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** Reads from a connection, without answering, until the node gives its call up. */
    private static void awaitEnd(Socket connection) throws IOException {
        connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        try {
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (SocketException e) {
            // closed by a reset
        }
    }
}
