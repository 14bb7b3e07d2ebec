import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The endpoints of a destination have vanished: connections to them do not come up. The node takes on bookings for it and is killed before any
 * call has been made. The endpoints are back soon after the restart, long before the bookings are out of time. Counted are the bookings that
 * no endpoint had been called for at the kill, with half of their time left, and those of them that are given up without a call.
 */
final class Untried {
    private static final int BOOKINGS = 14;
    private static final long TIMEOUT_MILLIS = 24_000;

    public static void main(String[] arguments) {
        Kit.main(Untried::run, 100);
    }

    private static boolean run(Kit kit) throws Exception {
        Kit.Endpoint first = kit.new Endpoint("s-1", 300, !kit.trouble);
        Kit.Endpoint second = kit.new Endpoint("s-2", 300, !kit.trouble);
        Kit.Endpoint other = kit.new Endpoint("s-3", 300);
        List<Kit.Target> targets = List.of(
                new Kit.Target("s-1", first.address(), "hall-a", "big-carriers", 1, "active", 20),
                new Kit.Target("s-2", second.address(), "hall-a", "big-carriers", 1, "active", 20),
                new Kit.Target("s-3", other.address(), "hall-a", "big-carriers", 2, "active", 20));
        Kit.Platform platform = kit.new Platform(targets);
        String known = Kit.listJson(41, true, targets, false);
        String settings = Settings.yard("push", 10, 1.0, false, new boolean[] {false, true}, Settings.SAFE_STATUS, Settings.UNSAFE_BOOKING);
        Kit.NodeProcess node = kit.new NodeProcess("n0");
        node.writeConfiguration(platform.address(), known, settings, Settings.LIMITS);
        node.start();
        Kit.sleepQuietly(500);
        String ordinary = kit.handIn(node, "slot-booking", "a000000000000000", "", 2, TIMEOUT_MILLIS, "for destination 2").id();
        kit.await("delivery to destination 2", 5_000, () -> other.calls.stream().anyMatch(call -> call.id().equals(ordinary) && call.status() == 200));

        List<Kit.HandIn> taken = new ArrayList<>();
        for (int i = 0; i < BOOKINGS; i++) {
            Kit.HandIn handIn = kit.handIn(node, "slot-booking", String.format("b%015d", i), "", 1, TIMEOUT_MILLIS, "for destination 1");
            if (handIn.taken()) {
                taken.add(handIn);
            }
        }
        Kit.sleepQuietly(200);
        node.signal("KILL");
        node.kill();
        long killedAt = kit.now();
        Set<String> called = called(first, second);
        Set<String> untried = taken.stream().filter(handIn -> !called.contains(handIn.id()) && killedAt < handIn.sentAt() + TIMEOUT_MILLIS / 2)
                .map(Kit.HandIn::id).collect(Collectors.toCollection(TreeSet::new));
        kit.note("COUNT the restart finds " + taken.size() + " messages, " + untried.size() + " of them untried");
        Kit.sleepQuietly(600);
        node.writeConfiguration(platform.address(), known, settings, Settings.LIMITS);
        node.start();
        if (kit.trouble) {
            Kit.sleepQuietly(1_000);
            first.appear();
            second.appear();
        }
        kit.await("the end of each message", TIMEOUT_MILLIS + 5_000, () -> untried.stream()
                .allMatch(id -> platform.notices.containsKey(id) || called(first, second).contains(id)));
        Kit.sleepQuietly(1_000);
        Set<String> calledLater = called(first, second);
        long givenUp = untried.stream().filter(id -> !calledLater.contains(id) && platform.notices.containsKey(id)).count();
        kit.note("COUNT untried messages given up without a call: " + givenUp + " of " + untried.size());
        return 2 * givenUp <= untried.size();
    }

    private static Set<String> called(Kit.Endpoint... endpoints) {
        return Stream.of(endpoints).flatMap(endpoint -> endpoint.calls.stream()).map(Kit.SeenCall::id).collect(Collectors.toSet());
    }
}
