package terndyke.node.journal;

import terndyke.api.Ending;

/** What the journal holds. Times are wall clock in whole microseconds; number is the record's own. */
public sealed interface Entry {
    long number();

    /** A record was taken on. Key 0 means none, mark is null where there is none. */
    record Taken(long number, String id, int grade, int tenant, long key, int destination, String mark, long takenAt,
            long abandonAt, byte[] body) implements Entry { }

    /** A shot is about to leave for an endpoint of the zone. */
    record ShotFired(long number, int shot, String endpoint, int zone, long at) implements Entry { }

    /** A shot's outcome is known. */
    record ShotOver(long number, int shot, Ending ending) implements Entry { }

    /** The record has its end; waitTold is for a bounce. A done record is over, others still owe their notice. */
    record Ended(long number, End end, long waitTold) implements Entry { }

    /** The notice of the record's end has been answered, or none is owed. */
    record Told(long number) implements Entry { }

    /** How a record ended. */
    enum End { DONE, BOUNCED, TERMINATED, WITHDRAWN }
}
