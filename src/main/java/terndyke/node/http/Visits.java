package terndyke.node.http;

import java.nio.channels.SelectionKey;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

import terndyke.node.Limits;

/**
 * The clients' connections: how many there may be, and how long each may stand idle, say nothing or be in the midst
 * of a request. On the I/O thread alone, but for the answers that other threads give. Guards against clients that keep
 * their connection for good, connect and say nothing, or send half a request; covers slow senders and leaked connections
 * too. It costs usual clients who pause for longer than that a new connection.
 */
final class Visits {
    private final Limits limits;
    private final LongSupplier clock;
    private final Set<Visit> quiet = new LinkedHashSet<>(); // without an open request, longest first
    private final Queue<Visit> answeredElsewhere = new ConcurrentLinkedQueue<>(); // by other threads, not yet counted
    private int open;

    Visits(Limits limits, LongSupplier clock) {
        this.limits = limits;
        this.clock = clock;
    }

    /** Lets a client in, in the place of one that stands idle where all are taken; null where there is no place. */
    Visit come(IOSession session) {
        countAnsweredElsewhere();
        int most = limits.maxClientConnections() + limits.maxExcessClientConnections();
        if (open >= limits.maxClientConnections()) {
            makeRoom(limits.silentClientEvictionMicros());
        }
        if (open >= most) {
            makeRoom(limits.silentClientEvictionMicros() / 10); // had more time to say something than who comes now
        }
        if (open >= most) {
            return null;
        }
        open++;
        Visit visit = new Visit(session);
        visit.rest();
        return visit;
    }

    /** True while more clients are connected than are served; those in excess are refused and let go. */
    boolean crowded() {
        return open > limits.maxClientConnections();
    }

    private void countAnsweredElsewhere() {
        for (Visit visit = answeredElsewhere.poll(); visit != null; visit = answeredElsewhere.poll()) {
            visit.countAnswered();
        }
    }

    private void makeRoom(long silentAtLeast) {
        long now = clock.getAsLong();
        Visit first = null;
        for (Visit visit : quiet) {
            long rested = now - visit.since;
            if (rested >= limits.idleClientEvictionMicros() || !visit.asked && rested >= silentAtLeast) {
                first = visit;
                break;
            }
        }
        if (first != null) {
            first.close();
        }
    }

    /** One client's connection. */
    final class Visit {
        private final IOSession session;
        private final Thread owner = Thread.currentThread();
        private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();
        private final long came = clock.getAsLong();
        private long since; // resting, or reading the request that comes in
        private boolean reading;
        private boolean asked;
        private boolean gone;
        private int unanswered;

        private Visit(IOSession session) {
            this.session = session;
        }

        private void rest() {
            since = clock.getAsLong();
            quiet.add(this);
            session.setSocketTimeout(Timeout.ofMicroseconds(asked ? limits.idleClientTimeoutMicros() : limits.silentClientTimeoutMicros()));
        }

        /** Bytes have come in. The request that they belong to has to be whole in time, however it trickles. */
        void input() {
            countAnsweredElsewhere();
            long now = clock.getAsLong();
            quiet.remove(this);
            since = reading ? since : now;
            reading = true;
            long due = Math.min(since + limits.requestReadTimeoutMicros(), asked ? Long.MAX_VALUE : came + limits.firstRequestTimeoutMicros());
            if (due <= now) {
                close();
            } else {
                session.setSocketTimeout(Timeout.ofMicroseconds(due - now));
            }
        }

        /**
         * Writes an answer that closes its connection, on the thread that owns it. Written on another one, it is lost where the
         * owner is still busy with the request: that one sees the exchange finished and closes the connection before the bytes
         * have left. An answer that keeps the connection may come from any thread, which saves a change of threads.
         */
        void answerAndClose(Runnable write) {
            if (Thread.currentThread() == owner) {
                write.run();
            } else {
                answers.add(write);
                session.setEvent(SelectionKey.OP_WRITE);
            }
        }

        /** Answers of other threads wait to be written. */
        boolean hasAnswers() {
            return !answers.isEmpty();
        }

        /** Writes the answers of other threads. */
        void writeAnswers() {
            for (Runnable write = answers.poll(); write != null; write = answers.poll()) {
                write.run();
            }
        }

        /** A request is whole. */
        void whole() {
            reading = false;
            asked = true;
            unanswered++;
            session.setSocketTimeout(Timeout.DISABLED); // every whole request is answered, however late the node is
        }

        /** More requests wait on this connection than a client has reason for. */
        boolean floods() {
            return unanswered > limits.maxPipelinedRequests();
        }

        /** A request has its answer; from any thread, and counted on the one that owns the connections. */
        void answered() {
            if (Thread.currentThread() == owner) {
                countAnswered();
            } else {
                answeredElsewhere.add(this);
            }
        }

        /** Usual clients send the next request only when the last one has its answer, so nothing is half read. */
        private void countAnswered() {
            unanswered = Math.max(0, unanswered - 1);
            if (unanswered == 0 && !gone) {
                reading = false;
                rest();
            }
        }

        /** Closes the connection: nothing more is read, and what was written still arrives. */
        void close() {
            session.close(CloseMode.GRACEFUL);
            left();
        }

        /** The connection is gone. */
        void left() {
            open -= gone ? 0 : 1;
            gone = true;
            quiet.remove(this);
        }
    }
}
