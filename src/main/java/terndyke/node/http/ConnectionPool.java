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
public final class ConnectionPool {
    private final Reactor reactor;
    private final Limits limits;
    private final Counters counters;
    private final LongSupplier clock;
    private final Consumer<PooledConnection> releaseListener;
    private final Map<Peer, Deque<PooledConnection>> idleConnections = new HashMap<>();
    private final Set<PooledConnection> busyConnections = new HashSet<>(); // with a call on them
    private int openCount;

    public ConnectionPool(Reactor reactor, Limits limits, Counters counters, LongSupplier clock, Consumer<PooledConnection> whenFree) {
        this.reactor = reactor;
        this.limits = limits;
        this.counters = counters;
        this.clock = clock;
        this.releaseListener = whenFree;
    }

    /**
     * Whoever answers at an address, for as long as it is that one: what comes to the same address later is another
     * peer and gets nothing of this one's connections.
     */
    public static final class Peer {
        private final InetSocketAddress address;
        private final AtomicLong retryAfterReceivedAt; // when a wait was last told by a peer of the same destination
        private boolean exemptFromLimit; // it gets a connection though all places are taken
        private boolean removed;

        /**
         * The platform, whose few calls never wait for a place: guards notices and the watch against endpoints that
         * take all places by keeping silent. The room for these connections is kept apart in the limits.
         */
        public static Peer forPlatform(InetSocketAddress address) {
            Peer peer = new Peer(address);
            peer.exemptFromLimit = true;
            return peer;
        }

        public Peer(InetSocketAddress address) {
            this(address, new AtomicLong());
        }

        /** One of several that tell their waits for all. */
        public Peer(InetSocketAddress address, AtomicLong toldAt) {
            this.address = address;
            this.retryAfterReceivedAt = toldAt;
        }

        public InetSocketAddress address() {
            return address;
        }

        /** As a Host header names it. */
        public String hostHeader() {
            return address.getHostString() + ":" + address.getPort();
        }
    }

    /**
     * One connection, with the call that is on it. What comes while no call waits for an answer belongs to none: the
     * connection goes, and the earlier answer stands. Guards against second copies of an answer and noise behind it,
     * which would else be taken for the answer to the next call; covers endpoints that close or go mad while idle.
     */
    public final class PooledConnection {
        private final Peer peer;
        private volatile IOSession session;
        private volatile HttpConnection httpConnection;
        private volatile boolean discarded;
        private Future<IOSession> pendingConnect;
        private volatile Exchange exchange;
        private volatile boolean closeAfterCall; // the other side closes it
        private long idleSince;
        private volatile long requestEndOffset = Long.MAX_VALUE; // bytes that the calls so far come to
        private boolean countedAsOpen = true;
        private ResponseHeadParser responseParser;
        private boolean readingInput;
        private boolean firstCall = true; // the one that is on it is its first

        private PooledConnection(Peer peer) {
            this.peer = peer;
        }

        /** The reader of this connection's answers. */
        ResponseHeadParser createResponseParser(Http1Config http) {
            responseParser = new ResponseHeadParser(http, new ResponseHeadParser.Listener() {
                @Override
                public void onStatusLine(int status) {
                    if (exchange != null) {
                        exchange.onStatusLine(status);
                    }
                }

                @Override
                public void onRetryAfter(String seconds) {
                    if (exchange != null) {
                        exchange.onRetryAfter(seconds);
                    }
                }

                @Override
                public void onTruncatedHead(ResponseDefect where) {
                    if (exchange != null) {
                        exchange.defect = where;
                    }
                }
            });
            return responseParser;
        }

        /** Bytes, or an end, have come: false where no call waits for them. */
        boolean beginInput() {
            Exchange on = exchange;
            readingInput = on != null && on.requestStarted && !on.completed;
            if (!readingInput) {
                session.close(CloseMode.IMMEDIATE);
                if (on != null && !on.completed) {
                    on.failed(null); // its call has not left
                }
            }
            return readingInput;
        }

