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
import terndyke.lab.plan.BadInput;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.Effect;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.Failure.Side;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.Logbook;
import terndyke.lab.referee.Referee;
import terndyke.lab.referee.Rules;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Sight.What;
import terndyke.lab.standin.StandInNode;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * Plays one experiment: starts the receivers and the nodes, lets clients and failures come by the schedule, ends all, and
 * has the referee judge. Every process it starts ends with it, whatever happens.
 */
public final class Day {
    private static final long READY = 30_000;
    private static final long NOTICED = 500_000; // the front notices a node that is away so late
    private static final long PLANNED = 300; // the front still sends to a node for so long after its SIGTERM
    private static final long TERM_GRACE = 3_700;
    private static final long DOWN = 600;
    private static final long OVERDUE = 400_000; // the referee's tolerance behind a record's end
    private static final long LOOK = 500_000;

    private final Experiment day;
    private final Path folder;
    private final String jar;
    private final StandInNode.Fault standIn;
    private final PrintStream progress;
    private final Logbook logbook = new Logbook();
    private final List<Subject> nodes = new ArrayList<>();
    private final CountDownLatch interrupted = new CountDownLatch(1);
    private final Pacer pacer = new Pacer();
    private final Object[] commands; // one signal after another for each node
    private EmulatedClients clients;
    private volatile boolean ending;
    private int failuresUnderWay;

    /**
     * @param jar what to run as a node; null is the program of this laboratory
     * @param standIn a stand-in in the nodes' place with that fault; null is the real node
     */
    public Day(Experiment day, Path folder, String jar, StandInNode.Fault standIn, PrintStream progress) {
        this.day = day;
        this.folder = folder;
        this.jar = jar;
        this.standIn = standIn;
        this.progress = progress;
        commands = new Object[day.nodes().count()];
        java.util.Arrays.setAll(commands, i -> new Object());
    }

    /** Ends the day early, from any thread; play returns as soon as all is stopped. */
    public void interrupt() {
        interrupted.countDown();
        pacer.stop();
    }

    public Outcome play() throws IOException, BadInput, InterruptedException {
        List<Arrival> arrivals = arrivals();
        Files.createDirectories(folder);
        try (TaskScheduler ticker = new TaskScheduler("terndyke-lab-answers");
                TaskScheduler clientTicker = new TaskScheduler("terndyke-lab-clients");
                TaskScheduler failureTicker = new TaskScheduler("terndyke-lab-failures");
                SocketReactor receiving = new SocketReactor("terndyke-lab-receivers", 2);
                SocketReactor calling = new SocketReactor("terndyke-lab-clients", 2);
                Emulator emulator = new Emulator(day, logbook, receiving, ticker, true)) {
            FileTime built = builtAt();
            Outcome outcome = play(arrivals, clientTicker, failureTicker, receiving, calling, emulator);
            if (!Objects.equals(built, builtAt())) { // a JVM whose jar is replaced under it fails in any way
                return outcome.voided("the node's program was replaced while the day was played");
            }
            for (TaskScheduler each : List.of(ticker, clientTicker, failureTicker)) {
                if (each.firstFailure() != null) {
                    StringWriter trace = new StringWriter();
                    each.firstFailure().printStackTrace(new PrintWriter(trace));
                    Files.writeString(folder.resolve("laboratory-failure.txt"), trace.toString());
                    return outcome.voided("the laboratory itself failed: " + each.firstFailure().getMessage());
                }
            }
            return outcome;
        } finally {
            nodes.forEach(Subject::destroy);
        }
    }

    /** When the program of the nodes was built; null where it is no jar. */
    private FileTime builtAt() throws IOException {
        String file = jar != null ? jar : System.getProperty("terndyke.jar");
        return file == null || standIn != null ? null : Files.getLastModifiedTime(Path.of(file));
    }

    private List<Arrival> arrivals() throws BadInput {
        List<Arrival> arrivals = new ArrayList<>(day.load().trace() == null ? ScheduleGenerator.generate(day)
                : TraceFile.read(Path.of(day.load().trace()), day));
        int offered = arrivals.size();
        arrivals.removeIf(arrival -> arrival.due() >= day.length().micros());
        if (arrivals.isEmpty() && offered > 0) {
            throw new BadInput("the trace holds nothing within " + day.length());
        }
        return arrivals;
    }

