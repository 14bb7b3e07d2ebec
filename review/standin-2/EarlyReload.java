import java.util.ArrayList;
import java.util.List;

/**
 * A new configuration moves discovery while the fleet is restarted: the SIGHUP that tells of it reaches a node that is just being started.
 * Checked is that the node goes on, becomes ready, and that what it had taken on has its end.
 */
final class EarlyReload {
    private static final int MESSAGES = 6;

    public static void main(String[] arguments) {
        Kit.main(EarlyReload::run, 100);
    }

    private static boolean run(Kit kit) throws Exception {
        Kit.Endpoint first = kit.new Endpoint("s-1", 300);
        List<Kit.Target> targets = List.of(new Kit.Target("s-1", first.address(), "hall-a", "big-carriers", 1, "active", 20));
        Kit.Platform platform = kit.new Platform(targets);
        Kit.Platform nextPlatform = kit.new Platform(targets);
        String known = Kit.listJson(41, true, targets, false);
        String settings = Settings.yard("push", 2, 1.0, false, new boolean[] {false, true}, Settings.SAFE_STATUS, Settings.UNSAFE_BOOKING);
        Kit.NodeProcess node = kit.new NodeProcess("n0");
        node.writeConfiguration(platform.address(), known, settings, Settings.LIMITS);
        node.start();
        Kit.sleepQuietly(500);
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            Kit.HandIn handIn = kit.handIn(node, "wagon-status", String.format("a%015d", i), "", 1, 28_000, "for destination 1");
            if (handIn.taken()) {
                taken.add(handIn.id());
            }
        }
        node.signal("KILL");
        node.kill();
        Kit.sleepQuietly(600);
        node.launch();
        kit.await("the shell has become the program", 10_000, node::isProgramRunning);
        Kit.sleepQuietly(30);
        if (kit.trouble) {
            kit.note("CONFIGURATION new: discovery is at " + nextPlatform.address());
            node.writeConfiguration(nextPlatform.address(), known, settings, Settings.LIMITS);
            node.signal("HUP");
        }
        long until = kit.now() + 30_000;
        while (kit.now() < until && node.isAlive() && node.healthStatus() != 200) {
            Thread.sleep(20);
        }
        if (!node.isAlive()) {
            kit.note("CRASH the process has ended with status " + node.exitStatus() + "; messages without an end: " + taken.stream()
                    .filter(id -> !platform.notices.containsKey(id) && !nextPlatform.notices.containsKey(id) && !delivered(first, id)).count()
                    + " of " + taken.size());
            return false;
        }
        kit.note("NODE  ready: " + (node.healthStatus() == 200));
        kit.await("the end of each message", 30_000, () -> taken.stream().allMatch(id -> platform.notices.containsKey(id)
                || nextPlatform.notices.containsKey(id) || delivered(first, id)));
        return node.healthStatus() == 200 && node.isAlive();
    }

    private static boolean delivered(Kit.Endpoint endpoint, String id) {
        return endpoint.calls.stream().anyMatch(call -> call.id().equals(id) && call.status() == 200);
    }
}
