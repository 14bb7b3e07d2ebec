package terndyke.lab.run;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import terndyke.lab.emulate.DiscoveryAgent;
import terndyke.lab.emulate.Emulator;
import terndyke.lab.load.Arrival;
import terndyke.lab.load.EmulatedClients;
import terndyke.lab.load.MisbehavingClients;
import terndyke.lab.load.Pacer;
import terndyke.lab.load.ScheduleGenerator;
import terndyke.lab.load.TraceFile;
import terndyke.lab.plan.UserInputException;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.RepeatSemantics;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.Failure.TargetType;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.EventLog;
import terndyke.lab.referee.Referee;
import terndyke.lab.referee.RuleParameters;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.ObservedEvent.EventType;
import terndyke.lab.standin.StandInNode;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * Runs one experiment: starts the receivers and the nodes, generates the load and the failures as scheduled, stops
 * everything, and lets the referee judge. Every process it starts is stopped at the end, even if the run fails.
 */
public final class ExperimentRun {
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final long OUTAGE_DETECTION_DELAY_MICROS = 500_000; // until the clients' front end notices that a node is gone
    private static final long DEREGISTRATION_DELAY_MILLIS = 300; // the front end still sends to a node this long after SIGTERM
    private static final long TERM_GRACE_PERIOD_MILLIS = 3_700;
    private static final long RESTART_DOWNTIME_MILLIS = 600;
    private static final long DEADLINE_TOLERANCE_MICROS = 400_000; // the referee's tolerance after a record's deadline
    private static final long SAMPLE_INTERVAL_MICROS = 500_000;

    private final Experiment experiment;
    private final Path folder;
    private final String nodeJar;
    private final StandInNode.Fault standInFault;
    private final PrintStream progress;
    private final EventLog eventLog = new EventLog();
    private final List<NodeUnderTest> nodes = new ArrayList<>();
    private final CountDownLatch interruptLatch = new CountDownLatch(1);
    private final Pacer pacer = new Pacer();
    private final Object[] nodeLocks; // serialize the failures of each node
    private EmulatedClients clients;
    private volatile boolean stopping;
    private int activeFailureCount;

    /**
     * @param jar the jar to run as a node; null for the program that this laboratory belongs to
     * @param standIn the fault of the stand-ins that replace the nodes; null for real nodes
     */
    public ExperimentRun(Experiment day, Path folder, String jar, StandInNode.Fault standIn, PrintStream progress) {
        this.experiment = day;
        this.folder = folder;
        this.nodeJar = jar;
        this.standInFault = standIn;
        this.progress = progress;
        nodeLocks = new Object[day.nodes().count()];
        java.util.Arrays.setAll(nodeLocks, i -> new Object());
    }

    /** Stops the run early; may be called from any thread. {@link #execute()} returns once everything has stopped. */
    public void interrupt() {
        interruptLatch.countDown();
        pacer.stop();
    }

    /** Performs the run and returns its result, judged by the referee. */
    public ExperimentResult execute() throws IOException, UserInputException, InterruptedException {
        List<Arrival> arrivals = createArrivals();
        Files.createDirectories(folder);
        try (TaskScheduler ticker = new TaskScheduler("terndyke-lab-answers");
                TaskScheduler clientTicker = new TaskScheduler("terndyke-lab-clients");
                TaskScheduler failureTicker = new TaskScheduler("terndyke-lab-failures");
                SocketReactor receiving = new SocketReactor("terndyke-lab-receivers", 2);
                SocketReactor calling = new SocketReactor("terndyke-lab-clients", 2);
                Emulator emulator = new Emulator(experiment, eventLog, receiving, ticker, true)) {
            FileTime built = nodeProgramModifiedTime();
            ExperimentResult outcome = execute(arrivals, clientTicker, failureTicker, receiving, calling, emulator);
            if (!Objects.equals(built, nodeProgramModifiedTime())) { // a JVM fails unpredictably if its jar is replaced
                return outcome.voidedBecause("the node's program was replaced while the day was played");
            }
            for (TaskScheduler each : List.of(ticker, clientTicker, failureTicker)) {
                if (each.firstFailure() != null) {
                    StringWriter trace = new StringWriter();
                    each.firstFailure().printStackTrace(new PrintWriter(trace));
                    Files.writeString(folder.resolve("laboratory-failure.txt"), trace.toString());
                    return outcome.voidedBecause("the laboratory itself failed: " + each.firstFailure().getMessage());
                }
            }
            return outcome;
        } finally {
            nodes.forEach(NodeUnderTest::destroy);
        }
    }

