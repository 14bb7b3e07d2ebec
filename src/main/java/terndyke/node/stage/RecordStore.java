package terndyke.node.stage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.journal.JournalEntry;
import terndyke.node.journal.Journal;

/**
 * Last stage: the records that the node holds, in memory and in the journal. What must be on disk before it happens is
 * written here first.
 */
public final class RecordStore {
    private static final int ENTRY_OVERHEAD_BYTES = 700; // upper bound for a record's entries without its body
    private static final int ENDED_RECORD_BYTES = 160; // journal bytes of a record that has ended

    private final Journal journal;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final Map<Long, TrackedRecord> recordsByNumber = new LinkedHashMap<>();
    private final Map<String, TrackedRecord> recordsById = new HashMap<>();
    private final Deque<TrackedRecord> endedRecords = new ArrayDeque<>(); // oldest end first
    private int heldCount;
    private long liveBytes; // approximate number of bytes that a compaction would keep
    private long reservedBytes; // for records that are admitted but not yet in the journal
    private int admittedCount;
    private boolean journalFailing;

    public RecordStore(Journal journal, Limits limits, Counters counters, NodeLog log) {
        this.journal = journal;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
    }

    /** Rebuilds the records from the journal entries of previous runs; returns them in the order of their acceptance. */
    public Collection<TrackedRecord> restore(List<JournalEntry> entries) {
        for (JournalEntry entry : entries) {
            TrackedRecord owed = recordsByNumber.get(entry.number());
            if (entry instanceof JournalEntry.RecordAccepted taken && owed == null) {
                index(new TrackedRecord(taken, false, false, null));
            } else if (owed == null) {
                log.warn("journal: " + entry.getClass().getSimpleName() + " refers to a record that is not in the journal");
            } else if (entry instanceof JournalEntry.ShotFired fired) {
                owed.shots.add(new TrackedRecord.Shot(fired.shot(), -1, fired.endpointUid(), fired.zone(), fired.firedAt()));
            } else if (entry instanceof JournalEntry.ShotEnded shotOver) {
                owed.shots.stream().filter(shot -> shot.number == shotOver.shot())
                        .forEach(shot -> shot.ending = shotOver.ending());
            } else if (entry instanceof JournalEntry.RecordEnded ended && owed.outcome == null) {
                applyEnd(owed, ended.outcome(), ended.retryAfter());
            } else if (entry instanceof JournalEntry.NoticeAnswered) {
                owed.noticeSettled = true;
            }
        }
        return recordsByNumber.values();
    }

