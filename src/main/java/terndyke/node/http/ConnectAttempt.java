package terndyke.node.http;

import java.util.concurrent.Future;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOSession;

/**
 * The opening of one connection, until it is established, the other side refuses it, its time is over, or it is cancelled. While this machine
 * lacks a socket or a local address for it, which says nothing of the other side, it may be tried again and again. May be used by any thread.
 */
final class ConnectAttempt implements FutureCallback<IOSession> {
    private static final long RETRY_MICROS = 25_000;

    private final Function<FutureCallback<IOSession>, Future<IOSession>> connect;
    private final Listener listener;
    private final LongSupplier clock;
    private final long deadline;
    private final boolean repeatsLocalFailures;
    private Future<IOSession> pendingConnect;
    private String localFailure; // of the latest try; null if it has not failed for lack of something on this machine
    private long retryAt; // while no try is in progress
    private boolean timedOut;
    private boolean ended;

    /** How an attempt failed. */
    enum Failure {
        /** This machine has no socket or address for it. */
        LOCAL,
        /** The other side refused it, or did not answer in time. */
        REMOTE,
        /** It is not needed any more. */
        CANCELLED
    }

    /** What becomes of the attempt. Each method but the first is called at most once, and only one of them, by any thread. */
    interface Listener {
        void onLocalFailure(Exception cause);

        void onConnected(IOSession session);

        void onFailed(Failure failure, String reason);
    }

    /** Prepares an attempt that connects by the given function until the given time of the clock, in microseconds. */
    ConnectAttempt(Function<FutureCallback<IOSession>, Future<IOSession>> connect, Listener listener, LongSupplier clock, long deadline,
            boolean repeatsLocalFailures) {
        this.connect = connect;
        this.listener = listener;
        this.clock = clock;
        this.deadline = deadline;
        this.repeatsLocalFailures = repeatsLocalFailures;
    }

    synchronized void start() {
        retryAt = DeadlineMonitor.NONE;
        pendingConnect = connect.apply(this);
    }

    /** When {@link #onDeadlinePassed} is to be called: for another try, or at the end of the time. */
    synchronized long nextDeadline() {
        return ended ? DeadlineMonitor.NONE : Math.min(deadline, retryAt);
    }

    synchronized void onDeadlinePassed(long now) {
        if (ended) {
            return;
        }
        boolean tryInProgress = retryAt == DeadlineMonitor.NONE;
        if (now < deadline) {
            start();
        } else if (tryInProgress) {
            timedOut = true;
            pendingConnect.cancel(true);
        } else {
            end(Failure.LOCAL, localFailure);
        }
    }

    /** True if the attempt is not established for lack of something on this machine. */
    synchronized boolean lacksLocalResource() {
        return localFailure != null;
    }

    synchronized void cancel() {
        if (!ended && retryAt != DeadlineMonitor.NONE) {
            end(Failure.CANCELLED, "cancelled");
        } else if (!ended) {
            pendingConnect.cancel(true);
        }
    }

    @Override
    public synchronized void completed(IOSession session) {
        ended = true;
        localFailure = null;
        listener.onConnected(session);
    }

    @Override
    public synchronized void failed(Exception cause) {
        if (!ConnectFailure.isLocal(cause)) {
            localFailure = null;
            end(Failure.REMOTE, cause.toString());
            return;
        }
        localFailure = cause.toString();
        listener.onLocalFailure(cause);
        if (repeatsLocalFailures) {
            retryAt = clock.getAsLong() + RETRY_MICROS;
        } else {
            end(Failure.LOCAL, localFailure);
        }
    }

    /** A last try that began only after a local failure had no time that would tell anything about the other side. */
    @Override
    public synchronized void cancelled() {
        if (!timedOut) {
            end(Failure.CANCELLED, "cancelled");
        } else if (localFailure != null) {
            end(Failure.LOCAL, localFailure);
        } else {
            end(Failure.REMOTE, "no answer in time");
        }
    }

    private void end(Failure failure, String reason) {
        if (!ended) {
            ended = true;
            listener.onFailed(failure, reason);
        }
    }
}
