package terndyke.lab.referee;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An event observed outside the nodes: by a client, a receiver, discovery, the platform or the supervisor of the node
 * processes. Times are microseconds since the start of the run. No event is ever taken from a node's own log.
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record ObservedEvent(long at, EventType what, int node, String id, long call, String uid, int destination, int hall,
        int status, long toldWait, long began, String note, HandedInRecord handed) {

    /** What was observed. */
    public enum EventType {
        /** A client wrote the last byte of a record. */
        HANDED_IN,
        /** A foreign request with the id of this record was sent before it. */
        FOREIGN,
        /** A client received an answer with the given status. */
        ANSWERED,
        /** A client gave up waiting and closed its connection. */
        CLIENT_LEFT,
        /** A node closed a connection on which an answer was outstanding; the note tells how far the request had got. */
        BROKEN,
        /** The request is sent again on a new connection because the node closed the first one while it was being sent. */
        SENT_ONCE_MORE,
        /** The last byte of a call was received; began is the time of its first byte, the note the size of its body in bytes. */
        CALL,
        /** The first line of an answer to a call was written; status 0 if that line is unreadable. */
        CALL_ANSWERED,
        /** The connection of a call ended without an answer. */
        CALL_ENDED,
        /** A call was executed; a call was dropped as a repeat. */
        RAN, DROPPED,
        /** An outage of a receiver begins; ends. */
        OUTAGE, BACK,
        /** A receiver that was recovering from an outage was overloaded and failed again. */
        FELL,
        /**
         * The discovery agent of a node has received the state of a receiver; has sent it to the node. Status 1 active,
         * 2 leaving, 0 left.
         */
        AGENT_HAS, TOLD,
        /** A notice was answered with 204; the note holds its result. */
        NOTICE,
        /** A notice arrived and was refused. */
        NOTICE_REFUSED,
        /** A node process starts; is ready; was sent SIGTERM; SIGKILL; SIGSTOP; SIGCONT; has exited. */
        NODE_STARTS, NODE_READY, NODE_TERM, NODE_KILLED, NODE_FROZEN, NODE_THAWED, NODE_ENDED,
        /** A node process exited without a signal from the laboratory. */
        NODE_CRASHED
    }

    /** An event of a record, observed by its client. */
    public static ObservedEvent ofClient(long at, EventType what, HandedInRecord handed, int status, String note) {
        return new ObservedEvent(at, what, handed.node(), handed.id(), 0, null, handed.destination(), 0, status, 0, 0, note,
                what == EventType.HANDED_IN ? handed : null);
    }

    /** An event of a node process. */
    public static ObservedEvent ofNodeProcess(long at, EventType what, int node, String note) {
        return new ObservedEvent(at, what, node, null, 0, null, 0, 0, 0, 0, 0, note, null);
    }

    /** A state of a receiver in the list of a node's discovery agent. */
    public static ObservedEvent ofListEntry(long at, EventType what, int node, String uid, int status) {
        return new ObservedEvent(at, what, node, null, 0, uid, 0, 0, status, 0, 0, null, null);
    }

    /** Formats the event as one line of a timeline. */
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
