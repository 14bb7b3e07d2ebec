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
import terndyke.api.ListedEndpoint.EndpointState;

/** What a fleet does together at one endpoint: several dispatchers, each with records of its own, and no I/O. */
class FleetTest {
    private static final long STEP_MICROS = 5_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final double COLD_CAPACITY_SHARE = 0.2; // these as in Given's terms
    private static final long WARM_UP_MICROS = 10 * SECOND_MICROS;
    private static final long RECORD_LIFETIME_MICROS = 10 * SECOND_MICROS; // a record's time

    /**
     * An endpoint and the nodes that share it. It takes so many calls a second of all of them, half a second's worth at once at
     * most; a refused call uses the limit up as well, and every second one tells a wait of half a second. A call takes 150 ms,
     * one on a new connection twice as long.
     */
    private static final class SimulatedFleet {
        final int nodeCount;
        final double recordsPerSecond;
        LongToDoubleFunction callsPerSecondLimit = at -> 1e6;
        long downFrom = Long.MAX_VALUE;
        long downUntil = Long.MAX_VALUE;
        int connectionLimit = Integer.MAX_VALUE; // connections that the endpoint holds
        long killAt = Long.MAX_VALUE; // then the first so many nodes die and are back a second later
        int killedNodeCount;
        final int[] donePerSecond = new int[200];
        final int[] refusedPerSecond = new int[200];
        final int[] crowdedPerSecond = new int[200];
        final int[] unreachedPerSecond = new int[200];
        final int[] arrivalsPerStep = new int[20_000]; // calls and probes that reached the endpoint, by step
        final int[] awareArrivalsPerStep = new int[20_000]; // those of nodes that had met the outage
        private final boolean[] sawOutage;
        int doneWithinOneSecond; // done within a second
        int lostRecords;
        private final Random random;
        private final boolean probesAllowed;
        private final int seedVariant; // 0: all nodes draw the same chances; else each its own, and the records come by it too
        private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>(
                (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
        private final List<Dispatcher> dispatchers = new ArrayList<>();
        private final Map<Long, OpenRecord> openRecords = new HashMap<>();
        private final int[] idleConnections;
        private final int[] busyConnections;
        private double availableTokens;
        private long sequence;
        private int refusalCount;

        private record ScheduledEvent(long at, long sequence, int node, int incarnation, Event event, boolean usesConnection) { }

        private static final class OpenRecord {
            final int node;
            final long acceptedAt;
            int shotCount;
            int inFlightShotCount;

            OpenRecord(int node, long at) {
                this.node = node;
                this.acceptedAt = at;
            }
        }

        SimulatedFleet(int nodes, double asked) {
            this(nodes, asked, 0, true);
        }

        SimulatedFleet(int nodes, double asked, int draw, boolean probes) {
            this.seedVariant = draw;
            this.probesAllowed = probes;
            this.random = new Random(7 + draw);
            this.nodeCount = nodes;
            this.recordsPerSecond = asked;
            idleConnections = new int[nodes];
            busyConnections = new int[nodes];
            sawOutage = new boolean[nodes];
            for (int number = 0; number < nodes; number++) {
                dispatchers.add(createDispatcher(number, 0));
            }
        }

        private Dispatcher createDispatcher(int number, long at) {
            Dispatcher dispatcher = new Dispatcher(DispatcherFixture.settings(seedVariant == 0 ? 1 : 1_000 * seedVariant + number, false, probesAllowed, 200, nodeCount,
                    number, 10, List.of(), false, 0));
            dispatcher.handleEvents(DispatcherFixture.START_MICROS + at, List.of(new Event.ListReceived(
                    List.of(new ListedEndpoint(11, 0, 0, 0, EndpointState.READY, 0, 1)), true)));
            return dispatcher;
        }

        /** What the endpoint can do at that time, in calls a second. */
        double capacity(long at) {
            double warm = at < downUntil ? 1 : Math.min(1, (double) (at - downUntil) / WARM_UP_MICROS);
            return callsPerSecondLimit.applyAsDouble(at) * (COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * warm);
        }

        SimulatedFleet run(int seconds) {
            int[] life = new int[nodeCount];
            for (long at = 0; at < seconds * SECOND_MICROS; at += STEP_MICROS) {
                double most = capacity(at);
                availableTokens = Math.min(most / 2, availableTokens + most * STEP_MICROS / SECOND_MICROS);
                for (int number = 0; number < nodeCount; number++) {
                    List<Event> events = new ArrayList<>(List.of(new Event.TimerExpired(0)));
                    boolean struck = number < killedNodeCount;
                    if (struck && at == killAt) {
                        life[number]++;
                        idleConnections[number] = 0;
                        busyConnections[number] = 0;
                    } else if (struck && at == killAt + SECOND_MICROS) {
                        dispatchers.set(number, createDispatcher(number, at));
                        events.addAll(restoredRecords(number, at));
                    }
                    if (struck && at >= killAt && at < killAt + SECOND_MICROS) {
                        continue;
                    }
                    if (random.nextDouble() < recordsPerSecond / nodeCount * STEP_MICROS / SECOND_MICROS) {
                        openRecords.put(++sequence, new OpenRecord(number, at));
                        events.add(DispatcherFixture.recordAccepted(sequence, DispatcherFixture.IDEMPOTENT));
                    }
                    collectEvents(number, life[number], at, events);
                    for (Action action : dispatchers.get(number).handleEvents(DispatcherFixture.START_MICROS + at, events)) {
                        perform(number, life[number], at, action);
                    }
                }
            }
            lostRecords += (int) openRecords.values().stream().filter(record -> record.acceptedAt < (seconds - 11) * SECOND_MICROS).count();
            return this;
        }

        private List<Event> restoredRecords(int number, long at) {
            List<Event> events = new ArrayList<>();
            openRecords.entrySet().stream().filter(entry -> entry.getValue().node == number).sorted(Map.Entry.comparingByKey())
                    .forEach(entry -> {
                        OpenRecord record = entry.getValue();
                        List<Event.EarlierShot> shots = new ArrayList<>();
                        for (int shot = 0; shot < record.shotCount; shot++) {
                            shots.add(new Event.EarlierShot(11, 0, at - killAt, shot < record.shotCount - record.inFlightShotCount ? Ending.FULL : null));
                        }
                        record.inFlightShotCount = 0;
                        events.add(new Event.RecordRestored(new Event.RecordAccepted(entry.getKey(), DispatcherFixture.IDEMPOTENT, 0, 7,
                                record.acceptedAt + RECORD_LIFETIME_MICROS - at, 0, 1, false, false, false), shots, false));
                    });
            return events;
        }

        private void collectEvents(int number, int life, long at, List<Event> events) {
            List<ScheduledEvent> others = new ArrayList<>();
            while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at <= at) {
                ScheduledEvent one = scheduledEvents.poll();
                if (one.node != number) {
                    others.add(one);
                } else if (one.incarnation == life) {
                    events.add(one.event);
                    if (one.usesConnection) {
                        busyConnections[number]--;
                        idleConnections[number]++;
                    }
                    if (one.event instanceof Event.ShotEnded ended && openRecords.containsKey(ended.id())) {
                        openRecords.get(ended.id()).inFlightShotCount--;
                        if (ended.recordEnded()) {
                            doneWithinOneSecond += at - openRecords.remove(ended.id()).acceptedAt <= SECOND_MICROS ? 1 : 0;
                        }
                    }
                }
            }
            scheduledEvents.addAll(others);
        }

        private void perform(int number, int life, long at, Action action) {
            boolean down = at >= downFrom && at < downUntil;
            if (action instanceof Action.SendShot shoot) {
                boolean kept = idleConnections[number] > 0;
                int held = 0;
                for (int node = 0; node < nodeCount; node++) {
                    held += idleConnections[node] + busyConnections[node];
                }
                boolean room = kept || held < connectionLimit;
                boolean takes = room && !down && availableTokens >= 1;
                sawOutage[number] |= down;
                if (!down) {
                    arrivalsPerStep[(int) (at / STEP_MICROS)]++;
                    awareArrivalsPerStep[(int) (at / STEP_MICROS)] += sawOutage[number] ? 1 : 0;
                    availableTokens = room ? Math.max(0, availableTokens - 1) : availableTokens;
                }
                (down ? unreachedPerSecond : !room ? crowdedPerSecond : takes ? donePerSecond : refusedPerSecond)[(int) (at / SECOND_MICROS)]++;
                Ending ending = down ? Ending.NOT_CONNECTED : !room ? Ending.CROWDED : takes ? Ending.DONE : Ending.FULL;
                long wait = ending == Ending.FULL && ++refusalCount % 2 == 0 ? SECOND_MICROS / 2 : 0;
                long took = down ? 20_000 : !room ? 110_000 : kept ? 150_000 : 300_000;
                idleConnections[number] -= kept ? 1 : 0;
                busyConnections[number] += room && !down ? 1 : 0;
                OpenRecord record = openRecords.get(shoot.id());
                record.inFlightShotCount++;
                scheduledEvents.add(new ScheduledEvent(at + took, ++sequence, number, life, new Event.ShotEnded(shoot.id(), record.shotCount++,
                        shoot.endpoint(), ending, took, wait, false, takes, DispatcherFixture.NO_LOAD_REPORT), room && !down));
            } else if (action instanceof Action.Probe probe) {
                sawOutage[number] |= down;
                arrivalsPerStep[(int) (at / STEP_MICROS)] += down ? 0 : 1;
                awareArrivalsPerStep[(int) (at / STEP_MICROS)] += !down && sawOutage[number] ? 1 : 0;
                availableTokens = Math.max(0, availableTokens - (down ? 0 : 1));
                scheduledEvents.add(new ScheduledEvent(at + 100_000, ++sequence, number, life, new Event.ProbeEnded(probe.endpoint(),
                        down ? Ending.NOT_CONNECTED : Ending.DONE, 100_000, DispatcherFixture.NO_LOAD_REPORT), false));
            } else if (action instanceof Action.CloseIdleConnections) {
                idleConnections[number] = 0;
            } else if (action instanceof Action.Bounce bounce) {
                recordEnded(bounce.id(), at);
            } else if (action instanceof Action.Terminate terminate) {
                recordEnded(terminate.id(), at);
            }
        }

        private void recordEnded(long id, long at) {
            OpenRecord record = openRecords.remove(id);
            lostRecords += record == null || at > record.acceptedAt + RECORD_LIFETIME_MICROS ? 1 : 0;
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
        SimulatedFleet world = new SimulatedFleet(14, 140);
        world.callsPerSecondLimit = at -> at >= 5 * SECOND_MICROS && at < 14 * SECOND_MICROS ? 75 : 160;
        world.run(30);
        int fallen = SimulatedFleet.sum(world.donePerSecond, 6, 14);
        int risen = SimulatedFleet.sum(world.donePerSecond, 18, 28);
        int refused = SimulatedFleet.sum(world.refusedPerSecond, 5, 30);
        String seen = "fallen " + fallen + ", risen " + risen + ", refused " + refused + ", lost " + world.lostRecords;
        assertTrue(fallen > 0.85 * 8 * 75 && risen > 0.85 * 10 * 160 && refused < 200 && world.lostRecords == 0, seen);
    }

    @Test
    void aDestinationBackFromAnOutageIsNotOverloadedByAllNodesTogether() {
        SimulatedFleet world = new SimulatedFleet(14, 140);
        world.callsPerSecondLimit = at -> 160;
        world.downFrom = 5 * SECOND_MICROS;
        world.downUntil = 10 * SECOND_MICROS;
        world.run(35);
        int span = (int) (2 * SECOND_MICROS / STEP_MICROS);
        double most = 0;
        for (int from = (int) (world.downUntil / STEP_MICROS); from < 30 * SECOND_MICROS / STEP_MICROS; from++) {
            double may = 0;
            for (int step = from; step < from + span; step++) {
                may += 2 * world.capacity(step * STEP_MICROS) * STEP_MICROS / SECOND_MICROS;
            }
            most = Math.max(most, SimulatedFleet.sum(world.arrivalsPerStep, from, from + span) / may);
        }
        int back = SimulatedFleet.sum(world.donePerSecond, 20, 30);
        String seen = "at most " + most + " of what a span may bring, done " + back + ", lost " + world.lostRecords;
        assertTrue(most < 0.9 && back > 0.85 * 10 * 140 && world.lostRecords == 0, seen);
    }

    /** A destination that takes so many calls a second, asked for four fifths of them and down from 6 to 13 s. */
    private static SimulatedFleet fleetWithOutage(int nodes, int rate, int draw, boolean probes) {
        SimulatedFleet world = new SimulatedFleet(nodes, 0.8 * rate, draw, probes);
        world.callsPerSecondLimit = at -> rate;
        world.downFrom = 6 * SECOND_MICROS;
        world.downUntil = 13 * SECOND_MICROS;
        return world;
    }

    /** What comes in a span beyond what the settings allow, less what is chance; of spans that mostly nodes in the know fill. */
    private static double worstExcessOverChance(SimulatedFleet world, int until) {
        int span = (int) (2 * SECOND_MICROS / STEP_MICROS);
        double worst = Double.NEGATIVE_INFINITY;
        for (int from = (int) (world.downUntil / STEP_MICROS); from < until * SECOND_MICROS / STEP_MICROS - span; from++) {
            double may = 0;
            for (int step = from; step < from + span; step++) {
                may += 2 * world.capacity(step * STEP_MICROS) * STEP_MICROS / SECOND_MICROS;
            }
            int came = SimulatedFleet.sum(world.arrivalsPerStep, from, from + span);
            boolean knew = 3 * SimulatedFleet.sum(world.awareArrivalsPerStep, from, from + span) > 2 * came;
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
                SimulatedFleet world = fleetWithOutage(nodes, rate, 0, true);
                world.run(32);
                double over = worstExcessOverChance(world, 30);
                worst = Math.max(worst, over);
                seen.append(String.format("%n%d nodes, %d a second: %.1f over, done %d of %d, lost %d", nodes, rate, over,
                        SimulatedFleet.sum(world.donePerSecond, 22, 30), (int) (8 * 0.8 * rate), world.lostRecords));
            }
        }
        assertTrue(worst <= 0, seen.toString());
    }

