package terndyke.lab.run;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** A real node in its own process, started with the same command line as in the deployment. */
public final class NodeProcess implements NodeUnderTest {
    private static final List<String> JVM_FLAGS = List.of("-Xshare:auto", "-XX:+UseSerialGC", "-Xms36m", "-Xmx36m", "-Xmn10m",
            "-XX:+AlwaysPreTouch", "-Xss512k", "-XX:MaxMetaspaceSize=40m", "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=12m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");

    private final Path folder;
    private final Path stateFolder;
    private final InetSocketAddress listenAddress;
    private final List<String> launchArguments;
    private final Supplier<String> configuration;
    private final double diskLimitMb;
    private Process process;

    /**
     * @param launchArguments the arguments after the JVM flags: a jar, or a class path and a class
     * @param configuration supplies the content of the configuration file, which is written again for each start
     */
    NodeProcess(Path folder, InetSocketAddress listenAddress, List<String> launchArguments, Supplier<String> configuration,
            double diskLimitMb)
            throws IOException {
        this.folder = folder;
        this.listenAddress = listenAddress;
        this.launchArguments = launchArguments;
        this.configuration = configuration;
        this.diskLimitMb = diskLimitMb;
        stateFolder = folder.resolve("state");
        Files.createDirectories(stateFolder);
        Files.deleteIfExists(folder.resolve("log")); // the log and the journal of an earlier run in the same folder
        try (Stream<Path> files = Files.list(stateFolder)) {
            for (Path oldFile : files.filter(Files::isRegularFile).toList()) {
                Files.delete(oldFile);
            }
        }
    }

    /**
     * Whether the process ignores SIGHUP. Ignored signals are inherited by child processes, so a node started under nohup
     * cannot be made to read its configuration again.
     */
    boolean ignoresHangup() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
            if (line.startsWith("SigIgn:")) {
                return (Long.parseUnsignedLong(line.substring(7).strip(), 16) & 1) != 0;
            }
        }
        return false;
    }

    /** The arguments that start the given jar, or the program that this laboratory belongs to if it is null. */
    static List<String> chooseLaunchArguments(String jar) {
        if (jar != null) {
            return List.of("-jar", jar);
        }
        String ownJar = System.getProperty("terndyke.jar");
        return ownJar != null ? List.of("-jar", ownJar) : List.of("-cp", System.getProperty("java.class.path"), "terndyke.Main");
    }

    @Override
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** Replaces the configuration file atomically, so that the node never reads a partly written file. */
    @Override
    public void writeConfiguration() throws IOException {
        Path next = folder.resolve("config.next");
        Files.writeString(next, configuration.get());
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void start() throws IOException {
        writeConfiguration();
        Path config = folder.resolve("config.json");
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM_FLAGS);
        int jarIndex = launchArguments.indexOf("-jar");
        if (jarIndex >= 0) {
            Path sharedArchive = Path.of(launchArguments.get(jarIndex + 1).replaceFirst("\\.jar$", ".jsa"));
            if (Files.exists(sharedArchive)) {
                command.add("-XX:SharedArchiveFile=" + sharedArchive);
            }
        }
        command.addAll(launchArguments);
        command.addAll(List.of("serve", "--config", config.toString(), "--state", stateFolder.toString()));
        File log = folder.resolve("log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("MALLOC_ARENA_MAX", "1");
        process = builder.start();
        process.getOutputStream().close();
    }

    @Override
    public boolean awaitReady(long timeoutMillis) throws InterruptedException {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            if (isHealthy()) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    private boolean isHealthy() {
        try (Socket socket = new Socket()) {
            socket.connect(listenAddress, 1_000);
            socket.setSoTimeout(1_000);
            OutputStream out = socket.getOutputStream();
            out.write("GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void sendSignal(String name) {
        try {
            if (process.isAlive()) {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot send a signal to the node process: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean isRunning() {
        return process != null && process.isAlive();
    }

    @Override
    public long pid() {
        return process == null ? 0 : process.pid();
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** The last three lines of the process log, for messages. */
    String lastLogLines() {
        try {
            List<String> lines = Files.readAllLines(folder.resolve("log"), StandardCharsets.ISO_8859_1);
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
        } catch (IOException e) {
            return "no log";
        }
    }

    @Override
    public void setDiskFull(boolean full) throws IOException {
        Path filler = stateFolder.resolve("filler");
        if (!full) {
            Files.deleteIfExists(filler);
            return;
        }
        long used = 0;
        try (Stream<Path> files = Files.list(stateFolder)) {
            for (Path file : files.toList()) {
                used += (Files.size(file) + 511) / 512 * 512;
            }
        }
        Files.write(filler, new byte[(int) Math.max(0, diskLimitMb * 1_000_000 - used)]);
    }

    @Override
    public void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
