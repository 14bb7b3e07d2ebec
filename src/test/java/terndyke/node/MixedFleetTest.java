package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import terndyke.node.Counters.Counter;

/**
 * During a migration some nodes run with the old settings and some with the new ones, and they share the endpoints. Runs two real
 * nodes of each kind against one destination with a common rate limit, which refuses all calls for a while. Nodes with the new
 * settings request the list from discovery, nodes with the old settings receive it by a watch that they keep open.
 */
class MixedFleetTest {
    private static final String OLD_SETTINGS = NodeConfigurationTest.SETTINGS.replace("\"balancers\":2", "\"balancers\":4");
    private static final String NEW_SETTINGS = OLD_SETTINGS.replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"")
            .replace("\"weightSource\":\"rough\"", "\"weightSource\":\"nominal\"")
            .replace("\"late\":\"even\"", "\"late\":\"by_half\",\"zoneFee\":[0.01,0.04]")
            .replace("\"retryAfter\":true", "\"retryAfter\":false")
            .replace("\"tenants\":", "\"costs\":{\"crossZone\":0.03,\"handshake\":0.06},\"tenants\":");
    private static final int CALLS_PER_SECOND = 40;
    private static final int RECORDS_PER_NODE = 60;
    private static final long SHUT_FROM_MILLIS = 1_000;
    private static final long SHUT_UNTIL_MILLIS = 1_800;

    /** A call as the endpoint received it; {@code ran} is false if it was refused. */
    private record ReceivedCall(long atMillis, String recordId, boolean ran) { }

    private final ExecutorService executor = Executors.newFixedThreadPool(32);
    private final HttpClient httpClient = HttpClient.newBuilder().executor(executor)
            .connectTimeout(Duration.ofSeconds(5)).build();
    private final List<ReceivedCall> receivedCalls = new ArrayList<>();
    private final Map<String, String> noticeStates = new ConcurrentHashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<DeliveryNode> nodes = new ArrayList<>();
    private final Map<Integer, InetSocketAddress> listenAddresses = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private double availableCalls = CALLS_PER_SECOND / 2.0;
    private long refilledAtMillis;
    private long waitUntil;
    private int brokenWaits;
    private String targetsJson;

    @TempDir
    Path folder;

    private long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private HttpServer startServer(com.sun.net.httpserver.HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        server.setExecutor(executor);
        server.createContext("/", handler);
        server.start();
        servers.add(server);
        return server;
    }

    private void answerEvent(HttpExchange call) throws IOException {
        call.getRequestBody().readAllBytes();
        String recordId = call.getRequestHeaders().getFirst("Request-Id");
        boolean runs;
        long shutForMillis;
        synchronized (this) {
            long now = nowMillis();
            availableCalls = Math.min(CALLS_PER_SECOND / 2.0,
                    availableCalls + CALLS_PER_SECOND * (now - refilledAtMillis) / 1000.0);
            refilledAtMillis = now;
            shutForMillis = now >= SHUT_FROM_MILLIS && now < SHUT_UNTIL_MILLIS ? SHUT_UNTIL_MILLIS - now : 0;
            runs = shutForMillis == 0 && availableCalls >= 1;
            availableCalls -= runs ? 1 : 0;
            if (recordId != null) {
                receivedCalls.add(new ReceivedCall(now, recordId, runs));
            }
        }
        if (!runs && shutForMillis > 0) {
            call.getResponseHeaders().set("Retry-After", String.valueOf(shutForMillis / 1000.0));
        }
        call.sendResponseHeaders(runs ? 200 : 429, -1);
        call.close();
    }

    private void answerDiscovery(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (call.getRequestURI().getPath().equals("/v2/finals")) {
            body.lines().forEach(line -> noticeStates.merge(line, "notified", (a, b) -> "notified twice"));
            call.sendResponseHeaders(204, -1);
        } else if (call.getRequestURI().getQuery() == null) {
            byte[] list = ("{\"rev\":1,\"all\":true,\"targets\":[" + targetsJson + "]}").getBytes(StandardCharsets.UTF_8);
            call.sendResponseHeaders(200, list.length);
            call.getResponseBody().write(list);
        } else {
            return; // a watch that stays unanswered, as the list never changes
        }
        call.close();
    }

    private DeliveryNode startNode(int number, String settings, int discovery) throws IOException {
        InetSocketAddress listenAddress;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            listenAddress = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        String json = "{\"name\":\"n" + number + "\",\"listen\":\"127.0.0.1:" + listenAddress.getPort()
                + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"" + (number + 1)
                + "\",\"limits\":{\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},"
                + "\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + targetsJson + "]},\"settings\":"
                + settings.replace("\"rank\":1", "\"rank\":" + number) + "}";
        DeliveryNode node = new DeliveryNode(NodeConfiguration.read(json.getBytes(StandardCharsets.UTF_8),
                new NodeConfiguration.StartupOptions("file", null, null, null,
                        Files.createDirectory(folder.resolve("n" + number)).toString())),
                new NodeLog(new PrintStream(PrintStream.nullOutputStream()), "n" + number));
        node.start();
        listenAddresses.put(number, listenAddress);
        nodes.add(node);
        return node;
    }

    private boolean submit(int node, String id) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest
                .newBuilder(URI.create("http://127.0.0.1:" + listenAddresses.get(node).getPort() + "/payment"))
                .timeout(Duration.ofSeconds(10)).header("Request-Id", id).header("Tenant", "acme")
                .header("Request-Timeout-Ms", "12000").header("X-Consignee", "dest=3")
                .POST(HttpRequest.BodyPublishers.ofString(id)).build();
        return httpClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 202;
    }

    @AfterEach
    void stop() {
        nodes.forEach(DeliveryNode::close);
        servers.forEach(server -> server.stop(0));
        executor.shutdownNow();
    }

    /** Guards against one kind of node using up the shared rate limit, and against rules that only one kind keeps. */
    @Test
    void nodesWithOldAndNewSettingsShareOneDestinationAndKeepTheRules() throws Exception {
        HttpServer endpoint = startServer(this::answerEvent);
        targetsJson = "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:" + endpoint.getAddress().getPort() + "\",\"az\":\"east\","
                + "\"model\":\"a\",\"pod_group\":3,\"state\":\"active\",\"capacity_hint\":" + CALLS_PER_SECOND
                + ",\"boot_ms\":0}";
        HttpServer discovery = startServer(this::answerDiscovery);
        for (int number = 0; number < 4; number++) {
            startNode(number, number < 2 ? OLD_SETTINGS : NEW_SETTINGS, discovery.getAddress().getPort());
        }
        int[] accepted = new int[4];
        for (int record = 0; record < RECORDS_PER_NODE; record++) {
            for (int number = 0; number < 4; number++) {
                accepted[number] += submit(number, "r-" + number + "-" + record) ? 1 : 0;
            }
            Thread.sleep(60);
        }
        long deadlineMillis = nowMillis() + 14_000;
        while (nodes.stream().mapToLong(node -> node.counters().get(Counter.TAKEN) - node.counters().get(Counter.DONE)
                - node.counters().get(Counter.ENDED_BOUNCED) - node.counters().get(Counter.ENDED_TERMINATED)).sum() > 0
                && nowMillis() < deadlineMillis) {
            Thread.sleep(50);
        }
        Map<String, Integer> runCounts = new HashMap<>();
        int[] done = new int[4];
        synchronized (this) {
            for (ReceivedCall call : receivedCalls) {
                if (call.ran) {
                    runCounts.merge(call.recordId, 1, Integer::sum);
                    done[call.recordId.charAt(2) - '0']++;
                }
            }
        }
        assertTrue(runCounts.values().stream().allMatch(count -> count == 1), "an unrepeatable record ran twice: " + runCounts);
        for (int number = 0; number < 4; number++) {
            Counters counters = nodes.get(number).counters();
            assertEquals(accepted[number],
                    done[number] + counters.get(Counter.ENDED_BOUNCED) + counters.get(Counter.ENDED_TERMINATED),
                    "node " + number + " left accepted records unfinished");
        }
        int doneByOld = done[0] + done[1];
        int doneByNew = done[2] + done[3];
        assertTrue(doneByOld + doneByNew > 2 * RECORDS_PER_NODE,
                "too few records delivered with old and with new settings: " + doneByOld + " and " + doneByNew);
        assertTrue(2 * doneByOld > doneByNew && 2 * doneByNew > doneByOld,
                "uneven shares with old and with new settings: " + doneByOld + " and " + doneByNew);
    }
}
