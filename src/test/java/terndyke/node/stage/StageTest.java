package terndyke.node.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.Call;
import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;
import terndyke.node.journal.Journal;

/** The stages of a record inside the node, the record store and the timers, without threads or sockets. */
class StageTest {
    private static final NodeLog NO_LOG = new NodeLog(new PrintStream(PrintStream.nullOutputStream()), "test");
    private static final long NOW_MICROS = 1_000_000_000;

    @TempDir
    Path folder;

    private final Limits limits = Limits.fromResources(192, 1024, 0.2, 8, 3, 1_000_000, 15_000_000);
    private final Counters counters = new Counters();
    private final EndpointRegistry endpointRegistry = new EndpointRegistry(List.of("east"), List.of("a"));
    private final List<String> answers = new ArrayList<>();
    private final IntakeStage intakeStage = new IntakeStage(40);
    private Journal journal;
    private RecordStore recordStore;
    private AdmissionStage admissionStage;

    @BeforeEach
    void start() throws IOException {
        journal = Journal.open(folder, limits.maxJournalBytes(), NO_LOG, new ArrayList<>());
        recordStore = new RecordStore(journal, limits, counters, NO_LOG);
        admissionStage = new AdmissionStage(limits, counters, endpointRegistry, recordStore);
        endpointRegistry.update(("{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s\",\"endpoint\":\"127.0.0.1:1\","
                + "\"az\":\"east\",\"model\":\"a\",\"pod_group\":3,\"state\":\"active\"}]}").getBytes(StandardCharsets.UTF_8),
                NOW_MICROS, new ArrayList<>());
    }

    private ClientRequest createRequest(String id, int destination, int bodyLength, long receivedAt) {
        return new ClientRequest(id, 0, 0, 9, destination, null, 5_000_000, false, false, new byte[bodyLength], receivedAt,
                new ClientRequest.Responder() {
                    @Override
                    public void taken() {
                        answers.add("taken");
                    }

                    @Override
                    public void delivered() {
                        answers.add("delivered");
                    }

                    @Override
                    public void refused(long waitMicros) {
                        answers.add("refused " + waitMicros);
                    }

                    @Override
                    public void failed(int status) {
                        answers.add("failed " + status);
                    }
                });
    }

    private TrackedRecord addRecord(String id) {
        TrackedRecord record = intakeStage.createRecord(createRequest(id, 3, 10, NOW_MICROS));
        assertTrue(recordStore.tryAdd(record));
        return record;
    }

    private RecordStore reopenStore() throws IOException {
        journal.close();
        List<JournalEntry> entries = new ArrayList<>();
        journal = Journal.open(folder, limits.maxJournalBytes(), NO_LOG, entries);
        RecordStore reopened = new RecordStore(journal, limits, counters, NO_LOG);
        reopened.restore(entries);
        return reopened;
    }

    @Test
    void recordNumbersContinueFromThePreviousRun() {
        assertEquals(41, intakeStage.createRecord(createRequest("r", 3, 1, NOW_MICROS)).entry.number());
        assertEquals(NOW_MICROS + 5_000_000, intakeStage.createRecord(createRequest("r", 3, 1, NOW_MICROS)).entry.abandonAt());
    }

    @Test
    void aNewRecordIsAdmitted() {
        assertTrue(admissionStage.admit(createRequest("r", 3, 10, NOW_MICROS), NOW_MICROS));
        assertEquals(List.of(), answers);
    }

    @Test
    void aDifferentRecordWithAKnownIdIsRefused() {
        addRecord("r");
        assertFalse(admissionStage.admit(createRequest("r", 3, 10, NOW_MICROS), NOW_MICROS));
        assertFalse(admissionStage.admit(createRequest("r", 3, 0, NOW_MICROS), NOW_MICROS));
        TrackedRecord ended = addRecord("s");
        recordStore.endRecord(ended, JournalEntry.RecordOutcome.DONE, 0);
        ClientRequest duplicate = createRequest("s", 3, 10, NOW_MICROS);
        assertFalse(admissionStage.admit(duplicate, NOW_MICROS));
        assertFalse(admissionStage.admit(new ClientRequest("s", 0, 0, 8, 3, null, 5_000_000, false, false, new byte[10],
                NOW_MICROS, duplicate.responder()), NOW_MICROS));
        assertEquals(List.of("taken", "refused 0", "delivered", "refused 0"), answers);
    }

