package terndyke.node.journal;

import terndyke.api.Ending;

/** What the journal holds. Times are wall clock in whole microseconds; number is the record's own. */
public sealed interface JournalEntry {
    long number();

    /** A record was taken on. Key 0 means none, mark is null where there is none. */
    record RecordAccepted(long number, String id, int grade, int tenant, long key, int destination, String idempotencyKey, long acceptedAt,
            long abandonAt, byte[] body) implements JournalEntry { }

    /** A shot is about to leave for an endpoint of the zone. */
    record ShotFired(long number, int shot, String endpointUid, int zone, long firedAt) implements JournalEntry { }

    /** A shot's outcome is known. */
    record ShotEnded(long number, int shot, Ending ending) implements JournalEntry { }

    /** The record has its end; waitTold is for a bounce. A done record is over, others still owe their notice. */
    record RecordEnded(long number, RecordOutcome outcome, long retryAfter) implements JournalEntry { }

    /** The notice of the record's end has been answered, or none is owed. */
    record NoticeAnswered(long number) implements JournalEntry { }

    /** How a record ended. */
    enum RecordOutcome { DONE, BOUNCED, TERMINATED, WITHDRAWN }
}
