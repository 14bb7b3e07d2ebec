package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.journal.JournalEntry;

/**
 * Sends notices to the platform, and repeats each until it is answered. A notice that comes twice does no harm, so a call that is not answered
 * soon holds nothing up: its notices are sent again beside it, in a call of their own or in the next one of others, and whichever call is
 * answered first settles them. A record is terminated shortly before its abandon time, and several calls in a row may be lost before its
 * notice is late.
 */
final class NoticeSender {
    private static final int ANSWER_TIME_FACTOR = 3; // an answer that takes longer than usual by this is taken for lost
    private static final int ANSWER_TIME_WEIGHT = 4; // of the average so far, plus one for the latest
    private static final int BACKOFF_DIVISOR = 8; // the pause between calls is at most this part of the time without an answer
    private static final long NO_FAILURE = Long.MAX_VALUE;

    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final ConnectionPool connectionPool;
    private final TimerQueue timers;
    private final Consumer<LoopEvent> eventQueue;
    private final Consumer<TrackedRecord> settledListener;
    private final Map<TrackedRecord, PendingNotice> pendingNotices = new LinkedHashMap<>(); // not answered yet
    private final Map<Long, NoticeCall> callsInFlight = new LinkedHashMap<>(); // by number, the oldest first
    private ConnectionPool.Peer platform;
    private long lastCallNumber;
    private long lastCallStartedAt;
    private long wakeUpAt; // the latest time for which a timer has been set
    private int consecutiveFailures; // of calls, including those that are not answered soon
    private long failingSince = NO_FAILURE;
    private int maxBatchSize = Integer.MAX_VALUE; // notices per call
    private long answerTimeMicros; // an average of the calls answered

    private record NoticeCall(long startedAt, List<TrackedRecord> batch, ConnectionPool.PooledConnection connection) { }

    /** When a notice was sent last, and when it is to be sent again for its own sake. */
    private record PendingNotice(long sentAt, long dueAt) {
        private static final PendingNotice NEW = new PendingNotice(Long.MIN_VALUE / 2, 0);
    }

    NoticeSender(Limits limits, Counters counters, NodeLog log, ConnectionPool connectionPool, TimerQueue timers,
            InetSocketAddress platformAddress, Consumer<LoopEvent> eventQueue, Consumer<TrackedRecord> settledListener) {
        this.limits = limits;
        this.counters = counters;
        this.log = log;
        this.connectionPool = connectionPool;
        this.timers = timers;
        this.eventQueue = eventQueue;
        this.settledListener = settledListener;
        platform = ConnectionPool.Peer.forPlatform(platformAddress, limits.readyNoticeConnections());
        answerTimeMicros = limits.noticeCallIntervalMicros() / ANSWER_TIME_FACTOR;
    }

    /** Adds the notice of a record that has ended, unless it is there already. */
    void add(TrackedRecord record) {
        pendingNotices.putIfAbsent(record, PendingNotice.NEW);
    }

    boolean isEmpty() {
        return pendingNotices.isEmpty();
    }

    /** Sends the notices that are due, and holds connections ready for those to come. */
    void sendDue(long now) {
        while (isAnyDue(now) && mayStartCall(now)) {
            startCall(noticesToSend(now), now);
        }
        connectionPool.maintainReadyConnections(platform, now);
    }

    private boolean isAnyDue(long now) {
        return pendingNotices.values().stream().anyMatch(notice -> notice.dueAt() <= now);
    }

    /**
     * The notices that are due, and behind them those that might have been answered by now: a call that leaves anyway carries them again, so
     * that the few calls that may be out do not go to a notice or two each.
     */
    private List<TrackedRecord> noticesToSend(long now) {
        List<TrackedRecord> notices = new ArrayList<>();
        List<TrackedRecord> unansweredNotices = new ArrayList<>();
        pendingNotices.forEach((record, notice) -> {
            if (notice.dueAt() <= now) {
                notices.add(record);
            } else if (now - notice.sentAt() > ANSWER_TIME_FACTOR * answerTimeMicros) {
                unansweredNotices.add(record);
            }
        });
        notices.addAll(unansweredNotices);
        return notices;
    }

    /**
     * True at once if no call is out. Otherwise calls leave at intervals, so that they are not used up by a notice or two each; so they do while
     * no connection can be opened, since each unanswered call costs one. Where as many are out as may be, one is given up.
     */
    private boolean mayStartCall(long now) {
        if (callsInFlight.isEmpty() && !platform.isConnectFailing()) {
            return true;
        }
        boolean full = callsInFlight.size() >= limits.maxNoticeCalls();
        long mayStartAt = Math.max(lastCallStartedAt + limits.noticeCallIntervalMicros(), full ? giveUpTime(callToGiveUp(now)) : 0);
        if (now < mayStartAt) {
            wakeUpAt(mayStartAt);
            return false;
        }
        if (full) {
            giveUp(callToGiveUp(now).getKey());
        }
        return true;
    }

    /** The oldest call but one, so that a platform that is slow can still answer the oldest; that one too once it is long overdue. */
    private Map.Entry<Long, NoticeCall> callToGiveUp(long now) {
        Iterator<Map.Entry<Long, NoticeCall>> oldestFirst = callsInFlight.entrySet().iterator();
        Map.Entry<Long, NoticeCall> oldest = oldestFirst.next();
        return now - oldest.getValue().startedAt() < limits.responseTimeoutMicros() && oldestFirst.hasNext() ? oldestFirst.next() : oldest;
    }

    private long giveUpTime(Map.Entry<Long, NoticeCall> call) {
        return call.getValue().startedAt() + limits.noticeTimeoutMicros();
    }

    private void giveUp(long callNumber) {
        connectionPool.cancelCall(callsInFlight.remove(callNumber).connection());
    }

