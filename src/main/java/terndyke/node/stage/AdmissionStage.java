package terndyke.node.stage;

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

    public AdmissionStage(Limits limits, Counters counters, EndpointRegistry catalogue, RecordStore book) {
        this.limits = limits;
        this.counters = counters;
        this.endpointRegistry = catalogue;
        this.recordStore = book;
    }

    /** From now on no new record is admitted. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /**
     * Returns true if the request goes on to the next stage; otherwise it has been answered here. A repeat is answered as
     * accepted only if it is for the same record. This guards against clients that submit content of their own under the
     * open id of another client: if theirs arrives first, the other client's record would be mistaken for a repeat of it, be
     * lost, and be overtaken by later records of its key (rules 1 and 5). A client that alters a record between repeats
     * may be refused for it.
     */
    boolean admit(ClientRequest handover, long now) {
        TrackedRecord known = recordStore.findById(handover.id());
        if (known != null) {
            counters.add(Counter.REPEATS);
            if (known.isSameRecord(handover)) {
                answerDuplicate(known, handover.responder());
            } else { // another record under an id in use: its client may submit it again under an id of its own
                handover.responder().refused(0);
            }
        } else if (!endpointRegistry.hasDestination(handover.destination())) {
            counters.add(Counter.MALFORMED);
            handover.responder().failed(400);
        } else {
            Counter why = refusalReason(handover, now);
            if (why == null) {
                return true;
            }
            counters.add(Counter.REFUSED_AT_DOOR);
            counters.add(why);
            handover.responder().refused(0);
        }
        return false;
    }

    /** Why a valid request is refused, or null if it is admitted. */
    private Counter refusalReason(ClientRequest handover, long now) {
        if (shuttingDown) {
            return Counter.REFUSED_LEAVING;
        }
        if (now - handover.receivedAt() > limits.maxAdmissionDelayMicros()) {
            return Counter.REFUSED_READ_LATE;
        }
        return recordStore.heldOrAdmittedCount() >= limits.maxHeldRecords() || !recordStore.tryReserve(handover.body().length)
                ? Counter.REFUSED_NO_ROOM : null;
    }

    /** Answers a repeat of a known record: held or delivered records are not accepted twice, bounced ones may be retried. */
    private static void answerDuplicate(TrackedRecord known, ClientRequest.Responder answer) {
        if (known.outcome == null) {
            answer.taken();
        } else {
            switch (known.outcome) {
                case DONE -> answer.delivered();
                case BOUNCED, WITHDRAWN -> answer.refused(known.retryAfterMicros);
                default -> answer.failed(500);
            }
        }
    }
}
