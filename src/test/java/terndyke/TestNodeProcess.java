package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A node in a process of its own, started as in production: by the run command in deploy/balancer.toml. */
final class TestNodeProcess implements AutoCloseable {
    private static final Pattern RUN_COMMAND_PATTERN = Pattern.compile("(?s)\\nrun = \"\"\"(.*?)\"\"\"");
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int TERMINATION_MILLIS = 3_700;
    private static final int LOG_TIMEOUT_MILLIS = 60_000;
    private static final String END_OF_LOG = "\n"; // no line holds one
    private static final int SMALL_DESCRIPTORS = 256;
    private static final int FULL_DESCRIPTORS = 1_024;
    private static final int FULL_CONCURRENT_CALLS = 33;
    private static final double FULL_CONNECT_TIMEOUT_SECONDS = 1.5;
    private static final String SETTINGS = """
            {"balancers":1,"rank":0,"zone":0,"dcs":["east"],"kinds":["a"],"discovery":"push","weightSource":"off",
             "resolution":0.005,"overShareWorth":0.1,"familyInfo":{"callsOut":4,"kindApart":[false],"perCall":[1]},
             "ceilings":{"maxOpen":40,"maxAttempts":8,"secondCopies":true,"cancelling":true,"probes":true,
               "retryAfter":true,"maxRetryAfter":2.0,"connectTimeout":0.5,"connIdle":15.0},
             "report":{"how":"off","fields":[]},
             "obligations":{"stopSendingWithin":2.0,"fallMultiple":2.0,"overloadFor":2.0,"coldShare":0.2,
               "cold":11.0,"keyQuiet":0.1,"answerSlack":0.02},
             "classes":[{"name":"status","target":1.5,"deadline":5.0,"semantics":"retryable","points":3.0},
               {"name":"payment","target":2.5,"deadline":5.0,"semantics":"fragile","points":1.0},
               {"name":"order","target":2.5,"deadline":5.0,"semantics":"fragile","serialByKey":true,"points":1.0},
               {"name":"reading","target":2.5,"deadline":5.0,"semantics":"retryable","serialByKey":true,"points":1.0},
               {"name":"supply","target":2.5,"deadline":24.0,"semantics":"dedup","group":"zone","memorySpan":3.0,
                 "serialByKey":true,"points":1.0}]}""";

    private final Process process;
    private final BlockingQueue<String> unreadLog = new LinkedBlockingQueue<>();
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private final int port;

    private TestNodeProcess(Process process, int port) {
        this.process = process;
        this.port = port;
        Thread logReader = new Thread(this::readLog, "node-log");
        logReader.setDaemon(true);
        logReader.start();
    }