    /** Guards against a delivered record that the next run takes for one whose shot may still run. */
    @Test
    void theShotThatDeliveredARecordIsKnownAfterARestart() throws IOException {
        TrackedRecord record = addRecord("r");
        TrackedRecord.Shot shot = new TrackedRecord.Shot(0, 1, "s-1", 0, NOW_MICROS);
        assertTrue(recordStore.journalShot(record, shot));
        recordStore.endRecord(record, JournalEntry.RecordOutcome.DONE, 0);
        assertEquals(Ending.DONE, reopenStore().findById("r").shots.get(0).ending);
    }

    @Test
    void anUnknownDestinationFails() {
        assertFalse(admissionStage.admit(createRequest("r", 4, 10, NOW_MICROS), NOW_MICROS));
        assertEquals(List.of("failed 400"), answers);
    }

    @Test
    void aRequestThatWaitedTooLongIsRefused() {
        assertFalse(admissionStage.admit(createRequest("r", 3, 10, NOW_MICROS),
                NOW_MICROS + limits.maxAdmissionDelayMicros() + 1));
        assertEquals(List.of("refused 0"), answers);
    }

    @Test
    void aNodeThatShutsDownRefusesNewRecords() {
        admissionStage.beginShutdown();
        assertFalse(admissionStage.admit(createRequest("r", 3, 10, NOW_MICROS), NOW_MICROS));
        assertEquals(List.of("refused 0"), answers);
    }

    @Test
    void recordsAboveTheHeldLimitAreRefused() {
        for (int i = 0; i < limits.maxHeldRecords(); i++) {
            addRecord("r" + i);
        }
        assertFalse(admissionStage.admit(createRequest("one more", 3, 10, NOW_MICROS), NOW_MICROS));
    }

    @Test
    void recordsAdmittedInOneTurnCountBeforeTheyAreJournalled() {
        for (int i = 0; i < limits.maxHeldRecords(); i++) {
            assertTrue(admissionStage.admit(createRequest("r" + i, 3, 10, NOW_MICROS), NOW_MICROS));
        }
        assertFalse(admissionStage.admit(createRequest("one more", 3, 10, NOW_MICROS), NOW_MICROS));
        recordStore.clearReservations();
        assertTrue(admissionStage.admit(createRequest("another", 3, 10, NOW_MICROS), NOW_MICROS));
    }

    @Test
    void aRecordTheJournalHasNoRoomForIsRefused() {
        assertFalse(admissionStage.admit(createRequest("r", 3, (int) limits.maxJournalBytes() / 2, NOW_MICROS), NOW_MICROS));
        assertEquals(1, counters.get(Counter.JOURNAL_REFUSALS));
    }

    @Test
    void aDuplicateGetsTheAnswerOfTheOriginal() {
        TrackedRecord record = addRecord("r");
        assertFalse(admissionStage.admit(createRequest("r", 3, 10, NOW_MICROS), NOW_MICROS));
        recordStore.endRecord(record, JournalEntry.RecordOutcome.DONE, 0);
        admissionStage.admit(createRequest("r", 3, 10, NOW_MICROS), NOW_MICROS);
        recordStore.endRecord(addRecord("b"), JournalEntry.RecordOutcome.BOUNCED, 700);
        admissionStage.admit(createRequest("b", 3, 10, NOW_MICROS), NOW_MICROS);
        recordStore.endRecord(addRecord("t"), JournalEntry.RecordOutcome.TERMINATED, 0);
        admissionStage.admit(createRequest("t", 3, 10, NOW_MICROS), NOW_MICROS);
        assertEquals(List.of("taken", "delivered", "refused 700", "failed 500"), answers);
    }

