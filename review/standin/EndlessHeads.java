import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients hand in messages all the time. Meanwhile 80 other clients send heads that do not end, at full speed, read what they
 * are sent, and leave when the node closes the connection, or 3 s after connecting.
 */
final class EndlessHeads {
    private static final int BAD_CLIENTS = 80; // with the usual ones under a third of the 1,024 descriptors
    private static final int LINE_BYTES = 8_000; // of each line of their heads
    private static final int USUAL_CLIENTS = 4;
    private static final long MESSAGE_MILLIS = 5_000;
    private static final long END_OF_LOAD_MILLIS = 16_000;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig.open(Path.of(arguments[1]).toAbsolutePath());
        Path folder = Rig.temporaryFolder();
        Set<String> delivered = ConcurrentHashMap.newKeySet();
        Rig.Server endpoint = new Rig.Server(request -> {
            Rig.sleep(200);
            delivered.add(String.valueOf(request.header("request-id")));
            return Rig.response("200 OK", "", "");
        });
        String targets = Rig.target("s-1", endpoint.address(), "hall-east", "farm-software", 7);
        Rig.Platform platform = new Rig.Platform(targets);
        Rig.Node node = new Rig.Node(root, folder, platform.server.address(), targets,
                "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}", Rig.settings(true, Rig.STATUS));
        if (!node.start()) {
            Rig.end(2, "the node did not start");
        }
        long begin = Rig.ms();
        AtomicInteger number = new AtomicInteger();
        AtomicInteger endedWithoutAnswer = new AtomicInteger();
        AtomicLong lastAnswerAt = new AtomicLong();
        Map<String, Long> takenUntil = new ConcurrentHashMap<>();
        List<Thread> usual = new CopyOnWriteArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usual.add(Rig.thread(() -> {
                try (Rig.Client client = new Rig.Client(node.port)) {
                    while (Rig.ms() < begin + END_OF_LOAD_MILLIS) {
                        String id = "u" + number.incrementAndGet();
                        long until = Rig.ms() + MESSAGE_MILLIS;
                        byte[] request = Rig.request("climate-status", id, 7, MESSAGE_MILLIS, "", new byte[200]);
                        int status = client.send(request, 400);
                        if (status == 0 && client.written) { // once more on a new connection, as a closing may have crossed it
                            status = client.send(request, 400);
                            if (status == 0 && client.written) {
                                endedWithoutAnswer.incrementAndGet();
                            }
                        }
                        if (status > 0) {
                            lastAnswerAt.set(Rig.ms());
                        }
                        if (status == 202 || status == 200) {
                            takenUntil.put(id, until);
                        }
                        Rig.log("usual client handed in " + id + ": " + (status > 0 ? status
                                : status < 0 ? "no answer in 400 ms" : client.written ? "connection ended with no answer"
                                : "no connection"));
                        Rig.sleep(100);
                    }
                }
            }));
        }
        Rig.sleep(2000);
        if (trouble) {
            byte[] firstLines = "POST /climate-status HTTP/1.1\r\nHost: app.svc\r\n".getBytes(StandardCharsets.ISO_8859_1);
            byte[] line = ("X-Note: " + "a".repeat(LINE_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            Rig.log(BAD_CLIENTS + " clients connect and send endless heads in lines of " + line.length + " bytes");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Socket socket = new Socket();
                try {
                    socket.connect(new InetSocketAddress("127.0.0.1", node.port), 1000);
                } catch (IOException e) {
                    Rig.log("bad client " + i + " gets no connection");
                    continue;
                }
                Rig.thread(() -> sendEndlessHead(socket, firstLines, line));
            }
            Rig.log("that was the last of them");
        }
        for (Thread thread : usual) {
            thread.join();
        }
        Rig.sleep(MESSAGE_MILLIS + 500); // 300 ms and 50 ms after the time of the last message, and some more
        boolean alive = node.process.isAlive();
        String health = node.get("/_health", 2000).lines().findFirst().orElse("no answer");
        long silentMillis = begin + END_OF_LOAD_MILLIS - lastAnswerAt.get();
        long lost = takenUntil.keySet().stream().filter(id -> !delivered.contains(id) && !platform.noticeAt.containsKey(id))
                .peek(id -> Rig.log("taken on, neither delivered nor ended by a notice: " + id)).count();
        Files.readString(node.log).lines().filter(line -> line.contains("Error")).limit(5).forEach(line -> Rig.log("node's log: " + line));
        Rig.log("handed in " + number + ", taken on " + takenUntil.size() + ", delivered " + delivered.size() + ", notices "
                + platform.notices.size());
        Rig.log("process " + (alive ? "runs" : "has exited") + ", health: " + health + ", last answer to a usual client "
                + silentMillis + " ms before the end of the load, requests whose connections ended with no answer twice: "
                + endedWithoutAnswer + ", messages taken on and lost: " + lost);
        boolean held = alive && health.startsWith("HTTP/1.1 200") && silentMillis < 5000 && endedWithoutAnswer.get() == 0 && lost == 0;
        Rig.end(held ? 0 : 1, held ? "held" : "broken: the node " + (alive ? "hangs" : "has crashed"));
    }

    private static void sendEndlessHead(Socket socket, byte[] firstLines, byte[] line) {
        long end = Rig.ms() + 3000;
        Rig.thread(() -> {
            try {
                while (socket.getInputStream().read() >= 0) { }
            } catch (IOException e) {
                // the node has closed the connection, as it may
            }
        });
        try (socket) {
            socket.getOutputStream().write(firstLines);
            while (Rig.ms() < end) {
                socket.getOutputStream().write(line);
            }
        } catch (IOException e) {
            // the node has closed the connection, as it may
        }
    }
}
