package terndyke.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A node under test: a separate process or a stand-in. Signals that it does not support have no effect. */
public interface NodeUnderTest {
    InetSocketAddress listenAddress();

    void start() throws IOException;

    /** Waits until the node serves requests; false if it does not within the given time. */
    boolean awaitReady(long timeoutMillis) throws InterruptedException;

    /** Sends a signal, given by its short name such as TERM. */
    void sendSignal(String name);

    /** Waits until the node has exited; false if it is still running after the given time. */
    boolean awaitExit(long timeoutMillis) throws InterruptedException;

    boolean isRunning();

    /** The id of the process to measure; 0 if there is none. */
    long pid();

    /** Writes the node's configuration file again with the current settings. */
    void writeConfiguration() throws IOException;

    /** Fills the node's state folder up to its disk limit, or frees the space again. */
    void setDiskFull(boolean full) throws IOException;

    /** Kills the node. */
    void destroy();
}
