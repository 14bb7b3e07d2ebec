package terndyke;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

import terndyke.adapter.SimulatorAdapter;
import terndyke.node.NodeConfiguration;
import terndyke.node.DeliveryNode;
import terndyke.node.NodeLog;

/** The command line, with one subcommand for each way to run terndyke. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 2;
    private static final int EXIT_BAD_USAGE = 64;
    private static final int EXIT_THREAD_ENDED = 70;

    private Main() { }

    @Parameters(commandDescription = "run a delivery node until it is asked to terminate")
    private static final class ServeOptions {
        @Parameter(names = "--config", description = "configuration file of the node; default: NODE_CONFIG")
        private String config = System.getenv("NODE_CONFIG");
        @Parameter(names = "--name", description = "name of the node; default: NODE_NAME, else as configured")
        private String name = System.getenv("NODE_NAME");
        @Parameter(names = "--listen", description = "address for client connections; default: NODE_LISTEN, else as configured")
        private String listen = System.getenv("NODE_LISTEN");
        @Parameter(names = "--discovery", description = "address of discovery; default: as configured, else NODE_DISCOVERY")
        private String discovery;
        @Parameter(names = "--state", description = "directory for persistent state; default: NODE_STATE")
        private String state = System.getenv("NODE_STATE");
        @Parameter(names = "--trace", description = "log each record, shot, probe and list; lab fleet reads it")
        private boolean trace;
    }

    @Parameters(commandDescription = "serve the simulator protocol on standard input and output")
    private static final class AdapterOptions { }

    @Parameters(commandDescription = "print the version")
    private static final class VersionOptions { }

    @Parameters(commandDescription = "run a command of the laboratory; lab help lists them")
    private static final class LabOptions {
        @Parameter(description = "command and its options")
        private List<String> arguments = new ArrayList<>();
    }

    @Parameters(commandDescription = "show this help")
    private static final class HelpOptions { }

    public static void main(String[] arguments) {
        if (arguments.length > 0 && arguments[0].equals("lab")) {
            System.exit(runLab(Arrays.copyOfRange(arguments, 1, arguments.length)));
        }
        CompletableFuture<Runnable> reload = arguments.length > 0 && arguments[0].equals("serve") ? handleHangupSignals() : null;
        ServeOptions serveOptions = new ServeOptions();
        JCommander commands = JCommander.newBuilder().programName("terndyke").addCommand("serve", serveOptions)
                .addCommand("adapter", new AdapterOptions())
                .addCommand("lab", new LabOptions()).addCommand("version", new VersionOptions())
                .addCommand("help", new HelpOptions()).build();
        try {
            commands.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("terndyke: " + e.getMessage());
            System.exit(EXIT_BAD_USAGE);
        }
        switch (String.valueOf(commands.getParsedCommand())) {
            case "serve" -> serve(serveOptions, reload);
            case "adapter" -> System.exit(runAdapter());
            case "version" -> System.out.println("terndyke " + Main.class.getPackage().getImplementationVersion());
            case "help" -> commands.usage();
            default -> {
                commands.usage();
                System.exit(EXIT_BAD_USAGE);
            }
        }
    }

    /**
     * Installs the SIGHUP handler at once, since an unhandled SIGHUP would end a process that is still starting. A signal
     * that arrives before the node exists is handled as soon as it does. One reload runs and one more may wait; further
     * signals are dropped, as the waiting reload reads the same file.
     */
    private static CompletableFuture<Runnable> handleHangupSignals() {
        CompletableFuture<Runnable> reload = new CompletableFuture<>();
        ThreadPoolExecutor reloadExecutor = new ThreadPoolExecutor(0, 1, 1, TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(1), task -> {
            Thread thread = new Thread(task, "terndyke-reread");
            thread.setDaemon(true);
            return thread;
        }, new ThreadPoolExecutor.DiscardPolicy());
        try {
            SignalHandlers.register("HUP", () -> reloadExecutor.execute(() -> reload.join().run()));
        } catch (IOException e) {
            System.err.println("terndyke: " + e.getMessage());
            System.exit(EXIT_BAD_INPUT);
        }
        return reload;
    }

    private static void serve(ServeOptions serveOptions, CompletableFuture<Runnable> reload) {
        try {
            NodeConfiguration.StartupOptions options = new NodeConfiguration.StartupOptions(serveOptions.config,
                    serveOptions.name, serveOptions.listen, serveOptions.discovery, serveOptions.state);
            NodeConfiguration configuration = NodeConfiguration.read(options);
            NodeLog log = new NodeLog(System.out, configuration.name(), serveOptions.trace);
            DeliveryNode node = new DeliveryNode(configuration, log,
                    (threadName, cause) -> exitAfterThreadEnded(log, threadName, cause));
            reload.complete(() -> node.reloadConfiguration(options));
            Thread shutdownHook = new Thread(() -> {
                node.close();
                Runtime.getRuntime().halt(0);
            }, "terndyke-close");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            try {
                node.start();
            } catch (IOException e) {
                Runtime.getRuntime().removeShutdownHook(shutdownHook); // a node that never served exits with a status of its own
                throw e;
            }
        } catch (IOException e) {
            System.err.println("terndyke: " + String.valueOf(e.getMessage()).replace('\n', ' '));
            System.exit(EXIT_BAD_INPUT);
        }
    }

    /**
     * Ends the process at once, so that it is started again and takes up what it owes. Without its thread the node would keep
     * its port open and answer nobody, or end with status 0.
     */
    private static void exitAfterThreadEnded(NodeLog log, String threadName, Throwable cause) {
        try {
            log.warn("thread " + threadName + " ended, the process exits with status " + EXIT_THREAD_ENDED + ": " + cause);
        } finally {
            Runtime.getRuntime().halt(EXIT_THREAD_ENDED);
        }
    }

    /**
     * Runs the laboratory. It has a jar of its own beside this one, so that no node ever loads or opens any part of it. On
     * a class path of directories it is loaded directly.
     */
    private static int runLab(String[] arguments) {
        try {
            Path ownJar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            ClassLoader loader = Main.class.getClassLoader();
            if (Files.isRegularFile(ownJar)) {
                Path labJar = ownJar.resolveSibling("terndyke-lab.jar");
                if (!Files.isRegularFile(labJar)) {
                    System.err.println("terndyke: the laboratory is not installed: " + labJar + " is missing");
                    return EXIT_BAD_INPUT;
                }
                System.setProperty("terndyke.jar", ownJar.toString());
                loader = new URLClassLoader(new URL[] {labJar.toUri().toURL()}, loader);
                Thread.currentThread().setContextClassLoader(loader);
            }
            return (int) Class.forName("terndyke.lab.Lab", true, loader).getMethod("run", String[].class)
                    .invoke(null, (Object) arguments);
        } catch (ReflectiveOperationException | URISyntaxException | IOException e) {
            System.err.println("terndyke: cannot start the laboratory: " + e);
            return 1;
        }
    }

    private static int runAdapter() {
        try {
            return new SimulatorAdapter().serve(new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out), System.err);
        } catch (IOException e) {
            System.err.println("terndyke: " + e.getMessage());
            return 1;
        }
    }
}
