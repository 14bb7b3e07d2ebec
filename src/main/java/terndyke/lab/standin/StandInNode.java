package terndyke.lab.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import terndyke.lab.run.NodeUnderTest;
import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * A simple replacement for a node that keeps the rules, or breaks exactly one of them on purpose, to check that the referee
 * detects it. It keeps no journal, sends no copies and learns nothing, so it is no reference for a node's decisions.
 */
public final class StandInNode implements NodeUnderTest {
    /** The rule that the stand-in breaks, and how. */
    public enum Fault {
        NONE,
        /** Rule 1: every tenth accepted record is dropped after the 202 to its client, unless it has a key. */
        LOSES,
        /** Rule 2: a shot that ended in an error is repeated, even for unrepeatable records. */
        REPEATS,
        /** Rule 3: endpoint states in the list are ignored. */
        IGNORES_DRAINS,
        /** Rule 4: a recovering receiver gets all pending calls at once. */
        PUSHES,
        /** Rule 5: records of one key are sent without keeping their order. */
        DISORDERS,
        /** Rule 6: Retry-After of receivers is ignored. */
        IGNORES_WAITS
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final long BACKOFF_MICROS = 250_000;
    private static final long CALL_TIMEOUT_MICROS = 1_500_000;
    private static final long SLOW_START_MICROS = 4_000_000;

    private final InetSocketAddress listenAddress;
    private final SocketReactor reactor;
    private final Fault fault;
    private final TaskScheduler scheduler = new TaskScheduler("terndyke-lab-stand-in");
    private final InetSocketAddress agentAddress;
    private final boolean[] inOrder;
    private final String[] semantics;
    private final List<String> gradeNames = new ArrayList<>();
    private final int slots;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, Long> waitUntilByDestination = new HashMap<>();
    private final Map<String, ArrayDeque<PendingRecord>> waitingByKey = new HashMap<>();
    private final CountDownLatch endLatch = new CountDownLatch(1);
    private final List<ListenerEndpoint> listeners = new ArrayList<>();
    private long revision;
    private long acceptedCount;
    private int callsOut;
    private boolean stopping;

    /** An endpoint of the list, and what is known of its availability. */
    private static final class Endpoint {
        String uid;
        InetSocketAddress address;
        String hall;
        int destination;
        boolean active;
        long backoffUntilMicros;
        long failedAtMicros = Long.MIN_VALUE / 2;
    }

    /** An accepted record whose outcome is not known yet. */
    private static final class PendingRecord {
        String id;
        String key;
        String idempotencyKey;
        int grade;
        int destination;
        long deadlineMicros;
        byte[] body;
        boolean mayHaveExecuted;
        String hall;
        int nextEndpointIndex;
    }

    /** @param configurationText the text of a node's configuration file, in the platform's JSON format */
    public StandInNode(InetSocketAddress listenAddress, SocketReactor reactor, String configurationText, Fault fault)
                throws IOException {
        this.listenAddress = listenAddress;
        this.reactor = reactor;
        this.fault = fault;
        JsonNode configuration = JSON.readTree(configurationText);
        agentAddress = parseAddress(configuration.path("discovery").asText());
        JsonNode grades = configuration.path("settings").path("classes");
        inOrder = new boolean[grades.size()];
        semantics = new String[grades.size()];
        for (int i = 0; i < inOrder.length; i++) {
            gradeNames.add(grades.get(i).path("name").asText());
            inOrder[i] = grades.get(i).path("serialByKey").asBoolean();
            semantics[i] = grades.get(i).path("semantics").asText();
        }
        slots = configuration.path("settings").path("familyInfo").path("callsOut").asInt();
        applyList(configuration.path("known"));
    }

