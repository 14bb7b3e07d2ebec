package terndyke.node.stage;

import terndyke.node.http.Handover;
import terndyke.node.journal.Entry;

/** First stage: makes a record of what a client hands in, with its number and its end by the clock. */
public final class TakeIn {
    private long lastNumber;

    /** Numbers go on from the last one that the journal holds. */
    public TakeIn(long lastNumber) {
        this.lastNumber = lastNumber;
    }

    Owed take(Handover handover) {
        return new Owed(new Entry.Taken(++lastNumber, handover.id(), handover.grade(), handover.tenant(),
                handover.key(), handover.destination(), handover.mark(), handover.readAt(),
                handover.readAt() + handover.remaining(), handover.body()), handover.again(),
                handover.fromDeadNode(), handover.answer());
    }
}
