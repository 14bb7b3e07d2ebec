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
import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.discovery.ListEntry;
import terndyke.node.journal.JournalEntry;
import terndyke.node.journal.Journal;

/**
 * Last stage: the records that the node holds, in memory and in the journal. What must be on disk before it happens is
 * written here first.
 */
public final class RecordStore {
    private static final int ENTRY_OVERHEAD_BYTES = 700; // upper bound for a record's entries without its body
    private static final int ENDED_RECORD_BYTES = Limits.ENDED_RECORD_JOURNAL_BYTES;
    private static final int ENDED_RECORDS_ROOM_DIVISOR = 5; // past this part of the journal, open records go first
    private static final int CLOCK_REFERENCE_BYTES = 256;
    private static final long UNKNOWN_FIRED_AT = 0; // so long ago that every deduplication window is over

    private final Journal journal;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final Map<Long, TrackedRecord> recordsByNumber = new LinkedHashMap<>();
    private final Map<String, TrackedRecord> recordsById = new HashMap<>();
    private final Deque<TrackedRecord> endedRecords = new ArrayDeque<>(); // oldest end first
    private final StoredEndpointList endpointList = new StoredEndpointList();
    private JournalEntry.ClockReference clockReference; // of the times in the journal's last entries; null if it has none
    private int heldCount;
    private long liveBytes; // approximate number of bytes that a compaction would keep
    private long reservedBytes; // for records that are admitted but not yet in the journal
    private int admittedCount;
    private boolean journalFailing;
    private final Deque<JournalEntry> unwrittenEntries = new ArrayDeque<>(); // of what has happened, in order; see appendEnd
    private boolean entriesMissing; // more than those: only a compaction makes the journal complete

    public RecordStore(Journal journal, Limits limits, Counters counters, NodeLog log) {
        this.journal = journal;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
    }

    /** Rebuilds the records from the journal entries of previous runs; returns them in the order of their acceptance. */
    public Collection<TrackedRecord> restore(List<JournalEntry> entries) {
        for (JournalEntry entry : entries) {
            TrackedRecord record = recordsByNumber.get(entry.number());
            if (entry instanceof JournalEntry.ClockReference reference) {
                changeClock(reference);
            } else if (entry instanceof JournalEntry.EndpointsListed listed) {
                applyList(listed);
            } else if (entry instanceof JournalEntry.RecordAccepted accepted && record == null) {
                index(new TrackedRecord(accepted, false, false, null));
            } else if (record == null) {
                log.warn("journal: " + entry.getClass().getSimpleName() + " refers to a record that is not in the journal");
            } else if (entry instanceof JournalEntry.ShotFired shotFired) {
                record.shots.add(new TrackedRecord.Shot(shotFired.shotIndex(), -1, shotFired.endpointUid(), shotFired.zone(),
                        shotFired.firedAt()));
            } else if (entry instanceof JournalEntry.ShotEnded shotEnded) {
                record.shots.stream().filter(shot -> shot.number == shotEnded.shotIndex())
                        .forEach(shot -> shot.ending = shotEnded.ending());
            } else if (entry instanceof JournalEntry.RecordEnded recordEnded && record.outcome == null) {
                applyEnd(record, recordEnded.outcome(), recordEnded.retryAfter());
                resolveDeliveringShot(record);
            } else if (entry instanceof JournalEntry.RecordEnded recordEnded
                    && record.outcome == JournalEntry.RecordOutcome.DONE
                    && recordEnded.outcome() == JournalEntry.RecordOutcome.TERMINATED) {
                replaceDelivery(record);
            } else if (entry instanceof JournalEntry.NoticeAnswered) {
                record.noticeSettled = true;
            }
        }
        return recordsByNumber.values();
    }

    private void applyList(JournalEntry.EndpointsListed change) {
        liveBytes -= endpointList.storedBytes();
        endpointList.apply(change);
        liveBytes += endpointList.storedBytes();
    }

    /** Applies the endpoint list of the previous run to the registry; null if there is none as new as the given revision. */
    public Event.ListReceived restoreEndpointList(EndpointRegistry endpointRegistry, long minRevision, long now) {
        return endpointList.isEmpty() || endpointList.revision() < minRevision ? null
                : endpointRegistry.restore(endpointList.revision(), endpointList.entries(), now);
    }

    /** Journals what a list that discovery has told changes, for the next run. */
    void journalEndpointList(long revision, boolean complete, List<ListEntry> entries) {
        for (JournalEntry.EndpointsListed change : endpointList.changesTo(revision, complete, entries)) {
            applyList(change);
            appendEnd(change);
        }
    }

    /** Shots from before are on another clock: nobody knows how long ago they were fired, so none of them may be repeated for it. */
    private void changeClock(JournalEntry.ClockReference reference) {
        if (reference.equals(clockReference)) {
            return;
        }
        liveBytes += clockReference == null ? CLOCK_REFERENCE_BYTES : 0;
        clockReference = reference;
        for (TrackedRecord record : recordsByNumber.values()) {
            record.shots.replaceAll(shot -> shot.withFiredAt(UNKNOWN_FIRED_AT));
        }
    }

