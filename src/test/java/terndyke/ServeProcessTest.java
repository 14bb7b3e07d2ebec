package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A node as the deployment starts it: by the line in deploy/balancer.toml, as a process of its own. */
class ServeProcessTest {
    private static final Pattern RUN = Pattern.compile("(?s)\\nrun = \"\"\"(.*?)\"\"\"");

    @TempDir
    Path folder;

    private String free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private Path configuration() throws IOException {
        return configuration(free());
    }

    private Path configuration(String listen) throws IOException {
        String settings = """
                {"balancers":1,"rank":0,"zone":0,"dcs":["east"],"kinds":["a"],"discovery":"push","weightSource":"off",
                 "resolution":0.005,"overShareWorth":0.1,"familyInfo":{"callsOut":4,"kindApart":[false],"perCall":[1]},
                 "ceilings":{"maxOpen":40,"maxAttempts":8,"secondCopies":true,"cancelling":true,"probes":true,
                   "retryAfter":true,"maxRetryAfter":2.0,"connectTimeout":0.5,"connIdle":15.0},
                 "report":{"how":"off","fields":[]},
                 "obligations":{"stopSendingWithin":2.0,"fallMultiple":2.0,"overloadFor":2.0,"coldShare":0.2,
                   "cold":11.0,"keyQuiet":0.1,"answerSlack":0.02},
                 "classes":[{"name":"status","target":1.5,"deadline":5.0,"semantics":"retryable","points":3.0}]}""";
        return Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"" + listen
                + "\",\"discovery\":\"" + free() + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":192,\"sockets\":256,"
                + "\"disk_mb\":3},\"known\":{},\"settings\":" + settings + "}");
    }

    /**
     * Guards against a node that is started with SIGHUP ignored, as below nohup: Java leaves an ignored signal so, and
     * the node would stay with discovery's old address and lose every notice.
     */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aNodeHearsSighupThoughItWasIgnoredWhereItWasStarted() throws Exception {
        Process node = start("trap '' HUP; ", configuration());
        try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream(), StandardCharsets.UTF_8))) {
            until(log, "serving on");
            hangUp(node);
            until(log, "configuration read again");
            endsWell(node);
        } finally {
            node.destroyForcibly();
        }
    }

    private static void hangUp(Process node) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(node.pid())).start().waitFor();
    }

    private static void endsWell(Process node) throws InterruptedException {
        node.destroy();
        assertTrue(node.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, node.exitValue());
    }

    private Process start(String before, Path configuration) throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(run.find());
        String line = run.group(1).replace("\\\n", " ").replace("-jar target/terndyke.jar",
                "-cp '" + System.getProperty("java.class.path") + "' terndyke.Main");
        ProcessBuilder start = new ProcessBuilder("/bin/sh", "-c", before + line).redirectErrorStream(true);
        start.environment().put("NODE_CONFIG", configuration.toString());
        start.environment().put("NODE_STATE", folder.resolve("state").toString());
        Files.createDirectory(folder.resolve("state"));
        return start.start();
    }

    /** The configuration is a pipe, so that the node stands in the middle of its start until the test lets it go on. */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aSignalThatComesWhileTheNodeStillStartsIsHeardAndEndsNothing() throws Exception {
        byte[] configuration = Files.readAllBytes(configuration());
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Process node = start("", pipe);
        try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream(), StandardCharsets.UTF_8))) {
            try (OutputStream first = Files.newOutputStream(pipe)) { // opens once the node reads
                hangUp(node);
                first.write(configuration);
            }
            until(log, "serving on");
            Files.write(pipe, configuration, StandardOpenOption.WRITE); // it is read again
            until(log, "configuration read again");
            endsWell(node);
        } finally {
            node.destroyForcibly();
        }
    }

    /** Clients that say nothing come in one rush, more of them than the node may hold descriptors. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void idleClientsThatWantAllDescriptorsDoNotEndTheListener() throws Exception {
        String listen = free();
        int port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
        Process node = start("ulimit -n 256; ", configuration(listen));
        List<SocketChannel> idle = new ArrayList<>();
        try (BufferedReader log = new BufferedReader(new InputStreamReader(node.getInputStream(), StandardCharsets.UTF_8))) {
            until(log, "serving on");
            for (int i = 0; i < 1_000; i++) {
                SocketChannel one = SocketChannel.open();
                one.configureBlocking(false);
                one.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                idle.add(one);
            }
            String answer = "";
            for (long end = System.nanoTime() + 20_000_000_000L; answer.isEmpty() && System.nanoTime() < end;) {
                answer = health(port);
            }
            assertEquals("HTTP/1.1 200 OK", answer);
            endsWell(node);
        } finally {
            node.destroyForcibly();
            for (SocketChannel one : idle) {
                one.close();
            }
        }
    }

    private static String health(int port) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(2_000);
            client.getOutputStream().write("GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String line = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            return line == null ? "" : line;
        } catch (IOException e) {
            return ""; // refused, or turned out for one of the others
        }
    }

    private static void until(BufferedReader log, String words) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(words)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the log ended without: " + words);
    }
}
