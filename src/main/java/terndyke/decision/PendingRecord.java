package terndyke.decision;

import java.util.*;

import terndyke.api.*;
import terndyke.api.ServiceGrade.RepeatSemantics;

/** A record that the node has taken, with its shots: what may still be done with it (rules 1, 2 and 5). */
final class PendingRecord {
    final long id, targetAt, abandonAt;
    final ServiceGrade grade;
    final DestinationState destinationState;
    final double payoff;
    final KeyQueue keyQueue;
    final List<Shot> shots = new ArrayList<>(2);
    boolean ended;
    int inFlightShotCount;
    long notBefore;

    PendingRecord(Event.RecordAccepted taken, long now, ServiceGrade grade, DestinationState addressee, double payoff,
            KeyQueue line) {
        this.id = taken.id();
        this.grade = grade;
        this.destinationState = addressee;
        this.abandonAt = now + taken.remainingTime();
        this.targetAt = abandonAt - grade.abandonTime()
                + Math.min(grade.abandonTime(), grade.targetTime() + (long) (grade.targetWorkMultiple() * taken.workHint()));
        this.payoff = payoff;
        this.keyQueue = line;
    }

    /** Rule 2: may another shot go by this route now, once the given one out, if any, is recalled? */
    boolean permitsShot(Route route, long now, DeliverySettings terms, Shot recalled) {
        return !ended && shots.size() < terms.maxShotsPerRecord() && now < repeatDeadline(terms)
                && shots.stream().noneMatch(shot -> shot.ending == null && shot != recalled
                && (!terms.copiesAllowed() || shot.call.route == route)
                || shot.mayHaveRun() && shot.call.route.zone != route.zone
                && grade.repeatSemantics() == RepeatSemantics.DEDUPLICATED && !grade.anyEndpointDeduplicates());
    }

    /** Rule 2: until when another shot may leave, however late this turn is or its connection comes up. */
    long repeatDeadline(DeliverySettings terms) {
        long by = Long.MAX_VALUE;
        for (Shot shot : grade.repeatSemantics() == RepeatSemantics.IDEMPOTENT ? List.<Shot>of() : shots) {
            by = !shot.mayHaveRun() ? by : grade.repeatSemantics() == RepeatSemantics.UNREPEATABLE ? 0
                    : Math.min(by, shot.call.startedAt + grade.deduplicationWindow() - 2 * terms.turnInterval());
        }
        return by;
    }

    /** Rule 2: does a bounce keep its promise that trying again is harmless? */
    boolean canBounce() {
        return grade.repeatSemantics() == RepeatSemantics.IDEMPOTENT || shots.stream().noneMatch(Shot::mayHaveRun)
                || grade.repeatSemantics() == RepeatSemantics.DEDUPLICATED && grade.anyEndpointDeduplicates();
    }

    boolean isUndeliverable(long now, DeliverySettings terms) {
        return inFlightShotCount == 0 && (shots.size() >= terms.maxShotsPerRecord() || now >= repeatDeadline(terms));
    }

    double payoffAt(long time, DeliverySettings terms) {
        double late = Math.max(0, time - targetAt), low = grade.latePayoffShare(), aim = grade.targetTime() + 1;
        double left = terms.exponentialPayoffDecay() ? Math.max(low, Math.pow(0.5, late / aim))
                : 1 - (1 - low) * late / Math.max(1, abandonAt - targetAt);
        return time < abandonAt ? payoff * left : 0;
    }

    /** Rule 5: the records of one key, in the order in which they were taken. */
    static final class KeyQueue {
        final ArrayDeque<PendingRecord> records = new ArrayDeque<>();
        int outstandingCount; // shots out, or an end untold, for records that are over
        private long quietUntil;
        private PendingRecord quietAfterRecord;

        boolean canSend(PendingRecord record, long now) {
            return records.peekFirst() == record && outstandingCount == 0 && (now >= quietUntil || quietAfterRecord == record);
        }

        boolean isIdle(long now) {
            return records.isEmpty() && outstandingCount == 0 && now >= quietUntil;
        }

        void recordEnded(PendingRecord record) {
            records.remove(record);
            outstandingCount += record.inFlightShotCount;
        }

        void shotEnded(PendingRecord record, Ending ending, long now, long rest) {
            outstandingCount -= record.ended ? 1 : 0;
            if (ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.RECALLED) {
                quietUntil = now + rest + 1;
                quietAfterRecord = record;
            }
        }
    }

    /** One call on an endpoint: a slot, and one fate for all records that it carries. */
    static final class Call {
        final Route route;
        final long startedAt;
        int recordCount, inFlightRecordCount; // records carried, and those without an outcome
        final boolean neededNewConnection; // it needed a new connection
        boolean outcomeKnown;

        Call(Route route, long firedAt) {
            this.route = route;
            this.startedAt = firedAt;
            this.neededNewConnection = route.inFlightCallCount >= route.openConnections;
        }
    }

    static final class Shot {
        final Call call;
        Ending ending;
        boolean recalled;

        Shot(Call call) {
            this.call = call;
        }

        boolean mayHaveRun() {
            return ending == null || !ending.provesNotRun();
        }
    }

    static final class EndpointKind {
        long closeIdleUntil, nextConnectionProbeAt; // until then connections in rare use close at once; when to ask why again
    }

    static final class DestinationState {
        final List<Route> routes = new ArrayList<>(4);
        final Set<PendingRecord> waitingRecords = new LinkedHashSet<>();
        final OutcomeHistory outcomes = new OutcomeHistory();
        EndpointKind kind;
        int maxRecordsPerCall = 1, inFlightCallCount; // how many records one call may carry; calls out
        PendingRecord nextRecord; // the record to shoot next in this turn, and how dear it is
        double nextUrgency;
        boolean degraded;
    }
}
