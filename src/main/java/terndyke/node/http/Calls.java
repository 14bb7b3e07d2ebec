package terndyke.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;

/**
 * The node's own connections, one call at a time on each. All methods belong to one thread, the owner's; what comes
 * back goes to the sinks on the I/O thread, and lines that are free again come back through the given hand.
 */
public final class Calls {
    private final Reactor reactor;
    private final Limits limits;
    private final Counters counters;
    private final LongSupplier clock;
    private final Consumer<Line> whenFree;
    private final Map<Peer, Deque<Line>> idle = new HashMap<>();
    private final Set<Line> busy = new HashSet<>(); // with a call on them
    private int open;

    public Calls(Reactor reactor, Limits limits, Counters counters, LongSupplier clock, Consumer<Line> whenFree) {
        this.reactor = reactor;
        this.limits = limits;
        this.counters = counters;
        this.clock = clock;
        this.whenFree = whenFree;
    }

    /**
     * Whoever answers at an address, for as long as it is that one: what comes to the same address later is another
     * peer and gets nothing of this one's connections.
     */
    public static final class Peer {
        private final InetSocketAddress address;
        private final AtomicLong toldAt; // when a wait was last told by a peer of the same destination
        private boolean always; // it gets a connection though all places are taken
        private boolean gone;

        /**
         * The platform, whose few calls never wait for a place: guards notices and the watch against endpoints that
         * take all places by keeping silent. The room for these connections is kept apart in the limits.
         */
        public static Peer platform(InetSocketAddress address) {
            Peer peer = new Peer(address);
            peer.always = true;
            return peer;
        }

        public Peer(InetSocketAddress address) {
            this(address, new AtomicLong());
        }

        /** One of several that tell their waits for all. */
        public Peer(InetSocketAddress address, AtomicLong toldAt) {
            this.address = address;
            this.toldAt = toldAt;
        }

        public InetSocketAddress address() {
            return address;
        }

        /** As a Host header names it. */
        public String host() {
            return address.getHostString() + ":" + address.getPort();
        }
    }

    /**
     * One connection, with the call that is on it. What comes while no call waits for an answer belongs to none: the
     * connection goes, and the earlier answer stands. Guards against second copies of an answer and noise behind it,
     * which would else be taken for the answer to the next call; covers endpoints that close or go mad while idle.
     */
    public final class Line {
        private final Peer peer;
        private volatile IOSession session;
        private volatile HttpConnection connection;
        private volatile boolean dropped;
        private Future<IOSession> coming;
        private volatile Exchange exchange;
        private volatile boolean last; // the other side closes it
        private long idleSince;
        private volatile long due = Long.MAX_VALUE; // bytes that the calls so far come to
        private boolean counted = true;
        private AnswerHeads heads;
        private boolean inInput;
        private boolean firstCall = true; // the one that is on it is its first

        private Line(Peer peer) {
            this.peer = peer;
        }

        /** The reader of this connection's answers. */
        AnswerHeads heads(Http1Config http) {
            heads = new AnswerHeads(http, new AnswerHeads.Listener() {
                @Override
                public void firstLine(int status) {
                    if (exchange != null) {
                        exchange.firstLine(status);
                    }
                }

                @Override
                public void retryAfter(String seconds) {
                    if (exchange != null) {
                        exchange.waitLine(seconds);
                    }
                }

                @Override
                public void cut(AnswerFlaw where) {
                    if (exchange != null) {
                        exchange.flaw = where;
                    }
                }
            });
            return heads;
        }

        /** Bytes, or an end, have come: false where no call waits for them. */
        boolean expects() {
            Exchange on = exchange;
            inInput = on != null && on.produced && !on.freed;
            if (!inInput) {
                session.close(CloseMode.IMMEDIATE);
                if (on != null && !on.freed) {
                    on.failed(null); // its call has not left
                }
            }
            return inInput;
        }

        /**
         * All that has come by now is read before a call leaves: a wait may be in it, or noise on this very line. One of
         * which bytes are left when it must not start any more is given up: a repeat that is whole only after its window
         * is a second effect, and one that is never whole does not run.
         */
        boolean mayLeave() {
            Exchange on = exchange;
            if (on != null && on.produced && !allWritten() && clock.getAsLong() >= on.call.startBy()) {
                on.failed(null);
                return false;
            }
            boolean may = on == null || on.produced || on.passed;
            if (on != null) {
                on.passed = true;
            }
            return may;
        }

        /** What has come has been read. */
        void read() {
            inInput = false;
            Exchange on = exchange;
            if (on != null && on.freed) {
                if (heads.left()) {
                    session.close(CloseMode.IMMEDIATE);
                }
                on.hand();
            } else if (on != null) {
                on.looked();
            }
        }