    @Test
    void theRecordStoreIsRestoredWithShotsAndEnds() throws IOException {
        TrackedRecord open = addRecord("open");
        TrackedRecord.Shot shot = new TrackedRecord.Shot(0, 7, "s", 1, NOW_MICROS);
        open.shots.add(shot);
        recordStore.journalShot(open, shot);
        TrackedRecord ended = addRecord("over");
        recordStore.endRecord(ended, JournalEntry.RecordOutcome.BOUNCED, 500);
        RecordStore reopened = reopenStore();
        assertEquals(42, reopened.lastRecordNumber());
        assertNull(reopened.findById("open").shots.get(0).ending);
        assertEquals(10, reopened.findById("open").entry.body().length);
        assertEquals(JournalEntry.RecordOutcome.BOUNCED, reopened.findById("over").outcome);
        assertFalse(reopened.findById("over").noticeSettled);
        assertEquals(1, reopened.heldOrAdmittedCount());
    }

    /** Guards against a second effect: a shot whose age is unknown since the clock is another one seemed to be within its window. */
    @Test
    void shotsFromBeforeAnotherClockAreOutsideEveryWindowForGood() throws IOException {
        JournalEntry.ClockReference rebooted = new JournalEntry.ClockReference("boot 2", NOW_MICROS);
        TrackedRecord open = addRecord("open");
        TrackedRecord.Shot shot = new TrackedRecord.Shot(0, 7, "s", 1, NOW_MICROS);
        open.shots.add(shot);
        recordStore.journalShot(open, shot);
        RecordStore afterBoot = reopenStore();
        assertEquals(NOW_MICROS, afterBoot.latestTime());
        afterBoot.startRun(rebooted);
        assertEquals(0, afterBoot.findById("open").shots.get(0).firedAt);
        RecordStore afterRestart = reopenStore();
        assertEquals(rebooted, afterRestart.clockReference());
        assertEquals(0, afterRestart.findById("open").shots.get(0).firedAt);
    }

    @Test
    void theClockOutlivesACompaction() throws IOException {
        JournalEntry.ClockReference reference = new JournalEntry.ClockReference("boot 1", NOW_MICROS);
        recordStore.startRun(reference);
        addRecord("open");
        recordStore.endRecord(recordStore.findById("open"), JournalEntry.RecordOutcome.DONE, 0);
        recordStore.compact();
        RecordStore reopened = reopenStore();
        assertEquals(reference, reopened.clockReference());
        reopened.startRun(reference);
        assertEquals(reference, reopenStore().clockReference());
    }

    @Test
    void compactionKeepsOpenRecordsHoweverMuchWasWritten() throws IOException {
        TrackedRecord kept = addRecord("kept");
        for (int i = 0; i < 3_000; i++) {
            TrackedRecord shortLived = addRecord("passing" + i);
            TrackedRecord.Shot shot = new TrackedRecord.Shot(0, 7, "s", 1, NOW_MICROS);
            shortLived.shots.add(shot);
            assertTrue(recordStore.journalShot(shortLived, shot), "the journal must always have room for a shot");
            recordStore.endRecord(shortLived, JournalEntry.RecordOutcome.DONE, 0);
            recordStore.evictEnded(NOW_MICROS + 60_000_000, 0);
            recordStore.compactIfNeeded();
        }
        assertTrue(counters.get(Counter.JOURNAL_COMPACTIONS) > 0);
        assertTrue(journal.size() < limits.maxJournalBytes());
        assertEquals(kept.entry.id(), reopenStore().findById("kept").entry.id());
    }

    /** Guards against a message whose uncertain delivery is forgotten by a restart before its notice is answered. */
    @Test
    void anUncertainDeliveryIsStillToBeReportedAfterARestart() throws IOException {
        TrackedRecord uncertain = addRecord("uncertain");
        recordStore.endRecord(uncertain, JournalEntry.RecordOutcome.DONE, 0);
        recordStore.terminateDelivered(uncertain);
        TrackedRecord restored = reopenStore().findById("uncertain");
        assertEquals(JournalEntry.RecordOutcome.TERMINATED, restored.outcome);
        assertFalse(restored.noticeSettled);
    }

