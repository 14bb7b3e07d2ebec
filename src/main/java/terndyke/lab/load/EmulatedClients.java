package terndyke.lab.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.RepeatSemantics;
import terndyke.lab.plan.Experiment.Grade;
import terndyke.lab.referee.HandedInRecord;
import terndyke.lab.referee.EventLog;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.ObservedEvent.EventType;
import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * The clients of an experiment. Each record is handed in when it is due; the client waits for the response for the
 * configured patience and hands the record in again under a new id if it was refused or got no response. Records of one
 * key are handed in one after another. Connections are kept open, and more are opened when all are busy.
 */
public final class EmulatedClients {
    private static final long FOREIGN_REQUEST_LEAD_MICROS = 3_000;
    private static final long CLOSE_RACE_WINDOW_MICROS = 50_000; // for so long a node's close may cross a request
    private static final String BODY = "x".repeat(1 << 16);

    private final Experiment experiment;
    private final SocketReactor reactor;
    private final TaskScheduler scheduler;
    private final EventLog eventLog;
    private final List<InetSocketAddress> nodeAddresses;
    private final List<String> gradeNames;
    private final List<String> tenantNames;
    private final List<ArrayDeque<ClientConnection>> idleConnections;
    private final AtomicInteger[] connectionCounts;
    private final boolean[] nodeUnavailable;
    /** Records that wait until the earlier record of their key is finished. */
    private final Map<String, ArrayDeque<PendingRecord>> waitingByKey = new HashMap<>();
    private final UniformRandomProvider random;
    private final Histogram latencyFromDue = new Histogram(1, 600_000_000L, 3);
    private final Histogram latencyFromSent = new Histogram(1, 600_000_000L, 3);
    private MisbehavingClients misbehavingClients;
    private double foreignRequestShare;
    private int openRecordCount;
    private int acceptedCount;
    private int refusedCount;
    private int failedCount;
    private int unansweredCount;
    private int handedInCount;

    /** A record that is not yet accepted or given up; the same object over all attempts to hand it in. */
    private final class PendingRecord {
        final int recordNumber;
        final Arrival arrival;
        final int gradeIndex;
        final int tenantIndex;
        final long dueMicros;
        final boolean extra;
        int attempts;
        String clientRetry;

        PendingRecord(int message, Arrival arrival, long due, boolean extra) {
            this.recordNumber = message;
            this.arrival = arrival;
            this.dueMicros = due;
            this.extra = extra;
            gradeIndex = gradeNames.indexOf(arrival.grade());
            tenantIndex = tenantNames.indexOf(arrival.tenant());
        }

        long deadlineMicros() {
            return dueMicros + serviceGrade().abandon().micros();
        }

        Grade serviceGrade() {
            return experiment.grades().get(gradeIndex);
        }
    }