        /**
         * All that has come by now is read before a call leaves: a wait may be in it, or noise on this very line. One of
         * which bytes are left when it must not start any more is given up: a repeat that is whole only after its window
         * is a second effect, and one that is never whole does not run.
         */
        boolean canWriteRequest() {
            Exchange on = exchange;
            if (on != null && on.requestStarted && !isRequestWritten() && clock.getAsLong() >= on.call.startDeadline()) {
                on.failed(null);
                return false;
            }
            boolean may = on == null || on.requestStarted || on.deferredOnce;
            if (on != null) {
                on.deferredOnce = true;
            }
            return may;
        }

        /** What has come has been read. */
        void endInput() {
            readingInput = false;
            Exchange on = exchange;
            if (on != null && on.completed) {
                if (responseParser.hasLeftoverBytes()) {
                    session.close(CloseMode.IMMEDIATE);
                }
                on.releaseConnection();
            } else if (on != null) {
                on.onPartialResponse();
            }
        }

        void onConnected(IOSession opened, HttpConnection handler) {
            httpConnection = handler;
            session = opened;
            if (discarded) {
                opened.close(CloseMode.IMMEDIATE);
            }
        }

        private boolean isUsable() {
            return session != null && session.isOpen();
        }

        /** True once all bytes of the calls so far have been written to the socket. */
        private boolean isRequestWritten() {
            Exchange on = exchange;
            return on != null && on.requestStarted && httpConnection.getEndpointDetails().getSentBytesCount() >= requestEndOffset;
        }
    }

    /** Starts a call; the sink hears of it once. Returns what cancel() takes, or null where no socket is left. */
    public PooledConnection startCall(Peer peer, Call call, long now, Call.ResultListener sink) {
        Deque<PooledConnection> free = idleConnections.getOrDefault(peer, new ArrayDeque<>(0));
        for (PooledConnection line = takeIdleConnection(free, now); line != null; line = takeIdleConnection(free, now)) {
            if (line.isUsable() && now - line.idleSince < limits.idleConnectionTimeoutMicros()) {
                line.firstCall = false; // read on the I/O thread only after the exchange below is
                line.exchange = new Exchange(line, call, now, sink);
                line.session.enqueue(line.exchange.createCommand(), Command.Priority.NORMAL);
                busyConnections.add(line);
                return line;
            }
            discard(line);
        }
        if (openCount >= limits.maxEndpointConnections() && !peer.exemptFromLimit && !closeOldestIdle()) {
            return null;
        }
        PooledConnection line = new PooledConnection(peer);
        line.exchange = new Exchange(line, call, now, sink);
        busyConnections.add(line);
        openCount++;
        counters.add(Counter.CONNECTIONS_OPENED);
        Exchange exchange = line.exchange;
        line.pendingConnect = reactor.connect(peer.address, limits.connectTimeoutMicros(), line, new FutureCallback<>() {
            @Override
            public void completed(IOSession session) {
                session.enqueue(exchange.createCommand(), Command.Priority.NORMAL);
            }

            @Override
            public void failed(Exception cause) {
                exchange.deliverResult(Call.Result.withoutResponse(Ending.NOT_CONNECTED));
                releaseListener.accept(line);
            }

            @Override
            public void cancelled() {
                exchange.deliverResult(Call.Result.withoutResponse(Ending.NOT_CONNECTED));
                releaseListener.accept(line);
            }
        });
        return line;
    }

