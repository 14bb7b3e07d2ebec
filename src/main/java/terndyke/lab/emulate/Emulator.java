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

import terndyke.lab.model.Answer;
import terndyke.lab.model.Receiver;
import terndyke.lab.model.Shot;
import terndyke.lab.model.Site;
import terndyke.lab.model.Told;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.Destinations;
import terndyke.lab.plan.Experiment.Effect;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.Failure.Side;
import terndyke.lab.referee.Logbook;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Sight.What;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.Ticker;

/** The receiving side on sockets: receivers, discovery, an agent and a sink of notices beside each node. */
public final class Emulator implements AutoCloseable {
    private static final long GRACE = 2_500_000; // a receiver that leaves serves on for so long, then turns away
    private static final long GONE_AFTER = 4_000_000;

    private final Experiment day;
    private final Logbook logbook;
    private final Net net;
    private final Ticker ticker;
    private final List<Site> sites = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Agent> agents = new ArrayList<>();
    private final Map<Receiver, Host> byReceiver = new ConcurrentHashMap<>();
    private final Roster roster = new Roster();
    private final UniformRandomProvider chance;
    private int uids;

    private final Told told = new Told() {
        @Override
        public void answer(Receiver receiver, long now, Answer answer) {
            hostOf(receiver).answer(answer);
        }

        @Override
        public void ran(Receiver receiver, long now, Shot shot, boolean dropped) {
            logbook.add(new Sight(now, dropped ? What.DROPPED : What.RAN, shot.node(), shot.id(), 0, receiver.uid(),
                    receiver.site().number(), receiver.hall(), 0, 0, 0, null, null));
        }

        @Override
        public void fell(Receiver receiver, long now) {
            logbook.add(new Sight(now, What.FELL, 0, null, 0, receiver.uid(), receiver.site().number(), receiver.hall(), 0, 0,
                    0, null, null));
            ticker.at(now, () -> {
                hostOf(receiver).settle();
                act(hostOf(receiver)::reopen);
            });
        }
    };

    private interface Act {
        void run() throws IOException;
    }

