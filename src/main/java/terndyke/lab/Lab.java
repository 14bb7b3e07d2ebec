package terndyke.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import terndyke.SignalHandlers;
import terndyke.lab.emulate.Emulator;
import terndyke.lab.traced.FleetStatistics;
import terndyke.lab.traced.RecordTrace;
import terndyke.lab.traced.TraceLine;
import terndyke.lab.load.Arrival;
import terndyke.lab.load.LoadGenerator;
import terndyke.lab.load.LoadGeneratorCheck;
import terndyke.lab.load.ScheduleGenerator;
import terndyke.lab.load.TraceFile;
import terndyke.lab.plan.UserInputException;
import terndyke.lab.plan.ExperimentGenerator;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.ExperimentFile;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.ExperimentShrinker;
import terndyke.lab.plan.TimeSpan;
import terndyke.lab.referee.EventLog;
import terndyke.lab.report.Comparison;
import terndyke.lab.report.ReportWriter;
import terndyke.lab.report.SweepPlot;
import terndyke.lab.run.ExperimentRun;
import terndyke.lab.run.NodeConfigurationWriter;
import terndyke.lab.run.ExperimentResult;
import terndyke.lab.standin.StandInNode;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/** The laboratory's command line. Exit status: 0 all rules kept, 1 a rule broken, 2 invalid input, 3 void run. */
public final class Lab {
    private static final int EXIT_RULES_KEPT = 0;
    private static final int EXIT_BAD_INPUT = 2;
    private static final int EXIT_VOID = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;
    private volatile ExperimentRun currentRun;
    private volatile boolean interrupted;
    private volatile boolean emulating;