    /** Takes the line used last of those that have rested for a moment, in which anything behind its answer came. */
    private PooledConnection takeIdleConnection(Deque<PooledConnection> free, long now) {
        for (Iterator<PooledConnection> last = free.descendingIterator(); last.hasNext();) {
            PooledConnection line = last.next();
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
    public boolean cancelCall(PooledConnection line) {
        discard(line);
        return line.session == null;
    }

    /** Takes back a line whose call is over, for the next call where it is still open. */
    public void release(PooledConnection line, long now) {
        busyConnections.remove(line);
        if (line.isUsable() && !line.discarded && !line.closeAfterCall && !line.peer.removed && limits.idleConnectionTimeoutMicros() > 0) {
            line.idleSince = now;
            line.exchange = null;
            idleConnections.computeIfAbsent(line.peer, p -> new ArrayDeque<>(4)).addLast(line);
        } else {
            discard(line);
        }
    }

    /**
     * No call to a peer leaves that has not begun to. Guards against calls that were decided on before a wait was
     * told and whose connection is up only after it; a call that leaves in this very moment still goes.
     */
    public void withhold(Peer peer) {
        busyConnections.stream().filter(line -> line.peer == peer && line.exchange != null)
                .forEach(line -> line.exchange.withheld = true);
    }

    /** A peer has left its address: none of its connections is used again. */
    public void removePeer(Peer peer) {
        peer.removed = true;
        closeIdle(peer);
    }

    /**
     * Closes the idle connections to a peer, and each whose call is over when the I/O thread hands it back. Guards
     * against the turn that hears of an answer before its line is free, which else left the line idle for seconds.
     */
    public void closeIdle(Peer peer) {
        busyConnections.stream().filter(line -> line.peer == peer && line.exchange != null && line.exchange.resultDelivered)
                .forEach(line -> line.closeAfterCall = true);
        Deque<PooledConnection> free = idleConnections.remove(peer);
        if (free != null) {
            free.forEach(this::discard);
        }
    }

    /** Closes what has been idle for so long that the other side is about to. */
    public void closeExpired(long now) {
        for (Iterator<Deque<PooledConnection>> all = idleConnections.values().iterator(); all.hasNext();) {
            Deque<PooledConnection> free = all.next();
            while (!free.isEmpty() && (now - free.peekFirst().idleSince >= limits.idleConnectionTimeoutMicros()
                    || !free.peekFirst().isUsable())) {
                discard(free.pollFirst());
            }
            if (free.isEmpty()) {
                all.remove();
            }
        }
    }

    /** Closes all connections, those with a call on them too. */
    public void close() {
        List.copyOf(busyConnections).forEach(this::discard);
        idleConnections.values().forEach(free -> free.forEach(this::discard));
        idleConnections.clear();
    }

    private boolean closeOldestIdle() {
        PooledConnection oldest = null;
        for (Deque<PooledConnection> free : idleConnections.values()) {
            PooledConnection first = free.peekFirst();
            oldest = first != null && (oldest == null || first.idleSince < oldest.idleSince) ? first : oldest;
        }
        if (oldest != null) {
            idleConnections.get(oldest.peer).remove(oldest);
            discard(oldest);
        }
        return oldest != null;
    }

    private void discard(PooledConnection line) {
        busyConnections.remove(line);
        line.discarded = true;
        openCount -= line.countedAsOpen ? 1 : 0;
        line.countedAsOpen = false;
        if (line.pendingConnect != null && line.session == null) {
            line.pendingConnect.cancel(true);
        }
        IOSession session = line.session;
        if (session != null) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /** One call on the I/O thread. */
    private final class Exchange implements AsyncClientExchangeHandler {
        private final PooledConnection pooledConnection;
        private final Call call;
        private final Call.ResultListener resultListener;
        private final ByteBuffer requestBody;
        private HttpResponse responseHead;
        private int status; // of the first line, before the rest of the head is there
        private long retryAfterMicros; // as a line of the head says it, before the rest is there
        private ByteBuffer responseBody;
        private volatile boolean requestStarted;
        private volatile boolean withheld;
        private final long decidedAt;
        private boolean deferredOnce; // one pass over all connections since the call was put on its line
        private volatile boolean resultDelivered;
        private volatile boolean completed;
        private boolean released;
        private int discardedBytes; // bytes of an answer that nobody wants
        private int informationalResponses;
        private long responseDeadline; // when the answer has to be whole
        private ResponseDefect defect = ResponseDefect.NONE;

        Exchange(PooledConnection line, Call call, long decidedAt, Call.ResultListener sink) {
            this.decidedAt = decidedAt;
            this.pooledConnection = line;
            this.call = call;
            this.resultListener = sink;
            this.requestBody = ByteBuffer.wrap(call.body());
        }

        Command createCommand() {
            return new RequestExecutionCommand(this, null, HttpCoreContext.create());
        }

        void deliverResult(Call.Result result) {
            if (!resultDelivered) {
                resultDelivered = true;
                countDefect(result.defect());
                resultListener.onResult(result);
            }
        }

        private void countDefect(ResponseDefect how) {
            switch (how) {
                case NONE -> { }
                case MISSING -> counters.add(Counter.ANSWERS_MISSING);
                case CUT_IN_FIRST_LINE, CUT_IN_HEAD, CUT_IN_BODY -> counters.add(Counter.ANSWERS_CUT);
                case UNREADABLE -> counters.add(Counter.ANSWERS_UNREADABLE);
                case STALLED -> counters.add(Counter.ANSWERS_STALLED);
            }
        }

        /** The first line decides: what reads 200 is done, however the rest of its answer is spoilt. */
        void onStatusLine(int read) {
            status = read;
            retryAfterMicros = 0;
        }

        /** What was decided without knowing of a wait does not leave, though the rest of its answer may never come. */
        void onRetryAfter(String seconds) {
            pooledConnection.peer.retryAfterReceivedAt.set(clock.getAsLong());
            retryAfterMicros = Math.max(retryAfterMicros, secondsToMicros(seconds));
        }

        private boolean isDone() {
            return status == 200 && !call.method().equals("GET");
        }

        /** A part of the answer has come: its rest has to come in time, however it trickles. */
        void onPartialResponse() {
            long now = System.nanoTime() / 1000;
            responseDeadline = responseDeadline == 0 ? now + limits.responseReadTimeoutMicros() : responseDeadline;
            if (responseHead == null && isDone()) {
                deliverResult(new Call.Result(status, null, 0, false, null, null));
            }
            if (now >= responseDeadline) {
                defect = ResponseDefect.STALLED;
                failed(null);
            } else if (pooledConnection.session != null) {
                pooledConnection.session.setSocketTimeout(Timeout.ofMicroseconds(responseDeadline - now));
            }
        }

        private void complete() {
            if (!completed) {
                completed = true;
                if (pooledConnection.session != null) {
                    pooledConnection.session.setSocketTimeout(Timeout.DISABLED); // idle, it is the desk's to close
                }
            }
            if (!pooledConnection.readingInput) {
                releaseConnection();
            }
        }

        /** Hands the line back, once all that came with the answer has been looked at. */
        private void releaseConnection() {
            if (!released) {
                released = true;
                releaseListener.accept(pooledConnection);
            }
        }

        @Override
        public void produceRequest(RequestChannel channel, HttpContext context)
                throws HttpException, IOException {
            if (withheld || pooledConnection.peer.retryAfterReceivedAt.get() > decidedAt || clock.getAsLong() >= call.startDeadline()) {
                deliverResult(Call.Result.withoutResponse(Ending.NOT_SENT)); // its connection, or this thread, came too late
                throw new IOException("call is too late to start");
            }
            BasicHttpRequest request = new BasicHttpRequest(call.method(), call.path());
            int size = call.method().length() + call.path().length() + " ".length() + " HTTP/1.1\r\n".length() + 2;
            for (int i = 0; i < call.headers().length; i += 2) {
                request.addHeader(call.headers()[i], call.headers()[i + 1]);
                size += call.headers()[i].length() + call.headers()[i + 1].length() + 4;
            }
            pooledConnection.requestEndOffset = pooledConnection.httpConnection.getEndpointDetails().getSentBytesCount() + size + call.body().length;
            requestStarted = true;
            pooledConnection.session.setSocketTimeout(Timeout.DISABLED);
            channel.sendRequest(request, call.body().length == 0 ? null
                    : new BasicEntityDetails(call.body().length, null), context);
        }

        @Override
        public int available() {
            return requestBody.remaining();
        }

        @Override
        public void produce(DataStreamChannel channel) throws IOException {
            if (requestBody.hasRemaining()) {
                channel.write(requestBody);
            }
            if (!requestBody.hasRemaining()) {
                channel.endStream(null);
            }
        }

        @Override
        public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
            if (++informationalResponses > limits.maxHeaders()) {
                throw new HttpException("an answer only announced");
            }
        }

        @Override
        public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
                throws IOException {
            responseHead = response;
            Header connection = response.getFirstHeader("Connection");
            pooledConnection.closeAfterCall = connection != null && connection.getValue().equalsIgnoreCase("close");
            if (isDone()) {
                deliverResult(createResult(null));
            } else if (response.getCode() == 200) {
                responseBody = ByteBuffer.allocate(limits.ioBufferBytes());
            }
            int most = responseBody == null ? limits.maxBodyBytes() : limits.maxResponseBytes();
            if (entity != null && entity.getContentLength() > most) {
                throw new IOException("answer is too large");
            }
            if (entity == null) {
                completeResponse();
            }
        }

        /** The answer is whole. Only then does anything but 200 say that the call did not run. */
        private void completeResponse() {
            byte[] content = null;
            if (responseBody != null) {
                content = new byte[responseBody.flip().remaining()];
                responseBody.get(content);
                responseBody = null;
            }
            deliverResult(createResult(content));
            complete();
        }

        /** A wait counts once its line has been read, however the rest of the answer is spoilt. */
        private long effectiveRetryAfterMicros() {
            return status == 429 || status == 503 ? retryAfterMicros : 0;
        }

        private Call.Result createResult(byte[] content) {
            Header load = responseHead.countHeaders("Server-Load") == 1 ? responseHead.getFirstHeader("Server-Load") : null;
            return new Call.Result(responseHead.getCode(), null, retryAfterMicros, responseHead.containsHeader("X-Line-Busy"),
                    load == null ? null : load.getValue(), content, pooledConnection.closeAfterCall && pooledConnection.firstCall, defect);
        }

        @Override
        public void updateCapacity(CapacityChannel channel) throws IOException {
            channel.update(Integer.MAX_VALUE);
        }

        @Override
        public void consume(ByteBuffer source) throws IOException {
            if (responseBody != null && !resultDelivered) {
                if (responseBody.remaining() < source.remaining()) {
                    int grown = Math.max(2 * responseBody.capacity(), responseBody.position() + source.remaining());
                    if (grown > limits.maxResponseBytes()) {
                        throw new IOException("answer is too large");
                    }
                    responseBody = ByteBuffer.allocate(grown).put(responseBody.flip());
                }
                responseBody.put(source);
            } else if ((discardedBytes += source.remaining()) > limits.maxBodyBytes()) {
                throw new IOException("answer does not end");
            } else {
                source.position(source.limit());
            }
        }

        @Override
        public void streamEnd(List<? extends Header> trailers) {
            completeResponse();
        }

        @Override
        public void failed(Exception cause) {
            deliverResult(isDone() ? new Call.Result(status, null, 0, false, null, null)
                    : Call.Result.withoutResponse(pooledConnection.isRequestWritten() ? Ending.RESET : Ending.NOT_CONNECTED, effectiveRetryAfterMicros(), classifyDefect(cause)));
            IOSession session = pooledConnection.session;
            if (session != null) {
                session.close(CloseMode.IMMEDIATE);
            }
            complete();
        }

        /** Where an answer that did not come whole ended. */
        private ResponseDefect classifyDefect(Exception cause) {
            if (defect != ResponseDefect.NONE) {
                return defect;
            }
            if (cause instanceof HttpException) {
                return ResponseDefect.UNREADABLE;
            }
            if (responseHead != null) {
                return ResponseDefect.CUT_IN_BODY;
            }
            return status != 0 ? ResponseDefect.CUT_IN_HEAD : ResponseDefect.MISSING;
        }

        @Override
        public void cancel() {
            failed(null);
        }

        @Override
        public void releaseResources() {
            if (!resultDelivered) {
                failed(null);
            }
        }
    }

    /** Seconds, whole or decimal, in whole microseconds; 0 where there are none that can be read. */
    static long secondsToMicros(String text) {
        try {
            double seconds = Double.parseDouble(text);
            return seconds > 0 && seconds < 1e6 ? Math.round(seconds * 1e6) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** An address in numbers, or null: names are not looked up. */
    public static InetSocketAddress parseAddress(String text) {
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
