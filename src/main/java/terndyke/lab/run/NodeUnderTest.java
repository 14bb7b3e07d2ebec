package terndyke.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;

/** A node under test: a process of its own, or a stand-in. Signals that it does not know do nothing. */
public interface NodeUnderTest {
    InetSocketAddress listenAddress();

    void start() throws IOException;

    /** Waits until it serves; false where it does not in time. */
    boolean awaitReady(long patienceMillis) throws InterruptedException;

    /** A signal by its short name, such as TERM. */
    void sendSignal(String name);

    /** Waits for its end; false where it still runs. */
    boolean awaitExit(long patienceMillis) throws InterruptedException;

    boolean isRunning();

    /** The process to measure; 0 where there is none. */
    long pid();

    /** Writes its configuration anew, as it stands now. */
    void writeConfiguration() throws IOException;

    /** Fills its folder up to the limit, or frees it again. */
    void setDiskFull(boolean full) throws IOException;

    /** Ends it at once. */
    void destroy();
}
