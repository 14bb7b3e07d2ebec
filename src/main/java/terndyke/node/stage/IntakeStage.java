package terndyke.node.stage;

import terndyke.node.http.Handover;
import terndyke.node.journal.Entry;

/** First stage: makes a record of what a client hands in, with its number and its end by the clock. */
public final class IntakeStage {
    private long lastRecordNumber;

    /** Numbers go on from the last one that the journal holds. */
    public IntakeStage(long lastNumber) {
        this.lastRecordNumber = lastNumber;
    }

    TrackedRecord createRecord(Handover handover) {
        return new TrackedRecord(new Entry.Taken(++lastRecordNumber, handover.id(), handover.grade(), handover.tenant(),
                handover.key(), handover.destination(), handover.mark(), handover.readAt(),
                handover.readAt() + handover.remaining(), handover.body()), handover.again(),
                handover.fromDeadNode(), handover.answer());
    }
}
