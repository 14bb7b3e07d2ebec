package terndyke.lab.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.Effect;
import terndyke.lab.plan.Experiment.Grade;
import terndyke.lab.referee.Handed;
import terndyke.lab.referee.Logbook;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Sight.What;
import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.Ticker;

/**
 * The clients of a day: one hands in each record when it is due, waits its patience for the answer, and hands in again
 * under a new id where it was refused or left without an answer. Records of one key go one after another. A client's
 * connections are kept, and more are opened when all are busy.
 */
public final class Clients {
    private static final long FOREIGN_AHEAD = 3_000;
    private static final long CROSSING = 50_000; // a closing may cross a request for so long
    private static final String BODY = "x".repeat(1 << 16);

    private final Experiment day;
    private final Net net;
    private final Ticker ticker;
    private final Logbook logbook;
    private final List<InetSocketAddress> nodes;
    private final List<String> grades;
    private final List<String> tenants;
    private final List<ArrayDeque<Side>> idle;
    private final AtomicInteger[] connections;
    private final boolean[] away;
    private final Map<String, ArrayDeque<Hand>> keys = new HashMap<>(); // waiting behind the first of their key
    private final UniformRandomProvider ids;
    private final Histogram fromDue = new Histogram(1, 600_000_000L, 3);
    private final Histogram fromSent = new Histogram(1, 600_000_000L, 3);
    private Intruders intruders;
    private double foreignShare;
    private int open;
    private int taken;
    private int refused;
    private int failed;
    private int unanswered;
    private int handedIn;

    /** A message on its way to be taken on; the same one over all its tries. */
    private final class Hand {
        final int message;
        final Arrival arrival;
        final int grade;
        final int tenant;
        final long due;
        final boolean extra;
        int tries;
        String retry;

        Hand(int message, Arrival arrival, long due, boolean extra) {
            this.message = message;
            this.arrival = arrival;
            this.due = due;
            this.extra = extra;
            grade = grades.indexOf(arrival.grade());
            tenant = tenants.indexOf(arrival.tenant());
        }

        long ends() {
            return due + terms().abandon().micros();
        }

        Grade terms() {
            return day.grades().get(grade);
        }
    }

