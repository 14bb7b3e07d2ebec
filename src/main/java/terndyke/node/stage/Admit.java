package terndyke.node.stage;

import terndyke.node.Counters;
import terndyke.node.Counters.Count;
import terndyke.node.Limits;
import terndyke.node.discovery.Catalogue;
import terndyke.node.http.Handover;

/** Second stage: what cannot be taken on is answered here, before anything is booked or decided. */
public final class Admit {
    private final Limits limits;
    private final Counters counters;
    private final Catalogue catalogue;
    private final Book book;
    private boolean leaving;

    public Admit(Limits limits, Counters counters, Catalogue catalogue, Book book) {
        this.limits = limits;
        this.counters = counters;
        this.catalogue = catalogue;
        this.book = book;
    }

    /** From now on nothing new is taken on. */
    void leave() {
        leaving = true;
    }

    /**
     * True where the record goes on to the next stage; otherwise it has had its answer. Nobody is told that a record is
     * taken on unless it is that very record. Guards against clients that hand in another one's open id with a content
     * of their own: where theirs comes first, the other one's record would be taken for theirs, be nowhere, and be
     * overtaken by the later ones of its key (rules 1 and 5). It may turn away a client that alters what it repeats.
     */
    boolean admit(Handover handover, long now) {
        Owed known = book.byId(handover.id());
        if (known != null) {
            counters.add(Count.REPEATS);
            if (known.holds(handover)) {
                repeat(known, handover.answer());
            } else { // another record under an id that is taken: it may come again under its own
                handover.answer().refused(0);
            }
        } else if (!catalogue.knows(handover.destination())) {
            counters.add(Count.MALFORMED);
            handover.answer().failed(400);
        } else {
            Count why = refusal(handover, now);
            if (why == null) {
                return true;
            }
            counters.add(Count.REFUSED_AT_DOOR);
            counters.add(why);
            handover.answer().refused(0);
        }
        return false;
    }

    /** Why a message that could be taken on is not, or null. */
    private Count refusal(Handover handover, long now) {
        if (leaving) {
            return Count.REFUSED_LEAVING;
        }
        if (now - handover.readAt() > limits.answerWithin()) {
            return Count.REFUSED_READ_LATE;
        }
        return book.held() >= limits.records() || !book.roomFor(handover.body().length) ? Count.REFUSED_NO_ROOM : null;
    }

    /** A record that is held or was delivered is not taken on twice; one that was handed back may come again. */
    private static void repeat(Owed known, Handover.Answer answer) {
        if (known.end == null) {
            answer.taken();
        } else {
            switch (known.end) {
                case DONE -> answer.delivered();
                case BOUNCED, WITHDRAWN -> answer.refused(known.wait);
                default -> answer.failed(500);
            }
        }
    }
}
