package terndyke.lab.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.lab.plan.Failure;
import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.Ticker;

/** Clients that do harm for a while: they trickle, say nothing, or send what cannot be read. They hand in nothing. */
public final class Intruders {
    private static final long AGAIN = 200_000;
    private static final List<String> GARBAGE = List.of("\r\n\r\n\r\n", "GET\r\n\r\n", "\u0016\u0003\u0001 hello",
            "POST /%s HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
            "POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST /%s HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: soon\r\nContent-Length: 0\r\n\r\n",
            "POST /%s HTTP/9.9\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");

    private final Net net;
    private final Ticker ticker;
    private final List<InetSocketAddress> nodes;
    private final String grade;
    private final UniformRandomProvider chance;

    public Intruders(Net net, Ticker ticker, List<InetSocketAddress> nodes, String grade, long seed) {
        this.net = net;
        this.ticker = ticker;
        this.nodes = nodes;
        this.grade = grade;
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 13 + 1);
    }

    /** Lets such clients loose until a time. */
    public void begin(Failure failure, long until) {
        for (int node = 0; node < nodes.size(); node++) {
            if (failure.strikes(node)) {
                int many = (int) Math.round(failure.amount());
                switch (failure.kind()) {
                    case TRICKLE, MUTE -> {
                        for (int i = 0; i < many; i++) {
                            come(failure, node, until);
                        }
                    }
                    case GARBAGE -> spoil(node, Math.round(1e6 / failure.amount()), until);
                    case HUGE -> huge(node, Math.round(1e6 / failure.amount()), until);
                    default -> { }
                }
            }
        }
    }

    private void come(Failure failure, int node, long until) {
        if (Ticker.now() < until) {
            net.connect(nodes.get(node), 1_000_000, session -> new Lingerer(session, failure, node, until),
                    () -> ticker.at(Ticker.now() + AGAIN, () -> come(failure, node, until)));
        }
    }

    private void spoil(int node, long every, long until) {
        long now = Ticker.now();
        if (now < until) {
            String text;
            synchronized (chance) {
                text = GARBAGE.get(chance.nextInt(GARBAGE.size()));
            }
            net.connect(nodes.get(node), 1_000_000, session -> new Spoiler(session, String.format(text, grade)), () -> { });
            ticker.at(now + every, () -> spoil(node, every, until));
        }
    }

    private void huge(int node, long every, long until) {
        long now = Ticker.now();
        if (now < until) {
            net.connect(nodes.get(node), 1_000_000, Giant::new, () -> { });
            ticker.at(now + every, () -> huge(node, every, until));
        }
    }

    /** Hands in a foreign record under an id that belongs to another client; nobody reads what it is told. */
    void foreign(int node, String id, Arrival owner) {
        String head = "POST /" + owner.grade() + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nTenant: "
                + owner.tenant() + "\r\nRequest-Timeout-Ms: 2000\r\nX-Consignee: dest=" + owner.destination()
                + "\r\nCookie: key=foreign" + id + "\r\nContent-Length: 0\r\n\r\n";
        net.connect(nodes.get(node), 1_000_000, session -> new Spoiler(session, head), () -> { });
    }

    /** A connection that sends a body far beyond every limit, as fast as it is read. */
    private final class Giant extends Link {
        private static final int SIZE = 60_000_000;
        private static final byte[] PART = new byte[64 << 10];
        private int sent;

        Giant(IOSession session) {
            super(session);
        }

        @Override
        protected void opened() {
            write(("POST /" + grade + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: " + SIZE + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            goOn();
        }

        private void goOn() {
            for (int i = 0; i < 8 && isOpen() && unsent() == 0 && sent < SIZE; i++) {
                write(PART);
                sent += PART.length;
            }
            if (isOpen() && sent < SIZE) {
                ticker.at(Ticker.now() + 2_000, this::goOn);
            } else {
                close();
            }
        }

        @Override
        protected void came(Message message) { }

        @Override
        protected void unreadable(String why) { }
    }

    /** A connection that hands in half a request, byte by byte, or nothing. */
    private final class Lingerer extends Link {
        private final Failure failure;
        private final int node;
        private final long until;
        private final byte[] head;
        private int sent;

        Lingerer(IOSession session, Failure failure, int node, long until) {
            super(session);
            this.failure = failure;
            this.node = node;
            this.until = until;
            head = ("POST /" + grade + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 100000\r\n"
                    + "X-Slow: " + "z".repeat(2_000)).getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        protected void opened() {
            ticker.at(until, this::reset);
            if (failure.kind() == Failure.Kind.TRICKLE) {
                next();
            }
        }

        private void next() {
            if (isOpen() && sent < head.length) {
                write(new byte[] {head[sent++]});
                ticker.at(Ticker.now() + 100_000, this::next);
            }
        }

        @Override
        protected void came(Message message) { }

        @Override
        protected void unreadable(String why) { }

        @Override
        protected void ended() {
            ticker.at(Ticker.now() + AGAIN, () -> come(failure, node, until));
        }
    }

    /** A connection that sends what cannot be read and goes with the answer, or after a while. */
    private final class Spoiler extends Link {
        private final String text;

        Spoiler(IOSession session, String text) {
            super(session);
            this.text = text;
        }

        @Override
        protected void opened() {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
            ticker.at(Ticker.now() + 3_500_000, this::reset);
        }

        @Override
        protected void came(Message message) {
            close();
        }
    }

    /** The messages of a flood, as the schedule would hold them. */
    public static List<Arrival> flood(Failure failure, String grade, String tenant, int destinations) {
        List<Arrival> arrivals = new ArrayList<>();
        int count = (int) Math.round(failure.amount() * failure.lasts().seconds());
        for (int i = 0; i < count; i++) {
            arrivals.add(new Arrival(failure.at().micros() + Math.round(i / failure.amount() * 1e6), grade, tenant, null,
                    i % destinations, 100));
        }
        return arrivals;
    }
}
