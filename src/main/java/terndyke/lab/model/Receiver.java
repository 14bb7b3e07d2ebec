package terndyke.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;

import terndyke.lab.model.Response.ResponseMode;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;

/**
 * One receiver: its places (calls executed at the same time), queue, rate limit, connections, active failures, and its
 * slow start after an outage. Times are whole microseconds of the driver's clock and never go back. The driver calls
 * {@link #advance} at {@link #nextDueMicros}.
 */
public final class Receiver {
    private static final double[] NO_REPORT = null;

    /** What happens to a new connection. */
    public enum ConnectOutcome { ACCEPTED, REFUSED, UNREACHABLE }

    private final EmulatedDestination destination;
    private final String uid;
    private final int index;
    private final int hall;
    private final ReceiverListener listener;
    private final UniformRandomProvider random;
    private final ServiceTime serviceTime;
    private final RateLimiter rateLimiter;
    private final ArrayDeque<Shot> queue = new ArrayDeque<>();
    private final PriorityQueue<ScheduledWork> scheduledWork = new PriorityQueue<>(
            Comparator.<ScheduledWork>comparingLong(one -> one.dueMicros).thenComparingLong(one -> one.sequence));
    private final Map<Kind, List<Failure>> activeFailures = new EnumMap<>(Kind.class);
    private final List<Shot> callsReadWhileHung = new ArrayList<>();
    private int busyPlaces;
    private int connectionCount;
    private long lastSequence;
    private long recoveredAtMicros = Long.MIN_VALUE; // end of the last outage
    private long excessUpdatedAtMicros;
    private double excessCalls; // calls above the tolerated rate since the end of the outage
    private boolean collapsed;
    private boolean rejectsNewCalls;

    /** Work that ends at a given time: a call being executed, or a response that is only waiting to be sent. */
    private record ScheduledWork(long dueMicros, long sequence, Shot shot, Response response, boolean occupiesPlace) { }

    public Receiver(EmulatedDestination site, String uid, int index, int hall, ReceiverListener told,
            UniformRandomProvider chance) {
        this.destination = site;
        this.uid = uid;
        this.index = index;
        this.hall = hall;
        this.listener = told;
        this.random = chance;
        serviceTime = ServiceTime.of(site.configuration.service(), chance);
        rateLimiter = site.rateLimiterForReceiver();
    }

    public EmulatedDestination destination() {
        return destination;
    }

    public String uid() {
        return uid;
    }

    /** The receiver's index within its destination. */
    public int index() {
        return index;
    }

    public int hall() {
        return hall;
    }

    /** Calls that are being executed or queued. */
    public int callsInProgress() {
        return busyPlaces + queue.size();
    }

    public int connectionCount() {
        return connectionCount;
    }

    /** Opens a connection. For each accepted one the caller calls {@link #connectionClosed} when it ends. */
    public ConnectOutcome openConnection() {
        if (hasFailure(Kind.SILENT) || hasFailure(Kind.NEVER_UP)) {
            return ConnectOutcome.UNREACHABLE;
        }
        if (isDown() || hasFailure(Kind.REFUSED)) {
            return ConnectOutcome.REFUSED;
        }
        connectionCount++;
        return ConnectOutcome.ACCEPTED;
    }

    public void connectionClosed() {
        connectionCount--;
    }

    /** Whether the process is down, so that no connection to it remains open. */
    public boolean isDown() {
        return collapsed || hasFailure(Kind.CRASH);
    }

    /** Whether the receiver neither reads nor writes. */
    public boolean isSilent() {
        return hasFailure(Kind.SILENT);
    }

    /** Draws whether a call that has begun to arrive is cut off by a reset before its last byte. */
    public boolean drawRequestReset() {
        return drawFailure(Kind.RESET_BEFORE);
    }

    /** Starts a failure of this receiver. */
    public void beginFailure(long now, Failure failure) {
        if (failure.kind() == Kind.CRASH || failure.kind() == Kind.SILENT) {
            advance(now);
        }
        activeFailures.computeIfAbsent(failure.kind(), kind -> new ArrayList<>()).add(failure);
        if (failure.kind() == Kind.CRASH) {
            dropAllCalls();
        }
    }

