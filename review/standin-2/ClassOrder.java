import java.util.List;

/**
 * A booking that must never take effect twice is out at its endpoint when the node is killed. The next start has a new configuration, whose
 * list of classes has one more class. Counted is how often the booking reaches an endpoint as a whole call.
 */
final class ClassOrder {
    public static void main(String[] arguments) {
        Kit.main(ClassOrder::run, 100);
    }

    private static boolean run(Kit kit) throws Exception {
        Kit.Endpoint first = kit.new Endpoint("s-1", 300);
        Kit.Endpoint second = kit.new Endpoint("s-2", 300);
        List<Kit.Target> targets = List.of(
                new Kit.Target("s-1", first.address(), "hall-a", "hub-linked", 1, "active", 20),
                new Kit.Target("s-2", second.address(), "hall-a", "hub-linked", 1, "active", 20));
        Kit.Platform platform = kit.new Platform(targets);
        String known = Kit.listJson(41, true, targets, false);
        boolean[] apart = {false, true};
        String settings = Settings.yard("ask", 6, 1.0, false, apart, Settings.UNSAFE_BOOKING, Settings.SAFE_STATUS);
        String newSettings = Settings.yard("ask", 6, 1.0, false, apart, Settings.SAFE_NOTE, Settings.UNSAFE_BOOKING, Settings.SAFE_STATUS);
        Kit.NodeProcess node = kit.new NodeProcess("n0");
        node.writeConfiguration(platform.address(), known, settings, Settings.LIMITS);
        node.start();
        Kit.sleepQuietly(500);

        // an ordinary booking first: the node delivers it once
        Kit.HandIn ordinary = kit.handIn(node, "slot-booking", "b000000000000001", "", 1, 24_000, "booking 1");
        kit.await("the first booking is delivered", 5_000, () -> answered(first, second, ordinary.id()) == 1);

        Kit.HandIn booking = kit.handIn(node, "slot-booking", "b000000000000002", "", 1, 24_000, "booking 2");
        if (!booking.taken()) {
            throw new IllegalStateException("the booking was not taken on");
        }
        kit.await("the booking is out at an endpoint", 2_000, () -> arrived(first, second, booking.id()) == 1);
        Kit.sleepQuietly(100); // in the middle of its 300 ms of work, which the endpoint carries to its end
        node.signal("KILL");
        node.kill();
        Kit.sleepQuietly(600);
        if (kit.trouble) {
            kit.note("CONFIGURATION new: the class yard-note is added before the others");
        }
        node.writeConfiguration(platform.address(), known, kit.trouble ? newSettings : settings, Settings.LIMITS);
        node.start();
        // the node still owes the booking its end: none of it may be another call
        long until = kit.now() + 8_000;
        while (kit.now() < until && arrived(first, second, booking.id()) == 1) {
            Thread.sleep(20);
        }
        Kit.sleepQuietly(1_000);
        long times = arrived(first, second, booking.id());
        kit.note("COUNT booking " + booking.id() + " reached an endpoint " + times + " times; notice: " + platform.notices.get(booking.id()));
        return times == 1;
    }

    private static long arrived(Kit.Endpoint first, Kit.Endpoint second, String id) {
        return java.util.stream.Stream.of(first, second).flatMap(endpoint -> endpoint.calls.stream()).filter(call -> call.id().equals(id)).count();
    }

    private static long answered(Kit.Endpoint first, Kit.Endpoint second, String id) {
        return java.util.stream.Stream.of(first, second).flatMap(endpoint -> endpoint.calls.stream())
                .filter(call -> call.id().equals(id) && call.status() == 200).count();
    }
}
