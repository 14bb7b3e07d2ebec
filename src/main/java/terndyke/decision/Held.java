package terndyke.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import terndyke.api.DeliveryTerms;
import terndyke.api.Ending;
import terndyke.api.ServiceGrade;
import terndyke.api.ServiceGrade.Effect;
import terndyke.decision.Call.Shot;

/** A record that the node has taken, with its shots: what may still be done with it (rules 1, 2 and 5). */
final class Held {
    final long id;
    final ServiceGrade grade;
    final Addressee addressee;
    final long targetAt;
    final long abandonAt;
    final double payoff;
    final KeyLine line;
    final List<Shot> shots = new ArrayList<>(2);
    boolean over;
    boolean waiting;
    long notBefore;

    Held(long id, ServiceGrade grade, Addressee addressee, long targetAt, long abandonAt, double payoff,
            KeyLine line) {
        this.id = id;
        this.grade = grade;
        this.addressee = addressee;
        this.targetAt = targetAt;
        this.abandonAt = abandonAt;
        this.payoff = payoff;
        this.line = line;
    }

    int shotsOut() {
        int out = 0;
        for (Shot shot : shots) {
            out += shot.ending == null ? 1 : 0;
        }
        return out;
    }

    /** Rule 2: may another shot go by this route now? The one out that is to be recalled first, if any, is passed over. */
    boolean permits(Route route, long now, DeliveryTerms terms, Shot recalled) {
        if (over || shots.size() >= terms.shotsPerRecord()) {
            return false;
        }
        for (Shot shot : shots) {
            if (shot.ending == null && shot != recalled && (!terms.copies() || shot.call.route == route)
                    || shot.mayHaveRun() && (outlived(shot, now, terms) || grade.effect() == Effect.DEDUPLICATED
                    && !grade.anyEndpointDeduplicates() && shot.call.route.zone != route.zone)) {
                return false;
            }
        }
        return true;
    }

    /** True where no repeat may follow this shot, which may have run. */
    private boolean outlived(Shot shot, long now, DeliveryTerms terms) {
        return grade.effect() == Effect.UNREPEATABLE || grade.effect() == Effect.DEDUPLICATED
                && now >= shot.call.firedAt + grade.memory() - 2 * terms.turn();
    }

    /** Rule 2: does a bounce keep its promise that trying again is harmless? */
    boolean mayBounce() {
        return grade.effect() == Effect.IDEMPOTENT || shots.stream().noneMatch(Shot::mayHaveRun)
                || grade.effect() == Effect.DEDUPLICATED && grade.anyEndpointDeduplicates();
    }

    /** True where no shot is out and none may ever follow. */
    boolean hopeless(long now, DeliveryTerms terms) {
        return shotsOut() == 0 && (shots.size() >= terms.shotsPerRecord()
                || shots.stream().anyMatch(shot -> shot.mayHaveRun() && outlived(shot, now, terms)));
    }

    /** The payoff of an answer at that time. */
    double payoffAt(long time, boolean halves) {
        if (time <= targetAt || time >= abandonAt) {
            return time <= targetAt ? payoff : 0;
        }
        double late = time - targetAt;
        return payoff * (halves ? Math.max(grade.lateShare(), Math.pow(0.5, late / Math.max(1, grade.target())))
                : 1 - (1 - grade.lateShare()) * late / (abandonAt - targetAt));
    }

    /** Rule 5: the records of one key, in the order in which they were taken. */
    static final class KeyLine {
        final ArrayDeque<Held> records = new ArrayDeque<>();
        /** Shots out for records that are over. */
        int strays;
        private long restUntil;
        private Held restsAfter;

        boolean hasTurn(Held record, long now) {
            return records.peekFirst() == record && strays == 0 && (now >= restUntil || restsAfter == record);
        }

        boolean idle(long now) {
            return records.isEmpty() && strays == 0 && now >= restUntil;
        }

        void shotEnded(Held record, Ending ending, long now, long rest) {
            if (ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.RECALLED) {
                restUntil = now + rest + 1;
                restsAfter = record;
            }
        }
    }
}
