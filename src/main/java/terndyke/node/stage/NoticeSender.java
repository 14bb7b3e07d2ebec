package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
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
 * soon holds nothing up: its notices are sent again beside it, and whichever call is answered first settles them. A record is
 * terminated shortly before its abandon time, and several calls in a row may be lost before its notice is late.
 */
final class NoticeSender {
    private static final int ANSWER_TIME_FACTOR = 3; // an answer that takes longer than usual by this is taken for lost
    private static final int ANSWER_TIME_WEIGHT = 4; // of the average so far, plus one for the latest
    private static final int FAILURES_BEFORE_BACKOFF = 8; // so many in a row are repeated without growing delays

    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final ConnectionPool connectionPool;
    private final TimerQueue timers;
    private final Consumer<LoopEvent> eventQueue;
    private final Consumer<TrackedRecord> settledListener;
    private final Map<TrackedRecord, Long> dueTimes = new LinkedHashMap<>(); // of the notices not answered yet: when to send them next
    private final Map<Long, NoticeCall> callsInFlight = new LinkedHashMap<>(); // by number, the oldest first
    private ConnectionPool.Peer platform;
    private long lastCallNumber;
    private int consecutiveFailures; // of calls, including those that are not answered soon
    private int maxBatchSize = Integer.MAX_VALUE; // notices per call
    private long answerTimeMicros; // an average of the calls answered

    private record NoticeCall(long startedAt, List<TrackedRecord> batch, ConnectionPool.PooledConnection connection) { }

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
        answerTimeMicros = 2 * limits.minNoticeRepeatMicros() / ANSWER_TIME_FACTOR;
    }

    /** Adds the notice of a record that has ended, unless it is there already. */
    void add(TrackedRecord record) {
        dueTimes.putIfAbsent(record, 0L);
    }

    boolean isEmpty() {
        return dueTimes.isEmpty();
    }

    /** Sends the notices that are due, and holds connections ready for those to come. */
    void sendDue(long now) {
        List<TrackedRecord> due = dueNotices(now);
        while (!due.isEmpty() && makeRoomForCall(now)) {
            startCall(due, now);
            due = dueNotices(now);
        }
        connectionPool.maintainReadyConnections(platform, now);
    }

    private List<TrackedRecord> dueNotices(long now) {
        return dueTimes.entrySet().stream().filter(entry -> entry.getValue() <= now).map(Map.Entry::getKey).toList();
    }

    /** Gives up the oldest call if there are as many as may be, unless it may still be answered in time: then false is returned. */
    private boolean makeRoomForCall(long now) {
        if (callsInFlight.size() < limits.maxNoticeCalls()) {
            return true;
        }
        Map.Entry<Long, NoticeCall> oldest = callsInFlight.entrySet().iterator().next();
        long giveUpAt = oldest.getValue().startedAt() + limits.noticeTimeoutMicros();
        if (now < giveUpAt) {
            wakeUpAt(giveUpAt);
            return false;
        }
        giveUp(oldest.getKey());
        return true;
    }

    private void giveUp(long callNumber) {
        connectionPool.cancelCall(callsInFlight.remove(callNumber).connection());
    }

    /** Starts a call with as many of the notices as fit into a body. */
    private void startCall(List<TrackedRecord> due, long now) {
        StringBuilder lines = new StringBuilder();
        List<TrackedRecord> batch = nextBatch(due, maxBatchSize, limits.maxBodyBytes(), lines);
        byte[] body = lines.toString().getBytes(StandardCharsets.UTF_8);
        Call call = new Call("POST", "/v2/finals", new String[] {"Host", platform.hostHeader(),
            "Content-Type", "application/json", "Content-Length", Integer.toString(body.length)}, body);
        long callNumber = ++lastCallNumber;
        ConnectionPool.PooledConnection connection = connectionPool.startCall(platform, call, now,
                result -> eventQueue.accept(new LoopEvent.NoticeCallCompleted(callNumber, batch, result)));
        callsInFlight.put(callNumber, new NoticeCall(now, batch, connection));
        counters.add(Counter.NOTICES_SENT, batch.size());
        long repeatAt = now + repeatDelay();
        batch.forEach(record -> dueTimes.put(record, repeatAt));
        timers.schedule(repeatAt, () -> noteIfUnanswered(callNumber, repeatAt));
    }

    private void noteIfUnanswered(long callNumber, long now) {
        NoticeCall call = callsInFlight.get(callNumber);
        if (call != null) {
            noteFailure("no answer in " + (now - call.startedAt()) / 1000 + " ms");
        }
    }

    /** After which time without an answer a notice is sent again: longer where the platform is slow, or answers nothing at all. */
    private long repeatDelay() {
        long usual = Math.max(limits.minNoticeRepeatMicros(),
                Math.min(ANSWER_TIME_FACTOR * answerTimeMicros, limits.noticeTimeoutMicros()));
        return Math.min(limits.responseTimeoutMicros(), usual << backoffShift());
    }

    /** After which time a notice is sent again whose call has failed at once. */
    private long failureDelay() {
        return Math.min(limits.retryDelayMicros(), limits.noticeRetryDelayMicros() << backoffShift());
    }

    private int backoffShift() {
        return Math.min(10, consecutiveFailures / FAILURES_BEFORE_BACKOFF);
    }

    private void noteFailure(String reason) {
        counters.add(Counter.NOTICES_UNANSWERED);
        String text = "call with notices failed: " + reason + ", " + ++consecutiveFailures + " in a row, " + dueTimes.size()
                + " pending, first " + dueTimes.keySet().stream().findFirst().map(record -> record.entry.id()).orElse("none");
        if (consecutiveFailures == 1) {
            log.warn(text);
        } else {
            log.infoAboutRecord(text);
        }
    }

    private void wakeUpAt(long time) {
        timers.schedule(time, () -> { });
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
            dueTimes.replaceAll((record, dueAt) -> 0L);
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
            noteFailure("status " + status + ", " + completed.result().ending());
            repeat(call.batch(), now + failureDelay());
        }
    }

    private void handleAccepted(NoticeCall call, long now) {
        answerTimeMicros = (ANSWER_TIME_WEIGHT * answerTimeMicros + now - call.startedAt()) / (ANSWER_TIME_WEIGHT + 1);
        maxBatchSize = Integer.MAX_VALUE;
        settle(call.batch());
        if (consecutiveFailures > 0) {
            consecutiveFailures = 0;
            log.info("notices answered again, " + dueTimes.size() + " pending");
        }
    }

    private void repeat(List<TrackedRecord> batch, long dueAt) {
        batch.forEach(record -> dueTimes.computeIfPresent(record, (pending, earlier) -> dueAt));
        wakeUpAt(dueAt);
    }

    /** The notices are answered. Calls that carry no others are given up. */
    private void settle(List<TrackedRecord> batch) {
        for (TrackedRecord record : batch) {
            if (dueTimes.remove(record) != null) {
                settledListener.accept(record);
            }
        }
        List<Long> superfluous = callsInFlight.entrySet().stream()
                .filter(entry -> entry.getValue().batch().stream().noneMatch(dueTimes::containsKey)).map(Map.Entry::getKey).toList();
        superfluous.forEach(this::giveUp);
    }
}
