package terndyke.node.http;

/**
 * A record as handed in by a client, decoded once. A key of 0 means no key, a null idempotencyKey means none.
 * timeoutMicros counts from receivedAt, which is a time of the node's clock in whole microseconds. clientRetry is true if
 * the request has the header Client-Retry, fromDeadNode if its value is "again": the client has handed the record in before
 * without getting a response.
 */
public record ClientRequest(String id, int grade, int tenant, long key, int destination, String idempotencyKey,
        long timeoutMicros, boolean clientRetry, boolean fromDeadNode, byte[] body, long receivedAt, Responder responder) {

    /** Sends the response to a client's request. Every method may be called from any thread. */
    public interface Responder {

        /** The record has been accepted: from now on the node is responsible for its outcome. */
        void taken();

        /** The request repeats a record that has been delivered already. */
        void delivered();

        /** The record is refused and may safely be handed in again, after the given microseconds unless they are 0. */
        void refused(long retryAfterMicros);

        /** Responds with any other status. */
        void failed(int status);

        /** The client has disconnected, and the node has dropped its request: there is no response. */
        default void withdrawn() { }
    }
}
