import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: the record of a run, the node as a process of its own started by the run command of the deploy
 * file, and small stand-ins for clients, endpoints and the platform. Everything is on 127.0.0.1, with free ports and a temporary folder.
 */
public final class Kit implements AutoCloseable {
    static final int HELD = 0, BROKEN = 1, COULD_NOT_RUN = 2;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<NodeProcess> nodes = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> servers = new CopyOnWriteArrayList<>();

    interface Case {
        boolean run(Kit kit) throws Exception;
    }

    /** Runs a case and ends this process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Case testCase, int maxSeconds) {
        int status = COULD_NOT_RUN;
        try (Kit kit = new Kit(maxSeconds)) {
            try {
                boolean held = testCase.run(kit);
                status = held ? HELD : BROKEN;
                kit.note(held ? "RESULT the rule held" : "RESULT the rule was broken");
            } catch (Throwable e) {
                kit.note("RESULT the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }

    private Kit(int maxSeconds) throws IOException {
        folder = Files.createTempDirectory("terndyke-review-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record", folder.resolve("record.txt").toString()))));
        Thread watchdog = new Thread(() -> {
            sleepQuietly(maxSeconds * 1000L);
            note("RESULT the case could not run: it took over " + maxSeconds + " s");
            close();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        }, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("TROUBLE=" + (trouble ? 1 : 0));
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line to the record and to standard output. */
    synchronized void note(String text) {
        String line = String.format("%8d ms  %s", now(), text);
        record.println(line);
        record.flush();
        System.out.println(line);
    }

