package terndyke.lab.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;

/**
 * Open-loop load generator: sends a schedule of requests to one address. Each request is due at its scheduled time,
 * independent of the responses, and its latency is measured from then. A request for which no connection is free waits,
 * and its latency includes that wait.
 */
public final class LoadGenerator {
    private static final long MAX_LATENCY_MICROS = 600_000_000L;

    private final SocketReactor reactor;
    private final InetSocketAddress targetAddress;
    private final int maxConnections;
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<PendingRequest> waitingRequests = new ArrayDeque<>();
    private final Histogram latencyFromDue = new Histogram(1, MAX_LATENCY_MICROS, 3);
    private final Histogram latencyFromSent = new Histogram(1, MAX_LATENCY_MICROS, 3);
    private final AtomicLong lastRequestId = new AtomicLong();
    private final Pacer pacer = new Pacer();
    private int connectionCount;
    private int unfinishedRequestCount;
    private long answeredCount;
    private long acceptedCount;
    private long brokenCount;

    /** A request that is due and has not been answered. */
    private record PendingRequest(Arrival arrival, long dueMicros) { }

    /** The result of a run. */
    public record Result(int offered, long answered, long accepted, long broken, int unanswered, Histogram latencyFromDue,
            Histogram latencyFromSent, Histogram lateness, double seconds) { }

    public LoadGenerator(SocketReactor reactor, InetSocketAddress targetAddress, int maxConnections) {
        this.reactor = reactor;
        this.targetAddress = targetAddress;
        this.maxConnections = maxConnections;
    }

    /** Opens connections before the first due time, so that the measurement does not include connection setup. */
    public void openConnections(int count) throws InterruptedException {
        synchronized (this) {
            for (int i = 0; i < Math.min(count, maxConnections); i++) {
                connect(null);
            }
        }
        long endNanos = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < endNanos) {
            synchronized (this) {
                if (idleConnections.size() >= Math.min(count, maxConnections)) {
                    return;
                }
            }
            Thread.sleep(5);
        }
    }

    /** Runs a schedule, then waits for the outstanding responses for at most timeoutMicros. */
    public Result run(List<Arrival> arrivals, long timeoutMicros) throws InterruptedException {
        long startMicros = System.nanoTime() / 1000 + 50_000;
        int startedCount = pacer.run(arrivals.size(), i -> (startMicros + arrivals.get(i).due()) * 1000,
                i -> requestDue(new PendingRequest(arrivals.get(i), startMicros + arrivals.get(i).due())));
        long endMicros = System.nanoTime() / 1000 + timeoutMicros;
        synchronized (this) {
            while (unfinishedRequestCount > 0 && System.nanoTime() / 1000 < endMicros) {
                wait(20);
            }
            return new Result(startedCount, answeredCount, acceptedCount, brokenCount, unfinishedRequestCount,
                    latencyFromDue.copy(), latencyFromSent.copy(), pacer.lateness(),
                    (System.nanoTime() / 1000 - startMicros) / 1e6);
        }
    }

    /** Stops the run: no further requests are started. */
    public void stop() {
        pacer.stop();
    }

    private void requestDue(PendingRequest request) {
        ClientConnection connection;
        synchronized (this) {
            unfinishedRequestCount++;
            connection = idleConnections.pollLast();
            if (connection == null) {
                if (connectionCount < maxConnections) {
                    connect(request);
                } else {
                    waitingRequests.add(request);
                }
                return;
            }
        }
        connection.sendRequest(request);
    }

    private void connect(PendingRequest request) {
        connectionCount++;
        reactor.connect(targetAddress, 5_000_000, session -> new ClientConnection(session, request),
                () -> connectionClosed(request));
    }

    private void connectionClosed(PendingRequest request) {
        synchronized (this) {
            connectionCount--;
            if (request != null) {
                brokenCount++;
                unfinishedRequestCount--;
            }
            PendingRequest next = waitingRequests.poll();
            if (next != null) {
                connect(next);
            }
            notifyAll();
        }
    }

    /** A connection to the target; it sends one request at a time and then takes the next waiting one. */
    private final class ClientConnection extends RawHttpConnection {
        private PendingRequest pendingRequest;
        private long sentMicros;

        ClientConnection(IOSession session, PendingRequest pendingRequest) {
            super(session);
            this.pendingRequest = pendingRequest;
        }

        @Override
        protected void onOpen() {
            if (pendingRequest != null) {
                sendRequest(pendingRequest);
            } else {
                sendNextOrBecomeIdle();
            }
        }

        void sendRequest(PendingRequest request) {
            pendingRequest = request;
            String headers = "Host: app.svc\r\nRequest-Id: " + Long.toHexString(lastRequestId.incrementAndGet() | 1L << 60)
                    + "\r\nTenant: " + request.arrival.tenant() + "\r\nRequest-Timeout-Ms: 5000\r\nX-Consignee: dest="
                    + request.arrival.destination() + "\r\n"
                    + (request.arrival.key() == null ? "" : "Cookie: key=" + request.arrival.key() + "\r\n");
            sentMicros = System.nanoTime() / 1000;
            write(RawHttpMessage.encode("POST /" + request.arrival.grade() + " HTTP/1.1", headers,
                    "x".repeat(request.arrival.bytes()).getBytes(StandardCharsets.US_ASCII)));
        }

        private void sendNextOrBecomeIdle() {
            PendingRequest next;
            synchronized (LoadGenerator.this) {
                next = waitingRequests.poll();
                if (next == null) {
                    idleConnections.add(this);
                }
                LoadGenerator.this.notifyAll();
            }
            if (next != null) {
                sendRequest(next);
            }
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            PendingRequest request = pendingRequest;
            if (request == null) {
                reset();
                return;
            }
            long now = System.nanoTime() / 1000;
            pendingRequest = null;
            synchronized (LoadGenerator.this) {
                unfinishedRequestCount--;
                answeredCount++;
                acceptedCount += message.status() == 202 || message.status() == 200 ? 1 : 0;
                latencyFromDue.recordValue(Math.max(1, Math.min(MAX_LATENCY_MICROS, now - request.dueMicros)));
                latencyFromSent.recordValue(Math.max(1, Math.min(MAX_LATENCY_MICROS, now - sentMicros)));
            }
            sendNextOrBecomeIdle();
        }

        @Override
        protected void onClosed() {
            synchronized (LoadGenerator.this) {
                idleConnections.remove(this);
            }
            PendingRequest request = pendingRequest;
            pendingRequest = null;
            connectionClosed(request);
        }
    }
}
