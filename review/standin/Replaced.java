import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/**
 * Endpoint s-1 of destination 7 goes, and s-9 of destination 8 comes at its address; s-7 is the new endpoint of destination 7.
 * Connections to s-1 come up late, so that they are still coming up when discovery tells the change.
 */
final class Replaced {
    private static final int ON_TIME = 8; // messages with connections that come up at once
    private static final int LATE = 4; // and late: a third of all

    private static volatile String holder = "s-1"; // of the first address
    private static volatile long toldAt = Long.MAX_VALUE;
    private static final Set<String> delivered = ConcurrentHashMap.newKeySet();
    private static final List<String> misdirected = new CopyOnWriteArrayList<>();

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rig.open(Path.of(arguments[1]).toAbsolutePath());
        Path folder = Rig.temporaryFolder();
        ServerSocket firstAddress = new ServerSocket(0, trouble ? 1 : 512, InetAddress.getByName("127.0.0.1"));
        String address = "127.0.0.1:" + firstAddress.getLocalPort();
        Rig.Server s7 = new Rig.Server(request -> run("s-7", 7, request));
        Rig.Server s8 = new Rig.Server(request -> run("s-8", 8, request));
        Function<Rig.Message, String> first = request -> run(holder, holder.equals("s-1") ? 7 : 8, request);
        List<Socket> waiting = new ArrayList<>();
        Rig.Server server = null;
        if (trouble) {
            fillQueue(firstAddress, waiting);
        } else {
            server = new Rig.Server(firstAddress, first);
        }
        String before = Rig.target("s-1", address, "hall-east", "farm-software", 7);
        String other = Rig.target("s-8", s8.address(), "hall-east", "farm-software", 8);
        String after = Rig.target("s-9", address, "hall-east", "farm-software", 8) + ","
                + Rig.target("s-7", s7.address(), "hall-east", "farm-software", 7);
        Rig.Platform platform = new Rig.Platform(before + "," + other);
        Rig.Node node = new Rig.Node(root, folder, platform.server.address(), before + "," + other,
                "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}", Rig.settings(false, Rig.POSTING)
                        .replace("\"stopSendingWithin\":2.0", "\"stopSendingWithin\":0.5")); // as at main-campus
        if (!node.start()) {
            Rig.end(2, "the node did not start");
        }
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < ON_TIME; i++) {
            handIn(node, taken, "to8-" + i, 8);
        }
        for (int i = 0; i < LATE; i++) {
            handIn(node, taken, "to7-" + i, 7);
        }
        Rig.sleep(300);
        Rig.log("s-1 has left and s-9 of destination 8 is at its address; s-7 is the new endpoint of destination 7");
        holder = "s-9";
        if (server != null) {
            for (Socket connection : server.open) { // of the process that has gone
                connection.setSoLinger(true, 0);
                connection.close();
            }
        }
        platform.change(before.replace("active", "left") + "," + after, other + "," + after);
        toldAt = Rig.ms();
        Rig.sleep(200);
        if (trouble) {
            Rig.log("s-9 accepts connections");
            new Rig.Server(firstAddress, first);
            for (Socket socket : waiting) {
                socket.close();
            }
        }
        for (int i = 0; i < 3; i++) {
            handIn(node, taken, "later-to7-" + i, 7);
            handIn(node, taken, "later-to8-" + i, 8);
        }
        Rig.sleep(5500 + 350);
        List<String> lost = taken.stream().filter(id -> !delivered.contains(id) && !platform.noticeAt.containsKey(id)).toList();
        lost.forEach(id -> Rig.log("taken on, neither delivered by its destination nor ended by a notice: " + id));
        Rig.log("taken on " + taken.size() + ", run by an endpoint of their destination " + delivered.size() + ", sent to an endpoint of "
                + "another destination after the change was told " + misdirected.size() + " " + misdirected);
        if (taken.size() < ON_TIME + LATE) {
            Rig.end(2, "messages were not taken on");
        }
        boolean held = misdirected.isEmpty() && lost.isEmpty();
        Rig.end(held ? 0 : 1, held ? "held" : "broken: " + misdirected.size() + " messages went to an endpoint of another destination, "
                + lost.size() + " never reached their own");
    }

    /** Connects until the accept queue is full and further connections do not come up. */
    private static void fillQueue(ServerSocket server, List<Socket> waiting) throws IOException {
        for (int i = 0; i < 8; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(server.getLocalSocketAddress(), 300);
                waiting.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                Rig.log("connections to s-1 do not come up for the time being");
                return;
            }
        }
        Rig.end(2, "connections to s-1 come up at once");
    }

    private static void handIn(Rig.Node node, List<String> taken, String id, int destination) {
        try (Rig.Client client = new Rig.Client(node.port)) {
            int status = client.send(Rig.request("contribution-post", id, destination, 5000, "", new byte[200]), 400);
            Rig.log("handed in " + id + " for destination " + destination + ": " + status);
            if (status == 202 || status == 200) {
                taken.add(id);
            }
        }
    }

    /** An endpoint runs what comes: a call does not say for which destination it is. */
    private static String run(String uid, int destination, Rig.Message request) {
        if (!request.firstLine.startsWith("POST /events")) {
            return Rig.response("200 OK", "", "");
        }
        String id = request.header("request-id");
        Rig.log("endpoint " + uid + " of destination " + destination + " runs " + id);
        if (id.contains("to" + destination + "-")) {
            delivered.add(id);
        } else if (Rig.ms() >= toldAt) {
            misdirected.add(id + " at " + uid + ", " + (Rig.ms() - toldAt) + " ms after discovery told the change");
        }
        Rig.sleep(200);
        return Rig.response("200 OK", "", "");
    }
}
