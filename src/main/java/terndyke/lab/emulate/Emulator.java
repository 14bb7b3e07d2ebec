package terndyke.lab.emulate;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import terndyke.lab.model.Response;
import terndyke.lab.model.Receiver;
import terndyke.lab.model.Shot;
import terndyke.lab.model.EmulatedDestination;
import terndyke.lab.model.ReceiverListener;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.DestinationGroup;
import terndyke.lab.plan.Experiment.RepeatSemantics;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.Failure.TargetType;
import terndyke.lab.referee.EventLog;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.ObservedEvent.EventType;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/** Emulates the receiving side on sockets: the receivers, discovery, and for each node an agent that also takes its notices. */
public final class Emulator implements AutoCloseable {
    private static final long DRAIN_GRACE_MICROS = 2_500_000; // a draining receiver accepts calls for so long, then rejects them
    private static final long DRAIN_REMOVAL_DELAY_MICROS = 4_000_000;

    private final Experiment experiment;
    private final EventLog eventLog;
    private final SocketReactor reactor;
    private final TaskScheduler scheduler;
    private final List<EmulatedDestination> destinations = new ArrayList<>();
    private final List<ReceiverHost> hosts = new ArrayList<>();
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private final Map<Receiver, ReceiverHost> hostsByReceiver = new ConcurrentHashMap<>();
    private final DiscoveryRegistry registry = new DiscoveryRegistry();
    private final UniformRandomProvider random;
    private int createdReceiverCount;

    private final ReceiverListener receiverListener = new ReceiverListener() {
        @Override
        public void onResponse(Receiver receiver, long now, Response response) {
            findHost(receiver).sendResponse(response);
        }

        @Override
        public void onExecuted(Receiver receiver, long now, Shot shot, boolean duplicate) {
            eventLog.add(new ObservedEvent(now, duplicate ? EventType.DROPPED : EventType.RAN, shot.node(), shot.id(), 0,
                    receiver.uid(), receiver.destination().number(), receiver.hall(), 0, 0, 0, null, null));
        }

        @Override
        public void onCollapse(Receiver receiver, long now) {
            eventLog.add(new ObservedEvent(now, EventType.FELL, 0, null, 0, receiver.uid(), receiver.destination().number(),
                    receiver.hall(), 0, 0, 0, null, null));
            scheduler.schedule(now, () -> {
                findHost(receiver).applyReceiverState();
                runUnchecked(findHost(receiver)::reopenAddresses);
            });
        }
    };

    /** An action that may throw an IOException. */
    private interface IoAction {
        void run() throws IOException;
    }

    /** @param answersProbes whether receivers answer probes */
    public Emulator(Experiment experiment, EventLog eventLog, SocketReactor reactor, TaskScheduler scheduler,
            boolean answersProbes) throws IOException {
        this.experiment = experiment;
        this.eventLog = eventLog;
        this.reactor = reactor;
        this.scheduler = scheduler;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(experiment.seed() * 31 + 7);
        long deduplicationWindowMicros = experiment.grades().stream()
                .filter(grade -> grade.effect() == RepeatSemantics.DEDUPLICATED)
                .mapToLong(grade -> grade.window().micros()).max().orElse(5_000_000);
        for (DestinationGroup group : experiment.destinations()) {
            for (int i = 0; i < group.count(); i++) {
                EmulatedDestination destination = new EmulatedDestination(destinations.size(), group, deduplicationWindowMicros);
                destinations.add(destination);
                for (int index = 0; index < group.receivers(); index++) {
                    int hall = index % experiment.halls().size();
                    ReceiverHost host = new ReceiverHost(reactor, scheduler, eventLog, destination,
                            experiment.halls().get(hall), answersProbes);
                    hosts.add(host);
                    host.startReceiver(createReceiver(destination, index, hall, host), experiment.nodes().count());
                    publishState(host, DiscoveryAgent.ACTIVE, 0);
                }
            }
        }
        for (int node = 0; node < experiment.nodes().count(); node++) {
            DiscoveryAgent agent = new DiscoveryAgent(node, SocketReactor.findFreeAddress("127.0." + (10 + node) + ".2"), reactor,
                    eventLog, scheduler, experiment.list().delay().micros());
            agents.add(agent);
            registry.subscribe(agent);
        }
    }

    private Receiver createReceiver(EmulatedDestination destination, int index, int hall, ReceiverHost host) {
        RestorableUniformRandomProvider receiverRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
        Receiver receiver = new Receiver(destination,
                "s-" + Integer.toHexString(++createdReceiverCount) + "-" + Long.toHexString(experiment.seed()), index, hall,
                receiverListener, receiverRandom);
        hostsByReceiver.put(receiver, host);
        return receiver;
    }

    private ReceiverHost findHost(Receiver receiver) {
        return hostsByReceiver.get(receiver);
    }

