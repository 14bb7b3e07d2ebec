import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Stand-ins of a review case: platform, endpoints, clients, and the node as a process of its own. Loopback only. */
final class Rig {
    static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static PrintStream record;
    private static Path temporary;

    private Rig() { }

    /** Milliseconds since the case began. */
    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void open(Path folder) throws IOException {
        record = new PrintStream(Files.newOutputStream(folder.resolve("record.txt")), true, StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::killAll));
        Thread.currentThread().setUncaughtExceptionHandler((thread, cause) -> end(2, "the case could not run: " + cause));
        thread(() -> {
            sleep(115_000);
            end(2, "the case took too long");
        });
    }

    /** One line of record.txt. */
    static synchronized void log(String text) {
        record.printf("%7d ms  %s%n", ms(), text);
    }

    static void killAll() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A folder for the node, which is deleted at the end of the case. */
    static Path temporaryFolder() throws IOException {
        temporary = Files.createTempDirectory("terndyke-review");
        return temporary;
    }

    /** Ends the case with the exit status that run.sh promises. */
    static synchronized void end(int status, String verdict) {
        log("verdict: " + verdict + ", exit " + status);
        System.out.println(verdict);
        killAll();
        try {
            if (temporary != null) {
                deleteTree(temporary);
            }
        } catch (IOException e) {
            System.out.println("left behind: " + e.getMessage());
        }
        Runtime.getRuntime().halt(status);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static void deleteTree(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** One HTTP request or response as read from a socket. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        /** Reads one message; null at the end of the input. */
        static Message read(InputStream in) throws IOException {
            Message message = new Message();
            message.firstLine = readLine(in);
            if (message.firstLine == null) {
                return null;
            }
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).strip().toLowerCase(), line.substring(colon + 1).strip());
            }
            String length = message.header("content-length");
            if (length != null) {
                int bytes = Integer.parseInt(length);
                message.body = in.readNBytes(bytes);
                if (message.body.length < bytes) {
                    return null;
                }
            }
            return message;
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next == '\n') {
                    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
                }
                line.write(next);
            }
            return null;
        }
    }

    /** Server with a thread for each connection. A handler returns the response, or null to leave the call without one. */
    static class Server {
        final ServerSocket socket;
        final List<Socket> open = new CopyOnWriteArrayList<>();

        Server(Function<Message, String> handler) throws IOException {
            this(new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1")), handler);
        }

        Server(ServerSocket socket, Function<Message, String> handler) {
            this.socket = socket;
            thread(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket client = socket.accept();
                        client.setTcpNoDelay(true);
                        open.add(client);
                        thread(() -> serve(client, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket client, Function<Message, String> handler) {
            try (client) {
                InputStream in = new java.io.BufferedInputStream(client.getInputStream());
                for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                    String response = handler.apply(request);
                    if (response != null) {
                        client.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
            } catch (IOException e) {
                // the node closed the connection
            }
            open.remove(client);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String response(String status, String extraHeaders, String body) {
        return "HTTP/1.1 " + status + "\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Discovery and the receiver of notices, as PROTOCOL.md describes them. */
    static final class Platform {
        final Server server;
        final List<String> notices = new CopyOnWriteArrayList<>();
        final Map<String, Long> noticeAt = new java.util.concurrent.ConcurrentHashMap<>();
        private String list; // all of it
        private String lastChange = "";
        private int revision = 1;

        Platform(String targets) throws IOException {
            list = targets;
            server = new Server(this::answer);
        }

        /** Publishes a change: the entries that changed, and the whole list as it is then. */
        synchronized void change(String changedTargets, String targets) {
            lastChange = changedTargets;
            list = targets;
            revision++;
            notifyAll();
        }

        private String answer(Message request) {
            String path = request.firstLine.split(" ")[1];
            if (path.equals("/v2/finals")) {
                for (String line : new String(request.body, StandardCharsets.UTF_8).split("\n")) {
                    log("notice " + line);
                    notices.add(line);
                    noticeAt.putIfAbsent(line.split("\"")[3], ms());
                }
                return "HTTP/1.1 204 No Content\r\n\r\n";
            }
            Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(path);
            return watch.find() ? answerWatch(Integer.parseInt(watch.group(1)), Long.parseLong(watch.group(2))) : wholeList();
        }

        private synchronized String wholeList() {
            log("discovery tells the whole list, revision " + revision);
            return response("200 OK", "", "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + list + "]}");
        }

        private synchronized String answerWatch(int after, long waitMillis) {
            long end = ms() + waitMillis;
            while (revision <= after && ms() < end) {
                try {
                    wait(Math.max(1, end - ms()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            if (revision > after + 1 || after < 1) {
                return wholeList();
            }
            if (revision > after) {
                log("discovery tells a change, revision " + revision);
            }
            return response("200 OK", "", "{\"rev\":" + revision + ",\"all\":false,\"targets\":["
                    + (revision > after ? lastChange : "") + "]}");
        }
    }

    /** The entry of an endpoint in discovery's list. */
    static String target(String uid, String address, String zone, String model, int destination) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"" + zone + "\",\"model\":\"" + model
                + "\",\"pod_group\":" + destination + ",\"state\":\"active\",\"capacity_hint\":50.0,\"boot_ms\":0}";
    }

    /** A delivery node, started by the run command of the deploy file. */
    static final class Node {
        private static final Pattern RUN = Pattern.compile("(?s)\\nrun = \"\"\"(.*?)\"\"\"");
        final Path folder;
        final Path root;
        final int port;
        final Path log;
        Process process;
        int starts;

        Node(Path root, Path folder, String platform, String targets, String limits, String settings) throws IOException {
            this.root = root;
            this.folder = folder;
            port = freePort();
            log = folder.resolve("node.log");
            Files.createDirectories(folder.resolve("state"));
            writeConfiguration(platform, targets, limits, settings);
        }

        void writeConfiguration(String platform, String targets, String limits, String settings) throws IOException {
            Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"discovery\":\"" + platform + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits
                    + ",\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]},\"settings\":" + settings + "}");
        }

        /** Starts the node and waits until it is ready; false if it is not within the 30 s that the pages allow. */
        boolean start() throws IOException {
            Matcher matcher = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!matcher.find()) {
                throw new IOException("no run entry in the deploy file");
            }
            Files.createDirectories(folder.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", matcher.group(1).replace("\\\n", ""))
                    .directory(root.toFile()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("NODE_STATE", folder.resolve("state").toString());
            builder.environment().put("NODE_NAME", "n0");
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
            process = builder.start();
            PROCESSES.add(process);
            starts++;
            long deadline = ms() + 30_000;
            while (ms() < deadline && process.isAlive()) {
                if (get("/_health", 1000).startsWith("HTTP/1.1 200")) {
                    log("node ready, start " + starts);
                    return true;
                }
                sleep(50);
            }
            return false;
        }

        void signal(String name) throws IOException, InterruptedException {
            log("SIG" + name + " to the node");
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** The whole answer to a GET on a connection of its own; empty if there is none in time. */
        String get(String path, int timeoutMillis) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
                socket.setSoTimeout(timeoutMillis);
                socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n").getBytes());
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            } catch (IOException e) {
                return "";
            }
        }

        String counter(String name) {
            Matcher matcher = Pattern.compile("(?m)^" + name + " (\\d+)$").matcher(get("/_counters", 2000));
            return matcher.find() ? matcher.group(1) : "?";
        }
    }

    /** One usual client with a connection of its own. */
    static final class Client implements AutoCloseable {
        private final int port;
        private Socket socket;
        private InputStream in;
        boolean written; // the last byte of the last request has been written

        Client(int port) {
            this.port = port;
        }

        /** Sends a request and waits for its answer: the status, 0 if the connection ended without one, -1 if none came in time. */
        int send(byte[] request, int timeoutMillis) {
            written = false;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
                    in = new java.io.BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout(timeoutMillis);
                OutputStream out = socket.getOutputStream();
                out.write(request);
                written = true;
                Message answer = Message.read(in);
                if (answer == null) {
                    close();
                    return 0;
                }
                if ("close".equalsIgnoreCase(answer.header("connection"))) {
                    close();
                }
                return answer.status();
            } catch (java.net.SocketTimeoutException e) {
                close();
                return -1;
            } catch (IOException e) {
                close();
                return 0;
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // closed already
            }
            socket = null;
        }
    }

    /** A message as a client hands it in. */
    static byte[] request(String grade, String id, int destination, long timeoutMillis, String extraHeaders, byte[] body) {
        byte[] head = ("POST /" + grade + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nTenant: acme\r\n"
                + "Request-Timeout-Ms: " + timeoutMillis + "\r\nContent-Length: " + body.length + "\r\nX-Consignee: dest="
                + destination + "\r\n" + extraHeaders + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        return request;
    }

    /** The settings of a small deployment, in the form of WIRE-terndyke.md. */
    static String settings(boolean copies, String classes) {
        return "{\"balancers\":1,\"rank\":0,\"zone\":0,\"dcs\":[\"hall-east\",\"hall-west\"],\"kinds\":[\"farm-software\"],"
                + "\"discovery\":\"push\",\"weightSource\":\"rough\",\"resolution\":0.005,\"overShareWorth\":0.1,\"countedBy\":\"request\","
                + "\"domainType\":\"deliver\",\"clientHabits\":{\"marksRetry\":true},"
                + "\"familyInfo\":{\"callsOut\":33,\"kindApart\":[true],\"perCall\":[1],\"late\":\"even\",\"zoneFee\":[0.0,0.0]},"
                + "\"ceilings\":{\"maxOpen\":468,\"maxAttempts\":8,\"secondCopies\":" + copies + ",\"cancelling\":true,"
                + "\"probes\":true,\"peers\":false,\"retryAfter\":true,\"maxRetryAfter\":2.0,\"connectTimeout\":1.5,"
                + "\"connIdle\":15.0,\"streamsPerConn\":1},"
                + "\"costs\":{\"crossZone\":0.01,\"handshake\":0.02},"
                + "\"report\":{\"how\":\"off\",\"fields\":[]},"
                + "\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":100.0,\"share\":1.0}],"
                + "\"obligations\":{\"stopSendingWithin\":2.0,\"fallMultiple\":2.0,\"overloadFor\":2.0,\"coldShare\":0.2,"
                + "\"cold\":11.0,\"keyQuiet\":0.1,\"answerSlack\":0.02},"
                + "\"classes\":[" + classes + "]}";
    }

    static final String STATUS = "{\"name\":\"climate-status\",\"target\":1.5,\"deadline\":5.0,\"semantics\":\"retryable\","
            + "\"group\":\"all\",\"memorySpan\":5.0,\"lateShare\":0.0,\"points\":3.0,\"stream\":false}";
    static final String ORDER = "{\"name\":\"supply-order\",\"target\":2.5,\"deadline\":12.0,\"semantics\":\"dedup\","
            + "\"group\":\"zone\",\"memorySpan\":6.0,\"serialByKey\":true,\"lateShare\":0.3,\"points\":1.0,\"stream\":false}";
    static final String POSTING = "{\"name\":\"contribution-post\",\"target\":2.0,\"deadline\":16.0,\"semantics\":\"fragile\","
            + "\"lateShare\":0.4,\"points\":3.0,\"stream\":false}";
}
