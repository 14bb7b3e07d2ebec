package terndyke.node;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Parts of a delivery node for tests in other packages. */
public final class NodeFixtures {
    public static final NodeLog NO_LOG = new NodeLog(new PrintStream(PrintStream.nullOutputStream()), "test");

    private NodeFixtures() { }

    /** The settings of {@link NodeConfigurationTest}, an empty endpoint list and discovery at the given address. */
    public static NodeConfiguration configuration(Path folder, InetSocketAddress discovery) throws IOException {
        String json = "{\"name\":\"n\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:" + discovery.getPort()
                + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\"known\":{},\"settings\":"
                + NodeConfigurationTest.SETTINGS + "}";
        return NodeConfiguration.read(json.getBytes(StandardCharsets.UTF_8),
                new NodeConfiguration.StartupOptions("file", null, null, null, folder.toString()));
    }
}
