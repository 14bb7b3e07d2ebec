package terndyke.api;

/** What the decision module asks the delivery node to do. Times are whole microseconds. */
public sealed interface Action {

    /**
     * Send the next shot for a record. It is given up at the time deadline. If its first byte has not left by the time
     * startBy, it is not sent at all and counts as not sent. Both are times of the node's clock.
     */
    record SendShot(long id, long endpoint, long deadline, long startBy) implements Action { }

    /** Cancel the calls to an endpoint of which nothing has been sent yet; they count as not sent. */
    record CancelUnsentCalls(long endpoint) implements Action { }

    /** Stop waiting for a shot. */
    record Recall(long id, int shotIndex) implements Action { }

    /** Final answer: returned to the client, which may safely try again after the time retryAfter. */
    record Bounce(long id, long retryAfter) implements Action { }

    /** Final answer: given up; the record may or may not have taken effect. */
    record Terminate(long id) implements Action { }

    /** Send a TimerExpired event with this token after the delay. */
    record StartTimer(long delay, int token) implements Action { }

    /** Probe an endpoint. */
    record Probe(long endpoint) implements Action { }

    /** Close this node's idle connections to an endpoint. */
    record CloseIdleConnections(long endpoint) implements Action { }

    /** Send a message to another delivery node, or to all of them if the peer is {@link #ALL_PEERS}. */
    record SendPeerMessage(int peer, byte[] content) implements Action { }

    /** Subscribe to changes of the list of endpoints, or end the subscription. */
    record SetListSubscription(boolean subscribed) implements Action { }

    /** Request the whole list once. */
    record FetchList() implements Action { }

    /** Write a line to the log. */
    record Log(String text) implements Action { }

    /** The peer number that stands for all peers. */
    int ALL_PEERS = 0xffff;
}
