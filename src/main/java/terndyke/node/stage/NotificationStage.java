package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;
import terndyke.node.journal.JournalEntry;

/** Fifth stage: answers clients, and sends notices to the platform, repeating them until they are answered. */
public final class NotificationStage {
    private final Limits limits;
    private final Counters counters;
    private ConnectionPool.Peer platform;
    private final ConnectionPool connectionPool;
    private final DecisionStage decisionStage;
    private final RecordStore recordStore;
    private final TimerQueue timers;
    private final NodeLog log;
    private final DecisionLoop decisionLoop;
    private final Set<TrackedRecord> pendingNotices = new LinkedHashSet<>();
    private long callNumber;
    private boolean callInFlight;
    private int consecutiveFailures; // of calls with notices
    private int maxBatchSize = Integer.MAX_VALUE; // notices per call
    private ConnectionPool.PooledConnection connection;
    private long retryAt;

    public NotificationStage(Limits limits, Counters counters, InetSocketAddress platformAddress, ConnectionPool connectionPool,
            DecisionStage decisionStage, RecordStore recordStore, TimerQueue timers, NodeLog log, DecisionLoop decisionLoop) {
        this.limits = limits;
        this.counters = counters;
        this.platform = ConnectionPool.Peer.forPlatform(platformAddress, limits.readyNoticeConnections());
        this.connectionPool = connectionPool;
        this.decisionStage = decisionStage;
        this.recordStore = recordStore;
        this.timers = timers;
        this.log = log;
        this.decisionLoop = decisionLoop;
    }

    /** Tells the client that its record is accepted; it is in the journal. */
    void answerAccepted(TrackedRecord record) {
        counters.add(Counter.TAKEN);
        trace("taken", record);
        removeResponder(record).taken();
    }

    /** Tells the client that its record is refused, and after which time in microseconds it may try again (0: not stated). */
    void answerRefused(TrackedRecord record, long retryAfterMicros) {
        counters.add(Counter.BOUNCED_AT_ONCE);
        trace("refused", record);
        removeResponder(record).refused(retryAfterMicros);
        decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
    }

