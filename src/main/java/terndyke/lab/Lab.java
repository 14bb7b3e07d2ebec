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
import terndyke.lab.traced.FleetSums;
import terndyke.lab.traced.Story;
import terndyke.lab.traced.Traced;
import terndyke.lab.load.Arrival;
import terndyke.lab.load.LoadGenerator;
import terndyke.lab.load.LoadGeneratorCheck;
import terndyke.lab.load.ScheduleGenerator;
import terndyke.lab.load.TraceFile;
import terndyke.lab.plan.BadInput;
import terndyke.lab.plan.Drawer;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.ExperimentFile;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Shrinker;
import terndyke.lab.plan.Span;
import terndyke.lab.referee.Logbook;
import terndyke.lab.report.Comparison;
import terndyke.lab.report.Report;
import terndyke.lab.report.SweepPlot;
import terndyke.lab.run.Day;
import terndyke.lab.run.NodeFile;
import terndyke.lab.run.Outcome;
import terndyke.lab.standin.StandInNode;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/** The laboratory's command line. Exit status: 0 rules kept, 1 a rule broken, 2 bad input, 3 void. */
public final class Lab {
    private static final int KEPT = 0;
    private static final int BAD_INPUT = 2;
    private static final int VOID = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;
    private volatile Day playing;
    private volatile boolean interrupted;
    private volatile boolean emulating;

