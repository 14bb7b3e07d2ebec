package terndyke.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import terndyke.api.Event;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.ClientRequestHandler;
import terndyke.node.http.Reactor;
import terndyke.node.journal.JournalEntry;
import terndyke.node.journal.Journal;
import terndyke.node.stage.RecordStore;
import terndyke.node.stage.DecisionLoop;
import terndyke.node.stage.TrackedRecord;
import terndyke.node.stage.LoopEvent;

/** A delivery node that can be embedded: start() begins to serve, close() shuts down in good order. */
public final class DeliveryNode implements AutoCloseable {
    private volatile NodeConfiguration configuration; // without the known endpoints once it has started
    private final NodeLog log;
    private final FatalErrorHandler fatalErrorHandler;
    private final Counters counters = new Counters();
    private Reactor reactor;
    private Journal journal;
    private volatile ClientRequestHandler requestHandler; // set near the end of start(); null until then
    private volatile DecisionLoop decisionLoop;
    private Thread decisionThread;
    private volatile boolean ready;
    private volatile boolean shuttingDown;
    private volatile InetSocketAddress reloadedDiscoveryAddress; // from the last configuration reload, or null

    /** Creates a node that logs if one of its threads ends with an error; it does not serve any more then. */
    public DeliveryNode(NodeConfiguration configuration, NodeLog log) {
        this(configuration, log, (threadName, cause) -> log.warn("thread " + threadName + " ended, the node serves no more: "
                + cause));
    }

    /** Creates a node; the handler is told if one of its threads ends with an error. */
    public DeliveryNode(NodeConfiguration configuration, NodeLog log, FatalErrorHandler fatalErrorHandler) {
        this.configuration = configuration;
        this.log = log;
        this.fatalErrorHandler = fatalErrorHandler;
    }

    /** Restores the unfinished records of the previous run from the journal, and serves clients from then on. */
    public void start() throws IOException {
        Limits limits = configuration.limits();
        TransientErrorRetry startRetry = new TransientErrorRetry(log::warn, limits.maxStartRetryMicros());
        List<JournalEntry> entries = new ArrayList<>();
        journal = startRetry.run("cannot open the journal in " + configuration.stateDirectory(), () -> {
            entries.clear();
            return Journal.open(configuration.stateDirectory(), limits.maxJournalBytes(), log, entries);
        });
        RecordStore recordStore = new RecordStore(journal, limits, counters, log);
        Collection<TrackedRecord> restoredRecords = recordStore.restore(entries);
        NodeClock clock = NodeClock.continueFrom(recordStore.clockReference(), recordStore.latestTime());
        if (!restoredRecords.isEmpty()) {
            log.info("journal: " + entries.size() + " entries about " + restoredRecords.size() + " records, the latest "
                    + (clock.now() - recordStore.latestTime()) / 1000 + " ms old by the "
                    + (clock.isContinued() ? "clock of the previous run" : "wall clock"));
        }
        recordStore.startRun(clock.reference());
        EndpointRegistry endpointRegistry = new EndpointRegistry(configuration.zoneNames(), configuration.endpointKinds());
        Event.ListReceived knownList = applyKnownList(endpointRegistry, recordStore, clock.now());
        reactor = startRetry.run("cannot start the I/O threads", () -> Reactor.open(limits, counters, log, fatalErrorHandler));
        reactor.start();
        decisionLoop = new DecisionLoop(configuration, reactor, endpointRegistry, recordStore, clock, counters, log);
        if (reloadedDiscoveryAddress != null) {
            // the configuration was reloaded before there was a decision loop to notify
            decisionLoop.post(new LoopEvent.DiscoveryAddressChanged(reloadedDiscoveryAddress));
        }
        decisionLoop.restore(knownList, restoredRecords);
        decisionThread = new Thread(decisionLoop, "terndyke-desk");
        decisionThread.setUncaughtExceptionHandler((thread, cause) -> fatalErrorHandler.onThreadEnded(thread.getName(), cause));
        decisionThread.start();
        requestHandler = new ClientRequestHandler(limits, counters, configuration.gradeNames(), configuration.tenantNames(),
                clock::now, () -> ready && !shuttingDown, decisionLoop::offerRequest,
                request -> decisionLoop.post(new LoopEvent.ClientDisconnected(request)));
        startRetry.run("cannot listen on " + configuration.listenAddress(), () -> {
            reactor.listen(configuration.listenAddress(), requestHandler);
            return null;
        });
        // only now: discovery is asked and the records of the previous run, whose time goes on, are sent meanwhile
        WarmUp.warmUpDispatcher(configuration, limits.warmUpTimeoutMicros());
        WarmUp.warmUpHttp(configuration, reactor, clock, log, configuration.listenAddress(), limits.warmUpTimeoutMicros());
        awaitFirstTurn(limits.startTimeoutMicros());
        configuration = configuration.withoutKnownEndpoints();
        ready = true;
        log.trace(clock.now(), "serving");
        log.info("serving on " + configuration.listenAddress() + ", " + knownList.entries().size() + " endpoints known, "
                + counters.get(Counters.Counter.RESTORED) + " unfinished records of the previous run");
    }

