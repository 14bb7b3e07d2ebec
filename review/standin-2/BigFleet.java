import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fleet with 3,200 endpoints. Usual clients hand in some tens of messages a second, of 64,000 bytes each. New configurations come in a row,
 * each of which moves discovery. Checked is that the node goes on, answers, and that what it has taken on has its end.
 */
final class BigFleet {
    private static final int ENDPOINTS = 3_200;
    private static final int SERVED_DESTINATIONS = 190; // those that get messages; their endpoints are real
    private static final int CLIENTS = 20;
    private static final int PAUSE_MILLIS = 600;
    private static final int MOVES = 15;
    private static final int MOVE_INTERVAL_MILLIS = 2_000;
    private static final long TIMEOUT_MILLIS = 12_000;

    private final Kit kit;
    private final List<Kit.Endpoint> endpoints = new ArrayList<>();
    private final List<Kit.Target> targets = new ArrayList<>();
    private final List<Kit.Platform> platforms = new ArrayList<>();
    private final Set<String> taken = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    public static void main(String[] arguments) {
        Kit.main(kit -> new BigFleet(kit).run(), 110);
    }

    private BigFleet(Kit kit) throws Exception {
        this.kit = kit;
        for (int i = 0; i < ENDPOINTS; i++) {
            String address = "127.0." + (10 + i / 200) + "." + (1 + i % 200) + ":8443"; // never called: nobody sends to its destination
            if (i < 2 * SERVED_DESTINATIONS) {
                endpoints.add(kit.new Endpoint("e-" + i, 200));
                address = endpoints.get(i).address();
            }
            targets.add(new Kit.Target(String.format("s-%08x", i * 2654435761L & 0xffffffffL), address, i % 2 == 0 ? "hall-a" : "hall-b",
                    i / 2 % 5 == 0 ? "big-carriers" : "hub-linked", i / 2, "active", 12.5));
        }
        platforms.add(newPlatform());
    }

    private Kit.Platform newPlatform() throws Exception {
        Kit.Platform platform = kit.new Platform(targets);
        platform.indented = true;
        return platform;
    }

    private boolean run() throws Exception {
        String known = Kit.listJson(41, true, targets, false);
        String settings = Settings.yard("push", 33, 1.0, true, new boolean[] {false, true}, Settings.SAFE_STATUS, Settings.UNSAFE_BOOKING)
                .replace("\"maxOpen\":120", "\"maxOpen\":468");
        Kit.NodeProcess node = kit.new NodeProcess("n0");
        node.writeConfiguration(platforms.get(0).address(), known, settings, Settings.LIMITS);
        node.start();
        long until = kit.now() + MOVES * MOVE_INTERVAL_MILLIS + 7_000;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Kit.daemon("client " + i, () -> handIn(node, number, until));
        }
        Kit.sleepQuietly(3_000);
        for (int i = 0; i < MOVES && node.isAlive(); i++) {
            if (kit.trouble) {
                Kit.Platform next = newPlatform();
                node.writeConfiguration(next.address(), known, settings, Settings.LIMITS);
                kit.note("CONFIGURATION new: discovery is at " + next.address());
                node.signal("HUP");
                platforms.get(platforms.size() - 1).closeAfter(1_500);
                platforms.add(next);
            }
            Kit.sleepQuietly(MOVE_INTERVAL_MILLIS);
        }
        int answeredBefore = answered.get();
        while (node.isAlive() && kit.now() < until) {
            Thread.sleep(50);
        }
        boolean answersAtTheEnd = answered.get() > answeredBefore;
        boolean healthy = node.isAlive() && node.healthStatus() == 200;
        kit.note("COUNT requests answered: " + answered + ", with no answer in 400 ms: " + unanswered + "; messages taken on: " + taken.size());
        kit.note("NODE  alive: " + node.isAlive() + (node.isAlive() ? "" : ", status " + node.exitStatus()) + "; health 200: " + healthy
                + "; answers in the last seconds: " + answersAtTheEnd);
        node.log().lines().filter(line -> line.contains("OutOfMemory") || line.contains("process exits")).limit(8)
                .forEach(line -> kit.note("LOG   " + line));
        Kit.sleepQuietly(node.isAlive() ? TIMEOUT_MILLIS + 500 : 500);
        long lost = taken.stream().filter(id -> !isEnded(id)).count();
        kit.note("COUNT messages taken on that have neither been delivered nor ended by a notice: " + lost);
        return healthy && answersAtTheEnd && lost == 0;
    }

    private void handIn(Kit.NodeProcess node, int number, long until) {
        Random random = new Random(number);
        String body = "x".repeat(64_000);
        for (int i = 0; kit.now() < until && node.isAlive(); i++) {
            Kit.HandIn handIn = kit.handIn(node, random.nextBoolean() ? "slot-booking" : "wagon-status", String.format("%06d%010d", number, i), "",
                    random.nextInt(SERVED_DESTINATIONS), TIMEOUT_MILLIS, body);
            (handIn.status() > 0 ? answered : unanswered).incrementAndGet();
            if (handIn.taken()) {
                taken.add(handIn.id());
            }
            Kit.sleepQuietly(PAUSE_MILLIS);
        }
    }

    private boolean isEnded(String id) {
        return platforms.stream().anyMatch(platform -> platform.notices.containsKey(id)) || endpoints.stream()
                .flatMap(endpoint -> endpoint.calls.stream()).anyMatch(call -> call.id().equals(id) && call.status() == 200);
    }
}
