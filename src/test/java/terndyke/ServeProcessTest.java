package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals and file descriptors of a node that runs as a process of its own. */
class ServeProcessTest {
    private static final int EXIT_THREAD_ENDED = 70;

    @TempDir
    Path folder;

    /** Writes a configuration whose discovery address has no listener. */
    private Path writeConfiguration(String listen) throws IOException {
        return TestNodeProcess.writeConfiguration(folder, listen, TestNodeProcess.freeAddress());
    }

    private TestNodeProcess startNode(String shellPrefix, Path configuration, String listen) throws IOException {
        return TestNodeProcess.start(folder, shellPrefix, configuration, listen);
    }

    /**
     * Guards against a node that ignores SIGHUP because it was started with the signal ignored, as by nohup. Java keeps an
     * ignored signal ignored, so the node would stay with discovery's old address and lose every notice.
     */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void sighupIsHandledThoughItWasIgnoredAtProcessStart() throws Exception {
        String listen = TestNodeProcess.freeAddress();
        try (TestNodeProcess node = startNode("trap '' HUP; ", writeConfiguration(listen), listen)) {
            node.awaitLog("serving on");
            node.sendHangup();
            node.awaitLog("configuration read again");
            node.assertCleanExit();
        }
    }

    /** The configuration is read from a pipe, so that the node blocks in the middle of its startup until the test writes it. */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void sighupDuringStartupReloadsTheConfigurationAndDoesNotEndTheProcess() throws Exception {
        String listen = TestNodeProcess.freeAddress();
        byte[] configuration = Files.readAllBytes(writeConfiguration(listen));
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (TestNodeProcess node = startNode("", pipe, listen)) {
            try (OutputStream out = Files.newOutputStream(pipe)) { // blocks until the node opens the pipe for reading
                node.sendHangup();
                out.write(configuration);
            }
            node.awaitLog("serving on");
            Files.write(pipe, configuration, StandardOpenOption.WRITE); // for the reload
            node.awaitLog("configuration read again");
            node.assertCleanExit();
        }
    }

    /**
     * Guards against a process that has lost a thread, answers nobody and is never started again. Direct memory for less than one
     * read from a socket lets the I/O thread fail as soon as it reads.
     */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aProcessWhoseIoThreadEndsWithAnErrorExitsAtOnceWithItsStatus() throws Exception {
        String listen = TestNodeProcess.freeAddress();
        try (RawServer platform = new RawServer(request -> RawServer.Response.json("{\"rev\":1,\"all\":true,\"targets\":[]}"));
                TestNodeProcess node = startNode("export _JAVA_OPTIONS=-XX:MaxDirectMemorySize=4k; ",
                        TestNodeProcess.writeConfiguration(folder, listen, platform.address()), listen)) {
            node.awaitLog("thread terndyke-io ended");
            assertEquals(EXIT_THREAD_ENDED, node.awaitExit());
        }
    }

    /** More clients connect at once, and stay idle, than the node may open descriptors. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void idleClientsThatExhaustDescriptorsDoNotStopTheListener() throws Exception {
        String listen = TestNodeProcess.freeAddress();
        List<SocketChannel> idleChannels = new ArrayList<>();
        try (TestNodeProcess node = startNode("ulimit -n 256; ", writeConfiguration(listen), listen)) {
            node.awaitLog("serving on");
            for (int i = 0; i < 1_000; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
                idleChannels.add(channel);
            }
            String answer = "";
            for (long deadline = System.nanoTime() + 20_000_000_000L; answer.isEmpty() && System.nanoTime() < deadline;) {
                answer = requestHealth(node.port());
            }
            assertEquals("HTTP/1.1 200 OK", answer);
            node.assertCleanExit();
        } finally {
            for (SocketChannel channel : idleChannels) {
                channel.close();
            }
        }
    }

    private static String requestHealth(int port) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(2_000);
            client.getOutputStream().write("GET /_health HTTP/1.1\r\nHost: n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String line = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return line == null ? "" : line;
        } catch (IOException e) {
            return ""; // refused, or closed to make room for another connection
        }
    }
}
