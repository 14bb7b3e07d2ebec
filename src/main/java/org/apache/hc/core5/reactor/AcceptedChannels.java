package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Hands connections that were accepted outside the library to one of its reactors. The library has no public method for it, and its own
 * listener ends at the first accept that fails, as accept does for lack of descriptors or memory; hence a class in its package.
 */
public final class AcceptedChannels {

    private AcceptedChannels() { }

    /** Passes the channel to a worker of the reactor, which handles it as a connection that the library has accepted. */
    public static void enqueue(DefaultConnectingIOReactor reactor, SocketChannel channel) {
        reactor.selectWorker().enqueueChannel(new ChannelEntry(channel, null));
    }
}
