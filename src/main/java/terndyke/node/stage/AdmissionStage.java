package terndyke.node.stage;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.ClientRequest;

/** Second stage: what cannot be taken on is answered here, before anything is booked or decided. */
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

    /** From now on nothing new is taken on. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /**
     * True where the record goes on to the next stage; otherwise it has had its answer. Nobody is told that a record is
     * taken on unless it is that very record. Guards against clients that hand in another one's open id with a content
     * of their own: where theirs comes first, the other one's record would be taken for theirs, be nowhere, and be
     * overtaken by the later ones of its key (rules 1 and 5). It may turn away a client that alters what it repeats.
     */
    boolean admit(ClientRequest handover, long now) {
        TrackedRecord known = recordStore.findById(handover.id());
        if (known != null) {
            counters.add(Counter.REPEATS);
            if (known.isSameRecord(handover)) {
                answerDuplicate(known, handover.responder());
            } else { // another record under an id that is taken: it may come again under its own
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

    /** Why a message that could be taken on is not, or null. */
    private Counter refusalReason(ClientRequest handover, long now) {
        if (shuttingDown) {
            return Counter.REFUSED_LEAVING;
        }
        if (now - handover.receivedAt() > limits.maxAdmissionDelayMicros()) {
            return Counter.REFUSED_READ_LATE;
        }
        return recordStore.heldOrAdmittedCount() >= limits.maxHeldRecords() || !recordStore.tryReserve(handover.body().length) ? Counter.REFUSED_NO_ROOM : null;
    }

    /** A record that is held or was delivered is not taken on twice; one that was handed back may come again. */
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
