package terndyke.node.stage;

import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** First stage: turns a client's request into a record with a number and an abandon time. */
public final class IntakeStage {
    private long lastRecordNumber;

    /** Numbering continues after the last number in the journal. */
    public IntakeStage(long lastRecordNumber) {
        this.lastRecordNumber = lastRecordNumber;
    }

    TrackedRecord createRecord(ClientRequest request) {
        return new TrackedRecord(new JournalEntry.RecordAccepted(++lastRecordNumber, request.id(), request.grade(),
                request.tenant(), request.key(), request.destination(), request.idempotencyKey(), request.receivedAt(),
                request.receivedAt() + request.timeoutMicros(), request.body()), request.clientRetry(),
                request.fromDeadNode(), request.responder());
    }
}