    /** @param probes whether receivers answer probes */
    public Emulator(Experiment day, Logbook logbook, Net net, Ticker ticker, boolean probes) throws IOException {
        this.day = day;
        this.logbook = logbook;
        this.net = net;
        this.ticker = ticker;
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed() * 31 + 7);
        long window = day.grades().stream().filter(grade -> grade.effect() == Effect.DEDUPLICATED)
                .mapToLong(grade -> grade.window().micros()).max().orElse(5_000_000);
        for (Destinations some : day.destinations()) {
            for (int i = 0; i < some.count(); i++) {
                Site site = new Site(sites.size(), some, window);
                sites.add(site);
                for (int index = 0; index < some.receivers(); index++) {
                    int hall = index % day.halls().size();
                    Host host = new Host(net, ticker, logbook, site, day.halls().get(hall), probes);
                    hosts.add(host);
                    host.run(receiver(site, index, hall, host), day.nodes().count());
                    list(host, Agent.ACTIVE, 0);
                }
            }
        }
        for (int node = 0; node < day.nodes().count(); node++) {
            Agent agent = new Agent(node, Net.free("127.0." + (10 + node) + ".2"), net, logbook, ticker,
                    day.list().delay().micros());
            agents.add(agent);
            roster.tell(agent);
        }
    }

    private Receiver receiver(Site site, int index, int hall, Host host) {
        RestorableUniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(chance.nextLong());
        Receiver receiver = new Receiver(site, "s-" + Integer.toHexString(++uids) + "-" + Long.toHexString(day.seed()), index,
                hall, told, own);
        byReceiver.put(receiver, host);
        return receiver;
    }

    private Host hostOf(Receiver receiver) {
        return byReceiver.get(receiver);
    }

    private void list(Host host, String state, long bootMillis) {
        Destinations some = destinations(host.destination());
        double hint = some.limit() != null && some.limit().rate() != null ? some.limit().rate()
                : some.limit() != null ? some.limit().count() / some.limit().span().seconds()
                : some.places() / Math.max(0.001, some.service().mean().seconds());
        roster.change(host.receiver().uid(), host, some.kind(), hint, state, bootMillis);
    }

    private Destinations destinations(int number) {
        int first = 0;
        for (Destinations some : day.destinations()) {
            first += some.count();
            if (number < first) {
                return some;
            }
        }
        throw new IllegalArgumentException("destination " + number);
    }

    public List<Agent> agents() {
        return agents;
    }

    /** How many receivers serve now. */
    public int receivers() {
        return hosts.size();
    }

    /** Slots and queues by destination: calls in hand, connections. */
    public int[][] inHand() {
        int[][] all = new int[sites.size()][2];
        for (Host host : hosts) {
            Receiver receiver = host.receiver();
            synchronized (receiver.site()) {
                all[host.destination()][0] += receiver.inHand();
                all[host.destination()][1] += receiver.connections();
            }
        }
        return all;
    }

    /** A failure of receivers or discovery begins; what befalls whom is drawn from the seed and the failure alone. */
    public void begin(Failure failure) {
        if (failure.kind().side() == Side.DISCOVERY) {
            struckAgents(failure).forEach(agent -> agent.begin(failure));
            return;
        }
        List<Host> struck = struck(failure);
        for (Host host : struck) {
            switch (failure.kind()) {
                case DRAIN -> {
                    list(host, Agent.LEAVING, 0);
                    Receiver leaving = host.receiver();
                    ticker.at(Ticker.now() + day.list().delay().micros() + GRACE, () -> host.shut());
                    ticker.at(Ticker.now() + day.list().delay().micros() + GONE_AFTER, () -> {
                        if (host.receiver() == leaving) {
                            list(host, Agent.LEFT, 0);
                        }
                    });
                }
                case REPLACE -> act(() -> {
                    list(host, Agent.LEFT, 0);
                    synchronized (host.receiver().site()) {
                        Receiver old = host.receiver();
                        host.run(receiver(old.site(), old.index(), old.hall(), host), day.nodes().count());
                    }
                    list(host, Agent.ACTIVE, System.currentTimeMillis());
                });
                default -> host.begin(failure);
            }
        }
        struck.forEach(host -> act(host::reopen));
    }

    /** A failure that began here is over. */
    public void end(Failure failure) {
        if (failure.kind().side() == Side.DISCOVERY) {
            struckAgents(failure).forEach(agent -> agent.end(failure));
        } else if (failure.kind() != Kind.DRAIN && failure.kind() != Kind.REPLACE) {
            List<Host> struck = struck(failure);
            struck.forEach(host -> host.end(failure));
            struck.forEach(host -> act(host::reopen));
        }
    }

    private List<Agent> struckAgents(Failure failure) {
        return IntStream.range(0, agents.size()).filter(failure::strikes).mapToObj(agents::get).toList();
    }

    /** The same machines each time it is asked. */
    private List<Host> struck(Failure failure) {
        UniformRandomProvider drawn = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed() * 131 + failure.at().micros()
                + failure.kind().ordinal());
        Failure.Target on = failure.on();
        List<Host> struck = new ArrayList<>();
        for (Host host : hosts) {
            boolean named = (on.hall() == null || on.hall().equals(host.hallName()))
                    && (on.kind() == null || on.kind().equals(destinations(host.destination()).kind()))
                    && (on.destinations() == null || on.destinations().contains(host.destination()))
                    && (on.receivers() == null || on.receivers().contains(host.receiver().index()));
            if (named && (on.share() == null || drawn.nextDouble() < on.share())) {
                struck.add(host);
            }
        }
        return struck;
    }

    private void act(Act act) {
        try {
            act.run();
        } catch (IOException e) {
            throw new IllegalStateException("the emulator's sockets: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        hosts.forEach(Host::close);
    }
}
