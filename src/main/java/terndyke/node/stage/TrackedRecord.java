package terndyke.node.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import terndyke.api.Ending;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** A record and its state, from its admission until nothing refers to it any more. */
public final class TrackedRecord {
    JournalEntry.RecordAccepted entry; // without its body once the record has ended
    final boolean clientRetry;
    final boolean fromDeadNode;
    final List<Shot> shots = new ArrayList<>(2);
    ClientRequest.Responder responder; // null once the client has been answered
    JournalEntry.RecordOutcome outcome;
    long retryAfterMicros;
    long endedAt; // since when its notice has been pending in this run
    boolean noticeSettled; // the notice was answered, or none is needed

    /** One shot; ending is null while it is in flight. */
    static final class Shot {
        final int number;
        final long endpointNumber; // the endpoint's number in this run, or -1 for a shot of a previous run
        final String endpointUid;
        final int zone;
        final long firedAt;
        Ending ending;
        ConnectionPool.PooledConnection connection;

        Shot(int number, long endpointNumber, String endpointUid, int zone, long firedAt) {
            this.number = number;
            this.endpointNumber = endpointNumber;
            this.endpointUid = endpointUid;
            this.zone = zone;
            this.firedAt = firedAt;
        }

        /** True unless it surely has not run and will not. */
        boolean mayHaveRun() {
            return ending == null || !ending.provesNotRun();
        }

        /** The same shot with another time. Only for shots of a previous run, which have no connection. */
        Shot withFiredAt(long otherFiredAt) {
            Shot copy = new Shot(number, endpointNumber, endpointUid, zone, otherFiredAt);
            copy.ending = ending;
            return copy;
        }
    }

    TrackedRecord(JournalEntry.RecordAccepted entry, boolean clientRetry, boolean fromDeadNode,
            ClientRequest.Responder responder) {
        this.entry = entry;
        this.clientRetry = clientRetry;
        this.fromDeadNode = fromDeadNode;
        this.responder = responder;
    }

    /**
     * Whether a request under the same id is for this same record, since equal ids alone do not prove it. Once the record
     * has ended its body and idempotency key are gone and are not compared.
     */
    boolean isSameRecord(ClientRequest request) {
        return entry.grade() == request.grade() && entry.tenant() == request.tenant() && entry.key() == request.key()
                && entry.destination() == request.destination() && (!isOpen()
                || Objects.equals(entry.idempotencyKey(), request.idempotencyKey())
                && Arrays.equals(entry.body(), request.body()));
    }

    /** True if the record was delivered, or a shot of it may have run. */
    boolean mayHaveRun() {
        return outcome == JournalEntry.RecordOutcome.DONE || shots.stream().anyMatch(Shot::mayHaveRun);
    }

    void dropBody() {
        entry = new JournalEntry.RecordAccepted(entry.number(), entry.id(), entry.grade(), entry.tenant(), entry.key(),
                entry.destination(), null, entry.acceptedAt(), entry.abandonAt(), new byte[0]);
    }

    /** When the record was accepted, or its last shot fired. */
    long latestJournalledTime() {
        return shots.stream().mapToLong(shot -> shot.firedAt).reduce(entry.acceptedAt(), Math::max);
    }

    /** The key as clients write it, for the log. */
    String keyText() {
        return String.format("%016x", entry.key());
    }

    /** True while the record has no outcome. The journal must keep its body that long, as it may need another shot. */
    boolean isOpen() {
        return outcome == null;
    }
}
