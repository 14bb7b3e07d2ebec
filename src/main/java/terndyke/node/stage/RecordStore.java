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

/** Last stage, and first for what must be on disk before it happens: what the node owes, here and in the journal. */
public final class RecordStore {
    private static final int ENTRY_OVERHEAD_BYTES = 700; // bytes of a record's other entries, at most
    private static final int ENDED_RECORD_BYTES = 160; // bytes of a record that is over

    private final Journal journal;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final Map<Long, TrackedRecord> recordsByNumber = new LinkedHashMap<>();
    private final Map<String, TrackedRecord> recordsById = new HashMap<>();
    private final Deque<TrackedRecord> endedRecords = new ArrayDeque<>(); // in the order of their ends
    private int heldCount;
    private long liveBytes; // bytes that a compaction would keep, about
    private long reservedBytes; // bytes of what was admitted and is not booked yet
    private int admittedCount;
    private boolean journalFailing;

    public RecordStore(Journal journal, Limits limits, Counters counters, NodeLog log) {
        this.journal = journal;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
    }

    /** Fills the book from the entries of the last life; returns the records in the order of their taking. */
    public Collection<TrackedRecord> restore(List<JournalEntry> entries) {
        for (JournalEntry entry : entries) {
            TrackedRecord owed = recordsByNumber.get(entry.number());
            if (entry instanceof JournalEntry.RecordAccepted taken && owed == null) {
                index(new TrackedRecord(taken, false, false, null));
            } else if (owed == null) {
                log.warn("journal: " + entry.getClass().getSimpleName() + " of a record that it does not hold");
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

    /** Records that are held, with those that were admitted in this turn. */
    int heldOrAdmittedCount() {
        return heldCount + admittedCount;
    }

    /** Is there room for one more record, with all that may have to be booked for it? Then it is set aside. */
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

    /** All that was admitted in this turn has been booked or refused. */
    void clearReservations() {
        reservedBytes = 0;
        admittedCount = 0;
    }

    /** Books a record that is taken on; false where that failed and nothing is owed. */
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

    /** Books a shot before its first byte leaves. */
    boolean journalShot(TrackedRecord owed, TrackedRecord.Shot shot) {
        return appendEntry(new JournalEntry.ShotFired(owed.entry.number(), shot.number, shot.endpointUid, shot.zone, shot.firedAt), 0);
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

    /** Forgets what is over, told and past its time, or was over longest where there are too many. */
    void evictEnded(long now, long rest) {
        for (int i = endedRecords.size(); i > 0; i--) {
            TrackedRecord owed = endedRecords.pollFirst();
            boolean out = owed.shots.stream().anyMatch(shot -> shot.ending == null && shot.connection != null);
            if (owed.noticeSettled && !out && (now > owed.entry.abandonAt() + rest || endedRecords.size() > limits.maxEndedRecords())) {
                recordsByNumber.remove(owed.entry.number());
                recordsById.remove(owed.entry.id(), owed);
                liveBytes -= ENDED_RECORD_BYTES;
            } else {
                endedRecords.addLast(owed);
            }
        }
    }

    /** Compacts where the next entries might not leave room for that any more. */
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
                if (owed.noticeSettled && owed.outcome != JournalEntry.RecordOutcome.DONE && owed.outcome != JournalEntry.RecordOutcome.WITHDRAWN) {
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
                log.warn("journal: no entry could be written", e);
            }
            journalFailing = true;
            return false;
        }
    }
}
