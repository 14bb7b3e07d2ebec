package terndyke.lab.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connecting times out: a listener that never accepts and whose backlog is full. The kernel then drops
 * further connection attempts, as if the machine were cut off from the network.
 */
public final class UnreachableAddress implements AutoCloseable {
    private static final int BACKLOG_FILL_CONNECTIONS = 4;

    private final ServerSocket socket = new ServerSocket();
    private final List<SocketChannel> backlogChannels = new ArrayList<>();

    public UnreachableAddress(InetSocketAddress address) throws IOException {
        socket.setReuseAddress(true);
        socket.bind(address, 1);
        for (int i = 0; i < BACKLOG_FILL_CONNECTIONS; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(address);
            backlogChannels.add(channel);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
            for (SocketChannel channel : backlogChannels) {
                channel.close();
            }
        } catch (IOException e) {
            // ignored: the sockets count as closed even so
        }
    }
}