    static void sleepQuietly(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; an exception if it does not in time. */
    void await(String what, long millis, Condition condition) throws Exception {
        long until = now() + millis;
        while (!condition.holds()) {
            if (now() > until) {
                throw new IllegalStateException("not in " + millis + " ms: " + what);
            }
            Thread.sleep(5);
        }
    }

    int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private ServerSocket listen(int backlog) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.0.1", 0), backlog);
        servers.add(server);
        return server;
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends all processes of the case and removes its folder. */
    @Override
    public void close() {
        nodes.forEach(NodeProcess::kill);
        for (ServerSocket server : servers) {
            try {
                server.close();
            } catch (IOException e) {
                // closed all the same
            }
        }
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                // removed before
            }
        }
    }

    // ---------------------------------------------------------------- messages of HTTP/1.1

    /** One request as it was read. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        long firstByteAt;
        long lastByteAt;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one request; null at the end of the connection. */
    Request readRequest(InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Request request = new Request();
        request.firstByteAt = now();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        request.method = parts[0];
        request.path = parts[1];
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        if (line == null) {
            return null;
        }
        int length = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
        request.body = in.readNBytes(length);
        request.lastByteAt = now();
        return request.body.length == length ? request : null;
    }

    static void writeResponse(OutputStream out, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    // ---------------------------------------------------------------- endpoints

    /** One call as an endpoint saw it; it has run if its answer is 200. */
    record SeenCall(String endpoint, String id, String idempotencyKey, long firstByteAt, long lastByteAt, int status) { }

    /** What an endpoint does with a call. It returns the status, and the headers in answerHeaders. */
    interface Behaviour {
        int answer(Endpoint endpoint, Request request) throws Exception;
    }

    /** A sound endpoint: takes calls on any number of connections, one at a time on each, and does the work of each. */
    final class Endpoint {
        final String name;
        final int port;
        final List<SeenCall> calls = new CopyOnWriteArrayList<>();
        volatile Behaviour behaviour;
        volatile long workMillis;
        private final ThreadLocal<String> answerHeaders = ThreadLocal.withInitial(() -> "");

        private final CountDownLatch reachable = new CountDownLatch(1);
        private final List<Socket> fillers = new ArrayList<>(); // what keeps the queue of an unreachable endpoint full

        Endpoint(String name, long workMillis) throws IOException {
            this(name, workMillis, true);
        }

        /** An endpoint whose machine has vanished if it is not reachable: connections to it never come up, until {@link #appear}. */
        Endpoint(String name, long workMillis, boolean reachableNow) throws IOException {
            this.name = name;
            this.workMillis = workMillis;
            ServerSocket server = listen(reachableNow ? 256 : 1);
            port = server.getLocalPort();
            behaviour = (endpoint, request) -> {
                Thread.sleep(this.workMillis);
                return 200;
            };
            if (reachableNow) {
                reachable.countDown();
            } else {
                fillQueue();
            }
            daemon("endpoint " + name, () -> accept(server));
        }

        /** Nobody accepts here: once the queue of connections is full, the system leaves the others unanswered. */
        private void fillQueue() throws IOException {
            for (int i = 0; i < 16; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(new InetSocketAddress("127.0.0.1", port), 300);
                    fillers.add(filler);
                } catch (java.net.SocketTimeoutException e) {
                    filler.close();
                    return;
                }
            }
            throw new IOException("the queue of connections does not fill up");
        }

        /** The machine is back. */
        void appear() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            note("ENDPOINT " + name + " is reachable");
            reachable.countDown();
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        void setHeaders(String headers) {
            answerHeaders.set(headers);
        }

        private void accept(ServerSocket server) {
            try {
                reachable.await();
            } catch (InterruptedException e) {
                return;
            }
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon("endpoint " + name + " connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
                for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                    if (request.method.equals("GET")) {
                        writeResponse(socket.getOutputStream(), request.path.equals("/ping") ? 200 : 404, "", new byte[0]);
                        continue;
                    }
                    String id = request.header("Request-Id");
                    String text = new String(request.body, 0, Math.min(40, request.body.length), StandardCharsets.ISO_8859_1).strip();
                    note("CALL  " + name + " got " + id + " whole (" + request.body.length + " bytes: " + text + ")");
                    answerHeaders.set("");
                    int index;
                    synchronized (calls) {
                        index = calls.size();
                        calls.add(new SeenCall(name, id, request.header("Idempotency-Key"), request.firstByteAt, request.lastByteAt, 0));
                    }
                    int status = behaviour.answer(this, request);
                    if (status == 0) {
                        return;
                    }
                    calls.set(index, new SeenCall(name, id, request.header("Idempotency-Key"), request.firstByteAt, request.lastByteAt, status));
                    note("ANSWER " + name + " answers " + id + " with " + status);
                    writeResponse(socket.getOutputStream(), status, answerHeaders.get(), new byte[0]);
                }
            } catch (Exception e) {
                // the node has closed the connection
            }
        }
    }

    // ---------------------------------------------------------------- the platform

    record Target(String uid, String address, String zone, String kind, int destination, String state, double rate) {
        String json(boolean indented) {
            String[] fields = {"\"uid\":\"" + uid + "\"", "\"endpoint\":\"" + address + "\"", "\"az\":\"" + zone + "\"",
                "\"model\":\"" + kind + "\"", "\"pod_group\":" + destination, "\"state\":\"" + state + "\"",
                "\"capacity_hint\":" + rate, "\"boot_ms\":0"};
            return indented ? "    {\n      " + String.join(",\n      ", fields) + "\n    }" : "{" + String.join(",", fields) + "}";
        }
    }

    static String listJson(long revision, boolean whole, List<Target> targets, boolean indented) {
        List<String> entries = new ArrayList<>();
        targets.forEach(target -> entries.add(target.json(indented)));
        return indented ? "{\n  \"rev\": " + revision + ",\n  \"all\": " + whole + ",\n  \"targets\": [\n" + String.join(",\n", entries) + "\n  ]\n}"
                : "{\"rev\":" + revision + ",\"all\":" + whole + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    /** Discovery and the receiver of notices at one address: the agent on the node's machine. */
    final class Platform {
        final int port;
        final Map<String, String> notices = new ConcurrentHashMap<>();
        volatile boolean silent; // discovery is down: the agent answers nothing about the list, but still takes notices
        volatile boolean indented;
        volatile long toldRevision; // the latest revision that an answer has carried
        volatile long toldAt;
        private volatile long revision = 41;
        private final ServerSocket server;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private final Map<String, Target> targets = new TreeMap<>();
        private final Map<String, Long> changedAt = new TreeMap<>();
        private final Pattern noticePattern = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([^\"]*)\"");

        Platform(List<Target> initial) throws IOException {
            initial.forEach(target -> {
                targets.put(target.uid(), target);
                changedAt.put(target.uid(), revision);
            });
            server = listen(256);
            port = server.getLocalPort();
            daemon("platform", () -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        connections.add(socket);
                        daemon("platform connection", () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        /** Discovery has moved: this address takes no new connection, and closes the open ones after a while. */
        void closeAfter(long millis) throws IOException {
            server.close();
            daemon("platform closes", () -> {
                sleepQuietly(millis);
                for (Socket socket : connections) {
                    try {
                        socket.close();
                    } catch (IOException e) {
                        // closed all the same
                    }
                }
            });
        }

        synchronized long revision() {
            return revision;
        }

        /** The list changes: these entries are new or have changed. */
        synchronized long change(Target... changed) {
            revision++;
            for (Target target : changed) {
                targets.put(target.uid(), target);
                changedAt.put(target.uid(), revision);
                note("LIST  revision " + revision + ": " + target.uid() + " of destination " + target.destination() + " at " + target.address()
                        + " is " + target.state());
            }
            notifyAll();
            return revision;
        }

        private synchronized List<Target> whole() {
            return targets.values().stream().filter(target -> !target.state().equals("left")).toList();
        }

        private void serve(Socket socket) {
            try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
                for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                    if (request.method.equals("POST")) {
                        takeNotices(request);
                        writeResponse(socket.getOutputStream(), 204, "", new byte[0]);
                    } else if (silent) {
                        while (true) {
                            if (in.read() < 0) {
                                return; // nothing is answered
                            }
                        }
                    } else {
                        answerList(request, socket.getOutputStream());
                    }
                }
            } catch (Exception e) {
                // the node has closed the connection
            }
        }

        private void takeNotices(Request request) {
            Matcher matcher = noticePattern.matcher(new String(request.body, StandardCharsets.UTF_8));
            while (matcher.find()) {
                if (notices.put(matcher.group(1), matcher.group(2)) == null) {
                    note("NOTICE " + matcher.group(1) + " " + matcher.group(2));
                }
            }
        }

        private void answerList(Request request, OutputStream out) throws Exception {
            Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(request.path);
            String body;
            long carried;
            if (watch.find()) {
                long after = Long.parseLong(watch.group(1));
                long until = now() + Long.parseLong(watch.group(2));
                synchronized (this) {
                    while (revision <= after && now() < until) {
                        wait(Math.max(1, until - now()));
                    }
                    carried = Math.max(after, revision);
                    List<Target> changed = targets.values().stream().filter(target -> changedAt.get(target.uid()) > after).toList();
                    body = listJson(carried, false, changed, indented);
                }
                if (silent) {
                    Thread.sleep(3_600_000);
                }
            } else {
                synchronized (this) {
                    carried = revision;
                    body = listJson(carried, true, whole(), indented);
                }
            }
            writeResponse(out, 200, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
            if (carried > toldRevision) {
                toldRevision = carried;
                toldAt = now();
                note("TOLD  the node has been written revision " + carried);
            }
        }
    }

    // ---------------------------------------------------------------- the node

    /** A node that is started as in production: by the run command of the deploy file, from the root, by /bin/sh -c. */
    final class NodeProcess {
        final int port;
        final Path configuration;
        private final Path state;
        private Process process;
        private int starts;

        NodeProcess(String name) throws IOException {
            port = freePort();
            state = Files.createDirectories(folder.resolve("state-" + name));
            configuration = folder.resolve("config-" + name + ".json");
            nodes.add(this);
        }

        void writeConfiguration(String discovery, String known, String settings, String limits) throws IOException {
            Path next = folder.resolve("config.next");
            Files.writeString(next, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"" + Integer.toHexString(1 + starts) + "\",\"limits\":" + limits + ",\"known\":" + known + ",\"settings\":"
                    + settings + "}");
            Files.move(next, configuration, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws Exception {
            launch();
            awaitReady();
        }

        /** Starts the process and returns at once. */
        void launch() throws Exception {
            String deployFile = Files.readString(root.resolve("deploy/balancer.toml"));
            Matcher matcher = Pattern.compile("(?ms)^run = (\"\"\"(.*?)\"\"\"|\"(.*?)\"$)").matcher(deployFile);
            if (!matcher.find()) {
                throw new IllegalStateException("no run command in the deploy file");
            }
            String command = matcher.group(2) != null ? matcher.group(2).replaceAll("\\\\\n\\s*", "") : matcher.group(3);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile()).redirectErrorStream(true);
            builder.environment().put("NODE_CONFIG", configuration.toString());
            builder.environment().put("NODE_STATE", state.toString());
            builder.environment().put("NODE_NAME", "n0");
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.redirectOutput(folder.resolve("node-" + ++starts + ".log").toFile());
            process = builder.start();
            note("NODE  start " + starts + " with the run command of the deploy file");
        }

        void awaitReady() throws Exception {
            await("the node is ready", 30_000, () -> {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the node ended: " + log());
                }
                return healthStatus() == 200;
            });
            note("NODE  ready");
        }

        int healthStatus() {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".getBytes());
                String line = readLine(new BufferedInputStream(socket.getInputStream()));
                return line == null ? -1 : Integer.parseInt(line.split(" ")[1]);
            } catch (IOException e) {
                return -1;
            }
        }

        /** True once the shell has become the program that the run command names. */
        boolean isProgramRunning() {
            return process.info().command().map(command -> command.endsWith("java")).orElse(false);
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitStatus() {
            return process.exitValue();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve("node-" + starts + ".log"));
        }

        void signal(String name) throws Exception {
            note("NODE  SIG" + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** SIGKILL alone. */
        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** A planned restart's end: SIGTERM, and SIGKILL 3.7 s later if it has not ended. */
        void terminate() throws Exception {
            signal("TERM");
            if (!process.waitFor(3_700, TimeUnit.MILLISECONDS)) {
                note("NODE  SIGKILL, 3.7 s after SIGTERM");
                kill();
            }
        }
    }

    // ---------------------------------------------------------------- clients

    /** One message and what became of handing it in; status 0 means no answer in 400 ms, -1 that the connection broke. */
    record HandIn(String id, int status, long sentAt) {
        boolean taken() {
            return status == 200 || status == 202;
        }
    }

    /** Hands a message in on a connection of its own, and waits 400 ms for the answer. */
    HandIn handIn(NodeProcess node, String grade, String id, String key, int destination, long timeoutMillis, String body) {
        long sentAt = now();
        int status = -1;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", node.port), 400);
            socket.setSoTimeout(400);
            String head = "POST /" + grade + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nTenant: acme\r\n"
                    + (key.isEmpty() ? "" : "Cookie: key=" + key + "\r\n") + "Request-Timeout-Ms: " + timeoutMillis + "\r\n"
                    + "Idempotency-Key: key-of-" + id + "\r\nContent-Length: " + body.length() + "\r\nX-Consignee: dest=" + destination
                    + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            String line = readLine(new BufferedInputStream(socket.getInputStream()));
            status = line == null ? -1 : Integer.parseInt(line.split(" ")[1]);
        } catch (java.net.SocketTimeoutException e) {
            status = 0;
        } catch (IOException e) {
            status = -1;
        }
        note("CLIENT " + id + " (" + grade + ", destination " + destination + ") answered " + status);
        return new HandIn(id, status, sentAt);
    }
}