    @Test
    void compactionIsTriedBeforeARecordIsRefused() {
        int admitted = 0;
        for (int i = 0; i < 200; i++) {
            admitted += recordStore.tryReserve(4_000) ? 1 : 0;
            TrackedRecord shortLived = intakeStage.createRecord(createRequest("passing" + i, 3, 4_000, NOW_MICROS));
            assertTrue(recordStore.tryAdd(shortLived));
            recordStore.clearReservations();
            recordStore.endRecord(shortLived, JournalEntry.RecordOutcome.DONE, 0);
            recordStore.evictEnded(NOW_MICROS + 60_000_000, 0);
        }
        assertEquals(200, admitted);
    }

    @Test
    void anEndedRecordIsKeptUntilItsNoticeIsAnswered() {
        TrackedRecord record = addRecord("r");
        recordStore.endRecord(record, JournalEntry.RecordOutcome.TERMINATED, 0);
        recordStore.evictEnded(NOW_MICROS + 60_000_000, 0);
        assertEquals(record, recordStore.findById("r"));
        recordStore.settleNotice(record);
        recordStore.evictEnded(NOW_MICROS + 60_000_000, 0);
        assertNull(recordStore.findById("r"));
    }

    /** Guards against a promise that a message has not run, and against its id running again, after its client left while it was out. */
    @Test
    void aWithdrawnRecordThatMayHaveRunIsNotRefusedAndOutlivesCompactionRestartAndItsTime() throws IOException {
        TrackedRecord record = addRecord("r");
        TrackedRecord.Shot shot = new TrackedRecord.Shot(0, 7, "s", 1, NOW_MICROS);
        record.shots.add(shot);
        assertTrue(recordStore.journalShot(record, shot));
        recordStore.endRecord(record, JournalEntry.RecordOutcome.WITHDRAWN, 0);
        recordStore.endShot(record, shot, Ending.RECALLED);
        recordStore.compact();
        RecordStore reopened = reopenStore();
        reopened.evictEnded(record.entry.abandonAt() + 29_000_000, 1_000_000);
        assertFalse(new AdmissionStage(limits, counters, endpointRegistry, reopened).admit(createRequest("r", 3, 10, NOW_MICROS), NOW_MICROS));
        assertEquals(List.of("failed 500"), answers);
        reopened.evictEnded(record.entry.abandonAt() + 31_000_000, 1_000_000);
        assertNull(reopened.findById("r"));
    }

    @Test
    void anEndedRecordThatHasNotRunIsForgottenSoonerAndOneThatHasWhileOpenRecordsNeedTheRoom() {
        TrackedRecord untried = addRecord("untried");
        TrackedRecord delivered = addRecord("delivered");
        recordStore.endRecord(untried, JournalEntry.RecordOutcome.WITHDRAWN, 0);
        recordStore.endRecord(delivered, JournalEntry.RecordOutcome.DONE, 0);
        recordStore.evictEnded(delivered.entry.abandonAt() + 2_000_000, 1_000_000);
        assertNull(recordStore.findById("untried"));
        assertEquals(delivered, recordStore.findById("delivered"));
        int openBodyBytes = (int) (limits.maxJournalBytes() / 5);
        for (int i = 0; i < 5; i++) {
            assertTrue(recordStore.tryAdd(intakeStage.createRecord(createRequest("open" + i, 3, openBodyBytes / 5, NOW_MICROS))));
        }
        recordStore.evictEnded(delivered.entry.abandonAt() + 2_000_000, 1_000_000);
        assertNull(recordStore.findById("delivered"));
    }

