import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * A node has been told that an endpoint of destination 1 drains, then that it is gone, and then that an endpoint of destination 2 is at its
 * address. Later it comes by an old list again, and holds or gets messages for destination 1. Counted are those that go to that address.
 * "ask": the node is killed and started again, with the list of its configuration; discovery is asked and answers all the time.
 * "push": the same, while discovery is down for 8 s.
 * "moved": discovery moves, and its agent at the new address has been sent less of the list so far than the node has been told.
 */
final class StaleList {
    private static final double GRACE_SECONDS = 1.0;
    private static final int MESSAGES = 12;

    private final Kit kit;
    private final String mode;
    private final Kit.Endpoint first; // at the address that changes hands
    private final Kit.Endpoint second;
    private final Kit.Endpoint other;
    private final Kit.Platform platform;
    private final Kit.Platform nextPlatform;
    private final String known;
    private final Kit.NodeProcess node;
    private long listedAt; // since when the node knows that the address is that of destination 2

    public static void main(String[] arguments) {
        Kit.main(kit -> new StaleList(kit, arguments[0]).run(), 100);
    }

    private StaleList(Kit kit, String mode) throws Exception {
        this.kit = kit;
        this.mode = mode;
        first = kit.new Endpoint("the address of s-1", 200);
        second = kit.new Endpoint("s-2", 400);
        other = kit.new Endpoint("s-3", 250);
        List<Kit.Target> targets = List.of(target("s-1", first, 1, "active"), target("s-2", second, 1, "active"), target("s-3", other, 2, "active"));
        platform = kit.new Platform(targets);
        nextPlatform = kit.new Platform(targets);
        known = Kit.listJson(41, true, targets, false);
        node = kit.new NodeProcess("n0");
    }

    private static Kit.Target target(String uid, Kit.Endpoint endpoint, int destination, String state) {
        return new Kit.Target(uid, endpoint.address(), "hall-a", "big-carriers", destination, state, 20);
    }

    private void configure(Kit.Platform discovery) throws Exception {
        node.writeConfiguration(discovery.address(), known, Settings.yard(mode.equals("ask") ? "ask" : "push", 2, GRACE_SECONDS, false,
                new boolean[] {false, true}, Settings.SAFE_STATUS, Settings.UNSAFE_BOOKING), Settings.LIMITS);
    }

    private boolean run() throws Exception {
        configure(platform);
        node.start();
        Kit.sleepQuietly(500);
        for (int i = 0; i < 4; i++) {
            String id = handIn("a", i).id();
            kit.await("delivery of " + id, 5_000, () -> delivered(id));
        }
        changeHands(platform, true);
        listedAt = platform.toldAt;
        Kit.sleepQuietly(mode.equals("ask") ? 8_000 : 4_000);
        List<String> held = switch (mode) {
            case "ask" -> restartWithMessages();
            case "push" -> restartWhileDiscoveryIsDown();
            default -> moveDiscovery();
        };
        kit.await("the end of each message", 30_000, () -> held.stream().allMatch(id -> isNoticed(id) || delivered(id)));
        Kit.sleepQuietly(500);
        List<String> wrong = first.calls.stream().filter(call -> call.firstByteAt() > listedAt).map(Kit.SeenCall::id).toList();
        Predicate<String> neverDelivered = id -> second.calls.stream().noneMatch(call -> call.id().equals(id) && call.status() == 200)
                && !isNoticed(id);
        kit.note("COUNT messages of destination 1 that went to s-9 of destination 2: " + wrong.size() + "; of these, destination 1 never got, and no "
                + "notice ended: " + wrong.stream().filter(neverDelivered).count());
        return wrong.isEmpty();
    }

    private void changeHands(Kit.Platform discovery, boolean pauses) throws Exception {
        long revision = discovery.change(target("s-1", first, 1, "leaving"));
        awaitTold(discovery, revision, pauses ? 3_000 : 0);
        revision = discovery.change(target("s-1", first, 1, "left"));
        awaitTold(discovery, revision, pauses ? 1_500 : 0);
        if (pauses) {
            kit.note("ADDRESS " + first.address() + " is that of s-9, an endpoint of destination 2, from now on");
        }
        revision = discovery.change(target("s-9", first, 2, "active"));
        awaitTold(discovery, revision, 0);
    }

    private void awaitTold(Kit.Platform discovery, long revision, long pauseMillis) throws Exception {
        if (discovery == platform) {
            kit.await("the node is told revision " + revision, 3_000, () -> discovery.toldRevision >= revision);
        }
        Kit.sleepQuietly(pauseMillis);
    }

    private List<String> restartWithMessages() throws Exception {
        List<String> held = handInSome();
        if (kit.trouble) {
            node.signal("KILL"); // right behind the last answer
            node.kill();
            Kit.sleepQuietly(600);
            configure(platform);
            node.start();
        }
        return held;
    }

    private List<String> restartWhileDiscoveryIsDown() throws Exception {
        if (kit.trouble) {
            kit.note("DISCOVERY is down for 8 s");
            platform.silent = true;
            Kit.daemon("discovery returns", () -> {
                Kit.sleepQuietly(8_000);
                platform.silent = false;
                kit.note("DISCOVERY is back");
            });
        }
        Kit.sleepQuietly(1_000);
        return restartWithMessages();
    }

    private List<String> moveDiscovery() throws Exception {
        if (!kit.trouble) {
            changeHands(nextPlatform, false);
        }
        kit.note("CONFIGURATION new: discovery is at " + nextPlatform.address() + ", where revision " + nextPlatform.revision() + " is known");
        configure(nextPlatform);
        node.signal("HUP");
        platform.closeAfter(1_500);
        Kit.sleepQuietly(500);
        List<String> handedIn = handInSome();
        Kit.sleepQuietly(2_000);
        if (kit.trouble) {
            changeHands(nextPlatform, false); // 2.5 s after SIGHUP the agent there has been sent the rest
        }
        return handedIn;
    }

    private Kit.HandIn handIn(String prefix, int number) {
        return kit.handIn(node, "slot-booking", String.format("%s%015d", prefix, number), "", 1, 24_000, "for destination 1");
    }

    private List<String> handInSome() {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            Kit.HandIn handIn = handIn("b", i);
            if (handIn.taken()) {
                taken.add(handIn.id());
            }
        }
        return taken;
    }

    private boolean isNoticed(String id) {
        return platform.notices.containsKey(id) || nextPlatform.notices.containsKey(id);
    }

    private boolean delivered(String id) {
        return Stream.of(first, second, other).flatMap(endpoint -> endpoint.calls.stream())
                .anyMatch(call -> call.id().equals(id) && call.status() == 200);
    }
}