    private Lab(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** What commands that play a day share. */
    private static class Playing {
        @Parameter(description = "FILE")
        List<String> files = new ArrayList<>();
        @Parameter(names = "--out", description = "the folder for what the run leaves")
        private String out;
        @Parameter(names = "--nodes", description = "another number of nodes")
        private Integer nodes;
        @Parameter(names = "--length", description = "another length of the day, such as 30s")
        private String length;
        @Parameter(names = "--jar", description = "the node's program; else this one")
        private String jar;
        @Parameter(names = "--set", description = "a field set otherwise, such as nodes.slots=12; as often as needed")
        private List<String> set = new ArrayList<>();
        @Parameter(names = "--stand-in", description = "a plain stand-in instead of the node, with this fault or none")
        private StandInNode.Fault standIn;

        String file() throws BadInput {
            if (files.size() != 1) {
                throw new BadInput("one experiment file is needed, " + files.size() + " are given");
            }
            return files.get(0);
        }

        Experiment read(String file, List<String> more) throws BadInput {
            Map<String, String> other = new LinkedHashMap<>();
            List<String> all = new ArrayList<>(set);
            all.addAll(more);
            for (String one : all) {
                int equals = one.indexOf('=');
                if (equals < 1) {
                    throw new BadInput("--set " + one + ": a field and its value are needed, such as nodes.slots=12");
                }
                other.put(one.substring(0, equals), one.substring(equals + 1));
            }
            if (length != null) {
                other.put("length", length);
            }
            if (nodes != null) {
                other.put("nodes.count", nodes.toString());
            }
            return ExperimentFile.read(Path.of(file), other);
        }

        Experiment read() throws BadInput {
            return read(file(), List.of());
        }

        Path folder(String name) {
            return Path.of(out != null ? out : "target/lab/" + name);
        }
    }

    @Parameters(commandDescription = "play an experiment and report on it")
    private static final class Run extends Playing {
        @Parameter(names = "--seed", description = "another seed than the file's")
        private Long seed;
        @Parameter(names = "--record", description = "write the schedule as a trace; .zst compresses it")
        private String record;
    }

    @Parameters(commandDescription = "send a schedule to an address, open loop")
    private static final class Load {
        @Parameter(names = "--to", description = "HOST:PORT, loopback only", required = true)
        private String to;
        @Parameter(names = "--rate", description = "requests a second")
        private double rate = 1_000;
        @Parameter(names = "--peak", description = "the highest rate of a ramp, surge or wave; else the rate")
        private Double peak;
        @Parameter(names = "--shape", description = "constant, poisson, ramp, surge, wave or clumps")
        private String shape = "constant";
        @Parameter(names = "--for", description = "how long")
        private String length = "10s";
        @Parameter(names = "--connections", description = "the most connections")
        private int connections = 256;
        @Parameter(names = "--bytes", description = "size of a body")
        private int bytes = 200;
        @Parameter(names = "--grade", description = "the first part of the path")
        private String grade = "notice";
        @Parameter(names = "--tenant", description = "the tenant")
        private String tenant = "acme";
        @Parameter(names = "--destinations", description = "numbers of destinations, from 0")
        private int destinations = 1;
        @Parameter(names = "--late", description = "the run is void where one in a hundred requests is later than this")
        private String late = "20ms";
        @Parameter(names = "--seed", description = "what the schedule is drawn from")
        private long seed = 1;
        @Parameter(names = "--trace", description = "replay this trace instead")
        private String trace;
    }

    @Parameters(commandDescription = "serve an experiment's receivers and discovery until interrupted, for nodes of your own")
    private static final class Emulate extends Playing { }

    @Parameters(commandDescription = "draw random days on an experiment; with --play, play them until one fails")
    private static final class Draw extends Playing {
        @Parameter(names = "--seeds", description = "seeds, such as 1-20 or 3,5")
        private String seeds = "1";
        @Parameter(names = "--play", description = "play each; one that breaks a rule is cut down")
        private boolean play;
    }

    @Parameters(commandDescription = "cut an experiment that fails down to the shortest that still does")
    private static final class Shrink extends Playing {
        @Parameter(names = "--tries", description = "how often a day has to fail in a row")
        private int tries = 1;
    }

    @Parameters(commandDescription = "two builds, settings or folders of runs on the same seeds: is the difference noise?")
    private static final class Compare extends Playing {
        @Parameter(names = "--experiment", description = "the experiment, where A and B are jars")
        private String experiment;
        @Parameter(names = "--seeds", description = "seeds, such as 1-5")
        private String seeds = "1-5";
    }

    @Parameters(commandDescription = "vary a field over seeds and plot what comes of it")
    private static final class Sweep extends Playing {
        @Parameter(names = "--field", description = "the field, such as load.rate", required = true)
        private String field;
        @Parameter(names = "--values", description = "its values, separated by commas", required = true)
        private String values;
        @Parameter(names = "--seeds", description = "seeds, such as 1-3")
        private String seeds = "1-3";
        @Parameter(names = "--figure", description = "the figures of a summary to plot, such as goodput,latencyMs.deliveredFromDue.p99")
        private String figures = "goodput,messages.doneInTarget";
    }

    @Parameters(commandDescription = "list the experiments of a folder")
    private static final class Listing {
        @Parameter(names = "--dir", description = "the folder")
        private String folder = "lab/experiments";
    }

    @Parameters(commandDescription = "add up what the nodes of a fleet traced (serve --trace), by step of time")
    private static final class Fleet {
        @Parameter(description = "LOGS", required = true)
        private List<String> logs = new ArrayList<>();
        @Parameter(names = "--step", description = "the length of a step")
        private String step = "1s";
        @Parameter(names = "--destinations", description = "how many destinations get a table of their own, the busiest first")
        private int destinations = 3;
        @Parameter(names = "--record", description = "instead, all that befell the record with this id, through every node")
        private String record;
    }

    @Parameters(commandDescription = "check the load tool on this machine against stand-ins with known delays")
    private static final class Prove { }

    @Parameters(commandDescription = "print the schema of experiment files")
    private static final class SchemaOf { }

    @Parameters(commandDescription = "show this text")
    private static final class Help { }

    /** Runs one command, on the streams of the process. No node outlives it, however it ends. */
    public static int run(String[] arguments) {
        Lab lab = new Lab(System.out, System.err);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ProcessHandle.current().descendants()
                .forEach(ProcessHandle::destroyForcibly), "terndyke-lab-end"));
        try {
            SignalHandlers.register("INT", lab::interrupt);
            SignalHandlers.register("TERM", lab::interrupt);
        } catch (IOException e) {
            System.err.println("terndyke lab: " + e.getMessage() + "; an interrupt leaves no report");
        }
        return lab.command(arguments);
    }

    /** On SIGINT or SIGTERM: the day ends and its report is written; the second one ends all at once. */
    private void interrupt() {
        Day day = playing;
        if (interrupted || day == null && !emulating) {
            System.exit(VOID);
        }
        interrupted = true;
        if (day != null) {
            day.interrupt();
        }
    }

    private int command(String[] arguments) {
        Map<String, Object> commands = new LinkedHashMap<>();
        commands.put("run", new Run());
        commands.put("load", new Load());
        commands.put("emulate", new Emulate());
        commands.put("draw", new Draw());
        commands.put("shrink", new Shrink());
        commands.put("compare", new Compare());
        commands.put("sweep", new Sweep());
        commands.put("fleet", new Fleet());
        commands.put("prove", new Prove());
        commands.put("list", new Listing());
        commands.put("schema", new SchemaOf());
        commands.put("help", new Help());
        JCommander parser = JCommander.newBuilder().programName("terndyke lab").build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(arguments);
            return go(parser, commands.get(parser.getParsedCommand()));
        } catch (ParameterException e) {
            err.println("terndyke lab: " + e.getMessage());
            return BAD_INPUT;
        } catch (BadInput e) {
            e.faults().forEach(err::println);
            return BAD_INPUT;
        } catch (IOException e) {
            err.println("terndyke lab: " + e.getMessage());
            return VOID;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return VOID;
        } catch (Exception e) {
            err.println("terndyke lab: " + e);
            e.printStackTrace(err);
            return VOID;
        }
    }

    private int go(JCommander parser, Object command) throws Exception {
        if (command instanceof Run run) {
            return run(run);
        } else if (command instanceof Load load) {
            return load(load);
        } else if (command instanceof Emulate emulate) {
            return emulate(emulate);
        } else if (command instanceof Draw draw) {
            return draw(draw);
        } else if (command instanceof Shrink shrink) {
            return shrink(shrink);
        } else if (command instanceof Compare compare) {
            return compare(compare);
        } else if (command instanceof Sweep sweep) {
            return sweep(sweep);
        } else if (command instanceof Fleet fleet) {
            return fleet(fleet);
        } else if (command instanceof Prove) {
            return new LoadGeneratorCheck(out).run() ? KEPT : 1;
        } else if (command instanceof Listing listing) {
            return list(listing);
        } else if (command instanceof SchemaOf) {
            out.println(ExperimentFile.schemaText().toPrettyString());
            return KEPT;
        }
        StringBuilder usage = new StringBuilder();
        parser.getUsageFormatter().usage(usage);
        out.println(usage);
        return command == null ? BAD_INPUT : KEPT;
    }

    private record Played(int status, JsonNode summary) { }

    private Played play(Playing how, Experiment day, Path folder, PrintStream progress) throws IOException, BadInput,
            InterruptedException {
        Day one = new Day(day, folder, how.jar, how.standIn, progress);
        playing = one;
        if (interrupted) {
            one.interrupt();
        }
        Outcome outcome = one.play();
        playing = null;
        return new Played(outcome.status(), Report.write(outcome, folder, progress));
    }

    private int run(Run run) throws IOException, BadInput, InterruptedException {
        Experiment day = run.read();
        day = run.seed == null ? day : day.withSeed(run.seed);
        if (run.record != null) {
            TraceFile.write(Path.of(run.record), ScheduleGenerator.generate(day));
        }
        return play(run, day, run.folder(day.name()), out).status;
    }

    private static InetSocketAddress loopback(String text) throws BadInput {
        int colon = text.lastIndexOf(':');
        try {
            InetAddress host = InetAddress.getByName(text.substring(0, Math.max(0, colon)));
            if (host.isLoopbackAddress()) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | RuntimeException e) {
            throw new BadInput("--to " + text + ": HOST:PORT is needed");
        }
        throw new BadInput("--to " + text + ": only loopback addresses are loaded");
    }

    private int load(Load load) throws BadInput, InterruptedException {
        InetSocketAddress to = loopback(load.to);
        Experiment day;
        try {
            day = ExperimentFile.read("the options", String.format(Locale.ROOT, "name: load%nabout: load%nseed: %d%nlength: "
                    + "%s%ngrades: [{name: '%s', effect: idempotent, target: 1s, abandon: 5s}]%ntenants: [{name: '%s'}]%n"
                    + "destinations: [{kind: any, count: %d}]%nload: {shape: %s, rate: %f, peak: %f, bytes: %d}%nlate: %s%n",
                    load.seed, load.length, load.grade, load.tenant, load.destinations, load.shape, load.rate,
                    load.peak == null ? load.rate : load.peak, load.bytes, load.late));
        } catch (BadInput e) {
            throw new BadInput(e.faults().stream().map(fault -> fault.replaceFirst("^the options:\\d+", "option")).toList());
        }
        List<Arrival> arrivals = load.trace == null ? ScheduleGenerator.generate(day) : TraceFile.read(Path.of(load.trace), day);
        try (SocketReactor net = new SocketReactor("terndyke-lab-load", 1)) {
            LoadGenerator tool = new LoadGenerator(net, to, load.connections);
            tool.openConnections(load.connections);
            LoadGenerator.Result run = tool.run(arrivals, 5_000_000);
            out.printf("%d requests in %.1f s: %d answered, %d of them taken, %d broken, %d without an answer%n", run.offered(),
                    run.seconds(), run.answered(), run.accepted(), run.broken(), run.unanswered());
            say("from due", run.latencyFromDue());
            say("from sent", run.latencyFromSent());
            say("the tool's lateness", run.lateness());
            if (run.lateness().getValueAtPercentile(99) > day.late().micros()) {
                out.printf("void: the tool itself was late, %s allowed%n", day.late());
                return VOID;
            }
            return KEPT;
        }
    }

    private void say(String what, Histogram times) {
        out.printf("%s: p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms%n", what,
                times.getValueAtPercentile(50) / 1e3, times.getValueAtPercentile(90) / 1e3,
                times.getValueAtPercentile(99) / 1e3, times.getValueAtPercentile(99.9) / 1e3, times.getMaxValue() / 1e3);
    }

    private int emulate(Emulate emulate) throws IOException, BadInput, InterruptedException {
        Experiment day = emulate.read();
        emulating = true;
        Path folder = emulate.folder(day.name() + "-emulated");
        Logbook logbook = new Logbook();
        logbook.startAt(TaskScheduler.nowMicros());
        try (TaskScheduler answers = new TaskScheduler("terndyke-lab-answers"); TaskScheduler failures = new TaskScheduler("terndyke-lab-failures");
                SocketReactor net = new SocketReactor("terndyke-lab-receivers", 4);
                Emulator emulator = new Emulator(day, logbook, net, answers, true)) {
            Files.createDirectories(folder);
            for (int node = 0; node < day.nodes().count(); node++) {
                Path file = folder.resolve("n" + node + ".json");
                Files.writeString(file, NodeFile.of(day, node, emulator.agents().get(node)));
                out.println("node " + node + ": serve --config " + file);
            }
            out.println(emulator.receiverCount() + " receivers serve; failures count from now, an interrupt ends it");
            day.failures().forEach(failure -> {
                if (failure.kind().side() == Failure.Side.RECEIVER
                        || failure.kind().side() == Failure.Side.DISCOVERY) {
                    failures.schedule(logbook.start() + failure.at().micros(), () -> emulator.beginFailure(failure));
                    failures.schedule(logbook.start() + failure.until(), () -> emulator.endFailure(failure));
                }
            });
            while (!interrupted) {
                Thread.sleep(100);
            }
        }
        return KEPT;
    }

    private int draw(Draw draw) throws Exception {
        Experiment base = draw.read();
        Path folder = draw.folder(base.name() + "-drawn");
        Files.createDirectories(folder);
        for (long seed : seeds(draw.seeds)) {
            Experiment day = Drawer.draw(base, seed);
            Path file = folder.resolve(day.name() + ".yaml");
            Files.writeString(file, ExperimentFile.write(day));
            out.println(file);
            if (draw.play) {
                Played played = play(draw, day, folder.resolve(day.name()), out);
                if (played.status == 1) {
                    return shrink(draw, day, folder, 1);
                }
                if (interrupted) {
                    return VOID;
                }
            }
        }
        return KEPT;
    }

    private int shrink(Shrink shrink) throws Exception {
        Experiment day = shrink.read();
        return shrink(shrink, day, shrink.folder(day.name() + "-shrunk"), shrink.tries);
    }

    private int shrink(Playing how, Experiment day, Path folder, int tries) throws Exception {
        Files.createDirectories(folder);
        PrintStream quiet = new PrintStream(PrintStream.nullOutputStream());
        Shrinker shrinker = new Shrinker(one -> !interrupted
                && play(how, one, folder.resolve("try"), quiet).status == 1, tries, out::println);
        Experiment least = shrinker.shrink(day);
        if (least == null) {
            out.println("no rule is broken, so there is nothing to cut down");
            return interrupted ? VOID : KEPT;
        }
        Path file = folder.resolve(day.name() + "-least.yaml");
        Files.writeString(file, ExperimentFile.write(least));
        out.printf("%d of %d failures, %s instead of %s, after %d days: %s%n", least.failures().size(), day.failures().size(),
                least.length(), day.length(), shrinker.played(), file);
        return 1;
    }

    private List<JsonNode> runs(Playing how, String side, String experiment, List<Long> seeds, Path folder)
            throws IOException, BadInput, InterruptedException {
        List<JsonNode> summaries = new ArrayList<>();
        if (Files.isDirectory(Path.of(side))) {
            try (Stream<Path> files = Files.walk(Path.of(side))) {
                for (Path file : files.filter(one -> one.endsWith("summary.json")).sorted().toList()) {
                    summaries.add(JSON.readTree(file.toFile()));
                }
            }
            summaries.sort(java.util.Comparator.comparingLong(json -> json.path("seed").asLong()));
            return summaries;
        }
        boolean jar = side.endsWith(".jar");
        if (jar && experiment == null) {
            throw new BadInput("two builds are compared on an experiment: --experiment FILE is needed");
        }
        if (jar && !Files.exists(Path.of(side))) {
            throw new BadInput(side + ": there is no such program");
        }
        String before = how.jar;
        how.jar = jar ? side : before;
        for (long seed : seeds) {
            Experiment day = how.read(jar ? experiment : side, List.of()).withSeed(seed);
            Played played = play(how, day, folder.resolve(Long.toString(seed)), out);
            if (played.status == VOID) {
                throw new IOException("the run with seed " + seed + " is void: " + played.summary.path("void").asText());
            }
            summaries.add(played.summary);
        }
        how.jar = before;
        return summaries;
    }

    private int compare(Compare compare) throws IOException, BadInput, InterruptedException {
        if (compare.files.size() != 2) {
            throw new BadInput("two sides are needed: jars, experiment files or folders of runs");
        }
        Path folder = compare.folder("compared");
        List<Long> seeds = seeds(compare.seeds);
        List<JsonNode> a = runs(compare, compare.files.get(0), compare.experiment, seeds, folder.resolve("a"));
        List<JsonNode> b = runs(compare, compare.files.get(1), compare.experiment, seeds, folder.resolve("b"));
        List<Long> seedsA = a.stream().map(json -> json.path("seed").asLong()).toList();
        if (a.isEmpty() || !seedsA.equals(b.stream().map(json -> json.path("seed").asLong()).toList())) {
            throw new BadInput("the two sides have no runs on the same seeds");
        }
        StringBuilder words = new StringBuilder();
        Comparison.of(a, b).forEach(one -> words.append(one.words()).append(System.lineSeparator()));
        long broken = Stream.concat(a.stream(), b.stream()).filter(json -> json.path("status").asInt() == 1).count();
        words.append(broken).append(" of ").append(a.size() * 2).append(" days broke a rule").append(System.lineSeparator());
        out.print(words);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("comparison.txt"), words);
        return broken > 0 ? 1 : KEPT;
    }

    private int sweep(Sweep sweep) throws IOException, BadInput, InterruptedException {
        Path folder = sweep.folder("swept");
        List<String> values = List.of(sweep.values.split(","));
        List<List<JsonNode>> all = new ArrayList<>();
        boolean broken = false;
        for (String value : values) { // all of them are checked before the first is played
            sweep.read(sweep.file(), List.of(sweep.field + "=" + value));
        }
        for (String value : values) {
            List<JsonNode> some = new ArrayList<>();
            for (long seed : seeds(sweep.seeds)) {
                Experiment day = sweep.read(sweep.file(), List.of(sweep.field + "=" + value)).withSeed(seed);
                Played played = play(sweep, day, folder.resolve(value.replaceAll("\\W", "_")).resolve(Long.toString(seed)), out);
                broken |= played.status == 1;
                if (interrupted) {
                    return VOID;
                }
                some.add(played.summary);
            }
            all.add(some);
        }
        SweepPlot.write(folder.resolve("sweep.html"), sweep.field, values, List.of(sweep.figures.split(",")), all, out);
        out.println("plots: " + folder.resolve("sweep.html"));
        return broken ? 1 : KEPT;
    }

    private int fleet(Fleet fleet) throws IOException, BadInput {
        List<Traced> lines = new ArrayList<>();
        for (String logs : fleet.logs) {
            lines.addAll(Traced.read(Path.of(logs)));
        }
        lines.sort(java.util.Comparator.comparingLong(Traced::at));
        if (fleet.record != null) {
            List<Traced> story = Story.of(lines, fleet.record);
            story.forEach(line -> out.printf(Locale.ROOT, "%10.3f %s %s %s%n", (line.at() - lines.get(0).at()) / 1e6,
                    line.node(), line.verb(), String.join(" ", line.about())));
            return story.isEmpty() ? BAD_INPUT : KEPT;
        }
        FleetSums sums = FleetSums.of(lines, step(fleet.step));
        out.print(sums.table(null));
        sums.destinations().stream().limit(fleet.destinations).forEach(name -> out.print(sums.table(name)));
        return KEPT;
    }

    private static long step(String text) throws BadInput {
        try {
            long step = Span.of(text).micros();
            if (step > 0) {
                return step;
            }
        } catch (IllegalArgumentException e) {
            throw new BadInput("--step " + e.getMessage());
        }
        throw new BadInput("--step " + text + ": a step takes time");
    }

    private int list(Listing listing) throws IOException, BadInput {
        try (Stream<Path> files = Files.list(Path.of(listing.folder))) {
            for (Path file : files.filter(one -> one.toString().endsWith(".yaml")).sorted().toList()) {
                Experiment day = ExperimentFile.read(file);
                out.printf("%-40s %s%n", file, day.about().strip());
            }
        }
        return KEPT;
    }

    static List<Long> seeds(String text) throws BadInput {
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
            throw new BadInput("seeds " + text + ": numbers and spans such as 1-5,9 are needed");
        }
        return seeds;
    }
}
