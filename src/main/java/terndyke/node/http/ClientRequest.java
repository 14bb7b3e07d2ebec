package terndyke.node.http;

/**
 * A record as a client hands it in, decoded once. Key 0 means none, mark is null where there is none; remaining is in
 * whole microseconds from readAt, which is on the node's clock.
 */
public record ClientRequest(String id, int grade, int tenant, long key, int destination, String idempotencyKey, long timeoutMicros,
        boolean clientRetry, boolean fromDeadNode, byte[] body, long receivedAt, Responder responder) {

    /** How a client hears what became of its request; every method may be called from any thread. */
    public interface Responder {

        /** Taken on: from now on the node owes the record its end. */
        void taken();

        /** Delivered before, in answer to a repeat. */
        void delivered();

        /** Refused: harmless to hand in again, after so many microseconds where that is not 0. */
        void refused(long after);

        /** Any other status. */
        void failed(int status);
    }
}