    /** Starts a call with as many of the notices as fit into a body. */
    private void startCall(List<TrackedRecord> notices, long now) {
        StringBuilder lines = new StringBuilder();
        List<TrackedRecord> batch = nextBatch(notices, maxBatchSize, limits.maxBodyBytes(), lines);
        byte[] body = lines.toString().getBytes(StandardCharsets.UTF_8);
        Call call = new Call("POST", "/v2/finals", new String[] {"Host", platform.hostHeader(),
            "Content-Type", "application/json", "Content-Length", Integer.toString(body.length)}, body);
        long callNumber = ++lastCallNumber;
        ConnectionPool.PooledConnection connection = connectionPool.startCall(platform, call, now,
                result -> eventQueue.accept(new LoopEvent.NoticeCallCompleted(callNumber, batch, result)));
        long answerExpectedBy = now + expectedAnswerMicros();
        callsInFlight.put(callNumber, new NoticeCall(now, batch, connection));
        lastCallStartedAt = now;
        counters.add(Counter.NOTICES_SENT, batch.size());
        long repeatAt = Math.max(answerExpectedBy, now + backoffMicros(now));
        batch.forEach(record -> pendingNotices.put(record, new PendingNotice(now, repeatAt)));
        timers.schedule(answerExpectedBy, () -> noteIfUnanswered(callNumber, answerExpectedBy));
        wakeUpAt(repeatAt);
    }

    private void noteIfUnanswered(long callNumber, long now) {
        NoticeCall call = callsInFlight.get(callNumber);
        if (call != null) {
            noteFailure("no answer in " + (now - call.startedAt()) / 1000 + " ms", now);
        }
    }

    /** After which time without an answer a call is taken for lost: longer where the platform is slow. */
    private long expectedAnswerMicros() {
        return Math.max(limits.noticeCallIntervalMicros(), Math.min(ANSWER_TIME_FACTOR * answerTimeMicros, limits.maxNoticeRepeatMicros()));
    }

    /** The pause before a notice is sent again to a platform that has answered nothing for a while. */
    private long backoffMicros(long now) {
        return failingSince == NO_FAILURE ? 0 : Math.min(limits.retryDelayMicros(), (now - failingSince) / BACKOFF_DIVISOR);
    }

    private void noteFailure(String reason, long now) {
        counters.add(Counter.NOTICES_UNANSWERED);
        failingSince = Math.min(failingSince, now);
        String text = "call with notices failed: " + reason + ", " + ++consecutiveFailures + " in a row, " + pendingNotices.size()
                + " pending, first " + pendingNotices.keySet().stream().findFirst().map(record -> record.entry.id()).orElse("none");
        if (consecutiveFailures == 1) {
            log.warn(text);
        } else {
            log.infoAboutRecord(text);
        }
    }

    private void wakeUpAt(long time) {
        if (wakeUpAt != time) {
            wakeUpAt = time;
            timers.schedule(time, () -> { });
        }
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

    /** Sends notices to another address from now on; those not yet answered are sent again to it. */
    void changeAddress(InetSocketAddress address) {
        if (!address.equals(platform.address())) {
            List.copyOf(callsInFlight.keySet()).forEach(this::giveUp);
            connectionPool.removePeer(platform);
            platform = ConnectionPool.Peer.forPlatform(address, limits.readyNoticeConnections());
            consecutiveFailures = 0;
            failingSince = NO_FAILURE;
            pendingNotices.replaceAll((record, notice) -> PendingNotice.NEW);
        }
    }

    /** Handles the platform's answer to a call. If it rejects several notices, fewer go into a call, until the faulty one is alone. */
    void handleResult(LoopEvent.NoticeCallCompleted completed, long now) {
        NoticeCall call = callsInFlight.remove(completed.callNumber());
        if (call == null) {
            return;
        }
        int status = completed.result().status();
        if (status == 204 || status == 200) {
            handleAccepted(call, now);
        } else if (status == 400 && call.batch().size() == 1) {
            log.warn("notice rejected by the platform with status 400, dropped: " + formatNotice(call.batch().get(0)));
            settle(call.batch());
        } else {
            maxBatchSize = status == 400 ? Math.min(maxBatchSize, Math.max(1, call.batch().size() / 2)) : maxBatchSize;
            noteFailure("status " + status + ", " + completed.result().ending(), now);
            repeat(call.batch(), now + Math.max(limits.noticeRetryDelayMicros(), backoffMicros(now)));
        }
    }

    private void handleAccepted(NoticeCall call, long now) {
        answerTimeMicros = (ANSWER_TIME_WEIGHT * answerTimeMicros + now - call.startedAt()) / (ANSWER_TIME_WEIGHT + 1);
        maxBatchSize = Integer.MAX_VALUE;
        settle(call.batch());
        if (consecutiveFailures > 0) {
            consecutiveFailures = 0;
            failingSince = NO_FAILURE;
            log.info("notices answered again, " + pendingNotices.size() + " pending");
        }
    }

    private void repeat(List<TrackedRecord> batch, long dueAt) {
        batch.forEach(record -> pendingNotices.computeIfPresent(record, (pending, notice) -> new PendingNotice(notice.sentAt(), dueAt)));
        wakeUpAt(dueAt);
    }

    /** The notices are answered. Calls that carry no others are given up. */
    private void settle(List<TrackedRecord> batch) {
        for (TrackedRecord record : batch) {
            if (pendingNotices.remove(record) != null) {
                settledListener.accept(record);
            }
        }
        List<Long> superfluous = callsInFlight.entrySet().stream()
                .filter(entry -> entry.getValue().batch().stream().noneMatch(pendingNotices::containsKey)).map(Map.Entry::getKey).toList();
        superfluous.forEach(this::giveUp);
    }
}
