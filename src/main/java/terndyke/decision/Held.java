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

    Held(long id, ServiceGrade grade, Addressee addressee, long targetAt, long abandonAt, double payoff, KeyLine line) {
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

    private boolean mayHaveRun() {
        return shots.stream().anyMatch(Shot::mayHaveRun);
    }

    /** Rule 2: may another shot go by this route now? */
    boolean permits(Route route, long now, DeliveryTerms terms) {
        if (over || shots.size() >= terms.shotsPerRecord()) {
            return false;
        }
        for (Shot shot : shots) {
            if (shot.ending == null && (!terms.copies() || shot.call.route == route)) {
                return false;
            }
            if (grade.effect() != Effect.IDEMPOTENT && shot.mayHaveRun() && (grade.effect() == Effect.UNREPEATABLE
                    || !grade.anyEndpointDeduplicates() && shot.call.route.zone != route.zone
                    || now >= shot.call.firedAt + grade.memory() - 2 * terms.turn())) {
                return false;
            }
        }
        return true;
    }

    /** Rule 2: does a bounce keep its promise that trying again is harmless? */
    boolean mayBounce() {
        return grade.effect() == Effect.IDEMPOTENT || !mayHaveRun()
                || grade.effect() == Effect.DEDUPLICATED && grade.anyEndpointDeduplicates();
    }

    /** True where no shot is out and none may ever follow. */
    boolean hopeless(long now, DeliveryTerms terms) {
        if (shotsOut() > 0) {
            return false;
        }
        return shots.size() >= terms.shotsPerRecord()
                || grade.effect() != Effect.IDEMPOTENT && shots.stream().anyMatch(s -> s.mayHaveRun()
                        && (grade.effect() == Effect.UNREPEATABLE
                        || now >= s.call.firedAt + grade.memory() - 2 * terms.turn()));
    }

    /** The payoff of an answer at that time. */
    double payoffAt(long time, boolean halves) {
        if (time >= abandonAt) {
            return 0;
        }
        if (time <= targetAt) {
            return payoff;
        }
        double late = time - targetAt;
        return payoff * (halves ? Math.max(grade.lateShare(), Math.pow(0.5, late / grade.target()))
                : 1 - (1 - grade.lateShare()) * late / Math.max(1, abandonAt - targetAt));
    }

    /** Rule 5: the records of one key, in the order in which they were taken. */
    static final class KeyLine {
        final long key;
        final ArrayDeque<Held> records = new ArrayDeque<>();
        int strays;
        private long restUntil;
        private Held restsAfter;

        KeyLine(long key) {
            this.key = key;
        }

        boolean rested(long now) {
            return now >= restUntil;
        }

        boolean hasTurn(Held record, long now) {
            return records.peekFirst() == record && strays == 0 && (now >= restUntil || restsAfter == record);
        }

        void shotEnded(Held record, Ending ending, long now, long rest) {
            if (ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.RECALLED) {
                restUntil = now + rest + 1;
                restsAfter = record;
            }
        }
    }
}
