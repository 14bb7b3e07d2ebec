package terndyke.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import terndyke.api.Action;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.Standing;

/** What a fleet does together at one endpoint: several dispatchers, each with records of its own, and no I/O. */
class FleetTest {
    private static final long STEP = 5_000;
    private static final long SECOND = 1_000_000;
    private static final double COLD_SHARE = 0.2; // these as in Given's terms
    private static final long WARM_AFTER = 10 * SECOND;
    private static final long KEPT_FOR = 10 * SECOND; // a record's time

    /**
     * An endpoint and the nodes that share it. It takes so many calls a second of all of them, half a second's worth at once at
     * most; a refused call uses the limit up as well, and every second one tells a wait of half a second. A call takes 150 ms,
     * one on a new connection twice as long.
     */
    private static final class World {
        final int nodes;
        final double asked;
        LongToDoubleFunction limit = at -> 1e6;
        long downFrom = Long.MAX_VALUE;
        long downUntil = Long.MAX_VALUE;
        int places = Integer.MAX_VALUE; // connections that the endpoint holds
        long killAt = Long.MAX_VALUE; // then the first so many nodes die and are back a second later
        int killed;
        final int[] done = new int[200];
        final int[] refused = new int[200];
        final int[] crowded = new int[200];
        final int[] unreached = new int[200];
        final int[] arrived = new int[20_000]; // calls and probes that reached the endpoint, by step
        final int[] knowing = new int[20_000]; // those of nodes that had met the outage
        private final boolean[] met;
        int worth; // done within a second
        int lost;
        private final Random random;
        private final boolean probes;
        private final int draw; // 0: all nodes draw the same chances; else each its own, and the records come by it too
        private final PriorityQueue<Coming> coming = new PriorityQueue<>(
                (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
        private final List<Dispatcher> fleet = new ArrayList<>();
        private final Map<Long, Handed> open = new HashMap<>();
        private final int[] idle;
        private final int[] busy;
        private double left;
        private long sequence;
        private int refusals;

        private record Coming(long at, long sequence, int node, int life, Event event, boolean connection) { }

        private static final class Handed {
            final int node;
            final long at;
            int shots;
            int out;

            Handed(int node, long at) {
                this.node = node;
                this.at = at;
            }
        }

        World(int nodes, double asked) {
            this(nodes, asked, 0, true);
        }

        World(int nodes, double asked, int draw, boolean probes) {
            this.draw = draw;
            this.probes = probes;
            this.random = new Random(7 + draw);
            this.nodes = nodes;
            this.asked = asked;
            idle = new int[nodes];
            busy = new int[nodes];
            met = new boolean[nodes];
            for (int number = 0; number < nodes; number++) {
                fleet.add(born(number, 0));
            }
        }

        private Dispatcher born(int number, long at) {
            Dispatcher dispatcher = new Dispatcher(Given.terms(draw == 0 ? 1 : 1_000 * draw + number, false, probes, 200, nodes,
                    number, 10, List.of(), false, 0));
            dispatcher.turn(Given.START + at, List.of(new Event.ListTold(
                    List.of(new ListedEndpoint(11, 0, 0, 0, Standing.READY, 0, 1)), true)));
            return dispatcher;
        }

        /** What the endpoint can do at that time, in calls a second. */
        double capacity(long at) {
            double warm = at < downUntil ? 1 : Math.min(1, (double) (at - downUntil) / WARM_AFTER);
            return limit.applyAsDouble(at) * (COLD_SHARE + (1 - COLD_SHARE) * warm);
        }

        World play(int seconds) {
            int[] life = new int[nodes];
            for (long at = 0; at < seconds * SECOND; at += STEP) {
                double most = capacity(at);
                left = Math.min(most / 2, left + most * STEP / SECOND);
                for (int number = 0; number < nodes; number++) {
                    List<Event> events = new ArrayList<>(List.of(new Event.Woken(0)));
                    boolean struck = number < killed;
                    if (struck && at == killAt) {
                        life[number]++;
                        idle[number] = 0;
                        busy[number] = 0;
                    } else if (struck && at == killAt + SECOND) {
                        fleet.set(number, born(number, at));
                        events.addAll(owed(number, at));
                    }
                    if (struck && at >= killAt && at < killAt + SECOND) {
                        continue;
                    }
                    if (random.nextDouble() < asked / nodes * STEP / SECOND) {
                        open.put(++sequence, new Handed(number, at));
                        events.add(Given.taken(sequence, Given.IDEMPOTENT));
                    }
                    hear(number, life[number], at, events);
                    for (Action action : fleet.get(number).turn(Given.START + at, events)) {
                        act(number, life[number], at, action);
                    }
                }
            }
            lost += (int) open.values().stream().filter(record -> record.at < (seconds - 11) * SECOND).count();
            return this;
        }

        private List<Event> owed(int number, long at) {
            List<Event> events = new ArrayList<>();
            open.entrySet().stream().filter(entry -> entry.getValue().node == number).sorted(Map.Entry.comparingByKey())
                    .forEach(entry -> {
                        Handed record = entry.getValue();
                        List<Event.EarlierShot> shots = new ArrayList<>();
                        for (int shot = 0; shot < record.shots; shot++) {
                            shots.add(new Event.EarlierShot(11, 0, at - killAt, shot < record.shots - record.out ? Ending.FULL : null));
                        }
                        record.out = 0;
                        events.add(new Event.RecordOwed(new Event.RecordTaken(entry.getKey(), Given.IDEMPOTENT, 0, 7,
                                record.at + KEPT_FOR - at, 0, 1, false, false, false), shots, false));
                    });
            return events;
        }

        private void hear(int number, int life, long at, List<Event> events) {
            List<Coming> others = new ArrayList<>();
            while (!coming.isEmpty() && coming.peek().at <= at) {
                Coming one = coming.poll();
                if (one.node != number) {
                    others.add(one);
                } else if (one.life == life) {
                    events.add(one.event);
                    if (one.connection) {
                        busy[number]--;
                        idle[number]++;
                    }
                    if (one.event instanceof Event.ShotEnded ended && open.containsKey(ended.id())) {
                        open.get(ended.id()).out--;
                        if (ended.recordOver()) {
                            worth += at - open.remove(ended.id()).at <= SECOND ? 1 : 0;
                        }
                    }
                }
            }
            coming.addAll(others);
        }

        private void act(int number, int life, long at, Action action) {
            boolean down = at >= downFrom && at < downUntil;
            if (action instanceof Action.Shoot shoot) {
                boolean kept = idle[number] > 0;
                int held = 0;
                for (int node = 0; node < nodes; node++) {
                    held += idle[node] + busy[node];
                }
                boolean room = kept || held < places;
                boolean takes = room && !down && left >= 1;
                met[number] |= down;
                if (!down) {
                    arrived[(int) (at / STEP)]++;
                    knowing[(int) (at / STEP)] += met[number] ? 1 : 0;
                    left = room ? Math.max(0, left - 1) : left;
                }
                (down ? unreached : !room ? crowded : takes ? done : refused)[(int) (at / SECOND)]++;
                Ending ending = down ? Ending.NOT_CONNECTED : !room ? Ending.CROWDED : takes ? Ending.DONE : Ending.FULL;
                long wait = ending == Ending.FULL && ++refusals % 2 == 0 ? SECOND / 2 : 0;
                long took = down ? 20_000 : !room ? 110_000 : kept ? 150_000 : 300_000;
                idle[number] -= kept ? 1 : 0;
                busy[number] += room && !down ? 1 : 0;
                Handed record = open.get(shoot.id());
                record.out++;
                coming.add(new Coming(at + took, ++sequence, number, life, new Event.ShotEnded(shoot.id(), record.shots++,
                        shoot.endpoint(), ending, took, wait, false, takes, Given.NO_REPORT), room && !down));
            } else if (action instanceof Action.Probe probe) {
                met[number] |= down;
                arrived[(int) (at / STEP)] += down ? 0 : 1;
                knowing[(int) (at / STEP)] += !down && met[number] ? 1 : 0;
                left = Math.max(0, left - (down ? 0 : 1));
                coming.add(new Coming(at + 100_000, ++sequence, number, life, new Event.ProbeEnded(probe.endpoint(),
                        down ? Ending.NOT_CONNECTED : Ending.DONE, 100_000, Given.NO_REPORT), false));
            } else if (action instanceof Action.DropConnections) {
                idle[number] = 0;
            } else if (action instanceof Action.Bounce bounce) {
                ended(bounce.id(), at);
            } else if (action instanceof Action.Terminate terminate) {
                ended(terminate.id(), at);
            }
        }

        private void ended(long id, long at) {
            Handed record = open.remove(id);
            lost += record == null || at > record.at + KEPT_FOR ? 1 : 0;
        }

        static int sum(int[] counts, int from, int to) {
            int sum = 0;
            for (int place = from; place < to; place++) {
                sum += counts[place];
            }
            return sum;
        }
    }

    @Test
    void aLimitThatFallsAndRisesIsUsedWellByAllNodesTogether() {
        World world = new World(14, 140);
        world.limit = at -> at >= 5 * SECOND && at < 14 * SECOND ? 75 : 160;
        world.play(30);
        int fallen = World.sum(world.done, 6, 14);
        int risen = World.sum(world.done, 18, 28);
        int refused = World.sum(world.refused, 5, 30);
        String seen = "fallen " + fallen + ", risen " + risen + ", refused " + refused + ", lost " + world.lost;
        assertTrue(fallen > 0.85 * 8 * 75 && risen > 0.85 * 10 * 160 && refused < 200 && world.lost == 0, seen);
    }

    @Test
    void aDestinationBackFromAnOutageIsNotPushedOverByAllTogether() {
        World world = new World(14, 140);
        world.limit = at -> 160;
        world.downFrom = 5 * SECOND;
        world.downUntil = 10 * SECOND;
        world.play(35);
        int span = (int) (2 * SECOND / STEP);
        double most = 0;
        for (int from = (int) (world.downUntil / STEP); from < 30 * SECOND / STEP; from++) {
            double may = 0;
            for (int step = from; step < from + span; step++) {
                may += 2 * world.capacity(step * STEP) * STEP / SECOND;
            }
            most = Math.max(most, World.sum(world.arrived, from, from + span) / may);
        }
        int back = World.sum(world.done, 20, 30);
        String seen = "at most " + most + " of what a span may bring, done " + back + ", lost " + world.lost;
        assertTrue(most < 0.9 && back > 0.85 * 10 * 140 && world.lost == 0, seen);
    }

    /** A destination that takes so many calls a second, asked for four fifths of them and down from 6 to 13 s. */
    private static World cold(int nodes, int rate, int draw, boolean probes) {
        World world = new World(nodes, 0.8 * rate, draw, probes);
        world.limit = at -> rate;
        world.downFrom = 6 * SECOND;
        world.downUntil = 13 * SECOND;
        return world;
    }

    /** What comes in a span beyond what the settings allow, less what is chance; of spans that mostly nodes in the know fill. */
    private static double overChance(World world, int until) {
        int span = (int) (2 * SECOND / STEP);
        double worst = Double.NEGATIVE_INFINITY;
        for (int from = (int) (world.downUntil / STEP); from < until * SECOND / STEP - span; from++) {
            double may = 0;
            for (int step = from; step < from + span; step++) {
                may += 2 * world.capacity(step * STEP) * STEP / SECOND;
            }
            int came = World.sum(world.arrived, from, from + span);
            boolean knew = 3 * World.sum(world.knowing, from, from + span) > 2 * came;
            worst = knew ? Math.max(worst, came - (may + 2 * Math.sqrt(may) + 2)) : worst;
        }
        return worst;
    }

    /** Guards against nodes of which each keeps to its part while their sum does not, few or many, busy or quiet. */
    @Test
    void aColdDestinationGetsNoMoreOfAllNodesTogetherThanChanceExcuses() {
        StringBuilder seen = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodes : new int[] {6, 20, 30, 100}) {
            for (int rate : new int[] {4, 12, 40, 120}) {
                World world = cold(nodes, rate, 0, true);
                world.play(32);
                double over = overChance(world, 30);
                worst = Math.max(worst, over);
                seen.append(String.format("%n%d nodes, %d a second: %.1f over, done %d of %d, lost %d", nodes, rate, over,
                        World.sum(world.done, 22, 30), (int) (8 * 0.8 * rate), world.lost));
            }
        }
        assertTrue(worst <= 0, seen.toString());
    }

