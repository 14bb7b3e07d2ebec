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

/** Simulates a fleet that shares one endpoint: several dispatchers, each with records of its own, without I/O. */
class FleetTest {
    private static final long STEP_MICROS = 5_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final double SLOW_START_CAPACITY_SHARE = 0.2; // this and the slow start time as in DispatcherFixture.settings
    private static final long SLOW_START_MICROS = 10 * SECOND_MICROS;
    private static final long RECORD_LIFETIME_MICROS = 10 * SECOND_MICROS; // until its abandon time

    /**
     * An endpoint and the nodes that share it. A token bucket limits the calls per second of all nodes together, with a
     * burst of at most half a second. A refused call consumes a token too, and every second refusal asks for a wait of half
     * a second. A call takes 150 ms, one on a new connection twice as long.
     */
    private static final class SimulatedFleet {
        final int nodeCount;
        final double recordsPerSecond;
        LongToDoubleFunction callsPerSecondLimit = at -> 1e6;
        long downFrom = Long.MAX_VALUE;
        long downUntil = Long.MAX_VALUE;
        int connectionLimit = Integer.MAX_VALUE; // connections that the endpoint accepts
        long killAt = Long.MAX_VALUE; // when the first killedNodeCount nodes are killed; they restart a second later
        int killedNodeCount;
        final int[] donePerSecond = new int[200];
        final int[] refusedPerSecond = new int[200];
        final int[] crowdedPerSecond = new int[200];
        final int[] unreachedPerSecond = new int[200];
        final int[] arrivalsPerStep = new int[20_000]; // calls and probes that reached the endpoint, by step
        final int[] awareArrivalsPerStep = new int[20_000]; // those of nodes that had seen the outage
        private final boolean[] sawOutage;
        int doneWithinOneSecond; // records done within a second of being accepted
        int lostRecords;
        private final Random random;
        private final boolean probesAllowed;
        /** 0: all nodes have the same random seed; otherwise each has its own, and the arrival of records varies with it too. */
        private final int seedVariant;
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

            OpenRecord(int node, long acceptedAt) {
                this.node = node;
                this.acceptedAt = acceptedAt;
            }
        }

        SimulatedFleet(int nodeCount, double recordsPerSecond) {
            this(nodeCount, recordsPerSecond, 0, true);
        }

        SimulatedFleet(int nodeCount, double recordsPerSecond, int seedVariant, boolean probesAllowed) {
            this.seedVariant = seedVariant;
            this.probesAllowed = probesAllowed;
            this.random = new Random(7 + seedVariant);
            this.nodeCount = nodeCount;
            this.recordsPerSecond = recordsPerSecond;
            idleConnections = new int[nodeCount];
            busyConnections = new int[nodeCount];
            sawOutage = new boolean[nodeCount];
            for (int node = 0; node < nodeCount; node++) {
                dispatchers.add(createDispatcher(node, 0));
            }
        }

        private Dispatcher createDispatcher(int node, long at) {
            Dispatcher dispatcher = new Dispatcher(DispatcherFixture.settings(
                    seedVariant == 0 ? 1 : 1_000 * seedVariant + node, false, probesAllowed, 200, nodeCount,
                    node, 10, List.of(), false, 0));
            dispatcher.handleEvents(DispatcherFixture.START_MICROS + at, List.of(new Event.ListReceived(
                    List.of(new ListedEndpoint(11, 0, 0, 0, EndpointState.READY, 0, 1)), true)));
            return dispatcher;
        }

        /** The capacity of the endpoint at that time, in calls per second. */
        double capacity(long at) {
            double slowStartProgress = at < downUntil ? 1 : Math.min(1, (double) (at - downUntil) / SLOW_START_MICROS);
            return callsPerSecondLimit.applyAsDouble(at)
                    * (SLOW_START_CAPACITY_SHARE + (1 - SLOW_START_CAPACITY_SHARE) * slowStartProgress);
        }