    /** Tells the client that its record was terminated in the turn in which it was admitted. */
    void answerFailed(TrackedRecord record) {
        trace("failed", record);
        removeResponder(record).failed(500);
        decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
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
        } else if (record.outcome == null) {
            recordStore.endRecord(record, outcome, retryAfterMicros);
            counters.add(outcome == JournalEntry.RecordOutcome.BOUNCED ? Counter.ENDED_BOUNCED : Counter.ENDED_TERMINATED);
            record.endedAt = decisionLoop.now();
            pendingNotices.add(record);
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
        pendingNotices.add(record);
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
            pendingNotices.add(record);
        }
    }

    boolean hasPendingNotices() {
        return !pendingNotices.isEmpty();
    }

    /** Sends the notices that are due, and holds connections ready for those to come. */
    void sendPendingNotices(long now) {
        startCallIfDue(now);
        connectionPool.maintainReadyConnections(platform, now);
    }

    /**
     * Sends pending notices, one call at a time with as many notices as fit into a body. After a restart a node may have
     * hundreds of notices to send and little CPU: each call then takes 100 ms or more, and with 64 notices per call the
     * last ones were late. If the platform rejects a batch as malformed, the batch size is halved until the faulty notice
     * is alone in its call.
     */
    private void startCallIfDue(long now) {
        if (callInFlight || pendingNotices.isEmpty() || now < retryAt) {
            return;
        }
        StringBuilder lines = new StringBuilder();
        List<TrackedRecord> batch = nextBatch(pendingNotices, maxBatchSize, limits.maxBodyBytes(), lines);
        byte[] body = lines.toString().getBytes(StandardCharsets.UTF_8);
        Call call = new Call("POST", "/v2/finals", new String[] {"Host", platform.hostHeader(),
            "Content-Type", "application/json", "Content-Length", Integer.toString(body.length)}, body);
        long sentCallNumber = ++callNumber;
        connection = connectionPool.startCall(platform, call, now,
                result -> decisionLoop.post(new LoopEvent.NoticeCallCompleted(sentCallNumber, batch, result)));
        callInFlight = connection != null;
        counters.add(Counter.NOTICES_SENT, callInFlight ? batch.size() : 0);
        if (!callInFlight) {
            handleCallFailure("no connection available", now, retryDelay());
            return;
        }
        timers.schedule(now + callTimeout(), () -> {
            if (callInFlight && callNumber == sentCallNumber) {
                connectionPool.cancelCall(connection);
                handleCallFailure("no answer in time", decisionLoop.now(), 0);
            }
        });
    }

    /**
     * Timeout of a call with notices. A record is terminated shortly before its abandon time, so two calls must fit into
     * the time within which its notice is due after that. Later calls are given more time, for a slow platform or a node
     * with many notices to send.
     */
    private long callTimeout() {
        return Math.min(limits.responseTimeoutMicros(),
                limits.noticeTimeoutMicros() << Math.min(10, Math.max(0, consecutiveFailures - 1)));
    }

    /** Delay before the next call after one that failed at once; after a timeout no further delay is needed. */
    private long retryDelay() {
        return Math.min(limits.retryDelayMicros(), limits.noticeRetryDelayMicros() << Math.min(10, consecutiveFailures));
    }

    /** Takes the first records whose notices fit into the given bytes: at least one, at most the given number. */
    static List<TrackedRecord> nextBatch(Collection<TrackedRecord> pendingRecords, int maxNotices, int maxBytes,
            StringBuilder lines) {
        List<TrackedRecord> batch = new ArrayList<>();
        for (TrackedRecord record : pendingRecords) {
            String line = formatNotice(record) + "\n";
            if (!batch.isEmpty() && (batch.size() == maxNotices || lines.length() + line.length() > maxBytes)) {
                break;
            }
            lines.append(line);
            batch.add(record);
        }
        return batch;
    }

    /** Sends notices to another address from now on; those not yet answered are sent again to it. */
    void changePlatformAddress(InetSocketAddress address) {
        if (!address.equals(platform.address())) {
            if (callInFlight) {
                connectionPool.cancelCall(connection);
                callInFlight = false;
                callNumber++;
            }
            connectionPool.removePeer(platform);
            platform = ConnectionPool.Peer.forPlatform(address, limits.readyNoticeConnections());
            consecutiveFailures = 0;
            retryAt = 0;
        }
    }

    /** Schedules the next call. */
    private void handleCallFailure(String reason, long now, long delayMicros) {
        counters.add(Counter.NOTICES_UNANSWERED);
        String text = "call with notices failed: " + reason + ", " + ++consecutiveFailures + " in a row, " + pendingNotices.size()
                + " pending, first " + pendingNotices.iterator().next().entry.id();
        if (consecutiveFailures == 1) {
            log.warn(text);
        } else {
            log.infoAboutRecord(text);
        }
        callInFlight = false;
        callNumber++;
        retryAt = now + delayMicros;
        timers.schedule(retryAt, () -> { });
    }

    static String formatNotice(TrackedRecord record) {
        StringBuilder line = new StringBuilder("{\"ref\":\"");
        for (char c : record.entry.id().toCharArray()) {
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < ' ') {
                line.append(String.format("\\u%04x", (int) c));
            } else {
                line.append(c);
            }
        }
        line.append("\",\"result\":\"").append(record.outcome == JournalEntry.RecordOutcome.BOUNCED ? "bounced" : "dead")
                .append('"');
        if (record.outcome == JournalEntry.RecordOutcome.BOUNCED && record.retryAfterMicros > 0) {
            line.append(",\"wait_ms\":").append(record.retryAfterMicros / 1000);
        }
        return line.append('}').toString();
    }

    /** Handles the platform's answer to a call with notices. */
    void handleNoticeResult(LoopEvent.NoticeCallCompleted completed, long now) {
        if (!callInFlight || completed.callNumber() != callNumber) {
            return;
        }
        callInFlight = false;
        int status = completed.result().status();
        if (status == 204 || status == 200) {
            completed.records().forEach(this::settleNotice);
            maxBatchSize = Integer.MAX_VALUE;
            if (consecutiveFailures > 0) {
                consecutiveFailures = 0;
                log.info("notices answered again, " + pendingNotices.size() + " pending");
            }
        } else if (status == 400 && completed.records().size() == 1) {
            log.warn("notice rejected by the platform with status 400, dropped: " + formatNotice(completed.records().get(0)));
            completed.records().forEach(this::settleNotice);
        } else {
            maxBatchSize = status == 400 ? Math.max(1, completed.records().size() / 2) : maxBatchSize;
            handleCallFailure("status " + status + ", " + completed.result().ending(), now, retryDelay());
        }
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
        pendingNotices.remove(record);
        trace("settled", record);
        recordStore.settleNotice(record);
        decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
    }
}
