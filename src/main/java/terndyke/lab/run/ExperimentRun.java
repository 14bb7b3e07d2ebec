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
     * @param nodeJar the jar to run as a node; null for the program that this laboratory belongs to
     * @param standInFault the fault of the stand-ins that replace the nodes; null for real nodes
     */
    public ExperimentRun(Experiment experiment, Path folder, String nodeJar, StandInNode.Fault standInFault,
            PrintStream progress) {
        this.experiment = experiment;
        this.folder = folder;
        this.nodeJar = nodeJar;
        this.standInFault = standInFault;
        this.progress = progress;
        nodeLocks = new Object[experiment.nodes().count()];
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
        try (TaskScheduler answerScheduler = new TaskScheduler("terndyke-lab-answers");
                TaskScheduler clientScheduler = new TaskScheduler("terndyke-lab-clients");
                TaskScheduler failureScheduler = new TaskScheduler("terndyke-lab-failures");
                SocketReactor receiverReactor = new SocketReactor("terndyke-lab-receivers", 2);
                SocketReactor clientReactor = new SocketReactor("terndyke-lab-clients", 2);
                Emulator emulator = new Emulator(experiment, eventLog, receiverReactor, answerScheduler, true)) {
            FileTime modifiedBefore = nodeProgramModifiedTime();
            ExperimentResult result = execute(arrivals, clientScheduler, failureScheduler, receiverReactor, clientReactor,
                    emulator);
            if (!Objects.equals(modifiedBefore, nodeProgramModifiedTime())) { // a JVM fails unpredictably if its jar is replaced
                return result.voidedBecause("the node's program was replaced while the day was played");
            }
            for (TaskScheduler scheduler : List.of(answerScheduler, clientScheduler, failureScheduler)) {
                if (scheduler.firstFailure() != null) {
                    StringWriter stackTrace = new StringWriter();
                    scheduler.firstFailure().printStackTrace(new PrintWriter(stackTrace));
                    Files.writeString(folder.resolve("laboratory-failure.txt"), stackTrace.toString());
                    return result.voidedBecause("the laboratory itself failed: " + scheduler.firstFailure().getMessage());
                }
            }
            return result;
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
        int offeredCount = arrivals.size();
        arrivals.removeIf(arrival -> arrival.due() >= experiment.length().micros());
        if (arrivals.isEmpty() && offeredCount > 0) {
            throw new UserInputException("the trace has no record due within the length of " + experiment.length());
        }
        return arrivals;
    }

    private record ScheduledArrival(Arrival arrival, boolean extra) { }

    private ExperimentResult execute(List<Arrival> arrivals, TaskScheduler clientScheduler, TaskScheduler failureScheduler,
            SocketReactor receiverReactor, SocketReactor clientReactor, Emulator emulator)
            throws IOException, InterruptedException {
        long beganMicros = TaskScheduler.nowMicros();
        progress.printf("%s, seed %d: %d nodes, %d receivers, %d records in %s%n", experiment.name(), experiment.seed(),
                experiment.nodes().count(), emulator.receiverCount(), arrivals.size(), experiment.length());
        startNodes(emulator, receiverReactor);
        String voidReason = null;
        for (int node = 0; node < nodes.size() && voidReason == null; node++) {
            if (!nodes.get(node).awaitReady(READY_TIMEOUT_MILLIS)) {
                voidReason = "node " + node + " did not serve within " + READY_TIMEOUT_MILLIS / 1000 + " s: "
                        + lastLogLines(node);
            } else {
                logEvent(EventType.NODE_READY, node, null);
                if (sendsHangup() && nodes.get(node) instanceof NodeProcess process && process.ignoresHangup()) {
                    voidReason = "SIGHUP is ignored here (nohup?), so no node hears that its configuration changed";
                }
            }
        }
        List<InetSocketAddress> addresses = nodes.stream().map(NodeUnderTest::listenAddress).toList();
        clients = new EmulatedClients(experiment, clientReactor, clientScheduler, eventLog, addresses);
        ResourceSampler sampler = new ResourceSampler(nodes, emulator);
        if (voidReason == null) {
            eventLog.setStartMicros(TaskScheduler.nowMicros() + 200_000);
            long start = eventLog.startMicros();
            MisbehavingClients misbehavingClients = new MisbehavingClients(clientReactor, clientScheduler, addresses,
                    experiment.grades().get(0).name(), experiment.seed());
            List<ScheduledArrival> scheduledArrivals = createScheduledArrivals(arrivals);
            experiment.failures().stream().filter(failure -> failure.at().compareTo(experiment.length()) < 0)
                    .forEach(failure -> scheduleFailure(failure, start, failureScheduler, emulator, misbehavingClients));
            failureScheduler.schedule(start, new SamplingTask(sampler, failureScheduler, start));
            int startedCount = pacer.run(scheduledArrivals.size(), i -> (start + scheduledArrivals.get(i).arrival.due()) * 1000,
                    i -> clients.recordDue(i, scheduledArrivals.get(i).arrival,
                            start + scheduledArrivals.get(i).arrival.due(), scheduledArrivals.get(i).extra));
            awaitRecordsEnded(start);
            if (startedCount < scheduledArrivals.size() || interruptLatch.getCount() == 0) {
                voidReason = "interrupted";
            }
        }
        stopping = true;
        double seconds = (TaskScheduler.nowMicros() - eventLog.startMicros()) / 1e6;
        stopNodes();
        if (voidReason == null && pacer.lateness().getValueAtPercentile(99) > experiment.late().micros()) {
            voidReason = String.format("the tool itself was late: 99%% within %.1f ms, %.1f ms at most, %s allowed",
                    pacer.lateness().getValueAtPercentile(99) / 1e3, pacer.lateness().getMaxValue() / 1e3, experiment.late());
        }
        List<ObservedEvent> events = eventLog.sortedEvents();
        Referee referee = new Referee(RuleParameters.of(experiment), TaskScheduler.nowMicros() - eventLog.startMicros());
        List<Breach> breaches = voidReason != null && clients.handInCounts()[0] == 0 ? List.of() : referee.judge(events);
        if ("interrupted".equals(voidReason)) {
            breaches = breaches.stream().filter(breach -> breach.rule() != 1).toList(); // their records could not end any more
        }
        progress.printf("finished after %.1f s%n", (TaskScheduler.nowMicros() - beganMicros) / 1e6);
        return new ExperimentResult(experiment, standInFault != null ? "stand-in " + standInFault
                : nodeJar == null ? "this build" : nodeJar, voidReason, breaches, events, List.copyOf(referee.histories()),
                arrivals.size(), clients.handInCounts(), clients.latencyFromDue(), clients.latencyFromSent(), pacer.lateness(),
                sampler.samples(), emulator.receiverCount(), seconds);
    }

    private final class SamplingTask implements Runnable {
        private final ResourceSampler sampler;
        private final TaskScheduler scheduler;
        private final long startMicros;
        private long sampleCount;

        SamplingTask(ResourceSampler sampler, TaskScheduler scheduler, long startMicros) {
            this.sampler = sampler;
            this.scheduler = scheduler;
            this.startMicros = startMicros;
        }

        @Override
        public void run() {
            if (stopping) {
                return;
            }
            sampler.takeSample(startMicros);
            sampleCount++;
            if (sampleCount % 6 == 0) {
                int[] handInCounts = clients.handInCounts();
                progress.printf("%6.1f s  %d handed in, %d accepted, %d in progress%n",
                        (TaskScheduler.nowMicros() - startMicros) / 1e6, handInCounts[0], handInCounts[1],
                        clients.openRecordCount());
            }
            scheduler.schedule(startMicros + sampleCount * SAMPLE_INTERVAL_MICROS, this);
        }
    }

    private List<ScheduledArrival> createScheduledArrivals(List<Arrival> arrivals) {
        List<ScheduledArrival> scheduledArrivals = new ArrayList<>();
        arrivals.forEach(arrival -> scheduledArrivals.add(new ScheduledArrival(arrival, false)));
        String grade = experiment.grades().stream()
                .filter(candidate -> candidate.effect() == RepeatSemantics.IDEMPOTENT && !candidate.inOrder())
                .findFirst().orElse(experiment.grades().get(0)).name();
        for (Failure failure : experiment.failures()) {
            if (failure.kind() == Kind.FLOOD) {
                MisbehavingClients.floodArrivals(failure, grade, experiment.tenants().get(0).name(),
                        experiment.destinationCount()).stream().filter(arrival -> arrival.due() < experiment.length().micros())
                        .forEach(arrival -> scheduledArrivals.add(new ScheduledArrival(arrival, true)));
            }
        }
        scheduledArrivals.sort(Comparator.comparingLong(item -> item.arrival.due()));
        return scheduledArrivals;
    }

    private void startNodes(Emulator emulator, SocketReactor reactor) throws IOException {
        for (int node = 0; node < experiment.nodes().count(); node++) {
            int nodeNumber = node;
            DiscoveryAgent agent = emulator.agents().get(node);
            if (standInFault != null) {
                nodes.add(new StandInNode(SocketReactor.findFreeAddress("127.0.0.1"), reactor,
                        NodeConfigurationWriter.toJson(experiment, node, experiment.seed(),
                                new InetSocketAddress("127.0.0.1", 1), agent.address(), agent.fullListJson()), standInFault));
            } else {
                Path nodeFolder = folder.resolve("n" + node);
                Files.createDirectories(nodeFolder);
                InetSocketAddress listen = SocketReactor.findFreeAddress("127.0." + (10 + node) + ".3");
                nodes.add(new NodeProcess(nodeFolder, listen, NodeProcess.chooseLaunchArguments(nodeJar),
                        () -> NodeConfigurationWriter.toJson(experiment, nodeNumber,
                                experiment.seed() * 1000 + nodeNumber, listen, agent.address(), agent.fullListJson()),
                        experiment.nodes().diskMb()));
            }
            logEvent(EventType.NODE_STARTS, node, null);
            nodes.get(node).start();
        }
    }

    private boolean sendsHangup() {
        return experiment.failures().stream().anyMatch(failure -> failure.kind() == Kind.HANGUP || failure.kind() == Kind.RELOAD);
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

    private void scheduleFailure(Failure failure, long start, TaskScheduler scheduler, Emulator emulator,
            MisbehavingClients misbehavingClients) {
        changeActiveFailureCount(1);
        scheduler.schedule(start + failure.at().micros(), () -> {
            progress.printf("%6.1f s  %s begins, for %s%n", failure.at().seconds(), failure.kind().yamlName(),
                    failure.duration());
            if (failure.kind().targetType() == TargetType.NODE) {
                for (int node = 0; node < nodes.size(); node++) {
                    if (failure.affectsNode(node)) {
                        int nodeNumber = node;
                        changeActiveFailureCount(1);
                        Thread thread = new Thread(() -> {
                            applyNodeFailure(failure, nodeNumber, emulator.agents().get(nodeNumber));
                            changeActiveFailureCount(-1);
                        }, "terndyke-lab-signals");
                        thread.setDaemon(true);
                        thread.start();
                    }
                }
            } else if (failure.kind().targetType() == TargetType.CLIENT) {
                misbehavingClients.beginFailure(failure, start + failure.endMicros());
                if (failure.kind() == Kind.FOREIGN_IDS) {
                    clients.setForeignRequestShare(misbehavingClients, failure.amount());
                }
            } else {
                emulator.beginFailure(failure);
            }
        });
        scheduler.schedule(start + failure.endMicros(), () -> {
            if (failure.kind().targetType() == TargetType.RECEIVER || failure.kind().targetType() == TargetType.DISCOVERY) {
                emulator.endFailure(failure);
            } else if (failure.kind() == Kind.FOREIGN_IDS) {
                clients.setForeignRequestShare(misbehavingClients, 0);
            }
            changeActiveFailureCount(-1);
        });
    }

    private void applyNodeFailure(Failure failure, int node, DiscoveryAgent agent) {
        NodeUnderTest nodeUnderTest = nodes.get(node);
        try {
            synchronized (nodeLocks[node]) {
                if (stopping) {
                    return;
                }
                switch (failure.kind()) {
                    case KILL -> {
                        logEvent(EventType.NODE_KILLED, node, null);
                        nodeUnderTest.sendSignal("KILL");
                        nodeUnderTest.awaitExit(5_000);
                        restartNode(node, failure.duration().millis());
                    }
                    case RESTART -> {
                        logEvent(EventType.NODE_TERM, node, null);
                        nodeUnderTest.sendSignal("TERM");
                        boolean exited = nodeUnderTest.awaitExit(DEREGISTRATION_DELAY_MILLIS);
                        clients.setNodeUnavailable(node, true); // the front end is notified of a planned restart
                        if (!exited && !nodeUnderTest.awaitExit(TERM_GRACE_PERIOD_MILLIS - DEREGISTRATION_DELAY_MILLIS)) {
                            logEvent(EventType.NODE_KILLED, node, "did not end after SIGTERM");
                            nodeUnderTest.sendSignal("KILL");
                            nodeUnderTest.awaitExit(5_000);
                        }
                        restartNode(node, RESTART_DOWNTIME_MILLIS);
                    }
                    case HANGUP -> {
                        for (int i = 0; i < failure.amount(); i++) {
                            nodeUnderTest.sendSignal("HUP");
                        }
                    }
                    case RELOAD -> {
                        int times = Math.max(1, (int) Math.round(failure.amount()));
                        for (int i = 0; i < times && !stopping; i++) {
                            agent.moveToNewAddress();
                            nodeUnderTest.writeConfiguration();
                            nodeUnderTest.sendSignal("HUP");
                            Thread.sleep(failure.duration().millis() / times);
                        }
                    }
                    case FREEZE -> {
                        logEvent(EventType.NODE_FROZEN, node, null);
                        nodeUnderTest.sendSignal("STOP");
                        Thread.sleep(failure.duration().millis());
                        nodeUnderTest.sendSignal("CONT");
                        logEvent(EventType.NODE_THAWED, node, null);
                    }
                    case DISK_FULL -> {
                        nodeUnderTest.setDiskFull(true);
                        Thread.sleep(failure.duration().millis());
                        nodeUnderTest.setDiskFull(false);
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
        NodeUnderTest nodeUnderTest = nodes.get(node);
        logEvent(EventType.NODE_ENDED, node, null);
        Thread.sleep(Math.min(downMillis, OUTAGE_DETECTION_DELAY_MICROS / 1000));
        clients.setNodeUnavailable(node, true);
        Thread.sleep(Math.max(0, downMillis - OUTAGE_DETECTION_DELAY_MICROS / 1000));
        if (stopping) {
            return;
        }
        logEvent(EventType.NODE_STARTS, node, null);
        nodeUnderTest.start();
        if (nodeUnderTest.awaitReady(READY_TIMEOUT_MILLIS)) {
            logEvent(EventType.NODE_READY, node, null);
            clients.setNodeUnavailable(node, false);
        } else {
            logEvent(EventType.NODE_CRASHED, node, "did not serve again: " + lastLogLines(node));
        }
    }

    /** Waits until every record has ended, or until the last deadline has passed. */
    private void awaitRecordsEnded(long start) throws InterruptedException {
        long longestAbandonTime = experiment.grades().stream().mapToLong(grade -> grade.abandon().micros()).max().orElse(0);
        long latestEnd = start + experiment.length().micros() + longestAbandonTime + DEADLINE_TOLERANCE_MICROS
                + experiment.settle().micros();
        while (TaskScheduler.nowMicros() < latestEnd && interruptLatch.getCount() > 0) {
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
            NodeUnderTest nodeUnderTest = nodes.get(node);
            if (!nodeUnderTest.isRunning() && !wasStoppedByRun(node)) {
                logEvent(EventType.NODE_CRASHED, node, "ended before it was told to: " + lastLogLines(node));
            }
            logEvent(EventType.NODE_TERM, node, "the day is over");
            nodeUnderTest.sendSignal("CONT");
            nodeUnderTest.sendSignal("TERM");
        }
        for (NodeUnderTest nodeUnderTest : nodes) {
            if (!nodeUnderTest.awaitExit(TERM_GRACE_PERIOD_MILLIS)) {
                nodeUnderTest.destroy();
                nodeUnderTest.awaitExit(5_000);
            }
        }
    }

    /** Whether, by its last event, the node is stopped because the run stopped it. */
    private boolean wasStoppedByRun(int node) {
        boolean stopped = false;
        for (ObservedEvent event : eventLog.sortedEvents()) {
            if (event.node() == node) {
                stopped = switch (event.what()) {
                    case NODE_KILLED, NODE_TERM, NODE_ENDED -> true;
                    case NODE_READY -> false;
                    default -> stopped;
                };
            }
        }
        return stopped;
    }
}