    private Lab(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** The options shared by the commands that read or run an experiment. */
    private static class ExperimentOptions {
        @Parameter(description = "FILE")
        List<String> arguments = new ArrayList<>();
        @Parameter(names = "--out", description = "the folder for the results")
        private String outputFolder;
        @Parameter(names = "--nodes", description = "overrides the number of nodes")
        private Integer nodeCount;
        @Parameter(names = "--length", description = "overrides the length of the run, such as 30s")
        private String length;
        @Parameter(names = "--jar", description = "the jar to run as a node; default: this program")
        private String nodeJar;
        @Parameter(names = "--set", description = "overrides a field, such as nodes.slots=12; may be repeated")
        private List<String> overrides = new ArrayList<>();
        @Parameter(names = "--stand-in", description = "a simple stand-in instead of the node, with the given fault or NONE")
        private StandInNode.Fault standInFault;

        String experimentFile() throws UserInputException {
            if (arguments.size() != 1) {
                throw new UserInputException("expected one experiment file, found " + arguments.size() + " arguments");
            }
            return arguments.get(0);
        }

        Experiment readExperiment(String file, List<String> additionalOverrides) throws UserInputException {
            Map<String, String> overridesByField = new LinkedHashMap<>();
            List<String> allOverrides = new ArrayList<>(overrides);
            allOverrides.addAll(additionalOverrides);
            for (String override : allOverrides) {
                int equals = override.indexOf('=');
                if (equals < 1) {
                    throw new UserInputException("--set " + override
                            + ": expected a field and its value, such as nodes.slots=12");
                }
                overridesByField.put(override.substring(0, equals), override.substring(equals + 1));
            }
            if (length != null) {
                overridesByField.put("length", length);
            }
            if (nodeCount != null) {
                overridesByField.put("nodes.count", nodeCount.toString());
            }
            return ExperimentFile.read(Path.of(file), overridesByField);
        }

        Experiment readExperiment() throws UserInputException {
            return readExperiment(experimentFile(), List.of());
        }

        Path resolveOutputFolder(String name) {
            return Path.of(outputFolder != null ? outputFolder : "target/lab/" + name);
        }
    }

    @Parameters(commandDescription = "run an experiment and write a report")
    private static final class RunOptions extends ExperimentOptions {
        @Parameter(names = "--seed", description = "overrides the seed")
        private Long seed;
        @Parameter(names = "--record", description = "write the schedule to this trace file, compressed if its name ends in .zst")
        private String traceFile;
    }

    @Parameters(commandDescription = "send scheduled requests to an address, open loop")
    private static final class LoadOptions {
        @Parameter(names = "--to", description = "HOST:PORT, loopback only", required = true)
        private String targetAddress;
        @Parameter(names = "--rate", description = "requests per second")
        private double rate = 1_000;
        @Parameter(names = "--peak", description = "the highest rate of a ramp, surge or wave; default: the rate")
        private Double peakRate;
        @Parameter(names = "--shape", description = "constant, poisson, ramp, surge, wave or clumps")
        private String shape = "constant";
        @Parameter(names = "--for", description = "the length of the run")
        private String length = "10s";
        @Parameter(names = "--connections", description = "the maximum number of connections")
        private int maxConnections = 256;
        @Parameter(names = "--bytes", description = "the size of a request body")
        private int bodyBytes = 200;
        @Parameter(names = "--grade", description = "the service grade, the first part of the path")
        private String grade = "notice";
        @Parameter(names = "--tenant", description = "the tenant")
        private String tenant = "acme";
        @Parameter(names = "--destinations", description = "the number of destinations, numbered from 0")
        private int destinationCount = 1;
        @Parameter(names = "--late", description = "the run is void if the p99 of the tool's lateness exceeds this")
        private String maxLateness = "20ms";
        @Parameter(names = "--seed", description = "the seed of the schedule")
        private long seed = 1;
        @Parameter(names = "--trace", description = "replay this trace instead of generating a schedule")
        private String traceFile;
    }

    @Parameters(commandDescription = "serve an experiment's receivers and discovery until interrupted, for nodes that you start")
    private static final class EmulateOptions extends ExperimentOptions { }

    @Parameters(commandDescription = "generate experiments with random failures; with --play, run them until one fails")
    private static final class DrawOptions extends ExperimentOptions {
        @Parameter(names = "--seeds", description = "seeds, such as 1-20 or 3,5")
        private String seeds = "1";
        @Parameter(names = "--play", description = "run each; the first that breaks a rule is shrunk")
        private boolean runEach;
    }

    @Parameters(commandDescription = "reduce an experiment that breaks a rule to a minimal one that still does")
    private static final class ShrinkOptions extends ExperimentOptions {
        @Parameter(names = "--tries", description = "the number of consecutive runs that must fail")
        private int tries = 1;
    }

    @Parameters(commandDescription = "compare two builds, experiments or folders of runs on the same seeds for significance")
    private static final class CompareOptions extends ExperimentOptions {
        @Parameter(names = "--experiment", description = "the experiment, if A and B are jars")
        private String experimentFile;
        @Parameter(names = "--seeds", description = "seeds, such as 1-5")
        private String seeds = "1-5";
    }

    @Parameters(commandDescription = "run an experiment with several values of a field and plot the results")
    private static final class SweepOptions extends ExperimentOptions {
        @Parameter(names = "--field", description = "the field, such as load.rate", required = true)
        private String field;
        @Parameter(names = "--values", description = "its values, comma-separated", required = true)
        private String values;
        @Parameter(names = "--seeds", description = "seeds, such as 1-3")
        private String seeds = "1-3";
        @Parameter(names = "--figure",
                description = "the figures of a summary to plot, such as goodput,latencyMs.deliveredFromDue.p99")
        private String metrics = "goodput,messages.doneInTarget";
    }

    @Parameters(commandDescription = "list the experiments in a folder")
    private static final class ListOptions {
        @Parameter(names = "--dir", description = "the folder")
        private String folder = "lab/experiments";
    }

    @Parameters(commandDescription = "print statistics per time step from the traces of a fleet's nodes (serve --trace)")
    private static final class FleetOptions {
        @Parameter(description = "LOGS", required = true)
        private List<String> logs = new ArrayList<>();
        @Parameter(names = "--step", description = "the length of a time step")
        private String step = "1s";
        @Parameter(names = "--destinations", description = "the number of destinations with their own table, the busiest first")
        private int maxDestinationTables = 3;
        @Parameter(names = "--record", description = "print instead the traced lines of the record with this id, from all nodes")
        private String recordId;
    }

    @Parameters(commandDescription = "check the load tool's accuracy on this machine against stand-ins with known delays")
    private static final class ProveOptions { }

    @Parameters(commandDescription = "print the JSON schema of experiment files")
    private static final class SchemaOptions { }

    @Parameters(commandDescription = "show this help")
    private static final class HelpOptions { }

    /** Runs one command and returns the exit status. A shutdown hook kills all nodes, however the command ends. */
    public static int run(String[] arguments) {
        Lab lab = new Lab(System.out, System.err);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ProcessHandle.current().descendants()
                .forEach(ProcessHandle::destroyForcibly), "terndyke-lab-end"));
        try {
            SignalHandlers.register("INT", lab::interrupt);
            SignalHandlers.register("TERM", lab::interrupt);
        } catch (IOException e) {
            System.err.println("terndyke lab: " + e.getMessage() + "; no report will be written after an interrupt");
        }
        return lab.runCommand(arguments);
    }

    /** Handles SIGINT and SIGTERM: the first stops the run and lets its report be written, the second exits immediately. */
    private void interrupt() {
        ExperimentRun run = currentRun;
        if (interrupted || run == null && !emulating) {
            System.exit(EXIT_VOID);
        }
        interrupted = true;
        if (run != null) {
            run.interrupt();
        }
    }

    private int runCommand(String[] arguments) {
        Map<String, Object> commands = new LinkedHashMap<>();
        commands.put("run", new RunOptions());
        commands.put("load", new LoadOptions());
        commands.put("emulate", new EmulateOptions());
        commands.put("draw", new DrawOptions());
        commands.put("shrink", new ShrinkOptions());
        commands.put("compare", new CompareOptions());
        commands.put("sweep", new SweepOptions());
        commands.put("fleet", new FleetOptions());
        commands.put("prove", new ProveOptions());
        commands.put("list", new ListOptions());
        commands.put("schema", new SchemaOptions());
        commands.put("help", new HelpOptions());
        JCommander parser = JCommander.newBuilder().programName("terndyke lab").build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(arguments);
            return dispatch(parser, commands.get(parser.getParsedCommand()));
        } catch (ParameterException e) {
            err.println("terndyke lab: " + e.getMessage());
            return EXIT_BAD_INPUT;
        } catch (UserInputException e) {
            e.errors().forEach(err::println);
            return EXIT_BAD_INPUT;
        } catch (IOException e) {
            err.println("terndyke lab: " + e.getMessage());
            return EXIT_VOID;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_VOID;
        } catch (Exception e) {
            err.println("terndyke lab: " + e);
            e.printStackTrace(err);
            return EXIT_VOID;
        }
    }

    private int dispatch(JCommander parser, Object command) throws Exception {
        if (command instanceof RunOptions run) {
            return run(run);
        } else if (command instanceof LoadOptions load) {
            return load(load);
        } else if (command instanceof EmulateOptions emulate) {
            return emulate(emulate);
        } else if (command instanceof DrawOptions draw) {
            return draw(draw);
        } else if (command instanceof ShrinkOptions shrink) {
            return shrink(shrink);
        } else if (command instanceof CompareOptions compare) {
            return compare(compare);
        } else if (command instanceof SweepOptions sweep) {
            return sweep(sweep);
        } else if (command instanceof FleetOptions fleet) {
            return fleet(fleet);
        } else if (command instanceof ProveOptions) {
            return new LoadGeneratorCheck(out).run() ? EXIT_RULES_KEPT : 1;
        } else if (command instanceof ListOptions listing) {
            return list(listing);
        } else if (command instanceof SchemaOptions) {
            out.println(ExperimentFile.jsonSchema().toPrettyString());
            return EXIT_RULES_KEPT;
        }
        StringBuilder usage = new StringBuilder();
        parser.getUsageFormatter().usage(usage);
        out.println(usage);
        return command == null ? EXIT_BAD_INPUT : EXIT_RULES_KEPT;
    }

    private record CompletedRun(int status, JsonNode summary) { }

    private CompletedRun runExperiment(ExperimentOptions options, Experiment experiment, Path folder, PrintStream progress)
            throws IOException, UserInputException, InterruptedException {
        ExperimentRun run = new ExperimentRun(experiment, folder, options.nodeJar, options.standInFault, progress);
        currentRun = run;
        if (interrupted) {
            run.interrupt();
        }
        ExperimentResult result = run.execute();
        currentRun = null;
        return new CompletedRun(result.status(), ReportWriter.write(result, folder, progress));
    }

    private int run(RunOptions options) throws IOException, UserInputException, InterruptedException {
        Experiment experiment = options.readExperiment();
        experiment = options.seed == null ? experiment : experiment.withSeed(options.seed);
        if (options.traceFile != null) {
            TraceFile.write(Path.of(options.traceFile), ScheduleGenerator.generate(experiment));
        }
        return runExperiment(options, experiment, options.resolveOutputFolder(experiment.name()), out).status;
    }

    private static InetSocketAddress parseLoopbackAddress(String text) throws UserInputException {
        int colon = text.lastIndexOf(':');
        try {
            InetAddress host = InetAddress.getByName(text.substring(0, Math.max(0, colon)));
            if (host.isLoopbackAddress()) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | RuntimeException e) {
            throw new UserInputException("--to " + text + ": expected HOST:PORT");
        }
        throw new UserInputException("--to " + text + ": only loopback addresses are allowed");
    }

    private int load(LoadOptions options) throws UserInputException, InterruptedException {
        InetSocketAddress targetAddress = parseLoopbackAddress(options.targetAddress);
        Experiment experiment;
        try {
            experiment = ExperimentFile.read("the options",
                    String.format(Locale.ROOT, "name: load%nabout: load%nseed: %d%nlength: "
                    + "%s%ngrades: [{name: '%s', effect: idempotent, target: 1s, abandon: 5s}]%ntenants: [{name: '%s'}]%n"
                    + "destinations: [{kind: any, count: %d}]%nload: {shape: %s, rate: %f, peak: %f, bytes: %d}%nlate: %s%n",
                    options.seed, options.length, options.grade, options.tenant, options.destinationCount, options.shape,
                    options.rate, options.peakRate == null ? options.rate : options.peakRate, options.bodyBytes,
                    options.maxLateness));
        } catch (UserInputException e) {
            throw new UserInputException(e.errors().stream()
                    .map(fault -> fault.replaceFirst("^the options:\\d+", "option")).toList());
        }
        List<Arrival> arrivals = options.traceFile == null ? ScheduleGenerator.generate(experiment)
                : TraceFile.read(Path.of(options.traceFile), experiment);
        try (SocketReactor reactor = new SocketReactor("terndyke-lab-load", 1)) {
            LoadGenerator generator = new LoadGenerator(reactor, targetAddress, options.maxConnections);
            generator.openConnections(options.maxConnections);
            LoadGenerator.Result result = generator.run(arrivals, 5_000_000);
            out.printf("%d requests in %.1f s: %d answered, %d of them accepted, %d with a broken connection, %d unanswered%n",
                    result.offered(), result.seconds(), result.answered(), result.accepted(), result.broken(),
                    result.unanswered());
            printPercentiles("from due", result.latencyFromDue());
            printPercentiles("from sent", result.latencyFromSent());
            printPercentiles("lateness of the load tool", result.lateness());
            if (result.lateness().getValueAtPercentile(99) > experiment.late().micros()) {
                out.printf("void: the load tool was late, %s allowed at p99%n", experiment.late());
                return EXIT_VOID;
            }
            return EXIT_RULES_KEPT;
        }
    }

    private void printPercentiles(String label, Histogram times) {
        out.printf("%s: p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms%n", label,
                times.getValueAtPercentile(50) / 1e3, times.getValueAtPercentile(90) / 1e3,
                times.getValueAtPercentile(99) / 1e3, times.getValueAtPercentile(99.9) / 1e3, times.getMaxValue() / 1e3);
    }

    private int emulate(EmulateOptions options) throws IOException, UserInputException, InterruptedException {
        Experiment experiment = options.readExperiment();
        emulating = true;
        Path folder = options.resolveOutputFolder(experiment.name() + "-emulated");
        EventLog eventLog = new EventLog();
        eventLog.setStartMicros(TaskScheduler.nowMicros());
        try (TaskScheduler answers = new TaskScheduler("terndyke-lab-answers");
                TaskScheduler failures = new TaskScheduler("terndyke-lab-failures");
                SocketReactor reactor = new SocketReactor("terndyke-lab-receivers", 4);
                Emulator emulator = new Emulator(experiment, eventLog, reactor, answers, true)) {
            Files.createDirectories(folder);
            for (int node = 0; node < experiment.nodes().count(); node++) {
                Path file = folder.resolve("n" + node + ".json");
                Files.writeString(file, NodeConfigurationWriter.toJson(experiment, node, emulator.agents().get(node)));
                out.println("node " + node + ": serve --config " + file);
            }
            out.println(emulator.receiverCount() + " receivers are serving; failures are timed from now, interrupt to stop");
            experiment.failures().forEach(failure -> {
                if (failure.kind().targetType() == Failure.TargetType.RECEIVER
                        || failure.kind().targetType() == Failure.TargetType.DISCOVERY) {
                    failures.schedule(eventLog.startMicros() + failure.at().micros(), () -> emulator.beginFailure(failure));
                    failures.schedule(eventLog.startMicros() + failure.endMicros(), () -> emulator.endFailure(failure));
                }
            });
            while (!interrupted) {
                Thread.sleep(100);
            }
        }
        return EXIT_RULES_KEPT;
    }

    private int draw(DrawOptions options) throws Exception {
        Experiment base = options.readExperiment();
        Path folder = options.resolveOutputFolder(base.name() + "-drawn");
        Files.createDirectories(folder);
        for (long seed : parseSeeds(options.seeds)) {
            Experiment experiment = ExperimentGenerator.generate(base, seed);
            Path file = folder.resolve(experiment.name() + ".yaml");
            Files.writeString(file, ExperimentFile.toYaml(experiment));
            out.println(file);
            if (options.runEach) {
                CompletedRun completedRun = runExperiment(options, experiment, folder.resolve(experiment.name()), out);
                if (completedRun.status == 1) {
                    return shrink(options, experiment, folder, 1);
                }
                if (interrupted) {
                    return EXIT_VOID;
                }
            }
        }
        return EXIT_RULES_KEPT;
    }

    private int shrink(ShrinkOptions options) throws Exception {
        Experiment experiment = options.readExperiment();
        return shrink(options, experiment, options.resolveOutputFolder(experiment.name() + "-shrunk"), options.tries);
    }

    private int shrink(ExperimentOptions options, Experiment experiment, Path folder, int tries) throws Exception {
        Files.createDirectories(folder);
        PrintStream noOutput = new PrintStream(PrintStream.nullOutputStream());
        ExperimentShrinker shrinker = new ExperimentShrinker(candidate -> !interrupted
                && runExperiment(options, candidate, folder.resolve("try"), noOutput).status == 1, tries, out::println);
        Experiment smallest = shrinker.shrink(experiment);
        if (smallest == null) {
            out.println("no rule was broken, nothing to shrink");
            return interrupted ? EXIT_VOID : EXIT_RULES_KEPT;
        }
        Path file = folder.resolve(experiment.name() + "-least.yaml");
        Files.writeString(file, ExperimentFile.toYaml(smallest));
        out.printf("%d of %d failures, length %s instead of %s, after %d runs: %s%n", smallest.failures().size(),
                experiment.failures().size(), smallest.length(), experiment.length(), shrinker.runCount(), file);
        return 1;
    }

    private List<JsonNode> collectSummaries(ExperimentOptions options, String side, String experimentFile, List<Long> seeds,
            Path folder)
            throws IOException, UserInputException, InterruptedException {
        List<JsonNode> summaries = new ArrayList<>();
        if (Files.isDirectory(Path.of(side))) {
            try (Stream<Path> files = Files.walk(Path.of(side))) {
                for (Path file : files.filter(path -> path.endsWith("summary.json")).sorted().toList()) {
                    summaries.add(JSON.readTree(file.toFile()));
                }
            }
            summaries.sort(java.util.Comparator.comparingLong(json -> json.path("seed").asLong()));
            return summaries;
        }
        boolean isJar = side.endsWith(".jar");
        if (isJar && experimentFile == null) {
            throw new UserInputException("--experiment FILE is required to compare two builds");
        }
        if (isJar && !Files.exists(Path.of(side))) {
            throw new UserInputException(side + ": no such file");
        }
        String previousJar = options.nodeJar;
        options.nodeJar = isJar ? side : previousJar;
        for (long seed : seeds) {
            Experiment experiment = options.readExperiment(isJar ? experimentFile : side, List.of()).withSeed(seed);
            CompletedRun completedRun = runExperiment(options, experiment, folder.resolve(Long.toString(seed)), out);
            if (completedRun.status == EXIT_VOID) {
                throw new IOException("the run with seed " + seed + " is void: " + completedRun.summary.path("void").asText());
            }
            summaries.add(completedRun.summary);
        }
        options.nodeJar = previousJar;
        return summaries;
    }

    private int compare(CompareOptions options) throws IOException, UserInputException, InterruptedException {
        if (options.arguments.size() != 2) {
            throw new UserInputException("expected two arguments to compare: jars, experiment files or folders of runs");
        }
        Path folder = options.resolveOutputFolder("compared");
        List<Long> seeds = parseSeeds(options.seeds);
        List<JsonNode> a = collectSummaries(options, options.arguments.get(0), options.experimentFile, seeds,
                folder.resolve("a"));
        List<JsonNode> b = collectSummaries(options, options.arguments.get(1), options.experimentFile, seeds,
                folder.resolve("b"));
        List<Long> seedsA = a.stream().map(json -> json.path("seed").asLong()).toList();
        if (a.isEmpty() || !seedsA.equals(b.stream().map(json -> json.path("seed").asLong()).toList())) {
            throw new UserInputException("the two sides do not have runs with the same seeds");
        }
        StringBuilder text = new StringBuilder();
        Comparison.of(a, b).forEach(comparison -> text.append(comparison.describe()).append(System.lineSeparator()));
        long brokenCount = Stream.concat(a.stream(), b.stream()).filter(json -> json.path("status").asInt() == 1).count();
        text.append(brokenCount).append(" of ").append(a.size() * 2).append(" runs broke a rule").append(System.lineSeparator());
        out.print(text);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("comparison.txt"), text);
        return brokenCount > 0 ? 1 : EXIT_RULES_KEPT;
    }

    private int sweep(SweepOptions options) throws IOException, UserInputException, InterruptedException {
        Path folder = options.resolveOutputFolder("swept");
        List<String> values = List.of(options.values.split(","));
        List<List<JsonNode>> summariesByValue = new ArrayList<>();
        boolean ruleBroken = false;
        for (String value : values) { // checks all values before the first run
            options.readExperiment(options.experimentFile(), List.of(options.field + "=" + value));
        }
        for (String value : values) {
            List<JsonNode> summaries = new ArrayList<>();
            for (long seed : parseSeeds(options.seeds)) {
                Experiment experiment = options.readExperiment(options.experimentFile(), List.of(options.field + "=" + value))
                        .withSeed(seed);
                CompletedRun completedRun = runExperiment(options, experiment,
                        folder.resolve(value.replaceAll("\\W", "_")).resolve(Long.toString(seed)), out);
                ruleBroken |= completedRun.status == 1;
                if (interrupted) {
                    return EXIT_VOID;
                }
                summaries.add(completedRun.summary);
            }
            summariesByValue.add(summaries);
        }
        SweepPlot.write(folder.resolve("sweep.html"), options.field, values, List.of(options.metrics.split(",")),
                summariesByValue, out);
        out.println("plots: " + folder.resolve("sweep.html"));
        return ruleBroken ? 1 : EXIT_RULES_KEPT;
    }

    private int fleet(FleetOptions options) throws IOException, UserInputException {
        List<TraceLine> lines = new ArrayList<>();
        for (String logs : options.logs) {
            lines.addAll(TraceLine.read(Path.of(logs)));
        }
        lines.sort(java.util.Comparator.comparingLong(TraceLine::atMicros));
        if (options.recordId != null) {
            List<TraceLine> recordLines = RecordTrace.findLines(lines, options.recordId);
            recordLines.forEach(line -> out.printf(Locale.ROOT, "%10.3f %s %s %s%n",
                    (line.atMicros() - lines.get(0).atMicros()) / 1e6,
                    line.node(), line.verb(), String.join(" ", line.arguments())));
            return recordLines.isEmpty() ? EXIT_BAD_INPUT : EXIT_RULES_KEPT;
        }
        FleetStatistics statistics = FleetStatistics.of(lines, parseStepMicros(options.step));
        out.print(statistics.formatTable(null));
        statistics.destinations().stream().limit(options.maxDestinationTables)
                .forEach(name -> out.print(statistics.formatTable(name)));
        return EXIT_RULES_KEPT;
    }

    private static long parseStepMicros(String text) throws UserInputException {
        try {
            long step = TimeSpan.of(text).micros();
            if (step > 0) {
                return step;
            }
        } catch (IllegalArgumentException e) {
            throw new UserInputException("--step " + e.getMessage());
        }
        throw new UserInputException("--step " + text + ": must be longer than 0");
    }

    private int list(ListOptions options) throws IOException, UserInputException {
        try (Stream<Path> files = Files.list(Path.of(options.folder))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".yaml")).sorted().toList()) {
                Experiment experiment = ExperimentFile.read(file);
                out.printf("%-40s %s%n", file, experiment.about().strip());
            }
        }
        return EXIT_RULES_KEPT;
    }

    static List<Long> parseSeeds(String text) throws UserInputException {
        List<Long> seeds = new ArrayList<>();
        try {
            for (String part : text.split(",")) {
                int dash = part.indexOf('-', 1);
                long first = Long.parseLong(dash < 0 ? part : part.substring(0, dash));
                long last = dash < 0 ? first : Long.parseLong(part.substring(dash + 1));
                if (last < first || last - first > 10_000) {
                    throw new NumberFormatException();
                }
                for (long seed = first; seed <= last; seed++) {
                    seeds.add(seed);
                }
            }
        } catch (NumberFormatException e) {
            throw new UserInputException("--seeds " + text + ": expected numbers and ranges such as 1-5,9");
        }
        return seeds;
    }
}