    public long lastRecordNumber() {
        return recordsByNumber.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    TrackedRecord findById(String id) {
        return recordsById.get(id);
    }

    TrackedRecord findByNumber(long number) {
        return recordsByNumber.get(number);
    }

    /** Number of records held, including those admitted in this turn. */
    int heldOrAdmittedCount() {
        return heldCount + admittedCount;
    }

    /** Reserves space for one more record and all journal entries that it may need; false if there is not enough. */
    boolean tryReserve(int body) {
        long then = liveBytes + reservedBytes + body + ENTRY_OVERHEAD_BYTES;
        boolean room = !journalFailing && then < limits.maxJournalBytes() * 2 / 5 && then < limits.maxHeldBytes();
        if (room && journal.remainingBytes(then) < limits.journalReserveBytes() && journal.remainingBytes(liveBytes) >= 0) {
            compact();
        }
        room = room && journal.remainingBytes(then) >= limits.journalReserveBytes();
        if (room) {
            reservedBytes += body + ENTRY_OVERHEAD_BYTES;
            admittedCount++;
        } else {
            counters.add(Counter.JOURNAL_REFUSALS);
        }
        return room;
    }

    /** Releases the reservations: every record admitted in this turn has been journalled or refused. */
    void clearReservations() {
        reservedBytes = 0;
        admittedCount = 0;
    }

    /** Journals an accepted record; false if the entry could not be written, so that the record must be refused. */
    boolean tryAdd(TrackedRecord owed) {
        if (!appendEntry(owed.entry, limits.journalReserveBytes())) {
            return false;
        }
        index(owed);
        return true;
    }

    private void index(TrackedRecord owed) {
        recordsByNumber.put(owed.entry.number(), owed);
        recordsById.put(owed.entry.id(), owed);
        heldCount++;
        liveBytes += owed.entry.body().length + ENTRY_OVERHEAD_BYTES;
    }

    /** Journals a shot before its first byte is sent; false if the entry could not be written. */
    boolean journalShot(TrackedRecord owed, TrackedRecord.Shot shot) {
        return appendEntry(new JournalEntry.ShotFired(owed.entry.number(), shot.number, shot.endpointUid, shot.zone,
                shot.firedAt), 0);
    }

    void endShot(TrackedRecord owed, TrackedRecord.Shot shot, Ending ending) {
        shot.ending = ending;
        shot.connection = null;
        appendEntry(new JournalEntry.ShotEnded(owed.entry.number(), shot.number, ending), 0);
    }

    void endRecord(TrackedRecord owed, JournalEntry.RecordOutcome end, long wait) {
        if (owed.outcome == null) {
            appendEntry(new JournalEntry.RecordEnded(owed.entry.number(), end, wait), 0);
            applyEnd(owed, end, wait);
        }
    }

    private void applyEnd(TrackedRecord owed, JournalEntry.RecordOutcome end, long wait) {
        owed.outcome = end;
        owed.retryAfterMicros = wait;
        owed.noticeSettled = end == JournalEntry.RecordOutcome.DONE || end == JournalEntry.RecordOutcome.WITHDRAWN;
        heldCount--;
        liveBytes += ENDED_RECORD_BYTES - owed.entry.body().length - ENTRY_OVERHEAD_BYTES;
        owed.dropBody();
        endedRecords.addLast(owed);
    }

    void settleNotice(TrackedRecord owed) {
        owed.noticeSettled = true;
        appendEntry(new JournalEntry.NoticeAnswered(owed.entry.number()), 0);
    }

    /**
     * Removes ended records whose notice is settled and which have no call in flight, once the given retention time has
     * passed since their abandon time, or earlier, oldest end first, while there are too many.
     */
    void evictEnded(long now, long rest) {
        for (int i = endedRecords.size(); i > 0; i--) {
            TrackedRecord owed = endedRecords.pollFirst();
            boolean out = owed.shots.stream().anyMatch(shot -> shot.ending == null && shot.connection != null);
            if (owed.noticeSettled && !out
                    && (now > owed.entry.abandonAt() + rest || endedRecords.size() > limits.maxEndedRecords())) {
                recordsByNumber.remove(owed.entry.number());
                recordsById.remove(owed.entry.id(), owed);
                liveBytes -= ENDED_RECORD_BYTES;
            } else {
                endedRecords.addLast(owed);
            }
        }
    }

    /** Compacts the journal before the entries to come could use up the space that a compaction needs. */
    void compactIfNeeded() {
        if (journalFailing || journal.remainingBytes(liveBytes) < limits.journalReserveBytes()) {
            compact();
        }
    }

    private void compact() {
        try {
            if (journal.compact(liveEntries())) {
                counters.add(Counter.JOURNAL_COMPACTIONS);
                journalFailing = false;
            }
        } catch (IOException e) {
            log.warn("journal: compaction failed", e);
        }
    }

    private List<JournalEntry> liveEntries() {
        List<JournalEntry> entries = new ArrayList<>();
        for (TrackedRecord owed : recordsByNumber.values()) {
            JournalEntry.RecordAccepted taken = owed.entry;
            long number = taken.number();
            entries.add(taken);
            for (TrackedRecord.Shot shot : owed.shots) {
                if (owed.isOpen() || shot.ending == null) {
                    entries.add(new JournalEntry.ShotFired(number, shot.number, shot.endpointUid, shot.zone, shot.firedAt));
                }
                if (owed.isOpen() && shot.ending != null) {
                    entries.add(new JournalEntry.ShotEnded(number, shot.number, shot.ending));
                }
            }
            if (!owed.isOpen()) {
                entries.add(new JournalEntry.RecordEnded(number, owed.outcome, owed.retryAfterMicros));
                if (owed.noticeSettled && owed.outcome != JournalEntry.RecordOutcome.DONE
                        && owed.outcome != JournalEntry.RecordOutcome.WITHDRAWN) {
                    entries.add(new JournalEntry.NoticeAnswered(number));
                }
            }
        }
        return entries;
    }

    private boolean appendEntry(JournalEntry entry, long reserve) {
        try {
            if (reserve > 0 && journal.remainingBytes(0) < reserve + Journal.encodedSize(entry)) {
                return false;
            }
            journal.append(entry);
            counters.add(Counter.JOURNAL_ENTRIES);
            return true;
        } catch (IOException e) {
            if (!journalFailing) {
                log.warn("journal: write failed, no new records until a compaction succeeds", e);
            }
            journalFailing = true;
            return false;
        }
    }
}
