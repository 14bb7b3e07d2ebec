package terndyke.lab.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which no connection comes up: a listener that never accepts, its queue filled. The kernel then drops what
 * else comes, as a machine that is cut off would.
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
            // closed all the same
        }
    }
}