        SimulatedFleet run(int seconds) {
            int[] incarnations = new int[nodeCount];
            for (long at = 0; at < seconds * SECOND_MICROS; at += STEP_MICROS) {
                double capacity = capacity(at);
                availableTokens = Math.min(capacity / 2, availableTokens + capacity * STEP_MICROS / SECOND_MICROS);
                for (int node = 0; node < nodeCount; node++) {
                    List<Event> events = new ArrayList<>(List.of(new Event.TimerExpired(0)));
                    boolean killed = node < killedNodeCount;
                    if (killed && at == killAt) {
                        incarnations[node]++;
                        idleConnections[node] = 0;
                        busyConnections[node] = 0;
                    } else if (killed && at == killAt + SECOND_MICROS) {
                        dispatchers.set(node, createDispatcher(node, at));
                        events.addAll(restoredRecords(node, at));
                    }
                    if (killed && at >= killAt && at < killAt + SECOND_MICROS) {
                        continue;
                    }
                    if (random.nextDouble() < recordsPerSecond / nodeCount * STEP_MICROS / SECOND_MICROS) {
                        openRecords.put(++sequence, new OpenRecord(node, at));
                        events.add(DispatcherFixture.recordAccepted(sequence, DispatcherFixture.IDEMPOTENT));
                    }
                    collectEvents(node, incarnations[node], at, events);
                    for (Action action : dispatchers.get(node).handleEvents(DispatcherFixture.START_MICROS + at, events)) {
                        perform(node, incarnations[node], at, action);
                    }
                }
            }
            lostRecords += (int) openRecords.values().stream()
                    .filter(record -> record.acceptedAt < (seconds - 11) * SECOND_MICROS).count();
            return this;
        }

        private List<Event> restoredRecords(int node, long at) {
            List<Event> events = new ArrayList<>();
            openRecords.entrySet().stream().filter(entry -> entry.getValue().node == node).sorted(Map.Entry.comparingByKey())
                    .forEach(entry -> {
                        OpenRecord record = entry.getValue();
                        List<Event.EarlierShot> shots = new ArrayList<>();
                        for (int shot = 0; shot < record.shotCount; shot++) {
                            shots.add(new Event.EarlierShot(11, 0, at - killAt,
                                    shot < record.shotCount - record.inFlightShotCount ? Ending.FULL : null));
                        }
                        record.inFlightShotCount = 0;
                        events.add(new Event.RecordRestored(new Event.RecordAccepted(entry.getKey(),
                                DispatcherFixture.IDEMPOTENT, 0, 7,
                                record.acceptedAt + RECORD_LIFETIME_MICROS - at, 0, 1, false, false, false), shots, false));
                    });
            return events;
        }

