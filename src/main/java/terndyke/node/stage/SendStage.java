package terndyke.node.stage;

import java.util.ArrayList;
import java.util.List;

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
    private int probesInFlight;

    public SendStage(Limits limits, Counters counters, EndpointRegistry catalogue, ConnectionPool calls, DecisionStage route,
            RecordStore book, TimerQueue timers, List<String> reportFields, NodeLog log, DecisionLoop desk) {
        this.limits = limits;
        this.counters = counters;
        this.endpointRegistry = catalogue;
        this.connectionPool = calls;
        this.decisionStage = route;
        this.recordStore = book;
        this.timers = timers;
        this.reportFields = reportFields;
        this.log = log;
        this.decisionLoop = desk;
    }

    /** Journals a shot and starts its call. A shot that cannot be sent is reported as NOT_SENT. */
    void sendShot(TrackedRecord owed, Action.SendShot shoot, long now) {
        long endpoint = shoot.endpoint();
        long notPast = shoot.deadline();
        if (owed == null) {
            decisionStage.addEvent(new Event.ShotEnded(shoot.id(), 0, endpoint, Ending.NOT_SENT, 0, 0, false, true, NO_REPORT));
            return;
        }
        EndpointRegistry.Endpoint member = endpointRegistry.findEndpoint(endpoint);
        TrackedRecord.Shot shot = new TrackedRecord.Shot(owed.shots.size(), endpoint, member == null ? "" : member.uid(),
                member == null ? 0 : member.zone(), now);
        owed.shots.add(shot);
        boolean lawful = member != null && member.destination() == owed.entry.destination() && owed.isOpen()
                && notPast > now && shoot.startBy() > decisionLoop.now();
        if (!lawful) {
            complete(owed, shot, endpoint, Ending.NOT_SENT, now, 0, false, NO_REPORT);
            return;
        }
        if (!recordStore.journalShot(owed, shot)) {
            // reported after a delay, so that a full disk does not use up all shots of a record at once
            timers.schedule(now + limits.journalFailureDelayMicros(),
                    () -> complete(owed, shot, endpoint, Ending.NOT_SENT, decisionLoop.now(), 0, true, NO_REPORT));
            return;
        }
        counters.add(Counter.SHOTS);
        long opened = log.isTracing() ? counters.get(Counter.CONNECTIONS_OPENED) : 0;
        shot.connection = connectionPool.startCall(member.peer(),
                buildCall(owed, member.peer(), notPast - now, shoot.startBy()), now,
                result -> decisionLoop.post(new LoopEvent.ShotCompleted(owed, shot, endpoint, result, decisionLoop.now())));
        if (shot.connection == null) {
            complete(owed, shot, endpoint, Ending.NOT_SENT, now, 0, true, NO_REPORT);
        } else {
            timers.schedule(notPast, () -> cancelShot(owed, shot, endpoint, Ending.TIMED_OUT));
        }
        if (log.isTracing()) {
            log.trace(now, "shot", owed.entry.number(), shot.number, member.uid(), member.destination(),
                    counters.get(Counter.CONNECTIONS_OPENED) > opened ? "new" : "kept");
        }
    }

    private static Call buildCall(TrackedRecord owed, ConnectionPool.Peer peer, long wait, long startBy) {
        List<String> headers = new ArrayList<>(List.of("Host", peer.hostHeader(), "Request-Id", owed.entry.id()));
        if (owed.entry.idempotencyKey() != null) {
            headers.addAll(List.of("Idempotency-Key", owed.entry.idempotencyKey()));
        }
        headers.addAll(List.of("Request-Timeout-Ms", Long.toString(Math.max(1, wait / 1000)),
                "Content-Length", Integer.toString(owed.entry.body().length)));
        return new Call("POST", "/events", headers.toArray(String[]::new), owed.entry.body(), startBy);
    }

    /** Recalls one shot at the request of the decision module. */
    void recallShot(TrackedRecord owed, int number) {
        if (number < owed.shots.size()) {
            TrackedRecord.Shot shot = owed.shots.get(number);
            cancelShot(owed, shot, shot.endpointNumber, Ending.RECALLED);
        }
    }

    private void cancelShot(TrackedRecord owed, TrackedRecord.Shot shot, long endpoint, Ending ending) {
        if (shot.ending == null && shot.connection != null) {
            // once the record has ended, a connection that was not established in time says nothing about the endpoint
            boolean notConnected = connectionPool.cancelCall(shot.connection) && owed.isOpen();
            Ending how = notConnected ? Ending.NOT_CONNECTED : ending;
            if (owed.isOpen()) {
                log.infoAboutRecord(describeShot(owed, shot, how, decisionLoop.now()));
            }
            complete(owed, shot, endpoint, how, decisionLoop.now(), 0, false, NO_REPORT);
        }
    }

    /** Handles the result of a shot's call. */
    void handleResult(LoopEvent.ShotCompleted over) {
        if (over.shot().ending == null) {
            Call.Result result = over.result();
            Ending ending = toEnding(result);
            if (ending == Ending.ERROR || result.ending() != null || result.defect() != ResponseDefect.NONE) {
                log.infoAboutRecord(describeShot(over.trackedRecord(), over.shot(), ending, over.completedAt())
                        + ", status " + result.status() + ", response defect " + result.defect());
            }
            if (result.status() == 410) {
                log.infoAboutRecord("message " + over.trackedRecord().entry.id() + " withdrawn: status 410 from the endpoint");
                recordStore.endRecord(over.trackedRecord(), JournalEntry.RecordOutcome.WITHDRAWN, 0);
            }
            complete(over.trackedRecord(), over.shot(), over.endpointNumber(), ending, over.completedAt(),
                    ending == Ending.FULL || ending == Ending.RESET ? result.retryAfterMicros() : 0,
                    ending == Ending.NOT_SENT && result.lineBusy(),
                    parseReport(result.serverLoad(), reportFields));
        }
    }

    private void complete(TrackedRecord owed, TrackedRecord.Shot shot, long endpoint, Ending ending, long at, long wait,
            boolean noSlot, float[] report) {
        counters.add(Counter.valueOf(ending.name()));
        if (log.isTracing()) {
            log.trace(at, "over", owed.entry.number(), shot.number, shot.endpointUid, owed.entry.destination(), ending,
                    at - shot.firedAt, wait);
        }
        boolean wasOver = owed.outcome != null;
        if (ending == Ending.DONE && !wasOver) {
            shot.ending = ending;
            shot.connection = null;
            recordStore.endRecord(owed, JournalEntry.RecordOutcome.DONE, 0);
            counters.add(Counter.ENDED_DONE);
        } else {
            recordStore.endShot(owed, shot, ending);
        }
        decisionStage.addEvent(new Event.ShotEnded(owed.entry.number(), shot.number, endpoint, ending, Math.max(0,
                at - shot.firedAt), wait, noSlot, owed.outcome != null, report));
    }

    private static String describeShot(TrackedRecord owed, TrackedRecord.Shot shot, Ending ending, long at) {
        return "attempt " + shot.number + " of " + owed.entry.id() + " at " + shot.endpointUid + ": " + ending + " after "
                + (at - shot.firedAt) / 1000 + " ms";
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
    static float[] parseReport(String load, List<String> reportFields) {
        if (load == null || reportFields.isEmpty()) {
            return NO_REPORT;
        }
        float[] values = new float[reportFields.size()];
        int read = 0;
        for (String pair : load.split(",")) {
            String[] sides = pair.strip().split("=", 2);
            int place = reportFields.indexOf(sides[0].strip());
            float value = -1;
            try {
                value = sides.length == 2 ? Float.parseFloat(sides[1].strip()) : -1;
            } catch (NumberFormatException e) {
                // not a number: value stays -1, so there is no report
            }
            if (!Float.isFinite(value) || value < 0) {
                return NO_REPORT;
            }
            if (place >= 0) {
                values[place] = value;
                read |= 1 << place;
            }
        }
        return Integer.bitCount(read) == reportFields.size() ? values : NO_REPORT;
    }

    /** Checks an endpoint by a call that carries no record. */
    void startProbe(long endpoint, long now) {
        EndpointRegistry.Endpoint member = endpointRegistry.findEndpoint(endpoint);
        if (member == null) {
            return;
        }
        Call call = new Call("GET", "/ping", new String[] {"Host", member.peer().hostHeader()}, EMPTY_BODY);
        PendingProbe probing = new PendingProbe(member, now);
        probing.connection = probesInFlight >= limits.maxConcurrentProbes() ? null
                : connectionPool.startCall(member.peer(), call, now,
                result -> decisionLoop.post(new LoopEvent.ProbeCompleted(probing, result, decisionLoop.now())));
        if (probing.connection == null) {
            decisionStage.addEvent(new Event.ProbeEnded(endpoint, Ending.NOT_SENT, 0, NO_REPORT));
            return;
        }
        probesInFlight++;
        counters.add(Counter.PROBES);
        log.trace(now, "probe", member.uid(), member.destination());
        timers.schedule(now + limits.probeTimeoutMicros(), () -> {
            if (!probing.completed) {
                connectionPool.cancelCall(probing.connection);
                complete(probing, Ending.TIMED_OUT, decisionLoop.now(), NO_REPORT);
            }
        });
    }

    /** Handles the result of a probe. */
    void handleResult(LoopEvent.ProbeCompleted probe) {
        if (!probe.pendingProbe().completed) {
            complete(probe.pendingProbe(), toEnding(probe.result()), probe.completedAt(),
                    parseReport(probe.result().serverLoad(), reportFields));
        }
    }

    private void complete(PendingProbe probing, Ending ending, long at, float[] report) {
        probing.completed = true;
        probesInFlight--;
        log.trace(at, "probed", probing.member.uid(), probing.member.destination(), ending, at - probing.startedAt);
        decisionStage.addEvent(new Event.ProbeEnded(probing.member.number(), ending,
                Math.max(0, at - probing.startedAt), report));
    }

    /** A probe in flight. */
    static final class PendingProbe {
        private final EndpointRegistry.Endpoint member;
        private final long startedAt;
        private ConnectionPool.PooledConnection connection;
        private boolean completed;

        private PendingProbe(EndpointRegistry.Endpoint member, long firedAt) {
            this.member = member;
            this.startedAt = firedAt;
        }
    }

    /**
     * Reports a record of the previous run and its shots to the decision module, unless it has ended, its notice is
     * settled and the outcome of every shot is known.
     */
    void restore(TrackedRecord owed, long now) {
        List<Event.EarlierShot> earlier = new ArrayList<>();
        for (TrackedRecord.Shot shot : owed.shots) {
            EndpointRegistry.Endpoint member = endpointRegistry.findEndpoint(shot.endpointUid);
            earlier.add(new Event.EarlierShot(member == null ? -1 : member.number(), shot.zone,
                    Math.max(0, now - shot.firedAt), shot.ending));
        }
        boolean stray = owed.shots.stream().anyMatch(shot -> shot.ending == null);
        if (owed.isOpen() || !owed.noticeSettled || stray) {
            decisionStage.addEvent(new Event.RecordRestored(DecisionLoop.toEvent(owed, now), earlier, !owed.isOpen()));
        }
    }

    /** Cancels the calls to an endpoint of which nothing has been sent yet. */
    void withhold(long endpoint) {
        EndpointRegistry.Endpoint member = endpointRegistry.findEndpoint(endpoint);
        if (member != null) {
            connectionPool.withhold(member.peer());
        }
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpoint) {
        EndpointRegistry.Endpoint member = endpointRegistry.findEndpoint(endpoint);
        if (member != null) {
            connectionPool.closeIdle(member.peer());
        }
    }
}
