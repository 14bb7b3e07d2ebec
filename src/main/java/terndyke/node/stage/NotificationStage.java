package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** Fifth stage: answers clients, and ends records by notices to the platform, which {@link NoticeSender} sends. */
public final class NotificationStage {
    private final Limits limits;
    private final Counters counters;
    private final DecisionStage decisionStage;
    private final RecordStore recordStore;
    private final NodeLog log;
    private final DecisionLoop decisionLoop;
    private final NoticeSender noticeSender;

    public NotificationStage(Limits limits, Counters counters, InetSocketAddress platformAddress, ConnectionPool connectionPool,
            DecisionStage decisionStage, RecordStore recordStore, TimerQueue timers, NodeLog log, DecisionLoop decisionLoop) {
        this.limits = limits;
        this.counters = counters;
        this.decisionStage = decisionStage;
        this.recordStore = recordStore;
        this.log = log;
        this.decisionLoop = decisionLoop;
        noticeSender = new NoticeSender(limits, counters, log, connectionPool, timers, platformAddress, decisionLoop::post,
                this::settleNotice);
    }

    /** Tells the client that its record is accepted; it is in the journal. */
    void answerAccepted(TrackedRecord record) {
        counters.add(Counter.TAKEN);
        trace("taken", record);
        answer(removeResponder(record), ClientRequest.Responder::taken);
    }

    /** Tells the client that its record is refused, and after which time in microseconds it may try again (0: not stated). */
    void answerRefused(TrackedRecord record, long retryAfterMicros) {
        counters.add(Counter.BOUNCED_AT_ONCE);
        trace("refused", record);
        answer(removeResponder(record), responder -> responder.refused(retryAfterMicros));
        decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
    }

    /** Tells the client that its record was terminated in the turn in which it was admitted. */
    void answerFailed(TrackedRecord record) {
        trace("failed", record);
        answer(removeResponder(record), responder -> responder.failed(500));
        decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
    }

    /** Answers a client. One that cannot be answered, since its connection is just being closed, say, hinders no other. */
    static void answer(ClientRequest.Responder responder, Consumer<ClientRequest.Responder> answer) {
        try {
            answer.accept(responder);
        } catch (IllegalStateException e) {
            responder.withdrawn();
        }
    }

    private static ClientRequest.Responder removeResponder(TrackedRecord record) {
        ClientRequest.Responder responder = record.responder;
        record.responder = null;
        return responder;
    }

    /**
     * Journals the end of an accepted record and queues the notice to the platform. A record that has ended meanwhile without a
     * need for a notice gets none: the dispatcher hears at once that no answer is outstanding.
     */
    void endRecord(TrackedRecord record, JournalEntry.RecordOutcome outcome, long retryAfterMicros) {
        if (record.noticeSettled) {
            decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
        } else if (record.outcome != null) {
            noticeSender.add(record);
        } else {
            recordStore.endRecord(record, outcome, retryAfterMicros);
            counters.add(outcome == JournalEntry.RecordOutcome.BOUNCED ? Counter.ENDED_BOUNCED : Counter.ENDED_TERMINATED);
            record.endedAt = decisionLoop.now();
            noticeSender.add(record);
            trace(outcome == JournalEntry.RecordOutcome.BOUNCED ? "bounced" : "terminated", record);
            if (outcome != JournalEntry.RecordOutcome.BOUNCED || !record.shots.isEmpty()) {
                log.infoAboutRecord("message " + record.entry.id() + " ended " + outcome + ", "
                        + (record.entry.abandonAt() - record.endedAt) / 1000 + " ms before its abandon time, attempts: "
                        + describeShots(record) + (record.entry.key() == 0 ? "" : ", key " + record.keyText()));
            }
        }
    }

    /**
     * Reports a record that was counted as delivered by a response that may not have been its own. If it was delivered after all,
     * the notice does no harm: the record is over.
     */
    void reportUncertainDelivery(TrackedRecord record, TrackedRecord.Shot shot) {
        shot.ending = Ending.RESET;
        boolean deliveredOtherwise = record.shots.stream().anyMatch(other -> other.ending == Ending.DONE);
        if (record.outcome != JournalEntry.RecordOutcome.DONE || deliveredOtherwise) {
            return;
        }
        recordStore.terminateDelivered(record);
        counters.add(Counter.DELIVERIES_UNCERTAIN);
        record.endedAt = decisionLoop.now();
        noticeSender.add(record);
        decisionStage.addEvent(new Event.DeliveryRevoked(record.entry.number(), record.entry.grade(), record.entry.key()));
        log.infoAboutRecord("message " + record.entry.id() + " of key " + record.keyText() + " reported after its delivery at "
                + shot.endpointUid + ": another response followed, so that the first may have been a copy");
    }

    private static String describeShots(TrackedRecord record) {
        return record.shots.stream().map(shot -> shot.endpointUid + " " + (shot.ending == null ? "in flight" : shot.ending))
                .collect(Collectors.joining(", "));
    }

    private void trace(String verb, TrackedRecord record) {
        if (log.isTracing()) {
            JournalEntry.RecordAccepted accepted = record.entry;
            log.trace(decisionLoop.now(), verb, accepted.number(), accepted.id(), accepted.grade(), accepted.destination(),
                    accepted.abandonAt() - decisionLoop.now(), record.shots.size());
        }
    }

    /** For an ended record of the previous run: queues its notice again, unless it was answered or none was needed. */
    void restore(TrackedRecord record) {
        if (!record.noticeSettled) {
            record.endedAt = decisionLoop.now();
            noticeSender.add(record);
        }
    }

    boolean hasPendingNotices() {
        return !noticeSender.isEmpty();
    }

    /** Sends the notices that are due. */
    void sendPendingNotices(long now) {
        noticeSender.sendDue(now);
    }

    /** Sends notices to another address from now on; those not yet answered are sent again to it. */
    void changePlatformAddress(InetSocketAddress address) {
        noticeSender.changeAddress(address);
    }

    /** Handles the platform's answer to a call with notices. */
    void handleNoticeResult(LoopEvent.NoticeCallCompleted completed, long now) {
        noticeSender.handleResult(completed, now);
    }

    private void settleNotice(TrackedRecord record) {
        long now = decisionLoop.now();
        counters.add(Counter.NOTICES_ANSWERED);
        counters.recordMaximum(Counter.LONGEST_NOTICE, now - record.endedAt);
        if (now - record.endedAt > limits.noticeDeadlineMicros()) {
            counters.add(Counter.NOTICES_LATE);
            log.infoAboutRecord("notice of " + record.entry.id() + " answered " + (now - record.endedAt) / 1000
                    + " ms after the message ended");
        }
        trace("settled", record);
        recordStore.settleNotice(record);
        decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
    }
}
