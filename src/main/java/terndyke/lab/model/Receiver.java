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
            Comparator.<ScheduledWork>comparingLong(work -> work.dueMicros).thenComparingLong(work -> work.sequence));
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

    public Receiver(EmulatedDestination destination, String uid, int index, int hall, ReceiverListener listener,
            UniformRandomProvider random) {
        this.destination = destination;
        this.uid = uid;
        this.index = index;
        this.hall = hall;
        this.listener = listener;
        this.random = random;
        serviceTime = ServiceTime.of(destination.configuration.service(), random);
        rateLimiter = destination.rateLimiterForReceiver();
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
        List<Failure> failuresOfKind = activeFailures.get(failure.kind());
        if (failuresOfKind == null || !failuresOfKind.remove(failure)) {
            return;
        }
        if (failuresOfKind.isEmpty()) {
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
        long handshakeMicros = shot.firstOnConnection ? destination.configuration.handshake().micros() : 0;
        if (hasFailure(Kind.SHUT) || rejectsNewCalls) {
            reject(now + handshakeMicros, shot, 503, 0);
        } else if (shot.firstOnConnection && connectionCount > destination.configuration.connections()) {
            scheduleWork(now + handshakeMicros + 200, shot,
                    createResponse(now, shot, 503, 0, ResponseMode.CONNECTION_REJECTED), false);
        } else if (!rateLimiter.tryAcquire(now)) {
            boolean sendsRetryAfter = random.nextDouble() < destination.configuration.limit().tellsWait();
            long retryAfterMicros = Math.max(destination.configuration.limit().retryAfter().micros(),
                    rateLimiter.nextPermitMicros(now) - now);
            reject(now + handshakeMicros, shot, sendsRetryAfter ? 429 : 503, sendsRetryAfter ? retryAfterMicros : 0);
        } else if (drawFailure(Kind.ERRORS)) {
            scheduleWork(now + handshakeMicros + 500, shot, createResponse(now, shot, 500, 0, ResponseMode.COMPLETE), false);
        } else if (busyPlaces < availablePlaces(now)) {
            startService(now + handshakeMicros, shot);
        } else if (queue.size() < destination.configuration.queue()) {
            queue.add(shot);
        } else {
            reject(now + handshakeMicros, shot, 503, 0);
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
            ScheduledWork work = scheduledWork.poll();
            if (work.occupiesPlace) {
                busyPlaces--;
                while (busyPlaces < availablePlaces(now) && !queue.isEmpty()) {
                    startService(work.dueMicros, queue.poll());
                }
            }
            if (!work.shot.callerDisconnected) {
                listener.onResponse(this, work.dueMicros, work.response);
            }
        }
    }

    private void reject(long atMicros, Shot shot, int status, long retryAfterMicros) {
        scheduleWork(atMicros + 200, shot,
                createResponse(atMicros, shot, status, retryAfterMicros, ResponseMode.COMPLETE), false);
    }

    private void startService(long startMicros, Shot shot) {
        busyPlaces++;
        boolean duplicate = destination.checkAndRememberDuplicate(hall, shot.idempotencyKey, startMicros);
        listener.onExecuted(this, startMicros, shot, duplicate);
        double slowdown = 1;
        for (Failure failure : activeFailures.getOrDefault(Kind.SLOW, List.of())) {
            slowdown *= failure.amount();
        }
        long serviceMicros = Math.max(1, Math.round(serviceTime.sampleMicros() * slowdown));
        ResponseMode mode = drawFailure(Kind.ANSWER_LOST) ? ResponseMode.NO_RESPONSE
                : drawFailure(Kind.RESET_AFTER) ? ResponseMode.RESET
                : drawFailure(Kind.SPOILT)
                        ? random.nextBoolean() ? ResponseMode.MALFORMED_STATUS_LINE : ResponseMode.MALFORMED_HEADERS
                : drawFailure(Kind.ENDLESS) ? ResponseMode.ENDLESS_BODY
                : drawFailure(Kind.DOUBLED) ? ResponseMode.DUPLICATED : ResponseMode.COMPLETE;
        scheduleWork(startMicros + serviceMicros, shot, createResponse(startMicros, shot, 200, 0, mode), true);
    }

    private void scheduleWork(long dueMicros, Shot shot, Response response, boolean occupiesPlace) {
        scheduledWork.add(new ScheduledWork(dueMicros, ++lastSequence, shot, response, occupiesPlace));
    }

    private Response createResponse(long now, Shot shot, int status, long retryAfterMicros, ResponseMode mode) {
        double[] loadReport = destination.configuration.reports()
                ? new double[] {rateLimiter.remainingShare(now), rateLimiter.callsPerSecond()} : NO_REPORT;
        return new Response(shot, status, retryAfterMicros, mode, loadReport);
    }

    /** The share of the places that is available now. It is reduced for a while after an outage (slow start). */
    public double availableShare(long now) {
        if (recoveredAtMicros == Long.MIN_VALUE) {
            return 1;
        }
        double slowStartProgress = Math.min(1,
                (now - recoveredAtMicros) / (double) Math.max(1, destination.configuration.cold().warm().micros()));
        return destination.configuration.cold().share() + (1 - destination.configuration.cold().share()) * slowStartProgress;
    }

    private int availablePlaces(long now) {
        return Math.max(1, (int) Math.floor(destination.configuration.places() * availableShare(now)));
    }

    /** The calls per second that the receiver can execute now, from its available places and its rate limit. */
    public double capacityPerSecond(long now) {
        double maxByPlaces = destination.configuration.places()
                / Math.max(1e-6, destination.configuration.service().mean().seconds());
        double maxByRateLimit = rateLimiter.callsPerSecond();
        return (maxByRateLimit > 0 ? Math.min(maxByRateLimit, maxByPlaces) : maxByPlaces) * availableShare(now);
    }

    /**
     * Rule 4: a recovering receiver collapses if the calls to it, rejected ones included, keep exceeding fallMultiple times
     * its current capacity for fallWithin. The excess is counted as in a leaky bucket. Returns whether it has collapsed.
     */
    private boolean updateExcessCalls(long now) {
        if (collapsed || recoveredAtMicros == Long.MIN_VALUE || availableShare(now) >= 1) {
            return collapsed;
        }
        double toleratedPerSecond = destination.configuration.cold().fallMultiple() * capacityPerSecond(now);
        excessCalls = Math.max(0, excessCalls - (now - excessUpdatedAtMicros) / 1e6 * toleratedPerSecond) + 1;
        excessUpdatedAtMicros = now;
        if (excessCalls > toleratedPerSecond * destination.configuration.cold().fallWithin().seconds() + 2) {
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
        for (Iterator<Failure> failures = activeFailures.getOrDefault(kind, List.of()).iterator(); failures.hasNext();) {
            if (random.nextDouble() < failures.next().amount()) {
                return true;
            }
        }
        return false;
    }
}