    private record Item(Arrival arrival, boolean extra) { }

    private Outcome play(List<Arrival> arrivals, TaskScheduler clientTicker, TaskScheduler failureTicker, SocketReactor receiving, SocketReactor calling,
            Emulator emulator) throws IOException, InterruptedException {
        long began = TaskScheduler.nowMicros();
        progress.printf("%s, seed %d: %d nodes, %d receivers, %d records in %s%n", day.name(), day.seed(),
                day.nodes().count(), emulator.receiverCount(), arrivals.size(), day.length());
        startNodes(emulator, receiving);
        String voided = null;
        for (int node = 0; node < nodes.size() && voided == null; node++) {
            if (!nodes.get(node).awaitReady(READY)) {
                voided = "node " + node + " did not serve within " + READY / 1000 + " s: " + lastWords(node);
            } else {
                see(What.NODE_READY, node, null);
                if (hangsUp() && nodes.get(node) instanceof NodeProcess process && process.deafToHangup()) {
                    voided = "SIGHUP is ignored here (nohup?), so no node hears that its configuration changed";
                }
            }
        }
        List<InetSocketAddress> addresses = nodes.stream().map(Subject::listen).toList();
        clients = new EmulatedClients(day, calling, clientTicker, logbook, addresses);
        Sampler sampler = new Sampler(nodes, emulator);
        if (voided == null) {
            logbook.startAt(TaskScheduler.nowMicros() + 200_000);
            long start = logbook.start();
            MisbehavingClients intruders = new MisbehavingClients(calling, clientTicker, addresses, day.grades().get(0).name(), day.seed());
            List<Item> items = items(arrivals);
            day.failures().stream().filter(failure -> failure.at().compareTo(day.length()) < 0)
                    .forEach(failure -> plan(failure, start, failureTicker, emulator, intruders));
            failureTicker.schedule(start, new Look(sampler, failureTicker, start));
            int ran = pacer.run(items.size(), i -> (start + items.get(i).arrival.due()) * 1000,
                    i -> clients.recordDue(i, items.get(i).arrival, start + items.get(i).arrival.due(), items.get(i).extra));
            settle(start);
            if (ran < items.size() || interrupted.getCount() == 0) {
                voided = "interrupted";
            }
        }
        ending = true;
        double seconds = (TaskScheduler.nowMicros() - logbook.start()) / 1e6;
        stopNodes();
        if (voided == null && pacer.lateness().getValueAtPercentile(99) > day.late().micros()) {
            voided = String.format("the tool itself was late: 99%% within %.1f ms, %.1f ms at most, %s allowed",
                    pacer.lateness().getValueAtPercentile(99) / 1e3, pacer.lateness().getMaxValue() / 1e3, day.late());
        }
        List<Sight> sights = logbook.all();
        Referee referee = new Referee(Rules.of(day), TaskScheduler.nowMicros() - logbook.start());
        List<Breach> breaches = voided != null && clients.handInCounts()[0] == 0 ? List.of() : referee.judge(sights);
        if ("interrupted".equals(voided)) {
            breaches = breaches.stream().filter(breach -> breach.rule() != 1).toList(); // ends that could not come any more
        }
        progress.printf("over after %.1f s%n", (TaskScheduler.nowMicros() - began) / 1e6);
        return new Outcome(day, standIn != null ? "stand-in " + standIn : jar == null ? "this build" : jar, voided, breaches,
                sights, List.copyOf(referee.stories()), arrivals.size(), clients.handInCounts(), clients.latencyFromDue(),
                clients.latencyFromSent(), pacer.lateness(), sampler.samples(), emulator.receiverCount(), seconds);
    }

    private final class Look implements Runnable {
        private final Sampler sampler;
        private final TaskScheduler ticker;
        private final long start;
        private long looks;

        Look(Sampler sampler, TaskScheduler ticker, long start) {
            this.sampler = sampler;
            this.ticker = ticker;
            this.start = start;
        }