        private void collectEvents(int node, int incarnation, long at, List<Event> events) {
            List<ScheduledEvent> ofOtherNodes = new ArrayList<>();
            while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at <= at) {
                ScheduledEvent scheduled = scheduledEvents.poll();
                if (scheduled.node != node) {
                    ofOtherNodes.add(scheduled);
                } else if (scheduled.incarnation == incarnation) {
                    events.add(scheduled.event);
                    if (scheduled.usesConnection) {
                        busyConnections[node]--;
                        idleConnections[node]++;
                    }
                    if (scheduled.event instanceof Event.ShotEnded ended && openRecords.containsKey(ended.id())) {
                        openRecords.get(ended.id()).inFlightShotCount--;
                        if (ended.recordEnded()) {
                            doneWithinOneSecond += at - openRecords.remove(ended.id()).acceptedAt <= SECOND_MICROS ? 1 : 0;
                        }
                    }
                }
            }
            scheduledEvents.addAll(ofOtherNodes);
        }

        private void perform(int node, int incarnation, long at, Action action) {
            boolean down = at >= downFrom && at < downUntil;
            if (action instanceof Action.SendShot shot) {
                boolean reusesConnection = idleConnections[node] > 0;
                int openConnections = 0;
                for (int other = 0; other < nodeCount; other++) {
                    openConnections += idleConnections[other] + busyConnections[other];
                }
                boolean hasConnection = reusesConnection || openConnections < connectionLimit;
                boolean accepted = hasConnection && !down && availableTokens >= 1;
                sawOutage[node] |= down;
                if (!down) {
                    arrivalsPerStep[(int) (at / STEP_MICROS)]++;
                    awareArrivalsPerStep[(int) (at / STEP_MICROS)] += sawOutage[node] ? 1 : 0;
                    availableTokens = hasConnection ? Math.max(0, availableTokens - 1) : availableTokens;
                }
                (down ? unreachedPerSecond : !hasConnection ? crowdedPerSecond : accepted ? donePerSecond
                        : refusedPerSecond)[(int) (at / SECOND_MICROS)]++;
                Ending ending = down ? Ending.NOT_CONNECTED : !hasConnection ? Ending.CROWDED : accepted ? Ending.DONE
                        : Ending.FULL;
                long retryAfter = ending == Ending.FULL && ++refusalCount % 2 == 0 ? SECOND_MICROS / 2 : 0;
                long elapsed = down ? 20_000 : !hasConnection ? 110_000 : reusesConnection ? 150_000 : 300_000;
                idleConnections[node] -= reusesConnection ? 1 : 0;
                busyConnections[node] += hasConnection && !down ? 1 : 0;
                OpenRecord record = openRecords.get(shot.id());
                record.inFlightShotCount++;
                scheduledEvents.add(new ScheduledEvent(at + elapsed, ++sequence, node, incarnation,
                        new Event.ShotEnded(shot.id(), record.shotCount++, shot.endpoint(), ending, elapsed, retryAfter, false,
                                accepted, DispatcherFixture.NO_LOAD_REPORT),
                        hasConnection && !down));
            } else if (action instanceof Action.Probe probe) {
                sawOutage[node] |= down;
                arrivalsPerStep[(int) (at / STEP_MICROS)] += down ? 0 : 1;
                awareArrivalsPerStep[(int) (at / STEP_MICROS)] += !down && sawOutage[node] ? 1 : 0;
                availableTokens = Math.max(0, availableTokens - (down ? 0 : 1));
                scheduledEvents.add(new ScheduledEvent(at + 100_000, ++sequence, node, incarnation,
                        new Event.ProbeEnded(probe.endpoint(), down ? Ending.NOT_CONNECTED : Ending.DONE, 100_000,
                                DispatcherFixture.NO_LOAD_REPORT), false));
            } else if (action instanceof Action.CloseIdleConnections) {
                idleConnections[node] = 0;
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
            for (int index = from; index < to; index++) {
                sum += counts[index];
            }
            return sum;
        }
    }

    @Test
    void aLimitThatFallsAndRisesIsUsedWellByAllNodesTogether() {
        SimulatedFleet fleet = new SimulatedFleet(14, 140);
        fleet.callsPerSecondLimit = at -> at >= 5 * SECOND_MICROS && at < 14 * SECOND_MICROS ? 75 : 160;
        fleet.run(30);
        int doneAtLowLimit = SimulatedFleet.sum(fleet.donePerSecond, 6, 14);
        int doneAtHighLimit = SimulatedFleet.sum(fleet.donePerSecond, 18, 28);
        int refused = SimulatedFleet.sum(fleet.refusedPerSecond, 5, 30);
        String result = "done at low limit " + doneAtLowLimit + ", at high limit " + doneAtHighLimit + ", refused " + refused
                + ", lost " + fleet.lostRecords;
        assertTrue(doneAtLowLimit > 0.85 * 8 * 75 && doneAtHighLimit > 0.85 * 10 * 160 && refused < 200
                && fleet.lostRecords == 0, result);
    }

    @Test
    void aDestinationBackFromAnOutageIsNotOverloadedByAllNodesTogether() {
        SimulatedFleet fleet = new SimulatedFleet(14, 140);
        fleet.callsPerSecondLimit = at -> 160;
        fleet.downFrom = 5 * SECOND_MICROS;
        fleet.downUntil = 10 * SECOND_MICROS;
        fleet.run(35);
        int windowSteps = (int) (2 * SECOND_MICROS / STEP_MICROS);
        double maxLoad = 0;
        for (int from = (int) (fleet.downUntil / STEP_MICROS); from < 30 * SECOND_MICROS / STEP_MICROS; from++) {
            double allowed = 0;
            for (int step = from; step < from + windowSteps; step++) {
                allowed += 2 * fleet.capacity(step * STEP_MICROS) * STEP_MICROS / SECOND_MICROS;
            }
            maxLoad = Math.max(maxLoad, SimulatedFleet.sum(fleet.arrivalsPerStep, from, from + windowSteps) / allowed);
        }
        int done = SimulatedFleet.sum(fleet.donePerSecond, 20, 30);
        String result = "at most " + maxLoad + " of the calls allowed in a window, done " + done + ", lost " + fleet.lostRecords;
        assertTrue(maxLoad < 0.9 && done > 0.85 * 10 * 140 && fleet.lostRecords == 0, result);
    }

    /** A fleet whose destination takes this rate of calls per second, gets records at 4/5 of it and is down from 6 to 13 s. */
    private static SimulatedFleet fleetWithOutage(int nodeCount, int rate, int seedVariant, boolean probesAllowed) {
        SimulatedFleet fleet = new SimulatedFleet(nodeCount, 0.8 * rate, seedVariant, probesAllowed);
        fleet.callsPerSecondLimit = at -> rate;
        fleet.downFrom = 6 * SECOND_MICROS;
        fleet.downUntil = 13 * SECOND_MICROS;
        return fleet;
    }

    /**
     * By how much the calls in the worst window exceed what the settings allow plus what random variation explains. Only
     * windows count in which more than two thirds of the calls come from nodes that had seen the outage.
     */
    private static double worstExcessOverRandomVariation(SimulatedFleet fleet, int until) {
        int windowSteps = (int) (2 * SECOND_MICROS / STEP_MICROS);
        double worst = Double.NEGATIVE_INFINITY;
        for (int from = (int) (fleet.downUntil / STEP_MICROS); from < until * SECOND_MICROS / STEP_MICROS - windowSteps; from++) {
            double allowed = 0;
            for (int step = from; step < from + windowSteps; step++) {
                allowed += 2 * fleet.capacity(step * STEP_MICROS) * STEP_MICROS / SECOND_MICROS;
            }
            int arrivals = SimulatedFleet.sum(fleet.arrivalsPerStep, from, from + windowSteps);
            boolean mostlyAware = 3 * SimulatedFleet.sum(fleet.awareArrivalsPerStep, from, from + windowSteps) > 2 * arrivals;
            worst = mostlyAware ? Math.max(worst, arrivals - (allowed + 2 * Math.sqrt(allowed) + 2)) : worst;
        }
        return worst;
    }

    /**
     * Guards against a fleet in which each node keeps to its share while the sum exceeds the limit, with few or many nodes
     * and much or little traffic.
     */
    @Test
    void aColdDestinationGetsNoMoreFromAllNodesTogetherThanRandomVariationExplains() {
        StringBuilder results = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodeCount : new int[] {6, 20, 30, 100}) {
            for (int rate : new int[] {4, 12, 40, 120}) {
                SimulatedFleet fleet = fleetWithOutage(nodeCount, rate, 0, true);
                fleet.run(32);
                double excess = worstExcessOverRandomVariation(fleet, 30);
                worst = Math.max(worst, excess);
                results.append(String.format("%n%d nodes, %d calls per second: excess %.1f, done %d of %d, lost %d",
                        nodeCount, rate, excess, SimulatedFleet.sum(fleet.donePerSecond, 22, 30), (int) (8 * 0.8 * rate),
                        fleet.lostRecords));
            }
        }
        assertTrue(worst <= 0, results.toString());
    }

    /** The same with most nodes killed during the outage: a restarted node does not know of it. */
    @Test
    void aColdDestinationIsNotOverloadedByNodesThatRestartedDuringTheOutage() {
        StringBuilder results = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodeCount : new int[] {20, 30}) {
            for (int rate : new int[] {12, 40}) {
                SimulatedFleet fleet = fleetWithOutage(nodeCount, rate, 0, true);
                fleet.killAt = 11 * SECOND_MICROS;
                fleet.killedNodeCount = nodeCount * 7 / 10;
                fleet.run(32);
                double excess = worstExcessOverRandomVariation(fleet, 30);
                worst = Math.max(worst, excess);
                results.append(String.format("%n%d nodes, %d calls per second: excess %.1f, lost %d", nodeCount, rate,
                        excess, fleet.lostRecords));
            }
        }
        assertTrue(worst <= 0, results.toString());
    }

    /** The two cases above with a different random seed for each node, as in production, with probes or without. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aColdDestinationGetsNoMoreThanRandomVariationExplainsFromNodesWithDifferentSeeds(boolean probesAllowed) {
        StringBuilder results = new StringBuilder();
        double worst = Double.NEGATIVE_INFINITY;
        for (int nodeCount : new int[] {20, 30, 100}) {
            for (int rate : new int[] {4, 12, 40}) {
                for (int seedVariant = 1; seedVariant <= 4; seedVariant++) {
                    SimulatedFleet fleet = fleetWithOutage(nodeCount, rate, seedVariant, probesAllowed);
                    fleet.killAt = seedVariant <= 2 ? 11 * SECOND_MICROS : Long.MAX_VALUE;
                    fleet.killedNodeCount = seedVariant <= 2 ? nodeCount * 7 / 10 : 0;
                    fleet.run(32);
                    double excess = worstExcessOverRandomVariation(fleet, 30);
                    worst = Math.max(worst, excess);
                    results.append(String.format("%n%d nodes, %d calls per second, seed variant %d: excess %.1f, done %d",
                            nodeCount, rate, seedVariant, excess, SimulatedFleet.sum(fleet.donePerSecond, 13, 30)));
                }
            }
        }
        assertTrue(worst <= 0, results.toString());
    }

    @Test
    void fewConnectionsAreSharedByMoreNodes() {
        SimulatedFleet fleet = new SimulatedFleet(14, 60);
        fleet.connectionLimit = 12;
        fleet.run(30);
        int done = SimulatedFleet.sum(fleet.donePerSecond, 0, 30);
        String result = "done within a second " + fleet.doneWithinOneSecond + ", done " + done + " of 1800, crowded "
                + SimulatedFleet.sum(fleet.crowdedPerSecond, 0, 30) + ", lost " + fleet.lostRecords;
        assertTrue(done > 0.85 * 1_800 && fleet.doneWithinOneSecond > 0.4 * 1_800 && fleet.lostRecords == 0, result);
    }

    @Test
    void mostOfAFleetIsKilledAndRestartsInOneSecondAndNothingIsLost() {
        SimulatedFleet fleet = new SimulatedFleet(14, 140);
        fleet.callsPerSecondLimit = at -> 160;
        fleet.killAt = 8 * SECOND_MICROS;
        fleet.killedNodeCount = 10;
        fleet.run(30);
        int done = SimulatedFleet.sum(fleet.donePerSecond, 10, 18);
        int refused = SimulatedFleet.sum(fleet.refusedPerSecond, 9, 18);
        String result = "done " + done + ", refused " + refused + ", lost " + fleet.lostRecords;
        assertTrue(done > 0.85 * 8 * 140 && refused < 150 && fleet.lostRecords == 0, result);
    }
}
