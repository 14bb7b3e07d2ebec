package terndyke.lab.emulate;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;

import terndyke.lab.model.Answer;
import terndyke.lab.model.Receiver;
import terndyke.lab.model.Receiver.Coming;
import terndyke.lab.model.Shot;
import terndyke.lab.plan.Failure;
import terndyke.lab.referee.Logbook;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Sight.What;
import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.NeverUp;
import terndyke.lab.wire.Ticker;

/**
 * A machine that receivers run on, one after another: an address for each node, and the sockets of the receiver that
 * runs on it now. All of its destination's machines share one lock, the site's.
 */
final class Host {
    private static final AtomicLong CALLS = new AtomicLong();
    private static final byte[] NOISE = new byte[32 << 10];
    private static final int ENDLESS = 8 << 20; // then even an endless answer is cut
    private static final byte[] NOTHING = new byte[0];

    private final Net net;
    private final Ticker ticker;
    private final Logbook logbook;
    private final Object lock;
    private final String hallName;
    private final boolean probes;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<ListenerEndpoint> listeners = new ArrayList<>();
    private final List<NeverUp> closedOff = new ArrayList<>();
    private final Set<Side> sides = new HashSet<>();
    private Receiver receiver;
    private Coming coming = Coming.REFUSED;
    private boolean stale; // its addresses are not yet as it meets connections
    private long armedAt = Long.MAX_VALUE;

    Host(Net net, Ticker ticker, Logbook logbook, Object lock, String hallName, boolean probes) {
        this.net = net;
        this.ticker = ticker;
        this.logbook = logbook;
        this.lock = lock;
        this.hallName = hallName;
        this.probes = probes;
    }

    String hallName() {
        return hallName;
    }

    int hall() {
        return receiver.hall();
    }

    int destination() {
        return receiver.site().number();
    }

    InetSocketAddress address(int node) {
        return addresses.get(node);
    }

    Receiver receiver() {
        return receiver;
    }

    /** Serves with this receiver from now on; whoever was there before is gone with its connections. */
    void run(Receiver next, int nodes) throws IOException {
        synchronized (lock) {
            receiver = next;
            if (addresses.isEmpty()) {
                for (int node = 0; node < nodes; node++) {
                    addresses.add(Net.free("127.0." + (10 + node) + ".1"));
                }
            }
            List.copyOf(sides).forEach(Link::reset);
            sides.clear();
            meet();
            reopen();
        }
    }

    /** Closes what no longer meets connections as the receiver does now; reopen does the rest. */
    private void meet() {
        Coming now = receiver.connect();
        if (now == Coming.UP) {
            receiver.disconnected(); // it was only asked
        }
        if (now != coming) {
            coming = now;
            stale = true;
            listeners.forEach(listener -> listener.close(CloseMode.IMMEDIATE));
            listeners.clear();
            closedOff.forEach(NeverUp::close);
            closedOff.clear();
        }
    }

    /** Opens or cuts off the addresses where they changed. Apart from meet, since a closed listener is gone only later. */
    void reopen() throws IOException {
        synchronized (lock) {
            if (!stale) {
                return;
            }
            stale = false;
            for (int node = 0; node < addresses.size(); node++) {
                int from = node;
                switch (coming) {
                    case UP -> listeners.add(patiently(() -> net.listen(addresses.get(from),
                            session -> new Side(session, from))));
                    case NEVER_UP -> closedOff.add(patiently(() -> new NeverUp(addresses.get(from))));
                    default -> { }
                }
            }
        }
    }

    private interface Opening<T> {
        T open() throws IOException;
    }