        @Override
        public void run() {
            if (ending) {
                return;
            }
            sampler.look(start);
            looks++;
            if (looks % 6 == 0) {
                int[] doors = clients.handInCounts();
                progress.printf("%6.1f s  %d handed in, %d taken, %d under way%n", (TaskScheduler.nowMicros() - start) / 1e6, doors[0],
                        doors[1], clients.openRecordCount());
            }
            ticker.schedule(start + looks * LOOK, this);
        }
    }

    private List<Item> items(List<Arrival> arrivals) {
        List<Item> items = new ArrayList<>();
        arrivals.forEach(arrival -> items.add(new Item(arrival, false)));
        String grade = day.grades().stream().filter(one -> one.effect() == Effect.IDEMPOTENT && !one.inOrder()).findFirst()
                .orElse(day.grades().get(0)).name();
        for (Failure failure : day.failures()) {
            if (failure.kind() == Kind.FLOOD) {
                MisbehavingClients.floodArrivals(failure, grade, day.tenants().get(0).name(), day.destinationCount()).stream()
                        .filter(arrival -> arrival.due() < day.length().micros())
                        .forEach(arrival -> items.add(new Item(arrival, true)));
            }
        }
        items.sort(Comparator.comparingLong(item -> item.arrival.due()));
        return items;
    }

    private void startNodes(Emulator emulator, SocketReactor net) throws IOException {
        for (int node = 0; node < day.nodes().count(); node++) {
            int number = node;
            DiscoveryAgent agent = emulator.agents().get(node);
            if (standIn != null) {
                nodes.add(new StandInNode(SocketReactor.findFreeAddress("127.0.0.1"), net, NodeFile.of(day, node, day.seed(),
                        new InetSocketAddress("127.0.0.1", 1), agent.address(), agent.fullListJson()), standIn));
            } else {
                Path own = folder.resolve("n" + node);
                Files.createDirectories(own);
                InetSocketAddress listen = SocketReactor.findFreeAddress("127.0." + (10 + node) + ".3");
                nodes.add(new NodeProcess(own, listen, NodeProcess.program(jar),
                        () -> NodeFile.of(day, number, day.seed() * 1000 + number, listen, agent.address(), agent.fullListJson()),
                        day.nodes().diskMb()));
            }
            see(What.NODE_STARTS, node, null);
            nodes.get(node).start();
        }
    }

    private boolean hangsUp() {
        return day.failures().stream().anyMatch(one -> one.kind() == Kind.HANGUP || one.kind() == Kind.RELOAD);
    }

    private String lastWords(int node) {
        return nodes.get(node) instanceof NodeProcess process ? process.lastWords() : "";
    }

    private void see(What what, int node, String note) {
        logbook.add(Sight.process(TaskScheduler.nowMicros(), what, node, note));
    }

    private synchronized void underWay(int change) {
        failuresUnderWay += change;
    }

    private void plan(Failure failure, long start, TaskScheduler ticker, Emulator emulator, MisbehavingClients intruders) {
        underWay(1);
        ticker.schedule(start + failure.at().micros(), () -> {
            progress.printf("%6.1f s  %s begins, for %s%n", failure.at().seconds(), failure.kind().told(), failure.lasts());
            if (failure.kind().side() == Side.NODE) {
                for (int node = 0; node < nodes.size(); node++) {
                    if (failure.strikes(node)) {
                        int number = node;
                        underWay(1);
                        Thread thread = new Thread(() -> {
                            strike(failure, number, emulator.agents().get(number));
                            underWay(-1);
                        }, "terndyke-lab-signals");
                        thread.setDaemon(true);
                        thread.start();
                    }
                }
            } else if (failure.kind().side() == Side.CLIENT) {
                intruders.beginFailure(failure, start + failure.until());
                if (failure.kind() == Kind.FOREIGN_IDS) {
                    clients.setForeignRequestShare(intruders, failure.amount());
                }
            } else {
                emulator.beginFailure(failure);
            }
        });
        ticker.schedule(start + failure.until(), () -> {
            if (failure.kind().side() == Side.RECEIVER || failure.kind().side() == Side.DISCOVERY) {
                emulator.endFailure(failure);
            } else if (failure.kind() == Kind.FOREIGN_IDS) {
                clients.setForeignRequestShare(intruders, 0);
            }
            underWay(-1);
        });
    }