    private void publishState(ReceiverHost host, String state, long bootMillis) {
        DestinationGroup group = findDestinationGroup(host.destination());
        double capacityHint = group.limit() != null && group.limit().rate() != null ? group.limit().rate()
                : group.limit() != null ? group.limit().count() / group.limit().span().seconds()
                : group.places() / Math.max(0.001, group.service().mean().seconds());
        registry.publishState(host.receiver().uid(), host, group.kind(), capacityHint, state, bootMillis);
    }

    private DestinationGroup findDestinationGroup(int number) {
        int groupEnd = 0;
        for (DestinationGroup group : experiment.destinations()) {
            groupEnd += group.count();
            if (number < groupEnd) {
                return group;
            }
        }
        throw new IllegalArgumentException("no destination with number " + number);
    }

    /** The discovery agents, by node number. */
    public List<DiscoveryAgent> agents() {
        return agents;
    }

    /** The number of receivers. */
    public int receiverCount() {
        return hosts.size();
    }

    /** The load by destination: the number of calls in progress (executed or queued), and the number of connections. */
    public int[][] loadByDestination() {
        int[][] loads = new int[destinations.size()][2];
        for (ReceiverHost host : hosts) {
            Receiver receiver = host.receiver();
            synchronized (receiver.destination()) {
                loads[host.destination()][0] += receiver.callsInProgress();
                loads[host.destination()][1] += receiver.connectionCount();
            }
        }
        return loads;
    }

    /** Starts a failure of receivers or discovery. Which receivers it affects depends only on the seed and the failure. */
    public void beginFailure(Failure failure) {
        if (failure.kind().targetType() == TargetType.DISCOVERY) {
            findAffectedAgents(failure).forEach(agent -> agent.beginFailure(failure));
            return;
        }
        List<ReceiverHost> affectedHosts = findAffectedHosts(failure);
        for (ReceiverHost host : affectedHosts) {
            switch (failure.kind()) {
                case DRAIN -> {
                    publishState(host, DiscoveryAgent.LEAVING, 0);
                    Receiver drainingReceiver = host.receiver();
                    scheduler.schedule(TaskScheduler.nowMicros() + experiment.list().delay().micros() + DRAIN_GRACE_MICROS,
                            () -> host.rejectNewCalls());
                    scheduler.schedule(
                            TaskScheduler.nowMicros() + experiment.list().delay().micros() + DRAIN_REMOVAL_DELAY_MICROS, () -> {
                                if (host.receiver() == drainingReceiver) {
                                    publishState(host, DiscoveryAgent.LEFT, 0);
                                }
                            });
                }
                case REPLACE -> runUnchecked(() -> {
                    publishState(host, DiscoveryAgent.LEFT, 0);
                    synchronized (host.receiver().destination()) {
                        Receiver previous = host.receiver();
                        host.startReceiver(createReceiver(previous.destination(), previous.index(), previous.hall(), host),
                                experiment.nodes().count());
                    }
                    publishState(host, DiscoveryAgent.ACTIVE, System.currentTimeMillis());
                });
                default -> host.beginFailure(failure);
            }
        }
        affectedHosts.forEach(host -> runUnchecked(host::reopenAddresses));
    }

    /** Ends a failure that beginFailure started. */
    public void endFailure(Failure failure) {
        if (failure.kind().targetType() == TargetType.DISCOVERY) {
            findAffectedAgents(failure).forEach(agent -> agent.endFailure(failure));
        } else if (failure.kind() != Kind.DRAIN && failure.kind() != Kind.REPLACE) {
            List<ReceiverHost> affectedHosts = findAffectedHosts(failure);
            affectedHosts.forEach(host -> host.endFailure(failure));
            affectedHosts.forEach(host -> runUnchecked(host::reopenAddresses));
        }
    }

    private List<DiscoveryAgent> findAffectedAgents(Failure failure) {
        return IntStream.range(0, agents.size()).filter(failure::affectsNode).mapToObj(agents::get).toList();
    }

    /** The hosts that a failure affects; each call with the same failure returns the same hosts. */
    private List<ReceiverHost> findAffectedHosts(Failure failure) {
        UniformRandomProvider hostRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(experiment.seed() * 131 + failure.at().micros()
                + failure.kind().ordinal());
        Failure.Target target = failure.on();
        List<ReceiverHost> affectedHosts = new ArrayList<>();
        for (ReceiverHost host : hosts) {
            boolean matches = (target.hall() == null || target.hall().equals(host.hallName()))
                    && (target.kind() == null || target.kind().equals(findDestinationGroup(host.destination()).kind()))
                    && (target.destinations() == null || target.destinations().contains(host.destination()))
                    && (target.receivers() == null || target.receivers().contains(host.receiver().index()));
            if (matches && (target.share() == null || hostRandom.nextDouble() < target.share())) {
                affectedHosts.add(host);
            }
        }
        return affectedHosts;
    }

    private void runUnchecked(IoAction action) {
        try {
            action.run();
        } catch (IOException e) {
            throw new IllegalStateException("emulator socket operation failed: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        hosts.forEach(ReceiverHost::close);
    }
}