    /** When the nodes' jar was last modified; null if they do not run from a jar. */
    private FileTime nodeProgramModifiedTime() throws IOException {
        String file = nodeJar != null ? nodeJar : System.getProperty("terndyke.jar");
        return file == null || standInFault != null ? null : Files.getLastModifiedTime(Path.of(file));
    }

    private List<Arrival> createArrivals() throws UserInputException {
        List<Arrival> arrivals = new ArrayList<>(experiment.load().trace() == null ? ScheduleGenerator.generate(experiment)
                : TraceFile.read(Path.of(experiment.load().trace()), experiment));
        int offered = arrivals.size();
        arrivals.removeIf(arrival -> arrival.due() >= experiment.length().micros());
        if (arrivals.isEmpty() && offered > 0) {
            throw new UserInputException("the trace has no record due within the length of " + experiment.length());
        }
        return arrivals;
    }

    private record ScheduledArrival(Arrival arrival, boolean extra) { }

    private ExperimentResult execute(List<Arrival> arrivals, TaskScheduler clientTicker, TaskScheduler failureTicker,
            SocketReactor receiving, SocketReactor calling, Emulator emulator) throws IOException, InterruptedException {
        long began = TaskScheduler.nowMicros();
        progress.printf("%s, seed %d: %d nodes, %d receivers, %d records in %s%n", experiment.name(), experiment.seed(),
                experiment.nodes().count(), emulator.receiverCount(), arrivals.size(), experiment.length());
        startNodes(emulator, receiving);
        String voided = null;
        for (int node = 0; node < nodes.size() && voided == null; node++) {
            if (!nodes.get(node).awaitReady(READY_TIMEOUT_MILLIS)) {
                voided = "node " + node + " did not serve within " + READY_TIMEOUT_MILLIS / 1000 + " s: " + lastLogLines(node);
            } else {
                logEvent(EventType.NODE_READY, node, null);
                if (sendsHangup() && nodes.get(node) instanceof NodeProcess process && process.ignoresHangup()) {
                    voided = "SIGHUP is ignored here (nohup?), so no node hears that its configuration changed";
                }
            }
        }
        List<InetSocketAddress> addresses = nodes.stream().map(NodeUnderTest::listenAddress).toList();
        clients = new EmulatedClients(experiment, calling, clientTicker, eventLog, addresses);
        ResourceSampler sampler = new ResourceSampler(nodes, emulator);
        if (voided == null) {
            eventLog.setStartMicros(TaskScheduler.nowMicros() + 200_000);
            long start = eventLog.startMicros();
            MisbehavingClients intruders = new MisbehavingClients(calling, clientTicker, addresses,
                    experiment.grades().get(0).name(), experiment.seed());
            List<ScheduledArrival> items = createScheduledArrivals(arrivals);
            experiment.failures().stream().filter(failure -> failure.at().compareTo(experiment.length()) < 0)
                    .forEach(failure -> scheduleFailure(failure, start, failureTicker, emulator, intruders));
            failureTicker.schedule(start, new SamplingTask(sampler, failureTicker, start));
            int ran = pacer.run(items.size(), i -> (start + items.get(i).arrival.due()) * 1000,
                    i -> clients.recordDue(i, items.get(i).arrival, start + items.get(i).arrival.due(), items.get(i).extra));
            awaitRecordsEnded(start);
            if (ran < items.size() || interruptLatch.getCount() == 0) {
                voided = "interrupted";
            }
        }
        stopping = true;
        double seconds = (TaskScheduler.nowMicros() - eventLog.startMicros()) / 1e6;
        stopNodes();
        if (voided == null && pacer.lateness().getValueAtPercentile(99) > experiment.late().micros()) {
            voided = String.format("the tool itself was late: 99%% within %.1f ms, %.1f ms at most, %s allowed",
                    pacer.lateness().getValueAtPercentile(99) / 1e3, pacer.lateness().getMaxValue() / 1e3, experiment.late());
        }
        List<ObservedEvent> sights = eventLog.sortedEvents();
        Referee referee = new Referee(RuleParameters.of(experiment), TaskScheduler.nowMicros() - eventLog.startMicros());
        List<Breach> breaches = voided != null && clients.handInCounts()[0] == 0 ? List.of() : referee.judge(sights);
        if ("interrupted".equals(voided)) {
            breaches = breaches.stream().filter(breach -> breach.rule() != 1).toList(); // their records could not end any more
        }
        progress.printf("finished after %.1f s%n", (TaskScheduler.nowMicros() - began) / 1e6);
        return new ExperimentResult(experiment, standInFault != null ? "stand-in " + standInFault
                : nodeJar == null ? "this build" : nodeJar, voided, breaches, sights, List.copyOf(referee.histories()),
                arrivals.size(), clients.handInCounts(), clients.latencyFromDue(), clients.latencyFromSent(), pacer.lateness(),
                sampler.samples(), emulator.receiverCount(), seconds);
    }