    public EmulatedClients(Experiment day, SocketReactor net, TaskScheduler ticker, EventLog logbook,
            List<InetSocketAddress> nodes) {
        this.experiment = day;
        this.reactor = net;
        this.scheduler = ticker;
        this.eventLog = logbook;
        this.nodeAddresses = List.copyOf(nodes);
        gradeNames = day.grades().stream().map(Grade::name).toList();
        tenantNames = day.tenants().stream().map(Experiment.Tenant::name).toList();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed() * 17 + 3);
        idleConnections = nodes.stream().map(node -> new ArrayDeque<ClientConnection>()).toList();
        nodeUnavailable = new boolean[nodes.size()];
        connectionCounts = new AtomicInteger[nodes.size()];
        for (int i = 0; i < connectionCounts.length; i++) {
            connectionCounts[i] = new AtomicInteger();
        }
    }

    /** The load balancer in front of the nodes has noticed that a node is unavailable, or available again. */
    public synchronized void setNodeUnavailable(int node, boolean isAway) {
        nodeUnavailable[node] = isAway;
    }

    /** The number of records that are not yet accepted or given up. */
    public synchronized int openRecordCount() {
        return openRecordCount;
    }

    /** The numbers of records handed in at least once, accepted, finally refused, failed and unanswered, in this order. */
    public synchronized int[] handInCounts() {
        return new int[] {handedInCount, acceptedCount, refusedCount, failedCount, unansweredCount};
    }

    /** The time from when a record was due to its 202, in microseconds, over all accepted records. */
    public Histogram latencyFromDue() {
        return latencyFromDue;
    }

    /** The time from when a record was sent to its 202, in microseconds, as closed-loop tools measure it. */
    public Histogram latencyFromSent() {
        return latencyFromSent;
    }

    /** Sets the share of the records that are preceded by a foreign request under the same id; 0 for none. */
    public synchronized void setForeignRequestShare(MisbehavingClients sends, double share) {
        misbehavingClients = sends;
        foreignRequestShare = share;
    }

    private synchronized boolean drawForeignRequest() {
        return foreignRequestShare > 0 && random.nextDouble() < foreignRequestShare;
    }

    /** A record is due. Extra records, such as those of a flood, are subject to the rules but do not count in the result. */
    public void recordDue(int message, Arrival arrival, long due, boolean extra) {
        PendingRecord hand = new PendingRecord(message, arrival, due, extra);
        synchronized (this) {
            openRecordCount++;
            handedInCount++;
            if (arrival.key() != null) {
                ArrayDeque<PendingRecord> waiting = waitingByKey.get(arrival.key());
                if (waiting != null) {
                    waiting.add(hand);
                    return;
                }
                waitingByKey.put(arrival.key(), new ArrayDeque<>());
            }
        }
        handIn(hand);
    }

    private synchronized int chooseNode(PendingRecord hand) {
        int first = Math.floorMod(hand.arrival.key() != null ? hand.arrival.key().hashCode() : hand.recordNumber,
                nodeUnavailable.length);
        for (int i = 0; i < nodeUnavailable.length; i++) {
            int node = (first + i) % nodeUnavailable.length;
            if (!nodeUnavailable[node]) {
                return node;
            }
        }
        return first;
    }

    private void handIn(PendingRecord hand) {
        int node = chooseNode(hand);
        String id;
        ClientConnection free;
        synchronized (this) {
            hand.attempts++;
            id = String.format("%016x", random.nextLong());
            do {
                free = hand.extra ? null : idleConnections.get(node).pollLast();
            } while (free != null && !free.isOpen());
        }
        if (free != null) {
            free.sendRequest(hand, id);
        } else {
            connectAndHandIn(node, hand, id);
        }
    }

    private void connectAndHandIn(int node, PendingRecord hand, String id) {
        if (connectionCounts[node].get() >= experiment.clients().connections()) {
            retryOrFinish(hand, null, 0);
            return;
        }
        connectionCounts[node].incrementAndGet();
        reactor.connect(nodeAddresses.get(node), experiment.clients().patience().micros(),
                session -> new ClientConnection(session, node, hand, id), () -> {
                    connectionCounts[node].decrementAndGet();
                    retryOrFinish(hand, null, 0); // never handed in, so no response is missing
                });
    }

    /**
     * Hands the record in again if that is allowed and there is time, else finishes it. The retry is the value of the header
     * Client-Retry for the next attempt; null leaves the header as it was.
     */
    private void retryOrFinish(PendingRecord hand, String retry, long toldWait) {
        long at = TaskScheduler.nowMicros() + Math.max(experiment.clients().again().micros(), toldWait);
        boolean again = hand.attempts < experiment.clients().tries() && at < hand.deadlineMicros()
                && (!"again".equals(retry) || hand.serviceGrade().effect() != RepeatSemantics.UNREPEATABLE);
        if (again) {
            hand.clientRetry = retry != null ? retry : hand.clientRetry;
            scheduler.schedule(at, () -> handIn(hand));
        } else {
            finish(hand, "1".equals(retry) ? 1 : 0);
        }
    }

    /** Finishes a record: 2 accepted, 1 refused, 0 without a response, -1 failed. */
    private void finish(PendingRecord hand, int how) {
        PendingRecord next = null;
        synchronized (this) {
            openRecordCount--;
            acceptedCount += how == 2 ? 1 : 0;
            refusedCount += how == 1 ? 1 : 0;
            unansweredCount += how == 0 ? 1 : 0;
            failedCount += how == -1 ? 1 : 0;
            if (hand.arrival.key() != null) {
                next = waitingByKey.get(hand.arrival.key()).poll();
                if (next == null) {
                    waitingByKey.remove(hand.arrival.key());
                }
            }
        }
        if (next != null) {
            PendingRecord one = next;
            scheduler.schedule(TaskScheduler.nowMicros(), () -> handIn(one));
        }
    }

    /** A client's connection to a node, with at most one pending record at a time. */
    private final class ClientConnection extends RawHttpConnection {
        private final int node;
        private PendingRecord pendingRecord;
        private HandedInRecord handed;
        private boolean hasReceivedResponse;
        private boolean carriesResend;
        private long requestCount;

        ClientConnection(IOSession session, int node, PendingRecord hand, String id) {
            super(session);
            this.node = node;
            this.pendingRecord = hand;
            handed = new HandedInRecord(id, 0, node, 0, 0, null, 0, null, 0, 0, 0, 0, false);
        }

        @Override
        protected void onOpen() {
            sendRequest(pendingRecord, handed.id());
        }

        /** Sends a record; the client's patience starts now. */
        void sendRequest(PendingRecord one, String id) {
            long now = TaskScheduler.nowMicros();
            long left = Math.max(1, one.deadlineMicros() - now);
            boolean marked = one.serviceGrade().effect() == RepeatSemantics.DEDUPLICATED;
            HandedInRecord out = new HandedInRecord(id, one.recordNumber, node, one.gradeIndex, one.tenantIndex,
                    one.arrival.key(), one.arrival.destination(), marked ? idempotencyKey(one.recordNumber) : null,
                    one.dueMicros, now, left / 1000 * 1000, one.arrival.bytes(), one.extra);
            synchronized (this) {
                pendingRecord = one;
                handed = out;
                requestCount++;
            }
            eventLog.add(ObservedEvent.ofClient(now, EventType.HANDED_IN, out, 0, one.clientRetry));
            if (!one.extra && drawForeignRequest()) {
                eventLog.add(ObservedEvent.ofClient(now, EventType.FOREIGN, out, 0, null));
                misbehavingClients.sendForeignRequest(node, id, one.arrival);
                scheduler.schedule(now + FOREIGN_REQUEST_LEAD_MICROS, () -> write(encodeRequest(one, out)));
            } else {
                write(encodeRequest(one, out));
            }
            long number = requestCount;
            scheduler.schedule(now + experiment.clients().patience().micros(), () -> onResponseTimeout(number));
        }

        private byte[] encodeRequest(PendingRecord one, HandedInRecord out) {
            StringBuilder fields = new StringBuilder(256).append("Host: app.svc\r\nRequest-Id: ").append(out.id())
                    .append("\r\nTenant: ").append(one.arrival.tenant()).append("\r\nRequest-Timeout-Ms: ")
                    .append(out.timeout() / 1000).append("\r\nX-Consignee: dest=").append(out.destination()).append("\r\n");
            if (out.key() != null) {
                fields.append("Cookie: key=").append(out.key()).append("\r\n");
            }
            if (out.mark() != null) {
                fields.append("Idempotency-Key: ").append(out.mark()).append("\r\n");
            }
            if (one.clientRetry != null) {
                fields.append("Client-Retry: ").append(one.clientRetry).append("\r\n");
            }
            byte[] body = BODY.substring(0, one.arrival.bytes()).getBytes(StandardCharsets.US_ASCII);
            return RawHttpMessage.encode("POST /" + one.arrival.grade() + " HTTP/1.1", fields.toString(), body);
        }

        private String idempotencyKey(int message) {
            return String.format("%016x%016x", experiment.seed(), message);
        }

        private PendingRecord takePendingRecord() {
            synchronized (this) {
                PendingRecord one = pendingRecord;
                pendingRecord = null;
                return one;
            }
        }

        private void onResponseTimeout(long number) {
            PendingRecord one;
            synchronized (this) {
                if (requestCount != number || pendingRecord == null) {
                    return;
                }
                one = takePendingRecord();
            }
            eventLog.add(ObservedEvent.ofClient(TaskScheduler.nowMicros(), EventType.CLIENT_LEFT, handed, 0, "waited enough"));
            reset();
            retryOrFinish(one, "again", 0);
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            HandedInRecord mine = handed;
            PendingRecord one = takePendingRecord();
            if (one == null) {
                reset();
                return;
            }
            long now = TaskScheduler.nowMicros();
            int status = message.status();
            eventLog.add(ObservedEvent.ofClient(now, EventType.ANSWERED, mine, status, null));
            hasReceivedResponse = true;
            boolean taken = status == 202 || status == 200;
            if (taken) {
                synchronized (EmulatedClients.this) {
                    latencyFromDue.recordValue(Math.min(600_000_000L, now - one.dueMicros));
                    latencyFromSent.recordValue(Math.min(600_000_000L, now - mine.sent()));
                }
            }
            if (one.extra || "close".equalsIgnoreCase(message.header("Connection"))) {
                close();
            } else {
                synchronized (EmulatedClients.this) {
                    idleConnections.get(node).add(this);
                }
            }
            if (taken) {
                finish(one, 2);
            } else if (status == 503 || status == 429) {
                retryOrFinish(one, "1", parseRetryAfterMicros(message.header("Retry-After")));
            } else {
                finish(one, -1);
            }
        }

        private long parseRetryAfterMicros(String told) {
            try {
                return told == null ? 0 : Math.round(Double.parseDouble(told) * 1e6);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        protected void onClosed() {
            connectionCounts[node].decrementAndGet();
            synchronized (EmulatedClients.this) {
                idleConnections.get(node).remove(this);
            }
            HandedInRecord mine = handed;
            PendingRecord one = takePendingRecord();
            if (one == null) {
                return;
            }
            long now = TaskScheduler.nowMicros();
            // the node's close crossed the request
            if (hasReceivedResponse && !carriesResend && now - mine.sent() < CLOSE_RACE_WINDOW_MICROS) {
                eventLog.add(ObservedEvent.ofClient(now, EventType.SENT_ONCE_MORE, mine, 0, null));
                resend(one, mine.id());
                return;
            }
            eventLog.add(ObservedEvent.ofClient(now, EventType.BROKEN, mine, 0,
                    hasReceivedResponse ? "owed" : "first request of its connection"));
            retryOrFinish(one, "again", 0);
        }

        private void resend(PendingRecord one, String id) {
            connectionCounts[node].incrementAndGet();
            reactor.connect(nodeAddresses.get(node), experiment.clients().patience().micros(), session -> {
                ClientConnection side = new ClientConnection(session, node, one, id);
                side.carriesResend = true;
                return side;
            }, () -> {
                connectionCounts[node].decrementAndGet();
                eventLog.add(ObservedEvent.ofClient(TaskScheduler.nowMicros(), EventType.CLIENT_LEFT, handed, 0,
                        "its second connection never came up"));
                retryOrFinish(one, "again", 0);
            });
        }
    }
}
