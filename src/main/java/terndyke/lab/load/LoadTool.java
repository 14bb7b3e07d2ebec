package terndyke.lab.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;

/**
 * Sends a schedule to one address, open loop: each request is due at its time whatever the answers do, and its time runs
 * from then. A request for which no connection is free waits, and that wait counts too.
 */
public final class LoadTool {
    private static final long MOST = 600_000_000L;

    private final Net net;
    private final InetSocketAddress to;
    private final int connections;
    private final ArrayDeque<Side> idle = new ArrayDeque<>();
    private final ArrayDeque<Ask> waiting = new ArrayDeque<>();
    private final Histogram fromDue = new Histogram(1, MOST, 3);
    private final Histogram fromSent = new Histogram(1, MOST, 3);
    private final AtomicLong ids = new AtomicLong();
    private final Pacer pacer = new Pacer();
    private int open;
    private int under;
    private long answered;
    private long taken;
    private long broken;

    /** A request that is due: its time in microseconds. */
    private record Ask(Arrival arrival, long due) { }

    /** What came of it. */
    public record Run(int offered, long answered, long taken, long broken, int unanswered, Histogram fromDue,
            Histogram fromSent, Histogram lateness, double seconds) { }

    public LoadTool(Net net, InetSocketAddress to, int connections) {
        this.net = net;
        this.to = to;
        this.connections = connections;
    }

    /** Opens connections ahead of the first due time, so that opening them is no part of the measurement. */
    public void open(int many) throws InterruptedException {
        synchronized (this) {
            for (int i = 0; i < Math.min(many, connections); i++) {
                connect(null);
            }
        }
        long end = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < end) {
            synchronized (this) {
                if (idle.size() >= Math.min(many, connections)) {
                    return;
                }
            }
            Thread.sleep(5);
        }
    }

    /** Runs a schedule and waits for what is still out at its end, for that long at most. */
    public Run run(List<Arrival> arrivals, long patienceMicros) throws InterruptedException {
        long start = System.nanoTime() / 1000 + 50_000;
        int ran = pacer.run(arrivals.size(), i -> (start + arrivals.get(i).due()) * 1000,
                i -> due(new Ask(arrivals.get(i), start + arrivals.get(i).due())));
        long end = System.nanoTime() / 1000 + patienceMicros;
        synchronized (this) {
            while (under > 0 && System.nanoTime() / 1000 < end) {
                wait(20);
            }
            return new Run(ran, answered, taken, broken, under, fromDue.copy(), fromSent.copy(), pacer.lateness(),
                    (System.nanoTime() / 1000 - start) / 1e6);
        }
    }

    public void stop() {
        pacer.stop();
    }

    private void due(Ask ask) {
        Side side;
        synchronized (this) {
            under++;
            side = idle.pollLast();
            if (side == null) {
                if (open < connections) {
                    connect(ask);
                } else {
                    waiting.add(ask);
                }
                return;
            }
        }
        side.ask(ask);
    }

    private void connect(Ask ask) {
        open++;
        net.connect(to, 5_000_000, session -> new Side(session, ask), () -> gone(ask));
    }

    private void gone(Ask ask) {
        synchronized (this) {
            open--;
            if (ask != null) {
                broken++;
                under--;
            }
            Ask next = waiting.poll();
            if (next != null) {
                connect(next);
            }
            notifyAll();
        }
    }

    private final class Side extends Link {
        private Ask ask;
        private long sent;

        Side(IOSession session, Ask ask) {
            super(session);
            this.ask = ask;
        }

        @Override
        protected void opened() {
            if (ask != null) {
                ask(ask);
            } else {
                free();
            }
        }

        void ask(Ask one) {
            ask = one;
            String fields = "Host: app.svc\r\nRequest-Id: " + Long.toHexString(ids.incrementAndGet() | 1L << 60)
                    + "\r\nTenant: " + one.arrival.tenant() + "\r\nRequest-Timeout-Ms: 5000\r\nX-Consignee: dest="
                    + one.arrival.destination() + "\r\n"
                    + (one.arrival.key() == null ? "" : "Cookie: key=" + one.arrival.key() + "\r\n");
            sent = System.nanoTime() / 1000;
            write(Message.bytes("POST /" + one.arrival.grade() + " HTTP/1.1", fields,
                    "x".repeat(one.arrival.bytes()).getBytes(StandardCharsets.US_ASCII)));
        }

        private void free() {
            Ask next;
            synchronized (LoadTool.this) {
                next = waiting.poll();
                if (next == null) {
                    idle.add(this);
                }
                LoadTool.this.notifyAll();
            }
            if (next != null) {
                ask(next);
            }
        }

        @Override
        protected void came(Message message) {
            Ask one = ask;
            if (one == null) {
                reset();
                return;
            }
            long now = System.nanoTime() / 1000;
            ask = null;
            synchronized (LoadTool.this) {
                under--;
                answered++;
                taken += message.status() == 202 || message.status() == 200 ? 1 : 0;
                fromDue.recordValue(Math.max(1, Math.min(MOST, now - one.due)));
                fromSent.recordValue(Math.max(1, Math.min(MOST, now - sent)));
            }
            free();
        }

        @Override
        protected void ended() {
            synchronized (LoadTool.this) {
                idle.remove(this);
            }
            Ask one = ask;
            ask = null;
            gone(one);
        }
    }
}