    /** Ends a failure of this receiver. After an outage the receiver recovers slowly. */
    public void endFailure(long now, Failure failure) {
        List<Failure> same = activeFailures.get(failure.kind());
        if (same == null || !same.remove(failure)) {
            return;
        }
        if (same.isEmpty()) {
            activeFailures.remove(failure.kind());
        }
        switch (failure.kind()) {
            case CRASH, SILENT, HANG, SHUT, ERRORS -> {
                if (activeFailures.isEmpty() && !collapsed) {
                    recoveredAtMicros = now;
                    excessUpdatedAtMicros = now;
                    excessCalls = 0;
                }
            }
            default -> { }
        }
        if (failure.kind() == Kind.SILENT) {
            dropAllCalls(); // its connections are reset when the machine can be reached again
        }
        if (failure.kind() == Kind.HANG && !hasFailure(Kind.HANG)) {
            List<Shot> waiting = List.copyOf(callsReadWhileHung);
            callsReadWhileHung.clear();
            waiting.forEach(shot -> admitOrReject(now, shot));
        }
    }

    /** Rejects all new calls from now on, permanently. */
    public void rejectNewCalls() {
        rejectsNewCalls = true;
    }

    private void dropAllCalls() {
        queue.clear();
        callsReadWhileHung.clear();
        scheduledWork.clear();
        busyPlaces = 0;
    }

    /** A call has been read to its last byte. */
    public void callReceived(long now, Shot shot) {
        if (updateExcessCalls(now)) {
            return;
        }
        if (hasFailure(Kind.HANG)) {
            callsReadWhileHung.add(shot);
            return;
        }
        admitOrReject(now, shot);
    }

    private void admitOrReject(long now, Shot shot) {
        long handshake = shot.firstOnConnection ? destination.configuration.handshake().micros() : 0;
        if (hasFailure(Kind.SHUT) || rejectsNewCalls) {
            reject(now + handshake, shot, 503, 0);
        } else if (shot.firstOnConnection && connectionCount > destination.configuration.connections()) {
            scheduleWork(now + handshake + 200, shot, createResponse(now, shot, 503, 0, ResponseMode.CONNECTION_REJECTED), false);
        } else if (!rateLimiter.tryAcquire(now)) {
            boolean tells = random.nextDouble() < destination.configuration.limit().tellsWait();
            long wait = Math.max(destination.configuration.limit().toldWait().micros(), rateLimiter.nextPermitMicros(now) - now);
            reject(now + handshake, shot, tells ? 429 : 503, tells ? wait : 0);
        } else if (drawFailure(Kind.ERRORS)) {
            scheduleWork(now + handshake + 500, shot, createResponse(now, shot, 500, 0, ResponseMode.COMPLETE), false);
        } else if (busyPlaces < availablePlaces(now)) {
            startService(now + handshake, shot);
        } else if (queue.size() < destination.configuration.queue()) {
            queue.add(shot);
        } else {
            reject(now + handshake, shot, 503, 0);
        }
    }

    /** The connection of a call has ended: a call that still waits is dropped, one that is being executed continues. */
    public void callerDisconnected(Shot shot) {
        shot.callerDisconnected = true;
        queue.remove(shot);
        callsReadWhileHung.remove(shot);
    }

    /** The time at which work is due next; Long.MAX_VALUE if there is none. */
    public long nextDueMicros() {
        return scheduledWork.isEmpty() || hasFailure(Kind.SILENT) ? Long.MAX_VALUE : scheduledWork.peek().dueMicros;
    }

    /** Completes the work that is due by the given time and starts queued calls on the places that become free. */
    public void advance(long now) {
        while (nextDueMicros() <= now) {
            ScheduledWork done = scheduledWork.poll();
            if (done.occupiesPlace) {
                busyPlaces--;
                while (busyPlaces < availablePlaces(now) && !queue.isEmpty()) {
                    startService(done.dueMicros, queue.poll());
                }
            }
            if (!done.shot.callerDisconnected) {
                listener.onResponse(this, done.dueMicros, done.response);
            }
        }
    }

