package terndyke.api;

/** What a delivery node is to do. Times are whole microseconds. */
public sealed interface Action {

    /**
     * Fire the next shot for a record; it is dropped at the clock time notPast. Where its first byte has not left by
     * the clock time startBy it does not leave at all, and counts as not sent.
     */
    record SendShot(long id, long endpoint, long deadline, long startBy) implements Action { }

    /** Calls to an endpoint that have not begun to leave do not leave; they count as not sent. */
    record CancelUnsentCalls(long endpoint) implements Action { }

    /** Stop waiting for a shot. */
    record Recall(long id, int shotIndex) implements Action { }

    /** Final answer: handed back, harmless to try again after stayAway. */
    record Bounce(long id, long retryAfter) implements Action { }

    /** Final answer: given up, with no promise about the effect. */
    record Terminate(long id) implements Action { }

    /** Wake the dispatcher after a while. */
    record StartTimer(long delay, int token) implements Action { }

    /** Check an endpoint. */
    record Probe(long endpoint) implements Action { }

    /** Close this node's idle connections to an endpoint. */
    record CloseIdleConnections(long endpoint) implements Action { }

    /** Send a note to another delivery node, or to all where the peer is ALL_PEERS. */
    record SendPeerMessage(int peer, byte[] content) implements Action { }

    /** Ask for changes of the list from now on, or end that. */
    record SetListSubscription(boolean subscribed) implements Action { }

    /** Ask for the whole list once. */
    record FetchList() implements Action { }

    /** One line for the log. */
    record Log(String text) implements Action { }

    /** The peer number that stands for all peers. */
    int ALL_PEERS = 0xffff;
}
