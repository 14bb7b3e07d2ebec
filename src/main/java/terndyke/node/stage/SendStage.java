package terndyke.node.stage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import terndyke.api.Action;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.ResponseDefect;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.journal.JournalEntry;

/** Fourth stage: sends shots and probes as calls, and reports their results to the decision module as events. */
public final class SendStage {
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final float[] NO_REPORT = new float[0];

    private final Limits limits;
    private final Counters counters;
    private final EndpointRegistry endpointRegistry;
    private final ConnectionPool connectionPool;
    private final DecisionStage decisionStage;
    private final RecordStore recordStore;
    private final TimerQueue timers;
    private final List<String> reportFields;
    private final NodeLog log;
    private final DecisionLoop decisionLoop;
    private final Map<ConnectionPool.PooledConnection, CancelledCall> cancelledCalls; // whose connections are not closed yet
    private int probesInFlight;

    public SendStage(Limits limits, Counters counters, EndpointRegistry endpointRegistry, ConnectionPool connectionPool,
            DecisionStage decisionStage, RecordStore recordStore, TimerQueue timers, List<String> reportFields, NodeLog log,
            DecisionLoop decisionLoop) {
        this.limits = limits;
        this.counters = counters;
        this.endpointRegistry = endpointRegistry;
        this.connectionPool = connectionPool;
        this.decisionStage = decisionStage;
        this.recordStore = recordStore;
        this.timers = timers;
        this.reportFields = reportFields;
        this.log = log;
        this.decisionLoop = decisionLoop;
        cancelledCalls = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<ConnectionPool.PooledConnection, CancelledCall> eldest) {
                return size() > limits.maxEndpointConnections();
            }
        };
    }

    /** Journals a shot and starts its call. A shot that cannot be sent is reported as NOT_SENT. */
    void sendShot(TrackedRecord record, Action.SendShot action, long now) {
        long endpointNumber = action.endpoint();
        long deadline = action.deadline();
        if (record == null) {
            decisionStage.addEvent(new Event.ShotEnded(action.id(), 0, endpointNumber, Ending.NOT_SENT, 0, 0, false, true,
                    NO_REPORT));
            return;
        }
        EndpointRegistry.Endpoint endpoint = endpointRegistry.findEndpoint(endpointNumber);
        TrackedRecord.Shot shot = new TrackedRecord.Shot(record.shots.size(), endpointNumber,
                endpoint == null ? "" : endpoint.uid(), endpoint == null ? 0 : endpoint.zone(), now);
        record.shots.add(shot);
        boolean canSend = endpoint != null && endpoint.destination() == record.entry.destination() && record.isOpen()
                && deadline > now && action.startBy() > decisionLoop.now();
        if (!canSend) {
            complete(record, shot, endpointNumber, Ending.NOT_SENT, now, 0, false, NO_REPORT);
            return;
        }
        if (!recordStore.journalShot(record, shot)) {
            // reported after a delay, so that a full disk does not use up all shots of a record at once
            timers.schedule(now + limits.journalFailureDelayMicros(),
                    () -> complete(record, shot, endpointNumber, Ending.NOT_SENT, decisionLoop.now(), 0, true, NO_REPORT));
            return;
        }
        counters.add(Counter.SHOTS);
        long openedBefore = log.isTracing() ? counters.get(Counter.CONNECTIONS_OPENED) : 0;
        try {
            shot.connection = connectionPool.startCall(endpoint.peer(),
                    buildCall(record, endpoint.peer(), deadline - now, action.startBy()), now, decisionLoop.eventsHandledUntil(),
                    new ShotListener(record, shot, endpointNumber));
        } catch (RuntimeException e) {
            complete(record, shot, endpointNumber, Ending.RESET, now, 0, false, NO_REPORT); // it may have been started
            throw e;
        }
        if (shot.connection == null) {
            complete(record, shot, endpointNumber, Ending.NOT_SENT, now, 0, true, NO_REPORT);
        } else {
            timers.schedule(deadline, () -> cancelShot(record, shot, endpointNumber, Ending.TIMED_OUT));
        }
        if (log.isTracing()) {
            log.trace(now, "shot", record.entry.number(), shot.number, endpoint.uid(), endpoint.destination(),
                    counters.get(Counter.CONNECTIONS_OPENED) > openedBefore ? "new" : "kept",
                    shot.connection == null ? "" : shot.connection.describe(), "key " + record.keyText());
        }
    }

    /** Posts what becomes of a shot's call to the decision thread. */
    private final class ShotListener implements Call.ResultListener {
        private final TrackedRecord record;
        private final TrackedRecord.Shot shot;
        private final long endpointNumber;

        private ShotListener(TrackedRecord record, TrackedRecord.Shot shot, long endpointNumber) {
            this.record = record;
            this.shot = shot;
            this.endpointNumber = endpointNumber;
        }

        @Override
        public void onResult(Call.Result result) {
            decisionLoop.post(new LoopEvent.ShotCompleted(record, shot, endpointNumber, result, decisionLoop.now()));
        }

        @Override
        public void onDeliveryContradicted() {
            decisionLoop.post(new LoopEvent.DeliveryContradicted(record, shot));
        }
    }

    private static Call buildCall(TrackedRecord record, ConnectionPool.Peer peer, long timeoutMicros, long startBy) {
        List<String> headers = new ArrayList<>(List.of("Host", peer.hostHeader(), "Request-Id", record.entry.id()));
        if (record.entry.idempotencyKey() != null) {
            headers.addAll(List.of("Idempotency-Key", record.entry.idempotencyKey()));
        }
        headers.addAll(List.of("Request-Timeout-Ms", Long.toString(Math.max(1, timeoutMicros / 1000)),
                "Content-Length", Integer.toString(record.entry.body().length)));
        return new Call("POST", "/events", headers.toArray(String[]::new), record.entry.body(), startBy);
    }

    /** Recalls one shot at the request of the decision module. */
    void recallShot(TrackedRecord record, int shotNumber) {
        if (shotNumber < record.shots.size()) {
            TrackedRecord.Shot shot = record.shots.get(shotNumber);
            cancelShot(record, shot, shot.endpointNumber, Ending.RECALLED);
        }
    }

    private void cancelShot(TrackedRecord record, TrackedRecord.Shot shot, long endpointNumber, Ending ending) {
        if (shot.ending == null && shot.connection != null) {
            // once the record has ended, a connection that was not established in time says nothing about the endpoint
            Ending endingWithoutConnection = shot.connection.lacksLocalResource() ? Ending.NOT_SENT : Ending.NOT_CONNECTED;
            boolean notConnected = connectionPool.cancelCall(shot.connection) && record.isOpen();
            Ending actualEnding = notConnected ? endingWithoutConnection : ending;
            if (record.isOpen()) {
                log.infoAboutRecord(describeShot(record, shot, actualEnding, decisionLoop.now()));
            }
            cancelledCalls.put(shot.connection, new CancelledCall(record.entry.key(), decisionLoop.now()));
            complete(record, shot, endpointNumber, actualEnding, decisionLoop.now(), 0, false, NO_REPORT);
        }
    }

    /** A call that was given up, and the key of its record. */
    private record CancelledCall(long key, long cancelledAt) { }

    /**
     * Handles the close of a connection, which is the work of the I/O thread. The call on it that was given up may have run until
     * now; if that took long, the dispatcher has to know, so that the key rests from now on.
     */
    void handleConnectionReleased(ConnectionPool.PooledConnection connection) {
        CancelledCall cancelled = cancelledCalls.remove(connection);
        if (cancelled == null) {
            return;
        }
        long closeMicros = decisionLoop.now() - cancelled.cancelledAt();
        counters.recordMaximum(Counter.LONGEST_CLOSE, closeMicros);
        if (closeMicros >= limits.lateCloseThresholdMicros() && cancelled.key() != 0) {
            log.warn(connection.describe() + " closed " + closeMicros / 1000 + " ms after its call was given up");
            decisionStage.addEvent(new Event.CallClosedLate(cancelled.key()));
        }
    }

    /** Handles the result of a shot's call. */
    void handleResult(LoopEvent.ShotCompleted shotCompleted) {
        if (shotCompleted.shot().ending == null) {
            Call.Result result = shotCompleted.result();
            Ending ending = toEnding(result);
            if (ending == Ending.ERROR || result.ending() != null || result.defect() != ResponseDefect.NONE) {
                log.infoAboutRecord(describeShot(shotCompleted.trackedRecord(), shotCompleted.shot(), ending,
                        shotCompleted.completedAt())
                        + ", status " + result.status() + ", response defect " + result.defect());
            }
            if (result.status() == 410) {
                log.infoAboutRecord("message " + shotCompleted.trackedRecord().entry.id()
                        + " withdrawn: status 410 from the endpoint");
                recordStore.endRecord(shotCompleted.trackedRecord(), JournalEntry.RecordOutcome.WITHDRAWN, 0);
            }
            complete(shotCompleted.trackedRecord(), shotCompleted.shot(), shotCompleted.endpointNumber(), ending,
                    shotCompleted.completedAt(),
                    ending == Ending.FULL || ending == Ending.RESET || ending == Ending.RECALLED ? result.retryAfterMicros() : 0,
                    ending == Ending.NOT_SENT && result.lineBusy(),
                    parseReport(result.serverLoad(), reportFields));
        }
    }

    private void complete(TrackedRecord record, TrackedRecord.Shot shot, long endpointNumber, Ending ending, long completedAt,
            long retryAfterMicros, boolean noFreeSlot, float[] report) {
        counters.add(Counter.valueOf(ending.name()));
        if (log.isTracing()) {
            log.trace(completedAt, "over", record.entry.number(), shot.number, shot.endpointUid, record.entry.destination(),
                    ending, completedAt - shot.firedAt, retryAfterMicros);
        }
        boolean delivered = ending == Ending.DONE && record.isOpen();
        if (delivered && isCertainlyInTime(record, completedAt)) {
            shot.ending = ending;
            shot.connection = null;
            recordStore.endRecord(record, JournalEntry.RecordOutcome.DONE, 0);
            counters.add(Counter.ENDED_DONE);
        } else {
            counters.add(Counter.DONE_LATE, delivered ? 1 : 0);
            recordStore.endShot(record, shot, ending);
        }
        decisionStage.addEvent(new Event.ShotEnded(record.entry.number(), shot.number, endpointNumber, ending, Math.max(0,
                completedAt - shot.firedAt), retryAfterMicros, noFreeSlot, record.outcome != null, report));
    }

    /**
     * False if the record's time may be over for its client. The time counts from when the client sent the record, and the
     * node knows only when it received it. That is later by no more than the client waits for the answer to its request.
     */
    private boolean isCertainlyInTime(TrackedRecord record, long completedAt) {
        return completedAt < record.entry.abandonAt() - limits.clientResponseTimeoutMicros();
    }

    private static String describeShot(TrackedRecord record, TrackedRecord.Shot shot, Ending ending, long completedAt) {
        return "attempt " + shot.number + " of " + record.entry.id() + " at " + shot.endpointUid + ": " + ending + " after "
                + (completedAt - shot.firedAt) / 1000 + " ms" + (record.entry.key() == 0 ? "" : ", key " + record.keyText())
                + (shot.connection == null ? "" : " on " + shot.connection.describe());
    }

    /** Maps the result of a call to an ending; an unknown status is an error. */
    static Ending toEnding(Call.Result result) {
        if (result.ending() != null) {
            return result.ending();
        }
        return switch (result.status()) {
            case 200 -> Ending.DONE;
            case 429 -> Ending.FULL;
            // a first call that is refused with its connection closed says nothing about the destination's limit: the
            // endpoint's connection table may be full of other nodes' connections, which must not be mistaken for that limit.
            // This misjudges a destination that also closes the connection when its limit is reached
            case 503 -> result.lineBusy() ? Ending.NOT_SENT
                    : result.connectionRejected() && result.retryAfterMicros() == 0 ? Ending.CROWDED : Ending.FULL;
            case 410, 504 -> Ending.NOT_SENT;
            default -> Ending.ERROR;
        };
    }

    /**
     * Parses a load report such as x0=0.4,x1=25 into values in the order of the configured fields. Returns an empty array
     * if a field is missing or a value is not a finite, non-negative number.
     */
    static float[] parseReport(String serverLoad, List<String> reportFields) {
        if (serverLoad == null || reportFields.isEmpty()) {
            return NO_REPORT;
        }
        float[] values = new float[reportFields.size()];
        int fieldsRead = 0;
        for (String pair : serverLoad.split(",")) {
            String[] nameAndValue = pair.strip().split("=", 2);
            int fieldIndex = reportFields.indexOf(nameAndValue[0].strip());
            float value = -1;
            try {
                value = nameAndValue.length == 2 ? Float.parseFloat(nameAndValue[1].strip()) : -1;
            } catch (NumberFormatException e) {
                // not a number: value stays -1, so there is no report
            }
            if (!Float.isFinite(value) || value < 0) {
                return NO_REPORT;
            }
            if (fieldIndex >= 0) {
                values[fieldIndex] = value;
                fieldsRead |= 1 << fieldIndex;
            }
        }
        return Integer.bitCount(fieldsRead) == reportFields.size() ? values : NO_REPORT;
    }

    /** Checks an endpoint by a call that carries no record. */
    void startProbe(long endpointNumber, long now) {
        EndpointRegistry.Endpoint endpoint = endpointRegistry.findEndpoint(endpointNumber);
        if (endpoint == null) {
            return;
        }
        Call call = new Call("GET", "/ping", new String[] {"Host", endpoint.peer().hostHeader()}, EMPTY_BODY);
        PendingProbe probe = new PendingProbe(endpoint, now);
        probe.connection = probesInFlight >= limits.maxConcurrentProbes() ? null
                : connectionPool.startCall(endpoint.peer(), call, now, decisionLoop.eventsHandledUntil(),
                result -> decisionLoop.post(new LoopEvent.ProbeCompleted(probe, result, decisionLoop.now())));
        if (probe.connection == null) {
            decisionStage.addEvent(new Event.ProbeEnded(endpointNumber, Ending.NOT_SENT, 0, NO_REPORT));
            return;
        }
        probesInFlight++;
        counters.add(Counter.PROBES);
        log.trace(now, "probe", endpoint.uid(), endpoint.destination());
        timers.schedule(now + limits.probeTimeoutMicros(), () -> {
            if (!probe.completed) {
                Ending ending = probe.connection.lacksLocalResource() ? Ending.NOT_SENT : Ending.TIMED_OUT;
                connectionPool.cancelCall(probe.connection);
                complete(probe, ending, decisionLoop.now(), NO_REPORT);
            }
        });
    }

    /** Handles the result of a probe. */
    void handleResult(LoopEvent.ProbeCompleted probeCompleted) {
        if (!probeCompleted.pendingProbe().completed) {
            complete(probeCompleted.pendingProbe(), toEnding(probeCompleted.result()), probeCompleted.completedAt(),
                    parseReport(probeCompleted.result().serverLoad(), reportFields));
        }
    }

    private void complete(PendingProbe probe, Ending ending, long completedAt, float[] report) {
        probe.completed = true;
        probesInFlight--;
        log.trace(completedAt, "probed", probe.endpoint.uid(), probe.endpoint.destination(), ending,
                completedAt - probe.startedAt);
        decisionStage.addEvent(new Event.ProbeEnded(probe.endpoint.number(), ending,
                Math.max(0, completedAt - probe.startedAt), report));
    }

    /** A probe in flight. */
    static final class PendingProbe {
        private final EndpointRegistry.Endpoint endpoint;
        private final long startedAt;
        private ConnectionPool.PooledConnection connection;
        private boolean completed;

        private PendingProbe(EndpointRegistry.Endpoint endpoint, long startedAt) {
            this.endpoint = endpoint;
            this.startedAt = startedAt;
        }
    }

    /**
     * Reports a record of the previous run and its shots to the decision module, unless it has ended, its notice is
     * settled and the outcome of every shot is known. Where only that outcome is unknown, no final answer is due any more.
     */
    void restore(TrackedRecord record) {
        boolean outcomeUnknown = record.shots.stream().anyMatch(shot -> shot.ending == null);
        if (record.isOpen() || !record.noticeSettled || outcomeUnknown) {
            decisionStage.addEvent(turnTime -> new Event.RecordRestored(DecisionLoop.toEvent(record, turnTime),
                    describeEarlierShots(record, turnTime), !record.isOpen()));
            if (record.noticeSettled) {
                decisionStage.addEvent(new Event.FinalAnswerDelivered(record.entry.number()));
            }
        }
    }

    private List<Event.EarlierShot> describeEarlierShots(TrackedRecord record, long now) {
        List<Event.EarlierShot> earlierShots = new ArrayList<>();
        for (TrackedRecord.Shot shot : record.shots) {
            EndpointRegistry.Endpoint endpoint = endpointRegistry.findEndpoint(shot.endpointUid);
            earlierShots.add(new Event.EarlierShot(endpoint == null ? -1 : endpoint.number(), shot.zone,
                    Math.max(0, now - shot.firedAt), shot.ending));
        }
        return earlierShots;
    }

    /** Cancels the calls to an endpoint of which nothing has been sent yet. */
    void cancelUnsentCalls(long endpointNumber) {
        EndpointRegistry.Endpoint endpoint = endpointRegistry.findEndpoint(endpointNumber);
        if (endpoint != null) {
            connectionPool.withhold(endpoint.peer());
        }
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpointNumber) {
        EndpointRegistry.Endpoint endpoint = endpointRegistry.findEndpoint(endpointNumber);
        if (endpoint != null) {
            connectionPool.closeIdle(endpoint.peer());
        }
    }
}