    /** As before, with most nodes killed in the outage: who comes back knows nothing of it. */
    @Test
    void aColdDestinationIsNotOverloadedByNodesThatRestartedDuringTheOutage() {
        StringBuilder seen = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodes : new int[] {20, 30}) {
            for (int rate : new int[] {12, 40}) {
                SimulatedFleet world = fleetWithOutage(nodes, rate, 0, true);
                world.killAt = 11 * SECOND_MICROS;
                world.killedNodeCount = nodes * 7 / 10;
                world.run(32);
                double over = worstExcessOverChance(world, 30);
                worst = Math.max(worst, over);
                seen.append(String.format("%n%d nodes, %d a second: %.1f over, lost %d", nodes, rate, over, world.lostRecords));
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
                    SimulatedFleet world = fleetWithOutage(nodes, rate, draw, probes);
                    world.killAt = draw <= 2 ? 11 * SECOND_MICROS : Long.MAX_VALUE;
                    world.killedNodeCount = draw <= 2 ? nodes * 7 / 10 : 0;
                    world.run(32);
                    double over = worstExcessOverChance(world, 30);
                    worst = Math.max(worst, over);
                    seen.append(String.format("%n%d nodes, %d a second, draw %d: %.1f over, done %d", nodes, rate, draw, over,
                            SimulatedFleet.sum(world.donePerSecond, 13, 30)));
                }
            }
        }
        assertTrue(worst <= 0, seen.toString());
    }

    @Test
    void fewConnectionsAreSharedByMoreNodes() {
        SimulatedFleet world = new SimulatedFleet(14, 60);
        world.connectionLimit = 12;
        world.run(30);
        int done = SimulatedFleet.sum(world.donePerSecond, 0, 30);
        String seen = "done in a second " + world.doneWithinOneSecond + ", done " + done + " of 1800, crowded " + SimulatedFleet.sum(world.crowdedPerSecond, 0, 30) + ", lost " + world.lostRecords;
        assertTrue(done > 0.85 * 1_800 && world.doneWithinOneSecond > 0.4 * 1_800 && world.lostRecords == 0, seen);
    }

    @Test
    void mostOfAFleetDiesAndReturnsInOneSecondAndNothingIsLost() {
        SimulatedFleet world = new SimulatedFleet(14, 140);
        world.callsPerSecondLimit = at -> 160;
        world.killAt = 8 * SECOND_MICROS;
        world.killedNodeCount = 10;
        world.run(30);
        int back = SimulatedFleet.sum(world.donePerSecond, 10, 18);
        int refused = SimulatedFleet.sum(world.refusedPerSecond, 9, 18);
        String seen = "done " + back + ", refused " + refused + ", lost " + world.lostRecords;
        assertTrue(back > 0.85 * 8 * 140 && refused < 150 && world.lostRecords == 0, seen);
    }
}
