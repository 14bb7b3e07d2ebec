package terndyke.node.stage;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.ClientRequest;

/** Second stage: answers requests that are not admitted, before anything is journalled or decided. */
public final class AdmissionStage {
    private final Limits limits;
    private final Counters counters;
    private final EndpointRegistry endpointRegistry;
    private final RecordStore recordStore;
    private boolean shuttingDown;

    public AdmissionStage(Limits limits, Counters counters, EndpointRegistry endpointRegistry, RecordStore recordStore) {
        this.limits = limits;
        this.counters = counters;
        this.endpointRegistry = endpointRegistry;
        this.recordStore = recordStore;
    }

    /** From now on no new record is admitted. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /**
     * Returns true if the request goes on to the next stage; otherwise it has been answered here. A repeat is answered as
     * accepted only if it is for the same record. This guards against clients that hand in content of their own under the
     * open id of another client: if theirs arrives first, the other client's record would be mistaken for a repeat of it, be
     * lost, and be overtaken by later records of its key (rules 1 and 5). A client that alters a record between repeats
     * may be refused for it.
     */
    boolean admit(ClientRequest request, long now) {
        TrackedRecord knownRecord = recordStore.findById(request.id());
        if (knownRecord != null) {
            counters.add(Counter.REPEATS);
            if (knownRecord.isSameRecord(request)) {
                answerDuplicate(knownRecord, request.responder());
            } else { // another record under an id in use: its client may hand it in again under an id of its own
                request.responder().refused(0);
            }
        } else if (!endpointRegistry.hasDestination(request.destination())) {
            counters.add(Counter.MALFORMED);
            request.responder().failed(400);
        } else {
            Counter refusalCounter = refusalReason(request, now);
            if (refusalCounter == null) {
                return true;
            }
            counters.add(Counter.REFUSED_AT_DOOR);
            counters.add(refusalCounter);
            request.responder().refused(0);
        }
        return false;
    }

    /** Why a valid request is refused, or null if it is admitted. */
    private Counter refusalReason(ClientRequest request, long now) {
        if (shuttingDown) {
            return Counter.REFUSED_LEAVING;
        }
        if (now - request.receivedAt() > limits.maxAdmissionDelayMicros()) {
            return Counter.REFUSED_READ_LATE;
        }
        return recordStore.heldOrAdmittedCount() >= limits.maxHeldRecords() || !recordStore.tryReserve(request.body().length)
                ? Counter.REFUSED_NO_ROOM : null;
    }

    /** Answers a repeat of a known record: held or delivered records are not accepted twice, bounced ones may be retried. */
    private static void answerDuplicate(TrackedRecord knownRecord, ClientRequest.Responder responder) {
        if (knownRecord.outcome == null) {
            responder.taken();
        } else if (knownRecord.shots.stream().anyMatch(shot -> shot.ending == Ending.DONE)) {
            responder.delivered();
        } else {
            switch (knownRecord.outcome) {
                case DONE -> responder.delivered();
                case BOUNCED -> responder.refused(knownRecord.retryAfterMicros);
                case WITHDRAWN -> answerWithdrawn(knownRecord, responder);
                default -> responder.failed(500);
            }
        }
    }

    /** A refusal promises that the message has not run, which is not known once its client left while it was out. */
    private static void answerWithdrawn(TrackedRecord knownRecord, ClientRequest.Responder responder) {
        if (knownRecord.mayHaveRun()) {
            responder.failed(500);
        } else {
            responder.refused(0);
        }
    }
}