    private final class SamplingTask implements Runnable {
        private final ResourceSampler sampler;
        private final TaskScheduler scheduler;
        private final long startMicros;
        private long sampleCount;

        SamplingTask(ResourceSampler sampler, TaskScheduler ticker, long start) {
            this.sampler = sampler;
            this.scheduler = ticker;
            this.startMicros = start;
        }

        @Override
        public void run() {
            if (stopping) {
                return;
            }
            sampler.takeSample(startMicros);
            sampleCount++;
            if (sampleCount % 6 == 0) {
                int[] doors = clients.handInCounts();
                progress.printf("%6.1f s  %d handed in, %d accepted, %d in progress%n",
                        (TaskScheduler.nowMicros() - startMicros) / 1e6, doors[0], doors[1], clients.openRecordCount());
            }
            scheduler.schedule(startMicros + sampleCount * SAMPLE_INTERVAL_MICROS, this);
        }
    }

    private List<ScheduledArrival> createScheduledArrivals(List<Arrival> arrivals) {
        List<ScheduledArrival> items = new ArrayList<>();
        arrivals.forEach(arrival -> items.add(new ScheduledArrival(arrival, false)));
        String grade = experiment.grades().stream().filter(one -> one.effect() == RepeatSemantics.IDEMPOTENT && !one.inOrder())
                .findFirst().orElse(experiment.grades().get(0)).name();
        for (Failure failure : experiment.failures()) {
            if (failure.kind() == Kind.FLOOD) {
                MisbehavingClients.floodArrivals(failure, grade, experiment.tenants().get(0).name(),
                        experiment.destinationCount()).stream().filter(arrival -> arrival.due() < experiment.length().micros())
                        .forEach(arrival -> items.add(new ScheduledArrival(arrival, true)));
            }
        }
        items.sort(Comparator.comparingLong(item -> item.arrival.due()));
        return items;
    }

    private void startNodes(Emulator emulator, SocketReactor net) throws IOException {
        for (int node = 0; node < experiment.nodes().count(); node++) {
            int number = node;
            DiscoveryAgent agent = emulator.agents().get(node);
            if (standInFault != null) {
                nodes.add(new StandInNode(SocketReactor.findFreeAddress("127.0.0.1"), net,
                        NodeConfigurationWriter.toJson(experiment, node, experiment.seed(),
                                new InetSocketAddress("127.0.0.1", 1), agent.address(), agent.fullListJson()), standInFault));
            } else {
                Path own = folder.resolve("n" + node);
                Files.createDirectories(own);
                InetSocketAddress listen = SocketReactor.findFreeAddress("127.0." + (10 + node) + ".3");
                nodes.add(new NodeProcess(own, listen, NodeProcess.chooseLaunchArguments(nodeJar),
                        () -> NodeConfigurationWriter.toJson(experiment, number, experiment.seed() * 1000 + number, listen,
                                agent.address(), agent.fullListJson()), experiment.nodes().diskMb()));
            }
            logEvent(EventType.NODE_STARTS, node, null);
            nodes.get(node).start();
        }
    }

