import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A node that has been told that an endpoint drains, or that it is gone and another partner's endpoint is at its address, is killed and started
 * again, with the list of its configuration, which is old. It holds messages then that wait for a slot.
 * "ask": discovery is asked and answers all the time. "push": discovery is down for 8 s around the restart.
 */
final class StaleList {
    public static void main(String[] arguments) {
        boolean ask = arguments[0].equals("ask");
        Kit.main(kit -> ask ? runAsk(kit) : runPush(kit), 100);
    }

    private static final double GRACE_SECONDS = 1.0;
    private static final int MESSAGES = 12;

    private static Kit.Target target(String uid, Kit.Endpoint endpoint, int destination, String state) {
        return new Kit.Target(uid, endpoint.address(), "hall-a", "big-carriers", destination, state, 20);
    }

    private static String settings(String discovery) {
        return Settings.yard(discovery, 2, GRACE_SECONDS, false, new boolean[] {false, true}, Settings.SAFE_STATUS, Settings.UNSAFE_BOOKING);
    }

    /** Rule on destinations: a call with a message of destination 1 may not reach an endpoint of destination 2. */
    private static boolean runAsk(Kit kit) throws Exception {
        Kit.Endpoint first = kit.new Endpoint("s-1", 250);
        Kit.Endpoint second = kit.new Endpoint("s-2", 250);
        Kit.Endpoint other = kit.new Endpoint("s-3", 250);
        List<Kit.Target> targets = List.of(target("s-1", first, 1, "active"), target("s-2", second, 1, "active"), target("s-3", other, 2, "active"));
        Kit.Platform platform = kit.new Platform(targets);
        String known = Kit.listJson(41, true, targets, false);
        Kit.NodeProcess node = kit.new NodeProcess("n0");
        node.writeConfiguration(platform.address(), known, settings("ask"), Settings.LIMITS);
        node.start();
        handInAndAwait(kit, node, first, second, "a");

        platform.change(target("s-1", first, 1, "leaving"));
        kit.await("the node is told that s-1 drains", 3_000, () -> platform.toldRevision >= 42);
        Kit.sleepQuietly(3_000);
        platform.change(target("s-1", first, 1, "left"));
        kit.await("the node is told that s-1 is gone", 3_000, () -> platform.toldRevision >= 43);
        Kit.sleepQuietly(1_500);
        kit.note("ADDRESS " + first.address() + " is that of s-9, an endpoint of destination 2, from now on");
        platform.change(target("s-9", first, 2, "active"));
        kit.await("the node is told of s-9", 3_000, () -> platform.toldRevision >= 44);
        long listedAt = platform.toldAt;
        Kit.sleepQuietly(8_000);

        List<String> held = handInSome(kit, node, "b");
        if (kit.trouble) {
            node.signal("KILL"); // right behind the last answer
            node.kill();
            Kit.sleepQuietly(600);
            node.writeConfiguration(platform.address(), known, settings("ask"), Settings.LIMITS);
            node.start();
        }
        awaitEnds(kit, platform, held, first, second);
        long wrong = first.calls.stream().filter(call -> call.firstByteAt() > listedAt && call.id().startsWith("b")).count();
        kit.note("COUNT messages of destination 1 that went to s-9 of destination 2: " + wrong);
        return wrong == 0;
    }

    /** Rule on drains: no call to s-1 later than the grace after the node was told that it drains. */
    private static boolean runPush(Kit kit) throws Exception {
        Kit.Endpoint first = kit.new Endpoint("s-1", 250);
        Kit.Endpoint second = kit.new Endpoint("s-2", 250);
        List<Kit.Target> targets = List.of(target("s-1", first, 1, "active"), target("s-2", second, 1, "active"));
        Kit.Platform platform = kit.new Platform(targets);
        String known = Kit.listJson(41, true, targets, false);
        Kit.NodeProcess node = kit.new NodeProcess("n0");
        node.writeConfiguration(platform.address(), known, settings("push"), Settings.LIMITS);
        node.start();
        handInAndAwait(kit, node, first, second, "a");

        platform.change(target("s-1", first, 1, "leaving"));
        kit.await("the node is told that s-1 drains", 3_000, () -> platform.toldRevision >= 42);
        long toldAt = platform.toldAt;
        Kit.sleepQuietly(4_000);
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
        List<String> held = handInSome(kit, node, "b");
        if (kit.trouble) {
            node.signal("KILL");
            node.kill();
            Kit.sleepQuietly(600);
            node.writeConfiguration(platform.address(), known, settings("push"), Settings.LIMITS);
            node.start();
        }
        awaitEnds(kit, platform, held, first, second);
        long latest = toldAt + (long) (GRACE_SECONDS * 1000) + 50 + 150; // the grace, 50 ms as for all limits on sockets, a held-up node
        long late = first.calls.stream().filter(call -> call.firstByteAt() > latest).count();
        kit.note("COUNT calls to s-1 later than " + latest + " ms: " + late);
        return late == 0;
    }

    private static void handInAndAwait(Kit kit, Kit.NodeProcess node, Kit.Endpoint first, Kit.Endpoint second, String prefix) throws Exception {
        Kit.sleepQuietly(500);
        for (int i = 0; i < 4; i++) {
            String id = kit.handIn(node, "slot-booking", String.format("%s%015d", prefix, i), "", 1, 24_000, "for destination 1").id();
            kit.await("delivery of " + id, 5_000, () -> delivered(id, first, second));
        }
    }

    private static boolean delivered(String id, Kit.Endpoint... endpoints) {
        return Stream.of(endpoints).flatMap(endpoint -> endpoint.calls.stream()).anyMatch(call -> call.id().equals(id) && call.status() == 200);
    }

    private static List<String> handInSome(Kit kit, Kit.NodeProcess node, String prefix) {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            Kit.HandIn handIn = kit.handIn(node, "slot-booking", String.format("%s%015d", prefix, i), "", 1, 24_000, "for destination 1");
            if (handIn.taken()) {
                taken.add(handIn.id());
            }
        }
        return taken;
    }

    private static void awaitEnds(Kit kit, Kit.Platform platform, List<String> ids, Kit.Endpoint... endpoints) throws Exception {
        kit.await("the end of each message", 30_000,
                () -> ids.stream().allMatch(id -> platform.notices.containsKey(id) || delivered(id, endpoints)));
        Kit.sleepQuietly(500);
    }
}
