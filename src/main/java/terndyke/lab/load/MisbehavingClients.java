package terndyke.lab.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.hc.core5.reactor.IOSession;

import terndyke.lab.plan.Failure;
import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * Clients that misbehave during a failure: they send requests byte by byte, connect and send nothing, or send malformed or
 * oversized requests. None of these is a record of the schedule.
 */
public final class MisbehavingClients {
    private static final long RECONNECT_DELAY_MICROS = 200_000;
    private static final List<String> MALFORMED_REQUESTS = List.of("\r\n\r\n\r\n", "GET\r\n\r\n", "\u0016\u0003\u0001 hello",
            "POST /%s HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
            "POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST /%s HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: soon\r\nContent-Length: 0\r\n\r\n",
            "POST /%s HTTP/9.9\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");

    private final SocketReactor reactor;
    private final TaskScheduler scheduler;
    private final List<InetSocketAddress> nodeAddresses;
    private final String gradeName;
    private final UniformRandomProvider random;

    public MisbehavingClients(SocketReactor reactor, TaskScheduler scheduler, List<InetSocketAddress> nodeAddresses,
            String gradeName, long seed) {
        this.reactor = reactor;
        this.scheduler = scheduler;
        this.nodeAddresses = nodeAddresses;
        this.gradeName = gradeName;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 13 + 1);
    }

    /** Starts the misbehaving clients of a failure; they continue until the given time. */
    public void beginFailure(Failure failure, long untilMicros) {
        for (int node = 0; node < nodeAddresses.size(); node++) {
            if (failure.affectsNode(node)) {
                int clientCount = (int) Math.round(failure.amount());
                switch (failure.kind()) {
                    case TRICKLE, MUTE -> {
                        for (int i = 0; i < clientCount; i++) {
                            connectSlowClient(failure, node, untilMicros);
                        }
                    }
                    case GARBAGE -> sendMalformedRequests(node, Math.round(1e6 / failure.amount()), untilMicros);
                    case HUGE -> sendOversizedRequests(node, Math.round(1e6 / failure.amount()), untilMicros);
                    default -> { }
                }
            }
        }
    }

    private void connectSlowClient(Failure failure, int node, long untilMicros) {
        if (TaskScheduler.nowMicros() < untilMicros) {
            reactor.connect(nodeAddresses.get(node), 1_000_000,
                    session -> new SlowClientConnection(session, failure, node, untilMicros),
                    () -> scheduler.schedule(TaskScheduler.nowMicros() + RECONNECT_DELAY_MICROS,
                            () -> connectSlowClient(failure, node, untilMicros)));
        }
    }

    private void sendMalformedRequests(int node, long intervalMicros, long untilMicros) {
        long now = TaskScheduler.nowMicros();
        if (now < untilMicros) {
            String requestFormat;
            synchronized (random) {
                requestFormat = MALFORMED_REQUESTS.get(random.nextInt(MALFORMED_REQUESTS.size()));
            }
            reactor.connect(nodeAddresses.get(node), 1_000_000,
                    session -> new SingleRequestConnection(session, String.format(requestFormat, gradeName)), () -> { });
            scheduler.schedule(now + intervalMicros, () -> sendMalformedRequests(node, intervalMicros, untilMicros));
        }
    }

    private void sendOversizedRequests(int node, long intervalMicros, long untilMicros) {
        long now = TaskScheduler.nowMicros();
        if (now < untilMicros) {
            reactor.connect(nodeAddresses.get(node), 1_000_000, OversizedRequestConnection::new, () -> { });
            scheduler.schedule(now + intervalMicros, () -> sendOversizedRequests(node, intervalMicros, untilMicros));
        }
    }

    /** Sends a foreign request under an id that belongs to another client's record. The response is ignored. */
    void sendForeignRequest(int node, String id, Arrival arrival) {
        String requestText = "POST /" + arrival.grade() + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nTenant: "
                + arrival.tenant() + "\r\nRequest-Timeout-Ms: 2000\r\nX-Consignee: dest=" + arrival.destination()
                + "\r\nCookie: key=foreign" + id + "\r\nContent-Length: 0\r\n\r\n";
        reactor.connect(nodeAddresses.get(node), 1_000_000,
                session -> new SingleRequestConnection(session, requestText), () -> { });
    }

    /** A connection that sends a body far beyond every limit, as fast as the node reads it. */
    private final class OversizedRequestConnection extends RawHttpConnection {
        private static final int BODY_BYTES = 60_000_000;
        private static final byte[] CHUNK = new byte[64 << 10];
        private int sentBytes;

        OversizedRequestConnection(IOSession session) {
            super(session);
        }

        @Override
        protected void onOpen() {
            write(("POST /" + gradeName + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            writeNextChunks();
        }

        private void writeNextChunks() {
            for (int i = 0; i < 8 && isOpen() && unsentBytes() == 0 && sentBytes < BODY_BYTES; i++) {
                write(CHUNK);
                sentBytes += CHUNK.length;
            }
            if (isOpen() && sentBytes < BODY_BYTES) {
                scheduler.schedule(TaskScheduler.nowMicros() + 2_000, this::writeNextChunks);
            } else {
                close();
            }
        }

        @Override
        protected void onMessage(RawHttpMessage message) { }

        @Override
        protected void onMalformedInput(String reason) { }
    }

    /** A connection that sends an incomplete request byte by byte, or nothing. Opened again when the node closes it. */
    private final class SlowClientConnection extends RawHttpConnection {
        private final Failure failure;
        private final int node;
        private final long untilMicros;
        private final byte[] requestHead;
        private int sentBytes;

        SlowClientConnection(IOSession session, Failure failure, int node, long untilMicros) {
            super(session);
            this.failure = failure;
            this.node = node;
            this.untilMicros = untilMicros;
            requestHead = ("POST /" + gradeName + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 100000\r\n"
                    + "X-Slow: " + "z".repeat(2_000)).getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        protected void onOpen() {
            scheduler.schedule(untilMicros, this::reset);
            if (failure.kind() == Failure.Kind.TRICKLE) {
                writeNextByte();
            }
        }

        private void writeNextByte() {
            if (isOpen() && sentBytes < requestHead.length) {
                write(new byte[] {requestHead[sentBytes++]});
                scheduler.schedule(TaskScheduler.nowMicros() + 100_000, this::writeNextByte);
            }
        }

        @Override
        protected void onMessage(RawHttpMessage message) { }

        @Override
        protected void onMalformedInput(String reason) { }

        @Override
        protected void onClosed() {
            scheduler.schedule(TaskScheduler.nowMicros() + RECONNECT_DELAY_MICROS,
                    () -> connectSlowClient(failure, node, untilMicros));
        }
    }

    /** A connection that sends one prepared request (malformed or foreign) and closes on the response, or after 3.5 s. */
    private final class SingleRequestConnection extends RawHttpConnection {
        private final String requestText;

        SingleRequestConnection(IOSession session, String requestText) {
            super(session);
            this.requestText = requestText;
        }

        @Override
        protected void onOpen() {
            write(requestText.getBytes(StandardCharsets.ISO_8859_1));
            scheduler.schedule(TaskScheduler.nowMicros() + 3_500_000, this::reset);
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            close();
        }
    }

    /** The records of a flood, in the form of schedule entries. */
    public static List<Arrival> floodArrivals(Failure failure, String grade, String tenant, int destinations) {
        List<Arrival> arrivals = new ArrayList<>();
        int count = (int) Math.round(failure.amount() * failure.duration().seconds());
        for (int i = 0; i < count; i++) {
            arrivals.add(new Arrival(failure.at().micros() + Math.round(i / failure.amount() * 1e6), grade, tenant, null,
                    i % destinations, 100));
        }
        return arrivals;
    }
}