    @Test
    void anAnswerIsMappedToTheEndingThatTheProtocolDefines() {
        assertEquals(Ending.DONE, SendStage.toEnding(new Call.Result(200, null, 0, false, null, null)));
        assertEquals(Ending.FULL, SendStage.toEnding(new Call.Result(429, null, 5, false, null, null)));
        assertEquals(Ending.FULL, SendStage.toEnding(new Call.Result(503, null, 0, false, null, null)));
        assertEquals(Ending.NOT_SENT, SendStage.toEnding(new Call.Result(503, null, 0, true, null, null)));
        assertEquals(Ending.CROWDED, SendStage.toEnding(new Call.Result(503, null, 0, false, null, null, true)));
        assertEquals(Ending.FULL, SendStage.toEnding(new Call.Result(503, null, 5, false, null, null, true)));
        assertEquals(Ending.FULL, SendStage.toEnding(new Call.Result(429, null, 0, false, null, null, true)));
        assertEquals(Ending.NOT_SENT, SendStage.toEnding(new Call.Result(410, null, 0, false, null, null)));
        assertEquals(Ending.NOT_SENT, SendStage.toEnding(new Call.Result(504, null, 0, false, null, null)));
        for (int status : new int[] {100, 204, 302, 400, 404, 500, 599}) {
            assertEquals(Ending.ERROR, SendStage.toEnding(new Call.Result(status, null, 0, false, null, null)));
        }
        assertEquals(Ending.RESET, SendStage.toEnding(new Call.Result(0, Ending.RESET, 0, false, null, null)));
    }

    @Test
    void aReportWithMissingOrInvalidFiguresIsDiscarded() {
        List<String> fields = List.of("x0", "x1");
        assertEquals(List.of(0.4f, 25f), toList(SendStage.parseReport("x1=25, x0=0.4", fields)));
        for (String invalid : List.of("", "x0=0.4", "x0=0.4,x1=NaN", "x0=0.4,x1=-1", "x0=Infinity,x1=2", "x0=0.4,x1", "=,,=")) {
            assertEquals(List.of(), toList(SendStage.parseReport(invalid, fields)), invalid);
        }
    }

    private static List<Float> toList(float[] values) {
        List<Float> list = new ArrayList<>();
        for (float value : values) {
            list.add(value);
        }
        return list;
    }

    @Test
    void aNoticeIsOneLineOfJson() {
        TrackedRecord record = addRecord("a\"b\\c\u0007");
        recordStore.endRecord(record, JournalEntry.RecordOutcome.BOUNCED, 500_000);
        assertEquals("{\"ref\":\"a\\\"b\\\\c\\u0007\",\"result\":\"bounced\",\"wait_ms\":500}",
                NoticeSender.formatNotice(record));
    }

    @Test
    void aNoticeBatchIsFilledUpToTheBodyLimit() {
        List<TrackedRecord> records = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            TrackedRecord record = intakeStage.createRecord(createRequest(String.format("%016x", i), 3, 1, NOW_MICROS));
            record.outcome = JournalEntry.RecordOutcome.BOUNCED;
            records.add(record);
        }
        StringBuilder lines = new StringBuilder();
        List<TrackedRecord> batch = NoticeSender.nextBatch(records, Integer.MAX_VALUE, limits.maxBodyBytes(), lines);
        assertTrue(batch.size() > 800, "records in one call: " + batch.size());
        assertTrue(lines.length() <= limits.maxBodyBytes() && lines.length() > limits.maxBodyBytes() - 100);
        assertEquals(records.subList(0, batch.size()), batch);
        assertEquals(3, NoticeSender.nextBatch(records, 3, limits.maxBodyBytes(), new StringBuilder()).size());
        assertEquals(1, NoticeSender.nextBatch(records, 3, 10, new StringBuilder()).size(),
                "a batch holds at least one notice, however long it is");
    }

    @Test
    void timersRunInOrderOfTime() {
        TimerQueue timers = new TimerQueue();
        timers.schedule(20, () -> answers.add("second"));
        timers.schedule(10, () -> answers.add("first"));
        timers.schedule(30, () -> answers.add("third"));
        timers.runDue(20);
        assertEquals(List.of("first", "second"), answers);
        assertEquals(30, timers.nextDueAt(100));
    }
}