    /**
     * Applies the list to act on until discovery has answered: the one that the previous run had, or that of the configuration, if it is
     * newer. Whatever discovery's first answer is, it replaces the list of the configuration.
     */
    private Event.ListReceived applyKnownList(EndpointRegistry endpointRegistry, RecordStore recordStore, long now) {
        long configuredRevision = EndpointRegistry.revisionOf(configuration.knownEndpoints());
        Event.ListReceived list = recordStore.restoreEndpointList(endpointRegistry, configuredRevision, now);
        if (list != null || configuration.knownEndpoints().isEmpty()) {
            return list != null ? list : new Event.ListReceived(List.of(), true);
        }
        List<String> rejectedEntries = new ArrayList<>();
        try {
            list = endpointRegistry.update(configuration.knownEndpoints(), now, rejectedEntries);
            endpointRegistry.forgetRevision();
        } catch (IOException e) {
            log.warn("known list: cannot be read, ignored: " + e.getMessage());
        }
        rejectedEntries.forEach(text -> log.warn("known list: " + text));
        return list != null ? list : new Event.ListReceived(List.of(), true);
    }

    private void awaitFirstTurn(long timeoutMicros) throws IOException {
        try {
            decisionLoop.awaitFirstTurn(timeoutMicros);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
    }

    /**
     * Reads the configuration again and switches to the address of discovery that it names; all other changes take effect
     * at the next start. A configuration that cannot be read changes nothing. May be called from any thread except those
     * of the node itself.
     */
    public void reloadConfiguration(NodeConfiguration.StartupOptions options) {
        try {
            NodeConfiguration reloaded = NodeConfiguration.readWithoutKnownEndpoints(options);
            boolean restUnchanged = configuration.withoutKnownEndpoints().withDiscoveryAddress(reloaded.discoveryAddress())
                    .equals(reloaded);
            log.info("configuration read again, discovery at " + reloaded.discoveryAddress()
                    + (restUnchanged ? "" : "; other changes take effect at the next start"));
            reloadedDiscoveryAddress = reloaded.discoveryAddress();
            DecisionLoop loop = decisionLoop; // if null, start() posts the address
            if (loop != null) {
                loop.post(new LoopEvent.DiscoveryAddressChanged(reloadedDiscoveryAddress));
            }
        } catch (IOException | RuntimeException e) {
            log.warn("configuration rejected, keeping the current one: " + e.getMessage());
        }
    }

    public Counters counters() {
        return counters;
    }

    /** Accepts no new records, finishes those that can end within the grace period, and leaves the rest in the journal. */
    @Override
    public void close() {
        if (requestHandler == null) {
            return;
        }
        shuttingDown = true;
        requestHandler.startClosing();
        decisionLoop.post(new LoopEvent.ShutdownRequested());
        try {
            decisionThread.join(configuration.limits().shutdownGracePeriodMicros() / 1000 + 200);
            decisionLoop.stop();
            reactor.close();
            journal.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            log.warn("journal: closing failed", e);
        }
        log.info("left; counters: " + counters.toString().strip().replace("\n", ", "));
    }
}