    /** The old listener's socket goes with the next pass of its selector. */
    private static <T> T patiently(Opening<T> opening) throws IOException {
        IOException last = null;
        for (int i = 0; i < 200; i++) {
            try {
                return opening.open();
            } catch (IOException e) {
                last = e;
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        throw last;
    }

    void begin(Failure failure) {
        synchronized (lock) {
            receiver.begin(Ticker.now(), failure);
            if (outage(failure)) {
                see(What.OUTAGE, failure.kind().told());
            }
            settle();
        }
    }

    void end(Failure failure) {
        synchronized (lock) {
            receiver.end(Ticker.now(), failure);
            if (outage(failure)) {
                see(What.BACK, failure.kind().told());
            }
            if (failure.kind() == Failure.Kind.SILENT) {
                List.copyOf(sides).forEach(Link::reset);
            }
            settle();
        }
    }

    static boolean outage(Failure failure) {
        return switch (failure.kind()) {
            case CRASH, SILENT, HANG, SHUT, ERRORS -> true;
            default -> false;
        };
    }

    void shut() {
        synchronized (lock) {
            receiver.shut();
        }
    }

    /** After anything that changes what it is: its connections and addresses follow. */
    void settle() {
        if (receiver.down()) {
            List.copyOf(sides).forEach(Link::reset);
        } else if (receiver.silent()) {
            sides.forEach(Link::deafen);
        }
        meet();
        arm();
    }

    private void see(What what, String note) {
        logbook.add(new Sight(Ticker.now(), what, 0, null, 0, receiver.uid(), destination(), hall(), 0, 0, 0, note, null));
    }

    private void arm() {
        long due = receiver.nextDue();
        if (due < armedAt) {
            armedAt = due;
            ticker.at(due, this::advance);
        }
    }

    private void advance() {
        synchronized (lock) {
            armedAt = Long.MAX_VALUE;
            receiver.advance(Ticker.now());
            arm();
        }
    }

    void close() {
        synchronized (lock) {
            listeners.forEach(listener -> listener.close(CloseMode.IMMEDIATE));
            closedOff.forEach(NeverUp::close);
            List.copyOf(sides).forEach(Link::reset);
        }
    }

    /** Writes an answer that is due. */
    void answer(Answer answer) {
        Side side = (Side) answer.shot().from();
        if (side.out != null && side.out.shot == answer.shot()) {
            side.answer(answer);
        }
    }

    /** A call that waits for its answer. */
    private record Out(long number, Shot shot) { }

    /** A node's connection. */
    private final class Side extends Link {
        private final int node;
        private final Receiver mine;
        private boolean served;
        private boolean counted;
        private boolean cut;
        private long beganAt;
        private Out out;

        Side(IOSession session, int node) {
            super(session);
            this.node = node;
            mine = receiver;
        }

        @Override
        protected void opened() {
            synchronized (lock) {
                counted = mine == receiver && mine.connect() == Coming.UP;
                if (!counted) {
                    reset();
                    return;
                }
                sides.add(this);
            }
        }

        @Override
        protected void begins() {
            beganAt = Ticker.now();
            synchronized (lock) {
                cut = mine.cutsOff();
            }
            if (cut) {
                reset();
            }
        }

        @Override
        protected void came(Message message) {
            if (cut) {
                return;
            }
            if (message.method().equals("POST") && message.target().equals("/events")) {
                call(message);
            } else if (probes && message.method().equals("GET")) {
                synchronized (lock) {
                    write(Message.bytes(mine.inHand() < 1_000 ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 -", "", NOTHING));
                }
            } else {
                write(Message.bytes("HTTP/1.1 404 -", "", NOTHING));
            }
        }

        private void call(Message message) {
            String id = message.field("request-id");
            long number = CALLS.incrementAndGet();
            synchronized (lock) {
                if (out != null) { // one call at a time on a connection
                    reset();
                    return;
                }
                Shot shot = new Shot(id, message.field("idempotency-key"), node, this, !served);
                served = true;
                out = new Out(number, shot);
                see(What.CALL, 0, 0, beganAt, Integer.toString(message.body().length));
                mine.arrived(Ticker.now(), shot);
                arm();
            }
        }

        private void see(What what, int status, long toldWait, long began) {
            see(what, status, toldWait, began, null);
        }

        private void see(What what, int status, long toldWait, long began, String note) {
            logbook.add(new Sight(Ticker.now(), what, node, out.shot.id(), out.number, mine.uid(), mine.site().number(),
                    mine.hall(), status, toldWait, began, note, null));
        }

        private void answer(Answer answer) {
            switch (answer.manner()) {
                case NOTHING -> { }
                case RESET -> reset();
                case SPOILT_LINE -> {
                    see(What.CALL_ANSWERED, 0, 0, 0);
                    out = null;
                    write("HTP/1.1 2x0 \u0001\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    close();
                }
                case SPOILT_REST -> {
                    see(What.CALL_ANSWERED, 200, 0, 0);
                    out = null;
                    write("HTTP/1.1 200 OK\r\nContent-Le\u0000ngth: 4x\r\n: \r\n\r\n\u0002".getBytes(StandardCharsets.ISO_8859_1));
                    close();
                }
                case ENDLESS -> {
                    see(What.CALL_ANSWERED, 200, 0, 0);
                    out = null;
                    write("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    ticker.at(Ticker.now(), () -> goOn(0));
                }
                case SHUT_OUT -> {
                    see(What.CALL_ANSWERED, answer.status(), 0, 0);
                    out = null;
                    write(Message.bytes("HTTP/1.1 " + answer.status() + " -", "Connection: close\r\n", NOTHING));
                    close();
                }
                default -> {
                    byte[] bytes = whole(answer);
                    see(What.CALL_ANSWERED, answer.status(), answer.toldWait(), 0);
                    out = null;
                    write(bytes);
                    if (answer.manner() == Answer.Manner.DOUBLED) {
                        write(bytes);
                    }
                }
            }
        }

        private void goOn(int written) {
            if (isOpen() && written < ENDLESS) {
                boolean taken = unsent() == 0;
                if (taken) {
                    write(NOISE);
                }
                ticker.at(Ticker.now() + 2_000, () -> goOn(written + (taken ? NOISE.length : 0)));
            } else {
                reset();
            }
        }

        private byte[] whole(Answer answer) {
            StringBuilder fields = new StringBuilder();
            if (answer.toldWait() > 0) {
                fields.append("Retry-After: ").append(String.format(Locale.ROOT, "%.3f", answer.toldWait() / 1e6)).append("\r\n");
            }
            if (answer.report() != null) {
                fields.append(String.format(Locale.ROOT, "Server-Load: x0=%.3f,x1=%.3f\r\n", answer.report()[0],
                        answer.report()[1]));
            }
            return Message.bytes("HTTP/1.1 " + answer.status() + " -", fields.toString(), NOTHING);
        }

        @Override
        protected void unreadable(String why) {
            turnDown();
        }

        @Override
        protected void ended() {
            synchronized (lock) {
                sides.remove(this);
                if (counted) {
                    mine.disconnected();
                }
                if (out != null) {
                    see(What.CALL_ENDED, 0, 0, 0);
                    mine.gone(out.shot);
                    out = null;
                }
            }
        }
    }
}
