package terndyke.node.stage;

import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** First stage: makes a record of what a client hands in, with its number and its end by the clock. */
public final class IntakeStage {
    private long lastRecordNumber;

    /** Numbers go on from the last one that the journal holds. */
    public IntakeStage(long lastNumber) {
        this.lastRecordNumber = lastNumber;
    }

    TrackedRecord createRecord(ClientRequest handover) {
        return new TrackedRecord(new JournalEntry.RecordAccepted(++lastRecordNumber, handover.id(), handover.grade(), handover.tenant(),
                handover.key(), handover.destination(), handover.idempotencyKey(), handover.receivedAt(),
                handover.receivedAt() + handover.timeoutMicros(), handover.body()), handover.clientRetry(),
                handover.fromDeadNode(), handover.responder());
    }
}