    private void strike(Failure failure, int node, DiscoveryAgent agent) {
        Subject subject = nodes.get(node);
        try {
            synchronized (commands[node]) {
                if (ending) {
                    return;
                }
                switch (failure.kind()) {
                    case KILL -> {
                        see(What.NODE_KILLED, node, null);
                        subject.signal("KILL");
                        subject.awaitEnd(5_000);
                        again(node, failure.lasts().millis());
                    }
                    case RESTART -> {
                        see(What.NODE_TERM, node, null);
                        subject.signal("TERM");
                        boolean ended = subject.awaitEnd(PLANNED);
                        clients.setNodeUnavailable(node, true); // a planned restart is told to the front
                        if (!ended && !subject.awaitEnd(TERM_GRACE - PLANNED)) {
                            see(What.NODE_KILLED, node, "did not end after SIGTERM");
                            subject.signal("KILL");
                            subject.awaitEnd(5_000);
                        }
                        again(node, DOWN);
                    }
                    case HANGUP -> {
                        for (int i = 0; i < failure.amount(); i++) {
                            subject.signal("HUP");
                        }
                    }
                    case RELOAD -> {
                        int times = Math.max(1, (int) Math.round(failure.amount()));
                        for (int i = 0; i < times && !ending; i++) {
                            agent.moveToNewAddress();
                            subject.reconfigure();
                            subject.signal("HUP");
                            Thread.sleep(failure.lasts().millis() / times);
                        }
                    }
                    case FREEZE -> {
                        see(What.NODE_FROZEN, node, null);
                        subject.signal("STOP");
                        Thread.sleep(failure.lasts().millis());
                        subject.signal("CONT");
                        see(What.NODE_THAWED, node, null);
                    }
                    case DISK_FULL -> {
                        subject.fillDisk(true);
                        Thread.sleep(failure.lasts().millis());
                        subject.fillDisk(false);
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

    /** Starts a node again after its death, and tells the front late of both. */
    private void again(int node, long downMillis) throws IOException, InterruptedException {
        Subject subject = nodes.get(node);
        see(What.NODE_ENDED, node, null);
        Thread.sleep(Math.min(downMillis, NOTICED / 1000));
        clients.setNodeUnavailable(node, true);
        Thread.sleep(Math.max(0, downMillis - NOTICED / 1000));
        if (ending) {
            return;
        }
        see(What.NODE_STARTS, node, null);
        subject.start();
        if (subject.awaitReady(READY)) {
            see(What.NODE_READY, node, null);
            clients.setNodeUnavailable(node, false);
        } else {
            see(What.NODE_CRASHED, node, "did not serve again: " + lastWords(node));
        }
    }

    /** Waits until every record has its end, or until the last one's time is over. */
    private void settle(long start) throws InterruptedException {
        long longest = day.grades().stream().mapToLong(grade -> grade.abandon().micros()).max().orElse(0);
        long last = start + day.length().micros() + longest + OVERDUE + day.settle().micros();
        while (TaskScheduler.nowMicros() < last && interrupted.getCount() > 0) {
            if (TaskScheduler.nowMicros() > start + day.length().micros() && clients.openRecordCount() == 0 && quiet() && logbook.allEnded()) {
                interrupted.await(day.settle().micros(), TimeUnit.MICROSECONDS);
                return;
            }
            interrupted.await(100, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized boolean quiet() {
        return failuresUnderWay == 0;
    }

    private void stopNodes() throws InterruptedException {
        for (int node = 0; node < nodes.size(); node++) {
            Subject subject = nodes.get(node);
            if (!subject.running() && !awayNow(node)) {
                see(What.NODE_CRASHED, node, "ended before it was told to: " + lastWords(node));
            }
            see(What.NODE_TERM, node, "the day is over");
            subject.signal("CONT");
            subject.signal("TERM");
        }
        for (Subject subject : nodes) {
            if (!subject.awaitEnd(TERM_GRACE)) {
                subject.destroy();
                subject.awaitEnd(5_000);
            }
        }
    }

    /** Whether the last word on a node is that it was ended by the day. */
    private boolean awayNow(int node) {
        boolean away = false;
        for (Sight sight : logbook.all()) {
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
