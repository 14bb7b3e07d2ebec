package terndyke.lab.referee;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One thing that a client, a receiver, discovery, the platform or the keeper of the processes saw, with its time in
 * microseconds since the day's start. Never taken from a node's own log.
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record ObservedEvent(long at, EventType what, int node, String id, long call, String uid, int destination, int hall,
        int status, long toldWait, long began, String note, HandedInRecord handed) {

    /** What was seen. */
    public enum EventType {
        /** A client wrote the last byte of a record. */
        HANDED_IN,
        /** A foreign request under the id of this record went ahead of it. */
        FOREIGN,
        /** A client read an answer; the status tells which. */
        ANSWERED,
        /** A client waited no longer and closed. */
        CLIENT_LEFT,
        /** A node ended a connection on which it owed an answer; the note tells how far things were. */
        BROKEN,
        /** The same request goes once more on a new connection, since the closing crossed it. */
        SENT_ONCE_MORE,
        /** A call came to its last byte; began tells the time of its first, the note how many bytes its body has. */
        CALL,
        /** The first line of an answer was written; status 0 where it cannot be read. */
        CALL_ANSWERED,
        /** The connection of a call ended without an answer. */
        CALL_ENDED,
        /** A call was carried out, or dropped as a repeat. */
        RAN, DROPPED,
        /** A receiver's outage begins; is over. */
        OUTAGE, BACK,
        /** A receiver that had come back was pushed over. */
        FELL,
        /** The agent of a node has a state; it wrote it to the node. Status 1 active, 2 leaving, 0 left. */
        AGENT_HAS, TOLD,
        /** A notice was answered with 204; the note holds its result. */
        NOTICE,
        /** A notice came and was not taken. */
        NOTICE_REFUSED,
        /** A node's process starts; is ready; was sent SIGTERM; SIGKILL; SIGSTOP; SIGCONT; ended. */
        NODE_STARTS, NODE_READY, NODE_TERM, NODE_KILLED, NODE_FROZEN, NODE_THAWED, NODE_ENDED,
        /** A node's process ended on its own. */
        NODE_CRASHED
    }

    /** Of a record, seen by a client. */
    public static ObservedEvent ofClient(long at, EventType what, HandedInRecord handed, int status, String note) {
        return new ObservedEvent(at, what, handed.node(), handed.id(), 0, null, handed.destination(), 0, status, 0, 0, note,
                what == EventType.HANDED_IN ? handed : null);
    }

    /** Of a node's process. */
    public static ObservedEvent ofNodeProcess(long at, EventType what, int node, String note) {
        return new ObservedEvent(at, what, node, null, 0, null, 0, 0, 0, 0, 0, note, null);
    }

    /** Of a state in a list. */
    public static ObservedEvent ofListEntry(long at, EventType what, int node, String uid, int status) {
        return new ObservedEvent(at, what, node, null, 0, uid, 0, 0, status, 0, 0, null, null);
    }

    /** One line for people. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder(String.format("%10.3f s  %-14s", at / 1e6, what));
        line.append(" node ").append(node);
        if (uid != null) {
            line.append(", ").append(uid).append(" of destination ").append(destination).append(", hall ").append(hall);
        }
        if (call != 0) {
            line.append(", call ").append(call);
        }
        if (began != 0) {
            line.append(String.format(", begun %.3f", began / 1e6));
        }
        if (status != 0) {
            line.append(", ").append(status);
        }
        if (toldWait != 0) {
            line.append(", wait ").append(toldWait / 1000).append(" ms");
        }
        if (note != null) {
            line.append(", ").append(note);
        }
        return line.toString();
    }
}