    /** The clock of the previous run, or null if the journal has none. */
    public JournalEntry.ClockReference clockReference() {
        return clockReference;
    }

    /** Begins a run whose times are on the given clock. Called after {@link #restore}, before anything is journalled. */
    public void startRun(JournalEntry.ClockReference reference) {
        if (!reference.equals(clockReference)) {
            changeClock(reference);
            appendEnd(reference);
        }
    }

    /** The shot that delivered a record has no entry of its own: it is known where it is the only one without an ending. */
    private static void resolveDeliveringShot(TrackedRecord record) {
        List<TrackedRecord.Shot> unresolved = record.shots.stream().filter(shot -> shot.ending == null).toList();
        if (record.outcome == JournalEntry.RecordOutcome.DONE && unresolved.size() == 1) {
            unresolved.get(0).ending = Ending.DONE;
        }
    }

    public long lastRecordNumber() {
        return recordsByNumber.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** The latest time that an entry about a record states, or 0 without records. */
    public long latestTime() {
        return recordsByNumber.values().stream().mapToLong(TrackedRecord::latestJournalledTime).max().orElse(0);
    }

    TrackedRecord findById(String id) {
        return recordsById.get(id);
    }

    TrackedRecord findByNumber(long number) {
        return recordsByNumber.get(number);
    }

    /** The records that have not ended although their abandon time was before the given time. */
    List<TrackedRecord> openRecordsOverdueSince(long time) {
        return recordsByNumber.values().stream().filter(record -> record.isOpen() && record.entry.abandonAt() < time).toList();
    }

    /** Number of records held, including those admitted in this turn. */
    int heldOrAdmittedCount() {
        return heldCount + admittedCount;
    }

    /** Reserves space for one more record and all journal entries that it may need; false if there is not enough. */
    boolean tryReserve(int bodyBytes) {
        long liveBytesAfter = liveBytes + reservedBytes + bodyBytes + ENTRY_OVERHEAD_BYTES;
        boolean hasRoom = !journalFailing && liveBytesAfter < limits.maxJournalBytes() * 2 / 5
                && liveBytesAfter < limits.maxHeldBytes();
        if (hasRoom && journal.remainingBytes(liveBytesAfter) < limits.journalReserveBytes()
                && journal.remainingBytes(liveBytes) >= 0) {
            compact();
        }
        hasRoom = hasRoom && journal.remainingBytes(liveBytesAfter) >= limits.journalReserveBytes();
        if (hasRoom) {
            reservedBytes += bodyBytes + ENTRY_OVERHEAD_BYTES;
            admittedCount++;
        } else {
            counters.add(Counter.JOURNAL_REFUSALS);
        }
        return hasRoom;
    }

    /** Releases the reservations: every record admitted in this turn has been journalled or refused. */
    void clearReservations() {
        reservedBytes = 0;
        admittedCount = 0;
    }

    /** Journals an accepted record; false if the entry could not be written, so that the record must be refused. */
    boolean tryAdd(TrackedRecord record) {
        if (!appendEntry(record.entry, limits.journalReserveBytes())) {
            return false;
        }
        index(record);
        return true;
    }

    private void index(TrackedRecord record) {
        recordsByNumber.put(record.entry.number(), record);
        recordsById.put(record.entry.id(), record);
        heldCount++;
        liveBytes += record.entry.body().length + ENTRY_OVERHEAD_BYTES;
    }

    /** Journals a shot before its first byte is sent; false if the entry could not be written. */
    boolean journalShot(TrackedRecord record, TrackedRecord.Shot shot) {
        return appendEntry(new JournalEntry.ShotFired(record.entry.number(), shot.number, shot.endpointUid, shot.zone,
                shot.firedAt), 0);
    }

    void endShot(TrackedRecord record, TrackedRecord.Shot shot, Ending ending) {
        shot.ending = ending;
        shot.connection = null;
        appendEnd(new JournalEntry.ShotEnded(record.entry.number(), shot.number, ending));
    }

    void endRecord(TrackedRecord record, JournalEntry.RecordOutcome outcome, long retryAfterMicros) {
        if (record.outcome == null) {
            appendEnd(new JournalEntry.RecordEnded(record.entry.number(), outcome, retryAfterMicros));
            applyEnd(record, outcome, retryAfterMicros);
        }
    }

    private void applyEnd(TrackedRecord record, JournalEntry.RecordOutcome outcome, long retryAfterMicros) {
        record.outcome = outcome;
        record.retryAfterMicros = retryAfterMicros;
        record.noticeSettled = outcome == JournalEntry.RecordOutcome.DONE || outcome == JournalEntry.RecordOutcome.WITHDRAWN;
        heldCount--;
        liveBytes += ENDED_RECORD_BYTES - record.entry.body().length - ENTRY_OVERHEAD_BYTES;
        record.dropBody();
        endedRecords.addLast(record);
    }

    /** Ends a record that was counted as delivered anew, as terminated, so that a notice is due. */
    void terminateDelivered(TrackedRecord record) {
        appendEnd(new JournalEntry.RecordEnded(record.entry.number(), JournalEntry.RecordOutcome.TERMINATED, 0));
        replaceDelivery(record);
    }

    private static void replaceDelivery(TrackedRecord record) {
        record.outcome = JournalEntry.RecordOutcome.TERMINATED;
        record.noticeSettled = false;
    }

    void settleNotice(TrackedRecord record) {
        record.noticeSettled = true;
        appendEnd(new JournalEntry.NoticeAnswered(record.entry.number()));
    }

    /**
     * Removes ended records whose notice is settled and which have no call in flight, once their retention time has passed since
     * their abandon time, or earlier, oldest end first, while there are too many. The retention is at least the given one, and longer
     * for records that may have run, as their ids must not run again; while open records need the room of the journal it is not.
     */
    void evictEnded(long now, long minRetentionMicros) {
        boolean roomShort = liveBytes > limits.maxJournalBytes() / ENDED_RECORDS_ROOM_DIVISOR;
        long retentionOfRun = roomShort ? minRetentionMicros : Math.max(minRetentionMicros, limits.runRecordRetentionMicros());
        for (int i = endedRecords.size(); i > 0; i--) {
            TrackedRecord record = endedRecords.pollFirst();
            long retentionMicros = record.mayHaveRun() ? retentionOfRun : minRetentionMicros;
            if (isEvictable(record) && (now > record.entry.abandonAt() + retentionMicros
                    || endedRecords.size() > limits.maxEndedRecords())) {
                recordsByNumber.remove(record.entry.number());
                recordsById.remove(record.entry.id(), record);
                liveBytes -= ENDED_RECORD_BYTES;
            } else {
                endedRecords.addLast(record);
            }
        }
    }

    private static boolean isEvictable(TrackedRecord record) {
        return record.noticeSettled && record.shots.stream().noneMatch(shot -> shot.ending == null && shot.connection != null);
    }

    /** Compacts the journal before the entries to come could use up the space that a compaction needs. */
    void compactIfNeeded() {
        if (journalFailing || journal.remainingBytes(liveBytes) < limits.journalReserveBytes()) {
            compact();
        }
    }

    void compact() {
        try {
            if (journal.compact(liveEntries())) {
                counters.add(Counter.JOURNAL_COMPACTIONS);
                journalFailing = false;
                entriesMissing = false;
                unwrittenEntries.clear(); // the compaction has written what they say
            }
        } catch (IOException e) {
            log.warn("journal: compaction failed", e);
        }
    }

    private List<JournalEntry> liveEntries() {
        List<JournalEntry> entries = new ArrayList<>();
        if (clockReference != null) {
            entries.add(clockReference);
        }
        entries.addAll(endpointList.toJournalEntries());
        for (TrackedRecord record : recordsByNumber.values()) {
            JournalEntry.RecordAccepted accepted = record.entry;
            long number = accepted.number();
            entries.add(accepted);
            for (TrackedRecord.Shot shot : record.shots) {
                boolean needed = record.isOpen() || shot.ending == null
                        || record.outcome != JournalEntry.RecordOutcome.DONE && shot.mayHaveRun();
                if (needed) {
                    entries.add(new JournalEntry.ShotFired(number, shot.number, shot.endpointUid, shot.zone, shot.firedAt));
                }
                if (needed && shot.ending != null) {
                    entries.add(new JournalEntry.ShotEnded(number, shot.number, shot.ending));
                }
            }
            if (!record.isOpen()) {
                entries.add(new JournalEntry.RecordEnded(number, record.outcome, record.retryAfterMicros));
                if (record.noticeSettled && record.outcome != JournalEntry.RecordOutcome.DONE
                        && record.outcome != JournalEntry.RecordOutcome.WITHDRAWN) {
                    entries.add(new JournalEntry.NoticeAnswered(number));
                }
            }
        }
        return entries;
    }

    /**
     * Writes an entry about what is going to happen; false if it cannot be written, so that it must not happen. Nothing new may
     * happen while the journal lacks what has happened before: a kill would undo that, and the next run repeat it.
     */
    private boolean appendEntry(JournalEntry entry, long reserveBytes) {
        return flush() && write(entry, reserveBytes);
    }

    /** Writes an entry about what has happened. If it cannot be written now, it is written before any later entry. */
    private void appendEnd(JournalEntry entry) {
        if (flush() && write(entry, 0)) {
            return;
        }
        if (unwrittenEntries.size() < limits.maxEndedRecords()) {
            unwrittenEntries.add(entry);
        } else {
            entriesMissing = true;
        }
    }

    /** Writes the entries that could not be written before; true if the journal is complete now. */
    boolean flush() {
        while (!unwrittenEntries.isEmpty() && write(unwrittenEntries.peekFirst(), 0)) {
            unwrittenEntries.removeFirst();
        }
        return unwrittenEntries.isEmpty() && !entriesMissing;
    }

    private boolean write(JournalEntry entry, long reserveBytes) {
        try {
            if (reserveBytes > 0 && journal.remainingBytes(0) < reserveBytes + Journal.encodedSize(entry)) {
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
