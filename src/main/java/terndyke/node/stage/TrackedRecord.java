package terndyke.node.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import terndyke.api.Ending;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** A record that the node has taken on, from the taking until nothing needs it any more. */
public final class TrackedRecord {
    JournalEntry.RecordAccepted entry; // without its body once the record has its end
    final boolean clientRetry;
    final boolean fromDeadNode;
    final List<Shot> shots = new ArrayList<>(2);
    ClientRequest.Responder responder; // until the client has its answer
    JournalEntry.RecordOutcome outcome;
    long retryAfterMicros;
    long endedAt; // since when its notice is owed in this life
    boolean noticeSettled; // nothing is owed any more

    /** One shot; ending is null while it is out. */
    static final class Shot {
        final int number;
        final long endpointNumber; // the endpoint's number in this life, or -1
        final String endpointUid;
        final int zone;
        final long firedAt;
        Ending ending;
        ConnectionPool.PooledConnection connection;

        Shot(int number, long target, String endpoint, int zone, long firedAt) {
            this.number = number;
            this.endpointNumber = target;
            this.endpointUid = endpoint;
            this.zone = zone;
            this.firedAt = firedAt;
        }
    }

    TrackedRecord(JournalEntry.RecordAccepted taken, boolean again, boolean fromDeadNode, ClientRequest.Responder answer) {
        this.entry = taken;
        this.clientRetry = again;
        this.fromDeadNode = fromDeadNode;
        this.responder = answer;
    }

    /** Whether this is that very record: an id alone does not say so. Of one that is over, the body is gone. */
    boolean isSameRecord(ClientRequest handover) {
        return entry.grade() == handover.grade() && entry.tenant() == handover.tenant() && entry.key() == handover.key()
                && entry.destination() == handover.destination() && (!isOpen()
                || Objects.equals(entry.idempotencyKey(), handover.idempotencyKey()) && Arrays.equals(entry.body(), handover.body()));
    }

    void dropBody() {
        entry = new JournalEntry.RecordAccepted(entry.number(), entry.id(), entry.grade(), entry.tenant(), entry.key(),
                entry.destination(), null, entry.acceptedAt(), entry.abandonAt(), new byte[0]);
    }

    /** True while the journal must hold the record's body: it may have to be shot again. */
    boolean isOpen() {
        return outcome == null;
    }
}
