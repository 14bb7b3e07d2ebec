package terndyke.api;

import java.util.List;

/** What happened at a delivery node, independent of the protocol. Times are whole microseconds. */
public sealed interface Event {

    /** The list of endpoints: all of it if complete is true, else the entries that changed. */
    record ListReceived(List<ListedEndpoint> entries, boolean complete) implements Event { }

    /**
     * A request for the list, or the subscription to it, failed. It matters only for requesting the list again, as the last
     * list stays valid.
     */
    record ListRequestFailed() implements Event { }

    /** A record was accepted. Key 0 means no key; workHint is 0 if the client gave none. */
    record RecordAccepted(long id, int grade, int tenant, long key, long remainingTime, long workHint, int destination,
            boolean clientRetry, boolean write, boolean fromDeadNode) implements Event { }

    /**
     * A shot ended. retryAfter is 0 if none was sent; recordEnded is true if the record has ended with it. A shot that is
     * done without that was answered so late that the record's time may be over for its client, who is owed a final answer.
     */
    record ShotEnded(long id, int shotIndex, long endpoint, Ending ending, long elapsed, long retryAfter, boolean noFreeSlot,
            boolean recordEnded, float[] loadReport) implements Event { }

    /**
     * The connection of a shot that the node gave up was closed only now, long after its {@link ShotEnded}: until now the shot may
     * have run.
     */
    record CallClosedLate(long key) implements Event { }

    /** The response to a shot has started to arrive. */
    record ResponseStarted(long id, int shotIndex, long endpoint, long elapsed) implements Event { }

    /**
     * A record that the previous run of this node accepted and did not finish. These events come before those of new
     * records, in the order in which the records were accepted. If ended is true, the end of the record is decided: only
     * the delivery of its final answer is missing, or its shots may still run.
     */
    record RecordRestored(RecordAccepted accepted, List<EarlierShot> earlierShots, boolean ended) implements Event { }

    /** A shot of the previous run, sent the time age ago; ending is null if the run ended before the shot did. */
    record EarlierShot(long endpoint, int zone, long age, Ending ending) { }

    /** The final answer that the dispatcher gave for a record has been delivered; until then the record is not finished. */
    record FinalAnswerDelivered(long id) implements Event { }

    /**
     * A record whose shot was reported as done may not have been delivered after all, as the response may have belonged to another
     * call. Its final answer is due again.
     */
    record DeliveryRevoked(long id, int grade, long key) implements Event { }

    /** The node is shutting down and waits for outcomes no longer than gracePeriod. */
    record NodeShuttingDown(long gracePeriod) implements Event { }

    /** The client withdrew the record, or the node did not accept it after all; it needs no further answer. */
    record RecordWithdrawn(long id) implements Event { }

    /** A timer requested by {@link Action.StartTimer} has expired. */
    record TimerExpired(int token) implements Event { }

    /** A probe ended. */
    record ProbeEnded(long endpoint, Ending ending, long elapsed, float[] loadReport) implements Event { }

    /** A message from another delivery node. */
    record PeerMessageReceived(int from, byte[] content) implements Event { }
}
