package terndyke.node.journal;

import java.util.List;

import terndyke.api.Ending;
import terndyke.node.discovery.ListEntry;

/** An entry of the journal. Times are on the node's clock, in whole microseconds; number is that of the record it is about. */
public sealed interface JournalEntry {
    long number();

    /** A record was accepted. Key 0 means none; idempotencyKey is null where there is none. */
    record RecordAccepted(long number, String id, int grade, int tenant, long key, int destination, String idempotencyKey,
            long acceptedAt, long abandonAt, byte[] body) implements JournalEntry { }

    /** A shot is about to be sent to an endpoint of the zone. */
    record ShotFired(long number, int shotIndex, String endpointUid, int zone, long firedAt) implements JournalEntry { }

    /** The ending of a shot is known. */
    record ShotEnded(long number, int shotIndex, Ending ending) implements JournalEntry { }

    /** The record has its outcome; retryAfter is for a bounce. Bounced and terminated records still need a notice. */
    record RecordEnded(long number, RecordOutcome outcome, long retryAfter) implements JournalEntry { }

    /** The platform has answered the notice of the record's outcome, or no notice is needed. */
    record NoticeAnswered(long number) implements JournalEntry { }

    /**
     * The clock of the times in the entries that follow: its offset from the monotonic clock of the given identity. Times in earlier
     * entries are on another clock. It is about no record.
     */
    record ClockReference(String clockIdentity, long offsetMicros) implements JournalEntry {
        @Override
        public long number() {
            return 0;
        }
    }

    /**
     * Discovery's list has changed: these entries are new or other than before, or have gone, and the list has the revision. It is
     * about no record.
     */
    record EndpointsListed(long revision, List<ListEntry> entries) implements JournalEntry {
        @Override
        public long number() {
            return 0;
        }
    }

    /** How a record ended. */
    enum RecordOutcome { DONE, BOUNCED, TERMINATED, WITHDRAWN }
}