        void opened(IOSession opened, HttpConnection handler) {
            connection = handler;
            session = opened;
            if (dropped) {
                opened.close(CloseMode.IMMEDIATE);
            }
        }

        private boolean usable() {
            return session != null && session.isOpen();
        }

        /** True once all bytes of the calls so far have been written to the socket. */
        private boolean allWritten() {
            Exchange on = exchange;
            return on != null && on.produced && connection.getEndpointDetails().getSentBytesCount() >= due;
        }
    }

    /** Starts a call; the sink hears of it once. Returns what cancel() takes, or null where no socket is left. */
    public Line start(Peer peer, Call call, long now, Call.Sink sink) {
        Deque<Line> free = idle.getOrDefault(peer, new ArrayDeque<>(0));
        for (Line line = rested(free, now); line != null; line = rested(free, now)) {
            if (line.usable() && now - line.idleSince < limits.idleConnectionTimeoutMicros()) {
                line.firstCall = false; // read on the I/O thread only after the exchange below is
                line.exchange = new Exchange(line, call, now, sink);
                line.session.enqueue(line.exchange.command(), Command.Priority.NORMAL);
                busy.add(line);
                return line;
            }
            drop(line);
        }
        if (open >= limits.maxEndpointConnections() && !peer.always && !dropOldest()) {
            return null;
        }
        Line line = new Line(peer);
        line.exchange = new Exchange(line, call, now, sink);
        busy.add(line);
        open++;
        counters.add(Counter.CONNECTIONS_OPENED);
        Exchange exchange = line.exchange;
        line.coming = reactor.connect(peer.address, limits.connectTimeoutMicros(), line, new FutureCallback<>() {
            @Override
            public void completed(IOSession session) {
                session.enqueue(exchange.command(), Command.Priority.NORMAL);
            }

            @Override
            public void failed(Exception cause) {
                exchange.end(Call.Result.none(Ending.NOT_CONNECTED));
                whenFree.accept(line);
            }

            @Override
            public void cancelled() {
                exchange.end(Call.Result.none(Ending.NOT_CONNECTED));
                whenFree.accept(line);
            }
        });
        return line;
    }

    /** Takes the line used last of those that have rested for a moment, in which anything behind its answer came. */
    private Line rested(Deque<Line> free, long now) {
        for (Iterator<Line> last = free.descendingIterator(); last.hasNext();) {
            Line line = last.next();
            if (now - line.idleSince >= limits.connectionReuseDelayMicros()) {
                last.remove();
                return line;
            }
        }
        return free.pollLast();
    }

    /**
     * Gives up the call on a line by closing the connection; its sink hears nothing more that counts. True where the
     * connection never came up, so that the call never ran. Once it is up that can't be told from this thread: the
     * last byte may be on its way at this very moment.
     */
    public boolean cancel(Line line) {
        drop(line);
        return line.session == null;
    }

    /** Takes back a line whose call is over, for the next call where it is still open. */
    public void free(Line line, long now) {
        busy.remove(line);
        if (line.usable() && !line.dropped && !line.last && !line.peer.gone && limits.idleConnectionTimeoutMicros() > 0) {
            line.idleSince = now;
            line.exchange = null;
            idle.computeIfAbsent(line.peer, p -> new ArrayDeque<>(4)).addLast(line);
        } else {
            drop(line);
        }
    }

    /**
     * No call to a peer leaves that has not begun to. Guards against calls that were decided on before a wait was
     * told and whose connection is up only after it; a call that leaves in this very moment still goes.
     */
    public void withhold(Peer peer) {
        busy.stream().filter(line -> line.peer == peer && line.exchange != null)
                .forEach(line -> line.exchange.withheld = true);
    }

    /** A peer has left its address: none of its connections is used again. */
    public void left(Peer peer) {
        peer.gone = true;
        dropIdle(peer);
    }

    /**
     * Closes the idle connections to a peer, and each whose call is over when the I/O thread hands it back. Guards
     * against the turn that hears of an answer before its line is free, which else left the line idle for seconds.
     */
    public void dropIdle(Peer peer) {
        busy.stream().filter(line -> line.peer == peer && line.exchange != null && line.exchange.ended)
                .forEach(line -> line.last = true);
        Deque<Line> free = idle.remove(peer);
        if (free != null) {
            free.forEach(this::drop);
        }
    }

    /** Closes what has been idle for so long that the other side is about to. */
    public void sweep(long now) {
        for (Iterator<Deque<Line>> all = idle.values().iterator(); all.hasNext();) {
            Deque<Line> free = all.next();
            while (!free.isEmpty() && (now - free.peekFirst().idleSince >= limits.idleConnectionTimeoutMicros()
                    || !free.peekFirst().usable())) {
                drop(free.pollFirst());
            }
            if (free.isEmpty()) {
                all.remove();
            }
        }
    }