    public Clients(Experiment day, Net net, Ticker ticker, Logbook logbook, List<InetSocketAddress> nodes) {
        this.day = day;
        this.net = net;
        this.ticker = ticker;
        this.logbook = logbook;
        this.nodes = List.copyOf(nodes);
        grades = day.grades().stream().map(Grade::name).toList();
        tenants = day.tenants().stream().map(Experiment.Tenant::name).toList();
        ids = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed() * 17 + 3);
        idle = nodes.stream().map(node -> new ArrayDeque<Side>()).toList();
        away = new boolean[nodes.size()];
        connections = new AtomicInteger[nodes.size()];
        for (int i = 0; i < connections.length; i++) {
            connections[i] = new AtomicInteger();
        }
    }

    /** The front has noticed that a node is away, or that it serves again. */
    public synchronized void away(int node, boolean isAway) {
        away[node] = isAway;
    }

    /** Messages whose tries are not over. */
    public synchronized int open() {
        return open;
    }

    /** What came of the messages at the doors: handed in at least once, taken, refused for good, failed, unanswered. */
    public synchronized int[] atTheDoors() {
        return new int[] {handedIn, taken, refused, failed, unanswered};
    }

    /** From when a record was due to its 202, in microseconds, over all records that were taken on. */
    public Histogram fromDue() {
        return fromDue;
    }

    /** The same from when it was sent, as closed-loop tools count. */
    public Histogram fromSent() {
        return fromSent;
    }

    /** While it is above 0, that share of the records is preceded by a foreign request under their id. */
    public synchronized void foreign(Intruders sends, double share) {
        intruders = sends;
        foreignShare = share;
    }

    private synchronized boolean precededByForeign() {
        return foreignShare > 0 && ids.nextDouble() < foreignShare;
    }

    /** A message is due. Extra ones, such as a flood's, count in the rules and not in the result. */
    public void due(int message, Arrival arrival, long due, boolean extra) {
        Hand hand = new Hand(message, arrival, due, extra);
        synchronized (this) {
            open++;
            handedIn++;
            if (arrival.key() != null) {
                ArrayDeque<Hand> waiting = keys.get(arrival.key());
                if (waiting != null) {
                    waiting.add(hand);
                    return;
                }
                keys.put(arrival.key(), new ArrayDeque<>());
            }
        }
        handIn(hand);
    }

    private synchronized int nodeFor(Hand hand) {
        int first = Math.floorMod(hand.arrival.key() != null ? hand.arrival.key().hashCode() : hand.message, away.length);
        for (int i = 0; i < away.length; i++) {
            int node = (first + i) % away.length;
            if (!away[node]) {
                return node;
            }
        }
        return first;
    }

    private void handIn(Hand hand) {
        int node = nodeFor(hand);
        String id;
        Side free;
        synchronized (this) {
            hand.tries++;
            id = String.format("%016x", ids.nextLong());
            do {
                free = hand.extra ? null : idle.get(node).pollLast();
            } while (free != null && !free.isOpen());
        }
        if (free != null) {
            free.ask(hand, id);
        } else {
            connect(node, hand, id);
        }
    }

    private void connect(int node, Hand hand, String id) {
        if (connections[node].get() >= day.clients().connections()) {
            later(hand, null, 0);
            return;
        }
        connections[node].incrementAndGet();
        net.connect(nodes.get(node), day.clients().patience().micros(), session -> new Side(session, node, hand, id), () -> {
            connections[node].decrementAndGet();
            later(hand, null, 0); // never handed in: no answer is owed
        });
    }

    /** Hands in again where that is allowed and there is time; a retry of null marks nothing. */
    private void later(Hand hand, String retry, long toldWait) {
        long at = Ticker.now() + Math.max(day.clients().again().micros(), toldWait);
        boolean again = hand.tries < day.clients().tries() && at < hand.ends()
                && (!"again".equals(retry) || hand.terms().effect() != Effect.UNREPEATABLE);
        if (again) {
            hand.retry = retry != null ? retry : hand.retry;
            ticker.at(at, () -> handIn(hand));
        } else {
            over(hand, "1".equals(retry) ? 1 : 0);
        }
    }

    /** The message's tries are over: 2 taken, 1 refused, 0 without an answer, -1 failed. */
    private void over(Hand hand, int how) {
        Hand next = null;
        synchronized (this) {
            open--;
            taken += how == 2 ? 1 : 0;
            refused += how == 1 ? 1 : 0;
            unanswered += how == 0 ? 1 : 0;
            failed += how == -1 ? 1 : 0;
            if (hand.arrival.key() != null) {
                next = keys.get(hand.arrival.key()).poll();
                if (next == null) {
                    keys.remove(hand.arrival.key());
                }
            }
        }
        if (next != null) {
            Hand one = next;
            ticker.at(Ticker.now(), () -> handIn(one));
        }
    }

    /** A client's connection to a node. */
    private final class Side extends Link {
        private final int node;
        private Hand hand;
        private Handed handed;
        private boolean used;
        private boolean onceMore;
        private long asked;

        Side(IOSession session, int node, Hand hand, String id) {
            super(session);
            this.node = node;
            this.hand = hand;
            handed = new Handed(id, 0, node, 0, 0, null, 0, null, 0, 0, 0, 0, false);
        }

        @Override
        protected void opened() {
            ask(hand, handed.id());
        }

        /** Sends a record; its time counts from now. */
        void ask(Hand one, String id) {
            long now = Ticker.now();
            long left = Math.max(1, one.ends() - now);
            boolean marked = one.terms().effect() == Effect.DEDUPLICATED;
            Handed out = new Handed(id, one.message, node, one.grade, one.tenant, one.arrival.key(),
                    one.arrival.destination(), marked ? mark(one.message) : null, one.due, now, left / 1000 * 1000,
                    one.arrival.bytes(), one.extra);
            synchronized (this) {
                hand = one;
                handed = out;
                asked++;
            }
            logbook.add(Sight.client(now, What.HANDED_IN, out, 0, one.retry));
            if (!one.extra && precededByForeign()) {
                logbook.add(Sight.client(now, What.FOREIGN, out, 0, null));
                intruders.foreign(node, id, one.arrival);
                ticker.at(now + FOREIGN_AHEAD, () -> write(request(one, out)));
            } else {
                write(request(one, out));
            }
            long number = asked;
            ticker.at(now + day.clients().patience().micros(), () -> waitedEnough(number));
        }

        private byte[] request(Hand one, Handed out) {
            StringBuilder fields = new StringBuilder(256).append("Host: app.svc\r\nRequest-Id: ").append(out.id())
                    .append("\r\nTenant: ").append(one.arrival.tenant()).append("\r\nRequest-Timeout-Ms: ")
                    .append(out.timeout() / 1000).append("\r\nX-Consignee: dest=").append(out.destination()).append("\r\n");
            if (out.key() != null) {
                fields.append("Cookie: key=").append(out.key()).append("\r\n");
            }
            if (out.mark() != null) {
                fields.append("Idempotency-Key: ").append(out.mark()).append("\r\n");
            }
            if (one.retry != null) {
                fields.append("Client-Retry: ").append(one.retry).append("\r\n");
            }
            byte[] body = BODY.substring(0, one.arrival.bytes()).getBytes(StandardCharsets.US_ASCII);
            return Message.bytes("POST /" + one.arrival.grade() + " HTTP/1.1", fields.toString(), body);
        }

        private String mark(int message) {
            return String.format("%016x%016x", day.seed(), message);
        }

        private Hand done() {
            synchronized (this) {
                Hand one = hand;
                hand = null;
                return one;
            }
        }

        private void waitedEnough(long number) {
            Hand one;
            synchronized (this) {
                if (asked != number || hand == null) {
                    return;
                }
                one = done();
            }
            logbook.add(Sight.client(Ticker.now(), What.CLIENT_LEFT, handed, 0, "waited enough"));
            reset();
            later(one, "again", 0);
        }

        @Override
        protected void came(Message message) {
            Handed mine = handed;
            Hand one = done();
            if (one == null) {
                reset();
                return;
            }
            long now = Ticker.now();
            int status = message.status();
            logbook.add(Sight.client(now, What.ANSWERED, mine, status, null));
            used = true;
            boolean taken = status == 202 || status == 200;
            if (taken) {
                synchronized (Clients.this) {
                    fromDue.recordValue(Math.min(600_000_000L, now - one.due));
                    fromSent.recordValue(Math.min(600_000_000L, now - mine.sent()));
                }
            }
            if (one.extra || "close".equalsIgnoreCase(message.field("Connection"))) {
                close();
            } else {
                synchronized (Clients.this) {
                    idle.get(node).add(this);
                }
            }
            if (taken) {
                over(one, 2);
            } else if (status == 503 || status == 429) {
                later(one, "1", seconds(message.field("Retry-After")));
            } else {
                over(one, -1);
            }
        }

        private long seconds(String told) {
            try {
                return told == null ? 0 : Math.round(Double.parseDouble(told) * 1e6);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        protected void ended() {
            connections[node].decrementAndGet();
            synchronized (Clients.this) {
                idle.get(node).remove(this);
            }
            Handed mine = handed;
            Hand one = done();
            if (one == null) {
                return;
            }
            long now = Ticker.now();
            if (used && !onceMore && now - mine.sent() < CROSSING) { // the closing crossed the request
                logbook.add(Sight.client(now, What.SENT_ONCE_MORE, mine, 0, null));
                resend(one, mine.id());
                return;
            }
            logbook.add(Sight.client(now, What.BROKEN, mine, 0, used ? "owed" : "first request of its connection"));
            later(one, "again", 0);
        }

        private void resend(Hand one, String id) {
            connections[node].incrementAndGet();
            net.connect(nodes.get(node), day.clients().patience().micros(), session -> {
                Side side = new Side(session, node, one, id);
                side.onceMore = true;
                return side;
            }, () -> {
                connections[node].decrementAndGet();
                logbook.add(Sight.client(Ticker.now(), What.CLIENT_LEFT, handed, 0, "its second connection never came up"));
                later(one, "again", 0);
            });
        }
    }
}