    /** Reads the log all the time, as a full pipe would stop the process. */
    private void readLog() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                logLines.add(line);
                unreadLog.add(line);
            }
        } catch (IOException e) {
            // the process has been ended
        }
        unreadLog.add(END_OF_LOG);
    }

    /** The lines that the process has logged so far. */
    List<String> logLines() {
        return List.copyOf(logLines);
    }

    static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /** Writes a configuration with an empty endpoint list. */
    static Path writeConfiguration(Path folder, String listen, String discovery) throws IOException {
        return writeConfiguration(folder, listen, discovery, SMALL_DESCRIPTORS, SETTINGS);
    }

    private static Path writeConfiguration(Path folder, String listen, String discovery, int descriptors, String settings)
            throws IOException {
        return writeConfiguration(folder, listen, discovery, descriptors, settings, "{}");
    }

    private static Path writeConfiguration(Path folder, String listen, String discovery, int descriptors, String settings,
            String knownList) throws IOException {
        return Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"" + listen
                + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":192,\"sockets\":"
                + descriptors + ",\"disk_mb\":3},\"known\":" + knownList + ",\"settings\":" + settings + "}");
    }

    /** Starts a node from a shell that runs the given commands first. */
    static TestNodeProcess start(Path folder, String shellPrefix, Path configuration, String listen) throws IOException {
        Matcher matcher = RUN_COMMAND_PATTERN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(matcher.find());
        String command = matcher.group(1).replace("\\\n", " ").replace("-jar target/terndyke.jar",
                "-cp '" + System.getProperty("java.class.path") + "' terndyke.Main");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", shellPrefix + command).redirectErrorStream(true);
        builder.environment().put("NODE_CONFIG", configuration.toString());
        builder.environment().put("NODE_STATE", folder.resolve("state").toString());
        Files.createDirectories(folder.resolve("state"));
        return new TestNodeProcess(builder.start(), port(listen));
    }

    /** Starts a small node that uses discovery at the given address, and waits until it serves. */
    static TestNodeProcess startServing(Path folder, String discovery) throws IOException {
        return startServing(folder, "", discovery);
    }

    /** Starts a small node from a shell that runs the given commands first, and waits until it serves. */
    static TestNodeProcess startServing(Path folder, String shellPrefix, String discovery) throws IOException {
        String listen = freeAddress();
        return awaitServing(start(folder, shellPrefix, writeConfiguration(folder, listen, discovery), listen));
    }

    /** Starts a node with as many descriptors and concurrent calls, and as long a connect timeout, as production has at most. */
    static TestNodeProcess startServingAtFullSize(Path folder, String discovery) throws IOException {
        return startServingAtFullSize(folder, "", discovery);
    }

    /** The same, from a shell that runs the given commands first. */
    static TestNodeProcess startServingAtFullSize(Path folder, String shellPrefix, String discovery) throws IOException {
        String listen = freeAddress();
        String settings = SETTINGS.replace("\"callsOut\":4", "\"callsOut\":" + FULL_CONCURRENT_CALLS)
                .replace("\"connectTimeout\":0.5", "\"connectTimeout\":" + FULL_CONNECT_TIMEOUT_SECONDS);
        return awaitServing(start(folder, shellPrefix, writeConfiguration(folder, listen, discovery, FULL_DESCRIPTORS, settings), listen));
    }

    /** Starts a small node that may hold 1,000 messages, from a shell that runs the given commands first. */
    static TestNodeProcess startServingWithManyMessages(Path folder, String shellPrefix, String discovery) throws IOException {
        String listen = freeAddress();
        return awaitServing(start(folder, shellPrefix, writeConfiguration(folder, listen, discovery, SMALL_DESCRIPTORS,
                SETTINGS.replace("\"maxOpen\":40", "\"maxOpen\":1000")), listen));
    }

    /** Starts a small node that has the given list in its configuration and gets lists from discovery by push or on request. */
    static TestNodeProcess startServing(Path folder, String discovery, String knownList, boolean listOnRequest) throws IOException {
        String listen = freeAddress();
        String settings = listOnRequest ? SETTINGS.replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"") : SETTINGS;
        return awaitServing(start(folder, "",
                writeConfiguration(folder, listen, discovery, SMALL_DESCRIPTORS, settings, knownList), listen));
    }

    private static TestNodeProcess awaitServing(TestNodeProcess node) throws IOException {
        node.awaitLog("serving on");
        return node;
    }

    int port() {
        return port;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Reads the log up to a line that contains the given text. */
    void awaitLog(String text) throws IOException {
        try {
            String line = unreadLog.poll(LOG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            while (line != null && !line.equals(END_OF_LOG) && !line.contains(text)) {
                line = unreadLog.poll(LOG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            assertTrue(line != null && !line.equals(END_OF_LOG), "the log ended without the text: " + text + logLines);
        } catch (InterruptedException e) {
            throw new InterruptedIOException("interrupted while waiting for the log");
        }
    }

    /** Waits until the node has counted as many deliveries. */
    void awaitDeliveries(int count) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
        while (counter("ended_done") < count) {
            assertTrue(System.nanoTime() < deadline, "the node has not counted " + count + " deliveries");
            Thread.sleep(10);
        }
    }

    /** The value of one of the node's counters; 0 if it is not listed. */
    int counter(String name) throws IOException {
        String counters = sendRaw("GET /_counters HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n", true);
        Matcher matcher = Pattern.compile("(?m)^" + name + " (\\d+)$").matcher(counters);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Writes a configuration with another address of discovery, and has it read. */
    void moveDiscovery(Path folder, String discovery) throws IOException, InterruptedException {
        writeConfiguration(folder, address(), discovery);
        sendHangup();
    }

    void sendHangup() throws IOException, InterruptedException {
        sendSignal("HUP");
    }

    /** Stops the process, as if it got no processor time, until {@link #resume}. */
    void pause() throws IOException, InterruptedException {
        sendSignal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        sendSignal("CONT");
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Lets writes to files fail once a file would grow past the given size; a negative size lifts the limit. */
    void limitFileSize(long bytes) throws IOException, InterruptedException {
        String limit = bytes < 0 ? "unlimited" : Long.toString(bytes);
        assertEquals(0, new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + limit + ":unlimited").start()
                .waitFor());
    }

    /** Kills the process and waits until it is gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Asks the process to end, and kills it if it has not within the time that it is given. */
    void terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(TERMINATION_MILLIS, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    /** Waits until the process has ended by itself; returns its exit status. */
    int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        return process.exitValue();
    }

    void assertCleanExit() throws InterruptedException {
        process.destroy();
        assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(0, process.exitValue());
    }

    /** Discovery's list for the given number of destinations, numbered from 0, each with one endpoint at the given address. */
    static String listJson(String address, int destinations) {
        return IntStream.range(0, destinations).mapToObj(number -> "{\"uid\":\"s-" + number + "\",\"endpoint\":\"" + address
                + "\",\"az\":\"east\",\"model\":\"a\",\"pod_group\":" + number
                + ",\"state\":\"active\",\"capacity_hint\":50,\"boot_ms\":0}")
                .collect(Collectors.joining(",", "{\"rev\":1,\"all\":true,\"targets\":[", "]}"));
    }

    /** Submits a message on a connection of its own; returns the first line of the answer. */
    String submit(String grade, String id, int destination, long timeoutMillis) throws IOException {
        return sendRaw(requestText(grade, id, destination, timeoutMillis), false).lines().findFirst().orElse("");
    }

    /** The request that hands a message in. */
    static String requestText(String grade, String id, int destination, long timeoutMillis) {
        return requestText(grade, id, "", destination, timeoutMillis);
    }

    /** The request that hands a message in, with a key unless that is empty. */
    static String requestText(String grade, String id, String key, int destination, long timeoutMillis) {
        String body = "body of " + id;
        String cookie = key.isEmpty() ? "" : "Cookie: key=" + key + "\r\n";
        return "POST /" + grade + " HTTP/1.1\r\nHost: n0\r\n" + cookie + "Request-Id: " + id + "\r\nX-Consignee: dest=" + destination
                + "\r\nRequest-Timeout-Ms: " + timeoutMillis + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Submits a message that is kept in order with the others of its key; returns the first line of the answer. */
    String submit(String grade, CallRecorder.Message message, int destination, long timeoutMillis) throws IOException {
        String request = "POST /" + grade + " HTTP/1.1\r\nHost: n0\r\nRequest-Id: " + message.id() + "\r\nCookie: key="
                + message.key() + "\r\nX-Consignee: dest=" + destination + "\r\nRequest-Timeout-Ms: " + timeoutMillis
                + "\r\nContent-Length: 0\r\n\r\n";
        return sendRaw(request, false).lines().findFirst().orElse("");
    }

    /**
     * Sends bytes on a connection of its own and half-closes it afterwards if asked to. Returns the answer: up to the end of the
     * connection if it was half-closed, otherwise up to the end of the head.
     */
    String sendRaw(String bytes, boolean halfClose) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            if (halfClose) {
                client.shutdownOutput();
            }
            StringBuilder answer = new StringBuilder();
            for (int next = client.getInputStream().read(); next >= 0; next = client.getInputStream().read()) {
                answer.append((char) next);
                if (!halfClose && answer.toString().endsWith("\r\n\r\n")) {
                    break;
                }
            }
            return answer.toString();
        } catch (SocketException e) {
            return ""; // closed by a reset
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