    /** Closes all connections, those with a call on them too. */
    public void close() {
        List.copyOf(busy).forEach(this::drop);
        idle.values().forEach(free -> free.forEach(this::drop));
        idle.clear();
    }

    private boolean dropOldest() {
        Line oldest = null;
        for (Deque<Line> free : idle.values()) {
            Line first = free.peekFirst();
            oldest = first != null && (oldest == null || first.idleSince < oldest.idleSince) ? first : oldest;
        }
        if (oldest != null) {
            idle.get(oldest.peer).remove(oldest);
            drop(oldest);
        }
        return oldest != null;
    }

    private void drop(Line line) {
        busy.remove(line);
        line.dropped = true;
        open -= line.counted ? 1 : 0;
        line.counted = false;
        if (line.coming != null && line.session == null) {
            line.coming.cancel(true);
        }
        IOSession session = line.session;
        if (session != null) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /** One call on the I/O thread. */
    private final class Exchange implements AsyncClientExchangeHandler {
        private final Line line;
        private final Call call;
        private final Call.Sink sink;
        private final ByteBuffer body;
        private HttpResponse head;
        private int status; // of the first line, before the rest of the head is there
        private long wait; // as a line of the head says it, before the rest is there
        private ByteBuffer answer;
        private volatile boolean produced;
        private volatile boolean withheld;
        private final long decidedAt;
        private boolean passed; // one pass over all connections since the call was put on its line
        private volatile boolean ended;
        private volatile boolean freed;
        private boolean handed;
        private int passedOver; // bytes of an answer that nobody wants
        private int informed;
        private long due; // when the answer has to be whole
        private AnswerFlaw flaw = AnswerFlaw.NONE;

        Exchange(Line line, Call call, long decidedAt, Call.Sink sink) {
            this.decidedAt = decidedAt;
            this.line = line;
            this.call = call;
            this.sink = sink;
            this.body = ByteBuffer.wrap(call.body());
        }

        Command command() {
            return new RequestExecutionCommand(this, null, HttpCoreContext.create());
        }

        void end(Call.Result result) {
            if (!ended) {
                ended = true;
                count(result.flaw());
                sink.ended(result);
            }
        }

        private void count(AnswerFlaw how) {
            switch (how) {
                case NONE -> { }
                case MISSING -> counters.add(Counter.ANSWERS_MISSING);
                case CUT_IN_FIRST_LINE, CUT_IN_HEAD, CUT_IN_BODY -> counters.add(Counter.ANSWERS_CUT);
                case UNREADABLE -> counters.add(Counter.ANSWERS_UNREADABLE);
                case STALLED -> counters.add(Counter.ANSWERS_STALLED);
            }
        }

        /** The first line decides: what reads 200 is done, however the rest of its answer is spoilt. */
        void firstLine(int read) {
            status = read;
            wait = 0;
        }

        /** What was decided without knowing of a wait does not leave, though the rest of its answer may never come. */
        void waitLine(String seconds) {
            line.peer.toldAt.set(clock.getAsLong());
            wait = Math.max(wait, micros(seconds));
        }

        private boolean done() {
            return status == 200 && !call.method().equals("GET");
        }

        /** A part of the answer has come: its rest has to come in time, however it trickles. */
        void looked() {
            long now = System.nanoTime() / 1000;
            due = due == 0 ? now + limits.responseReadTimeoutMicros() : due;
            if (head == null && done()) {
                end(new Call.Result(status, null, 0, false, null, null));
            }
            if (now >= due) {
                flaw = AnswerFlaw.STALLED;
                failed(null);
            } else if (line.session != null) {
                line.session.setSocketTimeout(Timeout.ofMicroseconds(due - now));
            }
        }

        private void free() {
            if (!freed) {
                freed = true;
                if (line.session != null) {
                    line.session.setSocketTimeout(Timeout.DISABLED); // idle, it is the desk's to close
                }
            }
            if (!line.inInput) {
                hand();
            }
        }

        /** Hands the line back, once all that came with the answer has been looked at. */
        private void hand() {
            if (!handed) {
                handed = true;
                whenFree.accept(line);
            }
        }

        @Override
        public void produceRequest(RequestChannel channel, HttpContext context)
                throws HttpException, IOException {
            if (withheld || line.peer.toldAt.get() > decidedAt || clock.getAsLong() >= call.startBy()) {
                end(Call.Result.none(Ending.NOT_SENT)); // its connection, or this thread, came too late
                throw new IOException("call is too late to start");
            }
            BasicHttpRequest request = new BasicHttpRequest(call.method(), call.path());
            int size = call.method().length() + call.path().length() + " ".length() + " HTTP/1.1\r\n".length() + 2;
            for (int i = 0; i < call.headers().length; i += 2) {
                request.addHeader(call.headers()[i], call.headers()[i + 1]);
                size += call.headers()[i].length() + call.headers()[i + 1].length() + 4;
            }
            line.due = line.connection.getEndpointDetails().getSentBytesCount() + size + call.body().length;
            produced = true;
            line.session.setSocketTimeout(Timeout.DISABLED);
            channel.sendRequest(request, call.body().length == 0 ? null
                    : new BasicEntityDetails(call.body().length, null), context);
        }

        @Override
        public int available() {
            return body.remaining();
        }

        @Override
        public void produce(DataStreamChannel channel) throws IOException {
            if (body.hasRemaining()) {
                channel.write(body);
            }
            if (!body.hasRemaining()) {
                channel.endStream(null);
            }
        }

        @Override
        public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
            if (++informed > limits.maxHeaders()) {
                throw new HttpException("an answer only announced");
            }
        }

        @Override
        public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
                throws IOException {
            head = response;
            Header connection = response.getFirstHeader("Connection");
            line.last = connection != null && connection.getValue().equalsIgnoreCase("close");
            if (done()) {
                end(result(null));
            } else if (response.getCode() == 200) {
                answer = ByteBuffer.allocate(limits.ioBufferBytes());
            }
            int most = answer == null ? limits.maxBodyBytes() : limits.maxResponseBytes();
            if (entity != null && entity.getContentLength() > most) {
                throw new IOException("answer is too large");
            }
            if (entity == null) {
                whole();
            }
        }

        /** The answer is whole. Only then does anything but 200 say that the call did not run. */
        private void whole() {
            byte[] content = null;
            if (answer != null) {
                content = new byte[answer.flip().remaining()];
                answer.get(content);
                answer = null;
            }
            end(result(content));
            free();
        }

        /** A wait counts once its line has been read, however the rest of the answer is spoilt. */
        private long waitTold() {
            return status == 429 || status == 503 ? wait : 0;
        }

        private Call.Result result(byte[] content) {
            Header load = head.countHeaders("Server-Load") == 1 ? head.getFirstHeader("Server-Load") : null;
            return new Call.Result(head.getCode(), null, wait, head.containsHeader("X-Line-Busy"),
                    load == null ? null : load.getValue(), content, line.last && line.firstCall, flaw);
        }

        @Override
        public void updateCapacity(CapacityChannel channel) throws IOException {
            channel.update(Integer.MAX_VALUE);
        }

        @Override
        public void consume(ByteBuffer source) throws IOException {
            if (answer != null && !ended) {
                if (answer.remaining() < source.remaining()) {
                    int grown = Math.max(2 * answer.capacity(), answer.position() + source.remaining());
                    if (grown > limits.maxResponseBytes()) {
                        throw new IOException("answer is too large");
                    }
                    answer = ByteBuffer.allocate(grown).put(answer.flip());
                }
                answer.put(source);
            } else if ((passedOver += source.remaining()) > limits.maxBodyBytes()) {
                throw new IOException("answer does not end");
            } else {
                source.position(source.limit());
            }
        }

        @Override
        public void streamEnd(List<? extends Header> trailers) {
            whole();
        }

        @Override
        public void failed(Exception cause) {
            end(done() ? new Call.Result(status, null, 0, false, null, null)
                    : Call.Result.none(line.allWritten() ? Ending.RESET : Ending.NOT_CONNECTED, waitTold(), flaw(cause)));
            IOSession session = line.session;
            if (session != null) {
                session.close(CloseMode.IMMEDIATE);
            }
            free();
        }

        /** Where an answer that did not come whole ended. */
        private AnswerFlaw flaw(Exception cause) {
            if (flaw != AnswerFlaw.NONE) {
                return flaw;
            }
            if (cause instanceof HttpException) {
                return AnswerFlaw.UNREADABLE;
            }
            if (head != null) {
                return AnswerFlaw.CUT_IN_BODY;
            }
            return status != 0 ? AnswerFlaw.CUT_IN_HEAD : AnswerFlaw.MISSING;
        }

        @Override
        public void cancel() {
            failed(null);
        }

        @Override
        public void releaseResources() {
            if (!ended) {
                failed(null);
            }
        }
    }

    /** Seconds, whole or decimal, in whole microseconds; 0 where there are none that can be read. */
    static long micros(String text) {
        try {
            double seconds = Double.parseDouble(text);
            return seconds > 0 && seconds < 1e6 ? Math.round(seconds * 1e6) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** An address in numbers, or null: names are not looked up. */
    public static InetSocketAddress address(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]")) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }
}
