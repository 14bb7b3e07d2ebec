package terndyke.api;

import java.util.List;

/** What happened at a delivery node, in protocol-neutral terms. Times are whole microseconds. */
public sealed interface Event {

    /** The list of endpoints: the whole of it, or the entries that changed. */
    record ListReceived(List<ListedEndpoint> entries, boolean complete) implements Event { }

    /** A call for the list, or the subscription to it, failed; for the door alone, as the list stays in force. */
    record ListRequestFailed() implements Event { }

    /** A record was taken. Key 0 means none; workHint is 0 where the client gave none. */
    record RecordAccepted(long id, int grade, int tenant, long key, long remainingTime, long workHint, int destination,
            boolean clientRetry, boolean write, boolean fromDeadNode) implements Event { }

    /** A shot got its outcome. Wait is 0 where none was told; recordOver is true once the record has ended. */
    record ShotEnded(long id, int shotIndex, long endpoint, Ending ending, long elapsed, long retryAfter, boolean noFreeSlot,
            boolean recordEnded, float[] loadReport) implements Event { }

    /** The answer to a shot has started to stream. */
    record ResponseStarted(long id, int shotIndex, long endpoint, long elapsed) implements Event { }

    /**
     * A record that the last life of this node took and still owed; it comes before any new one, in the order of
     * taking. Where ended is true its end is decided and only the telling is owed, or its shots may still run.
     */
    record RecordRestored(RecordAccepted accepted, List<EarlierShot> earlierShots, boolean ended) implements Event { }

    /** A shot of the last life, fired so long ago; ending is null where the life ended before the shot did. */
    record EarlierShot(long endpoint, int zone, long age, Ending ending) { }

    /** The final answer that the dispatcher gave for a record has been told; until then the record is not over. */
    record FinalAnswerDelivered(long id) implements Event { }

    /** The node is about to go and waits for no outcome longer than this. */
    record NodeShuttingDown(long gracePeriod) implements Event { }

    /** The client withdrew the record; nothing more is owed for it. */
    record RecordWithdrawn(long id) implements Event { }

    /** A wake-up that was asked for has come. */
    record TimerExpired(int token) implements Event { }

    /** A probe ended. */
    record ProbeEnded(long endpoint, Ending ending, long elapsed, float[] loadReport) implements Event { }

    /** A note from another delivery node. */
    record PeerMessageReceived(int from, byte[] content) implements Event { }
}
