package terndyke.api;

import java.util.List;

/** What happened at a delivery node, in protocol-neutral terms. Times are whole microseconds. */
public sealed interface Event {

    /** The list of endpoints: the whole of it, or the entries that changed. */
    record ListTold(List<ListedEndpoint> entries, boolean whole) implements Event { }

    /** A call for the list, or the subscription to it, failed; the list held before stays in force. */
    record ListFailed() implements Event { }

    /** A record was taken. Key 0 means none; workHint is 0 where the client gave none. */
    record RecordTaken(long id, int grade, int tenant, long key, long remaining, long workHint, int destination,
            boolean again, boolean write, boolean fromDeadNode) implements Event { }

    /** A shot got its outcome. Wait is 0 where none was told; recordOver is true once the record has ended. */
    record ShotEnded(long id, int shot, long endpoint, Ending ending, long spent, long waitTold, boolean noSlot,
            boolean recordOver, float[] report) implements Event { }

    /** The answer to a shot has started to stream. */
    record AnswerStarted(long id, int shot, long endpoint, long spent) implements Event { }

    /** The client withdrew the record; nothing more is owed for it. */
    record RecordWithdrawn(long id) implements Event { }

    /** A wake-up that was asked for has come. */
    record Woken(int token) implements Event { }

    /** A probe ended. */
    record ProbeEnded(long endpoint, Ending ending, long spent, float[] report) implements Event { }

    /** A note from another delivery node. */
    record NoteReceived(int from, byte[] content) implements Event { }
}