    /** As before, with most nodes killed in the outage: who comes back knows nothing of it. */
    @Test
    void aColdDestinationIsSparedByNodesThatReturnFromARestartToo() {
        StringBuilder seen = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodes : new int[] {20, 30}) {
            for (int rate : new int[] {12, 40}) {
                World world = cold(nodes, rate, 0, true);
                world.killAt = 11 * SECOND;
                world.killed = nodes * 7 / 10;
                world.play(32);
                double over = overChance(world, 30);
                worst = Math.max(worst, over);
                seen.append(String.format("%n%d nodes, %d a second: %.1f over, lost %d", nodes, rate, over, world.lost));
            }
        }
        assertTrue(worst <= 0, seen.toString());
    }

    /** As both before, where each node draws chances of its own, as nodes in service do, with probes or without. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aColdDestinationGetsNoMoreThanChanceExcusesOfNodesThatDrawTheirOwnChances(boolean probes) {
        StringBuilder seen = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodes : new int[] {20, 30, 100}) {
            for (int rate : new int[] {4, 12, 40}) {
                for (int draw = 1; draw <= 4; draw++) {
                    World world = cold(nodes, rate, draw, probes);
                    world.killAt = draw <= 2 ? 11 * SECOND : Long.MAX_VALUE;
                    world.killed = draw <= 2 ? nodes * 7 / 10 : 0;
                    world.play(32);
                    double over = overChance(world, 30);
                    worst = Math.max(worst, over);
                    seen.append(String.format("%n%d nodes, %d a second, draw %d: %.1f over, done %d", nodes, rate, draw, over,
                            World.sum(world.done, 13, 30)));
                }
            }
        }
        assertTrue(worst <= 0, seen.toString());
    }

    @Test
    void fewConnectionsAreSharedByMoreNodes() {
        World world = new World(14, 60);
        world.places = 12;
        world.play(30);
        int done = World.sum(world.done, 0, 30);
        String seen = "done in a second " + world.worth + ", done " + done + " of 1800, crowded " + World.sum(world.crowded, 0, 30) + ", lost " + world.lost;
        assertTrue(done > 0.85 * 1_800 && world.worth > 0.4 * 1_800 && world.lost == 0, seen);
    }

    @Test
    void mostOfAFleetDiesAndReturnsInOneSecondAndNothingIsLost() {
        World world = new World(14, 140);
        world.limit = at -> 160;
        world.killAt = 8 * SECOND;
        world.killed = 10;
        world.play(30);
        int back = World.sum(world.done, 10, 18);
        int refused = World.sum(world.refused, 9, 18);
        String seen = "done " + back + ", refused " + refused + ", lost " + world.lost;
        assertTrue(back > 0.85 * 8 * 140 && refused < 150 && world.lost == 0, seen);
    }
}