    private boolean sendsHangup() {
        return experiment.failures().stream().anyMatch(one -> one.kind() == Kind.HANGUP || one.kind() == Kind.RELOAD);
    }

    private String lastLogLines(int node) {
        return nodes.get(node) instanceof NodeProcess process ? process.lastLogLines() : "";
    }

    private void logEvent(EventType what, int node, String note) {
        eventLog.add(ObservedEvent.ofNodeProcess(TaskScheduler.nowMicros(), what, node, note));
    }

    private synchronized void changeActiveFailureCount(int change) {
        activeFailureCount += change;
    }

    private void scheduleFailure(Failure failure, long start, TaskScheduler ticker, Emulator emulator,
            MisbehavingClients intruders) {
        changeActiveFailureCount(1);
        ticker.schedule(start + failure.at().micros(), () -> {
            progress.printf("%6.1f s  %s begins, for %s%n", failure.at().seconds(), failure.kind().yamlName(), failure.lasts());
            if (failure.kind().targetType() == TargetType.NODE) {
                for (int node = 0; node < nodes.size(); node++) {
                    if (failure.affectsNode(node)) {
                        int number = node;
                        changeActiveFailureCount(1);
                        Thread thread = new Thread(() -> {
                            applyNodeFailure(failure, number, emulator.agents().get(number));
                            changeActiveFailureCount(-1);
                        }, "terndyke-lab-signals");
                        thread.setDaemon(true);
                        thread.start();
                    }
                }
            } else if (failure.kind().targetType() == TargetType.CLIENT) {
                intruders.beginFailure(failure, start + failure.endMicros());
                if (failure.kind() == Kind.FOREIGN_IDS) {
                    clients.setForeignRequestShare(intruders, failure.amount());
                }
            } else {
                emulator.beginFailure(failure);
            }
        });
        ticker.schedule(start + failure.endMicros(), () -> {
            if (failure.kind().targetType() == TargetType.RECEIVER || failure.kind().targetType() == TargetType.DISCOVERY) {
                emulator.endFailure(failure);
            } else if (failure.kind() == Kind.FOREIGN_IDS) {
                clients.setForeignRequestShare(intruders, 0);
            }
            changeActiveFailureCount(-1);
        });
    }

