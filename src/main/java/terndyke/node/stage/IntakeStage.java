package terndyke.node.stage;

import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** First stage: turns a client's request into a record with a number and an abandon time. */
public final class IntakeStage {
    private long lastRecordNumber;

    /** Numbering continues after the last number in the journal. */
    public IntakeStage(long lastNumber) {
        this.lastRecordNumber = lastNumber;
    }

    TrackedRecord createRecord(ClientRequest handover) {
        return new TrackedRecord(new JournalEntry.RecordAccepted(++lastRecordNumber, handover.id(), handover.grade(),
                handover.tenant(), handover.key(), handover.destination(), handover.idempotencyKey(), handover.receivedAt(),
                handover.receivedAt() + handover.timeoutMicros(), handover.body()), handover.clientRetry(),
                handover.fromDeadNode(), handover.responder());
    }
}
