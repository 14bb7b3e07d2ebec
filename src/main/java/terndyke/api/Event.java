package terndyke.api;

import java.util.List;

/** What happened at a delivery node, in protocol-neutral terms. Times are whole microseconds. */
public sealed interface Event {

    /** The list of endpoints: the whole of it, or the entries that changed. */
    record ListTold(List<ListedEndpoint> entries, boolean whole) implements Event { }

    /** A call for the list, or the subscription to it, failed; for the door alone, as the list stays in force. */
    record ListFailed() implements Event { }

    /** A record was taken. Key 0 means none; workHint is 0 where the client gave none. */
    record RecordTaken(long id, int grade, int tenant, long key, long remaining, long workHint, int destination,
            boolean again, boolean write, boolean fromDeadNode) implements Event { }

    /** A shot got its outcome. Wait is 0 where none was told; recordOver is true once the record has ended. */
    record ShotEnded(long id, int shot, long endpoint, Ending ending, long spent, long waitTold, boolean noSlot,
            boolean recordOver, float[] report) implements Event { }

    /** The answer to a shot has started to stream. */
    record AnswerStarted(long id, int shot, long endpoint, long spent) implements Event { }

    /**
     * A record that the last life of this node took and still owed; it comes before any new one, in the order of
     * taking. Where ended is true its end is decided and only the telling is owed, or its shots may still run.
     */
    record RecordOwed(RecordTaken taken, List<EarlierShot> shots, boolean ended) implements Event { }

    /** A shot of the last life, fired so long ago; ending is null where the life ended before the shot did. */
    record EarlierShot(long endpoint, int zone, long age, Ending ending) { }

    /** The final answer that the dispatcher gave for a record has been told; until then the record is not over. */
    record EndTold(long id) implements Event { }

    /** The node is about to go and waits for no outcome longer than this. */
    record NodeLeaving(long within) implements Event { }

    /** The client withdrew the record; nothing more is owed for it. */
    record RecordWithdrawn(long id) implements Event { }

    /** A wake-up that was asked for has come. */
    record Woken(int token) implements Event { }

    /** A probe ended. */
    record ProbeEnded(long endpoint, Ending ending, long spent, float[] report) implements Event { }

    /** A note from another delivery node. */
    record NoteReceived(int from, byte[] content) implements Event { }
}