    private void reject(long at, Shot shot, int status, long wait) {
        scheduleWork(at + 200, shot, createResponse(at, shot, status, wait, ResponseMode.COMPLETE), false);
    }

    private void startService(long at, Shot shot) {
        busyPlaces++;
        boolean repeat = destination.checkAndRememberDuplicate(hall, shot.idempotencyKey, at);
        listener.onExecuted(this, at, shot, repeat);
        double slow = 1;
        for (Failure failure : activeFailures.getOrDefault(Kind.SLOW, List.of())) {
            slow *= failure.amount();
        }
        long takes = Math.max(1, Math.round(serviceTime.sampleMicros() * slow));
        ResponseMode manner = drawFailure(Kind.ANSWER_LOST) ? ResponseMode.NO_RESPONSE
                : drawFailure(Kind.RESET_AFTER) ? ResponseMode.RESET
                : drawFailure(Kind.SPOILT)
                        ? random.nextBoolean() ? ResponseMode.MALFORMED_STATUS_LINE : ResponseMode.MALFORMED_HEADERS
                : drawFailure(Kind.ENDLESS) ? ResponseMode.ENDLESS_BODY
                : drawFailure(Kind.DOUBLED) ? ResponseMode.DUPLICATED : ResponseMode.COMPLETE;
        scheduleWork(at + takes, shot, createResponse(at, shot, 200, 0, manner), true);
    }

    private void scheduleWork(long due, Shot shot, Response answer, boolean place) {
        scheduledWork.add(new ScheduledWork(due, ++lastSequence, shot, answer, place));
    }

    private Response createResponse(long now, Shot shot, int status, long wait, ResponseMode manner) {
        double[] report = destination.configuration.reports()
                ? new double[] {rateLimiter.remainingShare(now), rateLimiter.callsPerSecond()} : NO_REPORT;
        return new Response(shot, status, wait, manner, report);
    }

    /** The share of the places that is available now. It is reduced for a while after an outage (slow start). */
    public double availableShare(long now) {
        if (recoveredAtMicros == Long.MIN_VALUE) {
            return 1;
        }
        double warm = Math.min(1,
                (now - recoveredAtMicros) / (double) Math.max(1, destination.configuration.cold().warm().micros()));
        return destination.configuration.cold().share() + (1 - destination.configuration.cold().share()) * warm;
    }

    private int availablePlaces(long now) {
        return Math.max(1, (int) Math.floor(destination.configuration.places() * availableShare(now)));
    }

    /** The calls per second that the receiver can execute now, from its available places and its rate limit. */
    public double capacityPerSecond(long now) {
        double most = destination.configuration.places() / Math.max(1e-6, destination.configuration.service().mean().seconds());
        double limit = rateLimiter.callsPerSecond();
        return (limit > 0 ? Math.min(limit, most) : most) * availableShare(now);
    }

    /**
     * Rule 4: a recovering receiver collapses if the calls to it, rejected ones included, keep exceeding fallMultiple times
     * its current capacity for fallWithin. The excess is counted as in a leaky bucket. Returns whether it has collapsed.
     */
    private boolean updateExcessCalls(long now) {
        if (collapsed || recoveredAtMicros == Long.MIN_VALUE || availableShare(now) >= 1) {
            return collapsed;
        }
        double bound = destination.configuration.cold().fallMultiple() * capacityPerSecond(now);
        excessCalls = Math.max(0, excessCalls - (now - excessUpdatedAtMicros) / 1e6 * bound) + 1;
        excessUpdatedAtMicros = now;
        if (excessCalls > bound * destination.configuration.cold().fallWithin().seconds() + 2) {
            collapsed = true;
            dropAllCalls();
            listener.onCollapse(this, now);
        }
        return collapsed;
    }

    private boolean hasFailure(Kind kind) {
        return activeFailures.containsKey(kind);
    }

    private boolean drawFailure(Kind kind) {
        for (Iterator<Failure> each = activeFailures.getOrDefault(kind, List.of()).iterator(); each.hasNext();) {
            if (random.nextDouble() < each.next().amount()) {
                return true;
            }
        }
        return false;
    }
}