    private void applyNodeFailure(Failure failure, int node, DiscoveryAgent agent) {
        NodeUnderTest subject = nodes.get(node);
        try {
            synchronized (nodeLocks[node]) {
                if (stopping) {
                    return;
                }
                switch (failure.kind()) {
                    case KILL -> {
                        logEvent(EventType.NODE_KILLED, node, null);
                        subject.sendSignal("KILL");
                        subject.awaitExit(5_000);
                        restartNode(node, failure.lasts().millis());
                    }
                    case RESTART -> {
                        logEvent(EventType.NODE_TERM, node, null);
                        subject.sendSignal("TERM");
                        boolean ended = subject.awaitExit(DEREGISTRATION_DELAY_MILLIS);
                        clients.setNodeUnavailable(node, true); // the front end is notified of a planned restart
                        if (!ended && !subject.awaitExit(TERM_GRACE_PERIOD_MILLIS - DEREGISTRATION_DELAY_MILLIS)) {
                            logEvent(EventType.NODE_KILLED, node, "did not end after SIGTERM");
                            subject.sendSignal("KILL");
                            subject.awaitExit(5_000);
                        }
                        restartNode(node, RESTART_DOWNTIME_MILLIS);
                    }
                    case HANGUP -> {
                        for (int i = 0; i < failure.amount(); i++) {
                            subject.sendSignal("HUP");
                        }
                    }
                    case RELOAD -> {
                        int times = Math.max(1, (int) Math.round(failure.amount()));
                        for (int i = 0; i < times && !stopping; i++) {
                            agent.moveToNewAddress();
                            subject.writeConfiguration();
                            subject.sendSignal("HUP");
                            Thread.sleep(failure.lasts().millis() / times);
                        }
                    }
                    case FREEZE -> {
                        logEvent(EventType.NODE_FROZEN, node, null);
                        subject.sendSignal("STOP");
                        Thread.sleep(failure.lasts().millis());
                        subject.sendSignal("CONT");
                        logEvent(EventType.NODE_THAWED, node, null);
                    }
                    case DISK_FULL -> {
                        subject.setDiskFull(true);
                        Thread.sleep(failure.lasts().millis());
                        subject.setDiskFull(false);
                    }
                    default -> { }
                }
            }
        } catch (IOException e) {
            progress.println("node " + node + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Restarts a node after its process has exited; the clients' front end notices the outage only after a delay. */
    private void restartNode(int node, long downMillis) throws IOException, InterruptedException {
        NodeUnderTest subject = nodes.get(node);
        logEvent(EventType.NODE_ENDED, node, null);
        Thread.sleep(Math.min(downMillis, OUTAGE_DETECTION_DELAY_MICROS / 1000));
        clients.setNodeUnavailable(node, true);
        Thread.sleep(Math.max(0, downMillis - OUTAGE_DETECTION_DELAY_MICROS / 1000));
        if (stopping) {
            return;
        }
        logEvent(EventType.NODE_STARTS, node, null);
        subject.start();
        if (subject.awaitReady(READY_TIMEOUT_MILLIS)) {
            logEvent(EventType.NODE_READY, node, null);
            clients.setNodeUnavailable(node, false);
        } else {
            logEvent(EventType.NODE_CRASHED, node, "did not serve again: " + lastLogLines(node));
        }
    }

    /** Waits until every record has ended, or until the last deadline has passed. */
    private void awaitRecordsEnded(long start) throws InterruptedException {
        long longest = experiment.grades().stream().mapToLong(grade -> grade.abandon().micros()).max().orElse(0);
        long last = start + experiment.length().micros() + longest + DEADLINE_TOLERANCE_MICROS + experiment.settle().micros();
        while (TaskScheduler.nowMicros() < last && interruptLatch.getCount() > 0) {
            if (TaskScheduler.nowMicros() > start + experiment.length().micros() && clients.openRecordCount() == 0
                    && hasNoActiveFailure() && eventLog.hasNoPendingRecords()) {
                interruptLatch.await(experiment.settle().micros(), TimeUnit.MICROSECONDS);
                return;
            }
            interruptLatch.await(100, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized boolean hasNoActiveFailure() {
        return activeFailureCount == 0;
    }

    private void stopNodes() throws InterruptedException {
        for (int node = 0; node < nodes.size(); node++) {
            NodeUnderTest subject = nodes.get(node);
            if (!subject.isRunning() && !wasStoppedByRun(node)) {
                logEvent(EventType.NODE_CRASHED, node, "ended before it was told to: " + lastLogLines(node));
            }
            logEvent(EventType.NODE_TERM, node, "the day is over");
            subject.sendSignal("CONT");
            subject.sendSignal("TERM");
        }
        for (NodeUnderTest subject : nodes) {
            if (!subject.awaitExit(TERM_GRACE_PERIOD_MILLIS)) {
                subject.destroy();
                subject.awaitExit(5_000);
            }
        }
    }

    /** Whether, by its last event, the node is stopped because the run stopped it. */
    private boolean wasStoppedByRun(int node) {
        boolean away = false;
        for (ObservedEvent sight : eventLog.sortedEvents()) {
            if (sight.node() == node) {
                away = switch (sight.what()) {
                    case NODE_KILLED, NODE_TERM, NODE_ENDED -> true;
                    case NODE_READY -> false;
                    default -> away;
                };
            }
        }
        return away;
    }
}