    /** Parses an address of the form host:port. */
    private static InetSocketAddress parseAddress(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    private synchronized void applyList(JsonNode list) throws IOException {
        revision = list.path("rev").asLong();
        for (JsonNode target : list.path("targets")) {
            Endpoint endpoint = endpoints.computeIfAbsent(target.path("uid").asText(), uid -> new Endpoint());
            endpoint.uid = target.path("uid").asText();
            endpoint.address = parseAddress(target.path("endpoint").asText());
            endpoint.hall = target.path("az").asText();
            endpoint.destination = target.path("pod_group").asInt();
            endpoint.active = target.path("state").asText().equals("active") || fault == Fault.IGNORES_DRAINS;
        }
    }

    @Override
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    @Override
    public void start() throws IOException {
        listeners.add(reactor.listen(listenAddress, ClientConnection::new));
        startWatch();
    }

    private void startWatch() {
        reactor.connect(agentAddress, CALL_TIMEOUT_MICROS, WatchConnection::new,
                () -> scheduler.schedule(TaskScheduler.nowMicros() + BACKOFF_MICROS, this::startWatch));
    }

    @Override
    public boolean awaitReady(long timeoutMillis) {
        return true;
    }

    @Override
    public void sendSignal(String name) {
        if (name.equals("TERM") || name.equals("KILL")) {
            destroy();
        }
    }

    @Override
    public boolean awaitExit(long timeoutMillis) throws InterruptedException {
        return endLatch.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean isRunning() {
        return endLatch.getCount() > 0;
    }

    @Override
    public long pid() {
        return 0;
    }

    @Override
    public void writeConfiguration() { }

    @Override
    public void setDiskFull(boolean full) { }

    @Override
    public synchronized void destroy() {
        stopping = true;
        listeners.forEach(listener -> listener.close(CloseMode.IMMEDIATE));
        scheduler.close();
        endLatch.countDown();
    }

    private void acceptRecord(PendingRecord record) {
        acceptedCount++;
        if (fault == Fault.LOSES && acceptedCount % 10 == 0 && record.key == null) {
            return;
        }
        if (inOrder[record.grade] && record.key != null && fault != Fault.DISORDERS) {
            ArrayDeque<PendingRecord> waiting = waitingByKey.get(record.key);
            if (waiting != null) {
                waiting.add(record);
                return;
            }
            waitingByKey.put(record.key, new ArrayDeque<>());
        }
        sendOrWait(record);
    }

    /** Sends a record if it may be sent now; otherwise tries again later, or gives it up when its time is over. */
    private synchronized void sendOrWait(PendingRecord record) {
        long now = TaskScheduler.nowMicros();
        if (stopping) {
            return;
        }
        if (now > record.deadlineMicros - 60_000
                || record.mayHaveExecuted && semantics[record.grade].equals("fragile") && fault != Fault.REPEATS) {
            sendNotice(record, "dead");
            return;
        }
        Endpoint endpoint = chooseEndpoint(record, now);
        if (endpoint == null || callsOut >= slots) {
            scheduler.schedule(now + 20_000, () -> sendOrWait(record));
            return;
        }
        callsOut++;
        limitRateWhileWarmingUp(endpoint, now);
        reactor.connect(endpoint.address, 500_000, session -> new ShotConnection(session, record, endpoint), () -> {
            synchronized (this) {
                callsOut--;
                backOff(endpoint, TaskScheduler.nowMicros());
                scheduler.schedule(TaskScheduler.nowMicros() + 50_000, () -> sendOrWait(record));
            }
        });
    }

    private void backOff(Endpoint endpoint, long now) {
        endpoint.backoffUntilMicros = now + BACKOFF_MICROS;
        endpoint.failedAtMicros = now;
    }

    /** After a failure, an endpoint gets only one call per backoff interval until it has warmed up. */
    private void limitRateWhileWarmingUp(Endpoint endpoint, long now) {
        if (now < endpoint.failedAtMicros + SLOW_START_MICROS && fault != Fault.PUSHES) {
            endpoint.backoffUntilMicros = now + BACKOFF_MICROS;
        }
    }

    private Endpoint chooseEndpoint(PendingRecord record, long now) {
        if (waitUntilByDestination.getOrDefault(record.destination, 0L) > now && fault != Fault.IGNORES_WAITS) {
            return null;
        }
        List<Endpoint> available = endpoints.values().stream().filter(endpoint -> endpoint.destination == record.destination
                && endpoint.active && endpoint.backoffUntilMicros <= now
                && (!record.mayHaveExecuted || !semantics[record.grade].equals("dedup")
                        || endpoint.hall.equals(record.hall))).toList();
        return available.isEmpty() ? null : available.get(Math.floorMod(record.nextEndpointIndex++, available.size()));
    }

    private void sendNotice(PendingRecord record, String result) {
        reactor.connect(agentAddress, CALL_TIMEOUT_MICROS, session -> new NoticeConnection(session, record, result),
                () -> scheduler.schedule(TaskScheduler.nowMicros() + BACKOFF_MICROS, () -> sendNotice(record, result)));
    }

    private synchronized void releaseNextOfKey(PendingRecord record, boolean delayed) {
        if (record.key == null || !inOrder[record.grade] || fault == Fault.DISORDERS) {
            return;
        }
        PendingRecord next = waitingByKey.get(record.key).poll();
        if (next == null) {
            waitingByKey.remove(record.key);
        } else {
            scheduler.schedule(TaskScheduler.nowMicros() + (delayed ? 200_000 : 0), () -> sendOrWait(next));
        }
    }

    /** A connection from a client. */
    private final class ClientConnection extends RawHttpConnection {
        ClientConnection(IOSession session) {
            super(session);
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            int grade = gradeNames.indexOf(message.target().substring(1));
            String destination = message.header("x-consignee");
            if (grade < 0 || destination == null) {
                write(RawHttpMessage.encode("HTTP/1.1 400 -", "", EMPTY_BODY));
                return;
            }
            PendingRecord record = new PendingRecord();
            record.id = message.header("request-id");
            String cookie = message.header("cookie");
            record.key = cookie == null ? null : cookie.substring(cookie.indexOf('=') + 1);
            record.idempotencyKey = message.header("idempotency-key");
            record.grade = grade;
            record.destination = Integer.parseInt(destination.substring(destination.indexOf('=') + 1));
            record.deadlineMicros = TaskScheduler.nowMicros() + Long.parseLong(message.header("request-timeout-ms")) * 1000;
            record.body = message.body();
            write(RawHttpMessage.encode("HTTP/1.1 202 -", "", EMPTY_BODY));
            synchronized (StandInNode.this) {
                acceptRecord(record);
            }
        }
    }

    /** A call to an endpoint, on its own connection. */
    private final class ShotConnection extends RawHttpConnection {
        private final PendingRecord pendingRecord;
        private final Endpoint endpoint;
        private boolean answered;

        ShotConnection(IOSession session, PendingRecord pendingRecord, Endpoint endpoint) {
            super(session);
            this.pendingRecord = pendingRecord;
            this.endpoint = endpoint;
        }

        @Override
        protected void onOpen() {
            synchronized (StandInNode.this) {
                boolean mustWait = waitUntilByDestination.getOrDefault(pendingRecord.destination, 0L) > TaskScheduler.nowMicros()
                        && fault != Fault.IGNORES_WAITS;
                if (mustWait || !endpoint.active) { // changed while the connection was being established
                    answered = true;
                    callsOut--;
                    scheduler.schedule(TaskScheduler.nowMicros() + 20_000, () -> sendOrWait(pendingRecord));
                    reset();
                    return;
                }
            }
            String idempotencyHeader = pendingRecord.idempotencyKey == null
                    ? "" : "Idempotency-Key: " + pendingRecord.idempotencyKey + "\r\n";
            write(RawHttpMessage.encode("POST /events HTTP/1.1",
                    "Host: x\r\nRequest-Id: " + pendingRecord.id + "\r\n" + idempotencyHeader
                    + "Request-Timeout-Ms: 1500\r\n", pendingRecord.body));
            scheduler.schedule(TaskScheduler.nowMicros() + CALL_TIMEOUT_MICROS, this::reset);
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            synchronized (StandInNode.this) {
                if (answered) {
                    return;
                }
                answered = true;
                callsOut--;
                long now = TaskScheduler.nowMicros();
                switch (message.status()) {
                    case 200 -> releaseNextOfKey(pendingRecord, false);
                    case 429, 503 -> {
                        String retryAfter = message.header("retry-after");
                        if (retryAfter != null) {
                            waitUntilByDestination.merge(pendingRecord.destination,
                                    now + Math.round(Double.parseDouble(retryAfter) * 1e6) + 20_000, Math::max);
                        } else {
                            backOff(endpoint, now);
                        }
                        scheduler.schedule(now + 50_000, () -> sendOrWait(pendingRecord));
                    }
                    default -> handleFailure();
                }
            }
            reset();
        }

        private void handleFailure() {
            pendingRecord.mayHaveExecuted = true;
            pendingRecord.hall = endpoint.hall;
            backOff(endpoint, TaskScheduler.nowMicros());
            scheduler.schedule(TaskScheduler.nowMicros() + 150_000, () -> sendOrWait(pendingRecord));
        }

        @Override
        protected void onClosed() {
            synchronized (StandInNode.this) {
                if (!answered) {
                    answered = true;
                    callsOut--;
                    handleFailure();
                }
            }
        }
    }

    /** A notice to the platform, on its own connection. */
    private final class NoticeConnection extends RawHttpConnection {
        private final PendingRecord pendingRecord;
        private final String result;
        private boolean acknowledged;

        NoticeConnection(IOSession session, PendingRecord pendingRecord, String result) {
            super(session);
            this.pendingRecord = pendingRecord;
            this.result = result;
        }

        @Override
        protected void onOpen() {
            write(RawHttpMessage.encode("POST /v2/finals HTTP/1.1", "Host: x\r\n", String.format(Locale.ROOT,
                    "{\"ref\":\"%s\",\"result\":\"%s\"}%n", pendingRecord.id, result).getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            acknowledged = message.status() == 204;
            reset();
            if (acknowledged) {
                releaseNextOfKey(pendingRecord, pendingRecord.mayHaveExecuted);
            }
        }

        @Override
        protected void onClosed() {
            if (!acknowledged) {
                scheduler.schedule(TaskScheduler.nowMicros() + BACKOFF_MICROS, () -> sendNotice(pendingRecord, result));
            }
        }
    }

    /** The connection that watches the list at discovery. */
    private final class WatchConnection extends RawHttpConnection {
        WatchConnection(IOSession session) {
            super(session);
        }

        @Override
        protected void onOpen() {
            write(("GET /catalog/members?after=" + revision + "&wait_ms=20000 HTTP/1.1\r\nHost: x\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            try {
                applyList(JSON.readTree(message.body()));
            } catch (IOException e) {
                reset();
                return;
            }
            onOpen();
        }

        @Override
        protected void onClosed() {
            if (!stopping) {
                scheduler.schedule(TaskScheduler.nowMicros() + BACKOFF_MICROS, StandInNode.this::startWatch);
            }
        }
    }
}
