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
 * configured time (patience) and hands the record in again under a new id if it was refused or got no response. Records of one
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

        PendingRecord(int recordNumber, Arrival arrival, long dueMicros, boolean extra) {
            this.recordNumber = recordNumber;
            this.arrival = arrival;
            this.dueMicros = dueMicros;
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

    public EmulatedClients(Experiment experiment, SocketReactor reactor, TaskScheduler scheduler, EventLog eventLog,
            List<InetSocketAddress> nodeAddresses) {
        this.experiment = experiment;
        this.reactor = reactor;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
        this.nodeAddresses = List.copyOf(nodeAddresses);
        gradeNames = experiment.grades().stream().map(Grade::name).toList();
        tenantNames = experiment.tenants().stream().map(Experiment.Tenant::name).toList();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(experiment.seed() * 17 + 3);
        idleConnections = nodeAddresses.stream().map(node -> new ArrayDeque<ClientConnection>()).toList();
        nodeUnavailable = new boolean[nodeAddresses.size()];
        connectionCounts = new AtomicInteger[nodeAddresses.size()];
        for (int i = 0; i < connectionCounts.length; i++) {
            connectionCounts[i] = new AtomicInteger();
        }
    }

    /** The load balancer in front of the nodes has noticed that a node is unavailable, or available again. */
    public synchronized void setNodeUnavailable(int node, boolean unavailable) {
        nodeUnavailable[node] = unavailable;
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
    public synchronized void setForeignRequestShare(MisbehavingClients clients, double share) {
        misbehavingClients = clients;
        foreignRequestShare = share;
    }

    private synchronized boolean drawForeignRequest() {
        return foreignRequestShare > 0 && random.nextDouble() < foreignRequestShare;
    }

    /** A record is due. Extra records, such as those of a flood, are subject to the rules but do not count in the result. */
    public void recordDue(int recordNumber, Arrival arrival, long dueMicros, boolean extra) {
        PendingRecord pendingRecord = new PendingRecord(recordNumber, arrival, dueMicros, extra);
        synchronized (this) {
            openRecordCount++;
            handedInCount++;
            if (arrival.key() != null) {
                ArrayDeque<PendingRecord> waiting = waitingByKey.get(arrival.key());
                if (waiting != null) {
                    waiting.add(pendingRecord);
                    return;
                }
                waitingByKey.put(arrival.key(), new ArrayDeque<>());
            }
        }
        handIn(pendingRecord);
    }

    private synchronized int chooseNode(PendingRecord pendingRecord) {
        int preferredNode = Math.floorMod(
                pendingRecord.arrival.key() != null ? pendingRecord.arrival.key().hashCode() : pendingRecord.recordNumber,
                nodeUnavailable.length);
        for (int i = 0; i < nodeUnavailable.length; i++) {
            int node = (preferredNode + i) % nodeUnavailable.length;
            if (!nodeUnavailable[node]) {
                return node;
            }
        }
        return preferredNode;
    }

    private void handIn(PendingRecord pendingRecord) {
        int node = chooseNode(pendingRecord);
        String id;
        ClientConnection connection;
        synchronized (this) {
            pendingRecord.attempts++;
            id = String.format("%016x", random.nextLong());
            do {
                connection = pendingRecord.extra ? null : idleConnections.get(node).pollLast();
            } while (connection != null && !connection.isOpen());
        }
        if (connection != null) {
            connection.sendRequest(pendingRecord, id);
        } else {
            connectAndHandIn(node, pendingRecord, id);
        }
    }

    private void connectAndHandIn(int node, PendingRecord pendingRecord, String id) {
        if (connectionCounts[node].get() >= experiment.clients().connections()) {
            retryOrFinish(pendingRecord, null, 0);
            return;
        }
        connectionCounts[node].incrementAndGet();
        reactor.connect(nodeAddresses.get(node), experiment.clients().patience().micros(),
                session -> new ClientConnection(session, node, pendingRecord, id), () -> {
                    connectionCounts[node].decrementAndGet();
                    retryOrFinish(pendingRecord, null, 0); // never handed in, so no response is missing
                });
    }

    /**
     * Hands the record in again if that is allowed and there is time, else finishes it. The argument clientRetry is the
     * value of the header Client-Retry for the next attempt; null leaves the header as it was.
     */
    private void retryOrFinish(PendingRecord pendingRecord, String clientRetry, long retryAfterMicros) {
        long nextAttemptMicros = TaskScheduler.nowMicros() + Math.max(experiment.clients().again().micros(), retryAfterMicros);
        boolean handsInAgain = pendingRecord.attempts < experiment.clients().tries()
                && nextAttemptMicros < pendingRecord.deadlineMicros()
                && (!"again".equals(clientRetry) || pendingRecord.serviceGrade().effect() != RepeatSemantics.UNREPEATABLE);
        if (handsInAgain) {
            pendingRecord.clientRetry = clientRetry != null ? clientRetry : pendingRecord.clientRetry;
            scheduler.schedule(nextAttemptMicros, () -> handIn(pendingRecord));
        } else {
            finish(pendingRecord, "1".equals(clientRetry) ? 1 : 0);
        }
    }

    /** Finishes a record: 2 accepted, 1 refused, 0 without a response, -1 failed. */
    private void finish(PendingRecord pendingRecord, int outcome) {
        PendingRecord next = null;
        synchronized (this) {
            openRecordCount--;
            acceptedCount += outcome == 2 ? 1 : 0;
            refusedCount += outcome == 1 ? 1 : 0;
            unansweredCount += outcome == 0 ? 1 : 0;
            failedCount += outcome == -1 ? 1 : 0;
            if (pendingRecord.arrival.key() != null) {
                next = waitingByKey.get(pendingRecord.arrival.key()).poll();
                if (next == null) {
                    waitingByKey.remove(pendingRecord.arrival.key());
                }
            }
        }
        if (next != null) {
            PendingRecord nextRecord = next;
            scheduler.schedule(TaskScheduler.nowMicros(), () -> handIn(nextRecord));
        }
    }

    /** A client's connection to a node, with at most one pending record at a time. */
    private final class ClientConnection extends RawHttpConnection {
        private final int node;
        private PendingRecord pendingRecord;
        private HandedInRecord handedInRecord;
        private boolean hasReceivedResponse;
        private boolean carriesResend;
        private long requestCount;

        ClientConnection(IOSession session, int node, PendingRecord pendingRecord, String id) {
            super(session);
            this.node = node;
            this.pendingRecord = pendingRecord;
            handedInRecord = new HandedInRecord(id, 0, node, 0, 0, null, 0, null, 0, 0, 0, 0, false);
        }

        @Override
        protected void onOpen() {
            sendRequest(pendingRecord, handedInRecord.id());
        }

        /** Sends a record; the client's response timeout starts now. */
        void sendRequest(PendingRecord record, String id) {
            long now = TaskScheduler.nowMicros();
            long remainingMicros = Math.max(1, record.deadlineMicros() - now);
            boolean deduplicated = record.serviceGrade().effect() == RepeatSemantics.DEDUPLICATED;
            HandedInRecord handedIn = new HandedInRecord(id, record.recordNumber, node, record.gradeIndex, record.tenantIndex,
                    record.arrival.key(), record.arrival.destination(), deduplicated ? idempotencyKey(record.recordNumber) : null,
                    record.dueMicros, now, remainingMicros / 1000 * 1000, record.arrival.bytes(), record.extra);
            synchronized (this) {
                pendingRecord = record;
                handedInRecord = handedIn;
                requestCount++;
            }
            eventLog.add(ObservedEvent.ofClient(now, EventType.HANDED_IN, handedIn, 0, record.clientRetry));
            if (!record.extra && drawForeignRequest()) {
                eventLog.add(ObservedEvent.ofClient(now, EventType.FOREIGN, handedIn, 0, null));
                misbehavingClients.sendForeignRequest(node, id, record.arrival);
                scheduler.schedule(now + FOREIGN_REQUEST_LEAD_MICROS, () -> write(encodeRequest(record, handedIn)));
            } else {
                write(encodeRequest(record, handedIn));
            }
            long requestNumber = requestCount;
            scheduler.schedule(now + experiment.clients().patience().micros(), () -> onResponseTimeout(requestNumber));
        }

        private byte[] encodeRequest(PendingRecord record, HandedInRecord handedIn) {
            StringBuilder headers = new StringBuilder(256).append("Host: app.svc\r\nRequest-Id: ").append(handedIn.id())
                    .append("\r\nTenant: ").append(record.arrival.tenant()).append("\r\nRequest-Timeout-Ms: ")
                    .append(handedIn.timeout() / 1000).append("\r\nX-Consignee: dest=").append(handedIn.destination())
                    .append("\r\n");
            if (handedIn.key() != null) {
                headers.append("Cookie: key=").append(handedIn.key()).append("\r\n");
            }
            if (handedIn.mark() != null) {
                headers.append("Idempotency-Key: ").append(handedIn.mark()).append("\r\n");
            }
            if (record.clientRetry != null) {
                headers.append("Client-Retry: ").append(record.clientRetry).append("\r\n");
            }
            byte[] body = BODY.substring(0, record.arrival.bytes()).getBytes(StandardCharsets.US_ASCII);
            return RawHttpMessage.encode("POST /" + record.arrival.grade() + " HTTP/1.1", headers.toString(), body);
        }

        private String idempotencyKey(int recordNumber) {
            return String.format("%016x%016x", experiment.seed(), recordNumber);
        }

        private PendingRecord takePendingRecord() {
            synchronized (this) {
                PendingRecord record = pendingRecord;
                pendingRecord = null;
                return record;
            }
        }

        private void onResponseTimeout(long requestNumber) {
            PendingRecord record;
            synchronized (this) {
                if (requestCount != requestNumber || pendingRecord == null) {
                    return;
                }
                record = takePendingRecord();
            }
            eventLog.add(ObservedEvent.ofClient(TaskScheduler.nowMicros(), EventType.CLIENT_LEFT, handedInRecord, 0,
                    "waited enough"));
            reset();
            retryOrFinish(record, "again", 0);
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            HandedInRecord handedIn = handedInRecord;
            PendingRecord record = takePendingRecord();
            if (record == null) {
                reset();
                return;
            }
            long now = TaskScheduler.nowMicros();
            int status = message.status();
            eventLog.add(ObservedEvent.ofClient(now, EventType.ANSWERED, handedIn, status, null));
            hasReceivedResponse = true;
            boolean accepted = status == 202 || status == 200;
            if (accepted) {
                synchronized (EmulatedClients.this) {
                    latencyFromDue.recordValue(Math.min(600_000_000L, now - record.dueMicros));
                    latencyFromSent.recordValue(Math.min(600_000_000L, now - handedIn.sent()));
                }
            }
            if (record.extra || "close".equalsIgnoreCase(message.header("Connection"))) {
                close();
            } else {
                synchronized (EmulatedClients.this) {
                    idleConnections.get(node).add(this);
                }
            }
            if (accepted) {
                finish(record, 2);
            } else if (status == 503 || status == 429) {
                retryOrFinish(record, "1", parseRetryAfterMicros(message.header("Retry-After")));
            } else {
                finish(record, -1);
            }
        }

        private long parseRetryAfterMicros(String headerValue) {
            try {
                return headerValue == null ? 0 : Math.round(Double.parseDouble(headerValue) * 1e6);
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
            HandedInRecord handedIn = handedInRecord;
            PendingRecord record = takePendingRecord();
            if (record == null) {
                return;
            }
            long now = TaskScheduler.nowMicros();
            // the node's close crossed the request
            if (hasReceivedResponse && !carriesResend && now - handedIn.sent() < CLOSE_RACE_WINDOW_MICROS) {
                eventLog.add(ObservedEvent.ofClient(now, EventType.SENT_ONCE_MORE, handedIn, 0, null));
                resend(record, handedIn.id());
                return;
            }
            eventLog.add(ObservedEvent.ofClient(now, EventType.BROKEN, handedIn, 0,
                    hasReceivedResponse ? "owed" : "first request of its connection"));
            retryOrFinish(record, "again", 0);
        }

        private void resend(PendingRecord record, String id) {
            connectionCounts[node].incrementAndGet();
            reactor.connect(nodeAddresses.get(node), experiment.clients().patience().micros(), session -> {
                ClientConnection connection = new ClientConnection(session, node, record, id);
                connection.carriesResend = true;
                return connection;
            }, () -> {
                connectionCounts[node].decrementAndGet();
                eventLog.add(ObservedEvent.ofClient(TaskScheduler.nowMicros(), EventType.CLIENT_LEFT, handedInRecord, 0,
                        "its second connection never came up"));
                retryOrFinish(record, "again", 0);
            });
        }
    }
}
