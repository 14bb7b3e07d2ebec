package terndyke.decision;

import java.util.*;

import terndyke.api.*;
import terndyke.api.ServiceGrade.RepeatSemantics;

/**
 * A record that the node has accepted and that has no final answer yet, with its shots. It knows which further shots and
 * answers rules 1, 2 and 5 permit. Times are microseconds.
 */
final class PendingRecord {
    static final long MAX_HOLD_UP_MICROS = 150_000; // a node may be stopped so long between its clock and a write

    final long id, targetAt, abandonAt;
    final ServiceGrade grade;
    final DestinationState destinationState;
    final double payoff;
    final KeyQueue keyQueue;
    final List<Shot> shots = new ArrayList<>(2);
    boolean ended;
    int inFlightShotCount;
    long notBefore;

    PendingRecord(Event.RecordAccepted accepted, long now, ServiceGrade grade, DestinationState destinationState, double payoff,
            KeyQueue keyQueue) {
        this.id = accepted.id();
        this.grade = grade;
        this.destinationState = destinationState;
        this.abandonAt = now + accepted.remainingTime();
        this.targetAt = abandonAt - grade.abandonTime()
                + Math.min(grade.abandonTime(), grade.targetTime() + (long) (grade.targetWorkMultiple() * accepted.workHint()));
        this.payoff = payoff;
        this.keyQueue = keyQueue;
    }

    /** Rule 2: true if another shot may be sent by this route now, provided that the given shot, if any, is recalled. */
    boolean permitsShot(Route route, long now, DeliverySettings settings, Shot recalled) {
        return !ended && shots.size() < settings.maxShotsPerRecord() && now < repeatDeadline(settings)
                && shots.stream().noneMatch(shot -> shot.ending == null && shot != recalled
                && (!settings.copiesAllowed() || shot.call.route == route)
                || shot.mayHaveRun() && shot.call.route.zone != route.zone
                && grade.repeatSemantics() == RepeatSemantics.DEDUPLICATED && !grade.anyEndpointDeduplicates());
    }

    /**
     * Rule 2: until when another shot may leave, however late this turn runs or its connection comes up. It lies before the
     * end of the deduplication window by as long as the node may be held up after its last look at the clock.
     */
    long repeatDeadline(DeliverySettings settings) {
        long deadline = Long.MAX_VALUE;
        for (Shot shot : grade.repeatSemantics() == RepeatSemantics.IDEMPOTENT ? List.<Shot>of() : shots) {
            deadline = !shot.mayHaveRun() ? deadline : grade.repeatSemantics() == RepeatSemantics.UNREPEATABLE ? 0
                    : Math.min(deadline, shot.call.startedAt + grade.deduplicationWindow() - MAX_HOLD_UP_MICROS);
        }
        return deadline;
    }

    /** True if a shot was done, possibly too late for the client. */
    boolean isDone() {
        return shots.stream().anyMatch(shot -> shot.ending == Ending.DONE);
    }

    /**
     * Rule 2: true if the record may be bounced, which promises the client that another try is harmless. A record that is
     * done is not bounced even if it may be repeated: the other try would be in vain.
     */
    boolean canBounce() {
        return !isDone() && (grade.repeatSemantics() == RepeatSemantics.IDEMPOTENT || shots.stream().noneMatch(Shot::mayHaveRun)
                || grade.repeatSemantics() == RepeatSemantics.DEDUPLICATED && grade.anyEndpointDeduplicates());
    }

    /** True if no shot is out and no other may be sent. */
    boolean isUndeliverable(long now, DeliverySettings settings) {
        return inFlightShotCount == 0 && (shots.size() >= settings.maxShotsPerRecord() || now >= repeatDeadline(settings));
    }

    /** The payoff of a delivery at this time: full up to the target time, then falling until the abandon time. */
    double payoffAt(long time, DeliverySettings settings) {
        double lateness = Math.max(0, time - targetAt), latePayoffShare = grade.latePayoffShare(),
                halfLife = grade.targetTime() + 1;
        double remainingShare = settings.exponentialPayoffDecay() ? Math.max(latePayoffShare, Math.pow(0.5, lateness / halfLife))
                : 1 - (1 - latePayoffShare) * lateness / Math.max(1, abandonAt - targetAt);
        return time < abandonAt ? payoff * remainingShare : 0;
    }

    /** Rule 5: the records of one key, in the order in which they were accepted. */
    static final class KeyQueue {
        final ArrayDeque<PendingRecord> records = new ArrayDeque<>();
        int outstandingCount; // of ended records: shots still out, and final answers not delivered yet
        /**
         * After a shot that may still run, no other record of the key is sent for a while. The endpoint may see the end of the shot
         * later than this node by as long as a node may be held up.
         */
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

        void shotEnded(PendingRecord record, Ending ending, long now, long quietPeriod) {
            outstandingCount -= record.ended ? 1 : 0;
            if (ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.RECALLED) {
                quietUntil = now + quietPeriod + 1;
                quietAfterRecord = record;
            }
        }

        /** A call of this key was closed later than its end was reported: the key rests at least until the given time. */
        void restUntil(long time) {
            quietUntil = Math.max(quietUntil, time);
        }
    }

    /** One call to an endpoint. It takes one slot, and all records that it carries share its outcome. */
    static final class Call {
        final Route route;
        final long startedAt;
        int recordCount, inFlightRecordCount; // records carried, and those without an outcome
        final boolean neededNewConnection;
        boolean outcomeKnown;

        Call(Route route, long startedAt) {
            this.route = route;
            this.startedAt = startedAt;
            this.neededNewConnection = route.inFlightCallCount >= route.openConnections;
        }
    }

    /** One attempt to deliver a record; its ending is null while it is out. */
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

    /** What is known about all endpoints of one kind. */
    static final class EndpointKind {
        long closeIdleUntil, // until then rarely used connections are closed at once
                nextConnectionProbeAt; // no probe sooner to find out why a connection failed
    }

    /** A destination with its routes and the records that wait for it. */
    static final class DestinationState {
        final List<Route> routes = new ArrayList<>(4);
        final Set<PendingRecord> waitingRecords = new LinkedHashSet<>();
        final OutcomeHistory outcomes = new OutcomeHistory();
        EndpointKind kind;
        int maxRecordsPerCall = 1, inFlightCallCount;
        PendingRecord nextRecord; // the record to send next in this turn, and its urgency
        double nextUrgency;
        boolean degraded;
    }
}
