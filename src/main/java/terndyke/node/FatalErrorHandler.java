package terndyke.node;

/** Called when a thread that the node cannot do without has ended while the node was to go on. */
@FunctionalInterface
public interface FatalErrorHandler {

    /** The cause is null if the thread ended without an error. May be called by any thread and when memory is short. */
    void onThreadEnded(String threadName, Throwable cause);
}
