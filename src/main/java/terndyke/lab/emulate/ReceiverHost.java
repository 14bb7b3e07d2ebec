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

import terndyke.lab.model.Response;
import terndyke.lab.model.Receiver;
import terndyke.lab.model.Receiver.ConnectOutcome;
import terndyke.lab.model.Shot;
import terndyke.lab.plan.Failure;
import terndyke.lab.referee.EventLog;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.ObservedEvent.EventType;
import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.UnreachableAddress;
import terndyke.lab.wire.TaskScheduler;

/**
 * A host on which receivers run, one after another. It has one address for each node, and the sockets of the receiver that
 * runs on it now. All hosts of a destination share one lock, the {@link terndyke.lab.model.EmulatedDestination}.
 */
final class ReceiverHost {
    private static final AtomicLong LAST_CALL_NUMBER = new AtomicLong();
    private static final byte[] ENDLESS_BODY_CHUNK = new byte[32 << 10];
    private static final int ENDLESS_BODY_LIMIT_BYTES = 8 << 20; // then even an endless response ends, by a reset
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final long COPY_LAG_STEP_MICROS = 8_000;
    private static final int COPY_LAG_STEPS = 5;

    private final SocketReactor reactor;
    private final TaskScheduler scheduler;
    private final EventLog eventLog;
    private final Object lock;
    private final String hallName;
    private final boolean answersProbes;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<ListenerEndpoint> listeners = new ArrayList<>();
    private final List<UnreachableAddress> unreachableAddresses = new ArrayList<>();
    private final Set<NodeConnection> connections = new HashSet<>();
    private Receiver receiver;
    private long copyCount; // of responses that are sent twice
    private ConnectOutcome connectOutcome = ConnectOutcome.REFUSED;
    private boolean addressesOutdated; // the listeners do not match connectOutcome yet
    private long nextAdvanceMicros = Long.MAX_VALUE;

    ReceiverHost(SocketReactor reactor, TaskScheduler scheduler, EventLog eventLog, Object lock, String hallName,
            boolean answersProbes) {
        this.reactor = reactor;
        this.scheduler = scheduler;
        this.eventLog = eventLog;
        this.lock = lock;
        this.hallName = hallName;
        this.answersProbes = answersProbes;
    }

    String hallName() {
        return hallName;
    }

    int hall() {
        return receiver.hall();
    }

    int destination() {
        return receiver.destination().number();
    }

    InetSocketAddress address(int node) {
        return addresses.get(node);
    }

    Receiver receiver() {
        return receiver;
    }

    /** Runs this receiver from now on. The connections of the previous one are reset. */
    void startReceiver(Receiver newReceiver, int nodeCount) throws IOException {
        synchronized (lock) {
            receiver = newReceiver;
            if (addresses.isEmpty()) {
                for (int node = 0; node < nodeCount; node++) {
                    addresses.add(SocketReactor.findFreeAddress("127.0." + (10 + node) + ".1"));
                }
            }
            List.copyOf(connections).forEach(RawHttpConnection::reset);
            connections.clear();
            updateConnectOutcome();
            reopenAddresses();
        }
    }

    /** Closes the listeners if the outcome of new connections has changed; {@link #reopenAddresses} opens them anew. */
    private void updateConnectOutcome() {
        ConnectOutcome newOutcome = receiver.openConnection();
        if (newOutcome == ConnectOutcome.ACCEPTED) {
            receiver.connectionClosed(); // openConnection counted a connection that does not exist
        }
        if (newOutcome != connectOutcome) {
            connectOutcome = newOutcome;
            addressesOutdated = true;
            listeners.forEach(listener -> listener.close(CloseMode.IMMEDIATE));
            listeners.clear();
            unreachableAddresses.forEach(UnreachableAddress::close);
            unreachableAddresses.clear();
        }
    }

    /**
     * Opens the addresses, or makes them unreachable, if connectOutcome has changed. Separate from
     * {@link #updateConnectOutcome}, since a closed listener releases its address only later.
     */
    void reopenAddresses() throws IOException {
        synchronized (lock) {
            if (!addressesOutdated) {
                return;
            }
            addressesOutdated = false;
            for (int node = 0; node < addresses.size(); node++) {
                int nodeNumber = node;
                switch (connectOutcome) {
                    case ACCEPTED -> listeners.add(retryOnIoException(() -> reactor.listen(addresses.get(nodeNumber),
                            session -> new NodeConnection(session, nodeNumber))));
                    case UNREACHABLE -> unreachableAddresses.add(
                            retryOnIoException(() -> new UnreachableAddress(addresses.get(nodeNumber))));
                    default -> { }
                }
            }
        }
    }

    /** A supplier that may throw an IOException. */
    private interface IoSupplier<T> {
        T get() throws IOException;
    }

    /** Retries opening an address, since the socket of a closed listener is released only with its selector's next pass. */
    private static <T> T retryOnIoException(IoSupplier<T> action) throws IOException {
        IOException lastException = null;
        for (int i = 0; i < 200; i++) {
            try {
                return action.get();
            } catch (IOException e) {
                lastException = e;
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        throw lastException;
    }

    void beginFailure(Failure failure) {
        synchronized (lock) {
            receiver.beginFailure(TaskScheduler.nowMicros(), failure);
            if (isOutage(failure)) {
                logEvent(EventType.OUTAGE, failure.kind().yamlName());
            }
            applyReceiverState();
        }
    }

    void endFailure(Failure failure) {
        synchronized (lock) {
            receiver.endFailure(TaskScheduler.nowMicros(), failure);
            if (isOutage(failure)) {
                logEvent(EventType.BACK, failure.kind().yamlName());
            }
            if (failure.kind() == Failure.Kind.SILENT) {
                List.copyOf(connections).forEach(RawHttpConnection::reset);
            }
            applyReceiverState();
        }
    }

    static boolean isOutage(Failure failure) {
        return switch (failure.kind()) {
            case CRASH, SILENT, HANG, SHUT, ERRORS -> true;
            default -> false;
        };
    }

    void rejectNewCalls() {
        synchronized (lock) {
            receiver.rejectNewCalls();
        }
    }

    /** Adapts the connections and addresses after a change of the receiver's state. */
    void applyReceiverState() {
        if (receiver.isDown()) {
            List.copyOf(connections).forEach(RawHttpConnection::reset);
        } else if (receiver.isSilent()) {
            connections.forEach(RawHttpConnection::stopReading);
        }
        updateConnectOutcome();
        scheduleAdvance();
    }

    private void logEvent(EventType type, String note) {
        eventLog.add(new ObservedEvent(TaskScheduler.nowMicros(), type, 0, null, 0, receiver.uid(), destination(), hall(), 0, 0,
                0, note, null));
    }

    private void scheduleAdvance() {
        long due = receiver.nextDueMicros();
        if (due < nextAdvanceMicros) {
            nextAdvanceMicros = due;
            scheduler.schedule(due, this::advance);
        }
    }

    private void advance() {
        synchronized (lock) {
            nextAdvanceMicros = Long.MAX_VALUE;
            receiver.advance(TaskScheduler.nowMicros());
            scheduleAdvance();
        }
    }

    void close() {
        synchronized (lock) {
            listeners.forEach(listener -> listener.close(CloseMode.IMMEDIATE));
            unreachableAddresses.forEach(UnreachableAddress::close);
            List.copyOf(connections).forEach(RawHttpConnection::reset);
        }
    }

    /** Writes a response that is due, unless its call is no longer pending. */
    void sendResponse(Response response) {
        NodeConnection connection = (NodeConnection) response.shot().connection();
        if (connection.pendingCall != null && connection.pendingCall.shot == response.shot()) {
            connection.sendResponse(response);
        }
    }

    /** A call that waits for its response. */
    private record PendingCall(long callNumber, Shot shot) { }

    /** A connection from a node to the receiver. */
    private final class NodeConnection extends RawHttpConnection {
        private final int node;
        private final Receiver connectedReceiver;
        private boolean hasReceivedCall;
        private boolean countedByReceiver;
        private boolean resetDuringRequest;
        private long requestStartMicros;
        private PendingCall pendingCall;

        NodeConnection(IOSession session, int node) {
            super(session);
            this.node = node;
            connectedReceiver = receiver;
        }

        @Override
        protected void onOpen() {
            synchronized (lock) {
                countedByReceiver =
                        connectedReceiver == receiver && connectedReceiver.openConnection() == ConnectOutcome.ACCEPTED;
                if (!countedByReceiver) {
                    reset();
                    return;
                }
                connections.add(this);
            }
        }

        @Override
        protected void onMessageStart() {
            requestStartMicros = TaskScheduler.nowMicros();
            synchronized (lock) {
                resetDuringRequest = connectedReceiver.drawRequestReset();
            }
            if (resetDuringRequest) {
                reset();
            }
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            if (resetDuringRequest) {
                return;
            }
            if (message.method().equals("POST") && message.target().equals("/events")) {
                handleCall(message);
            } else if (answersProbes && message.method().equals("GET")) {
                synchronized (lock) {
                    write(RawHttpMessage.encode(
                            connectedReceiver.callsInProgress() < 1_000 ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 -", "", EMPTY_BODY));
                }
            } else {
                write(RawHttpMessage.encode("HTTP/1.1 404 -", "", EMPTY_BODY));
            }
        }

        private void handleCall(RawHttpMessage message) {
            String id = message.header("request-id");
            long callNumber = LAST_CALL_NUMBER.incrementAndGet();
            synchronized (lock) {
                if (pendingCall != null) { // one call at a time on a connection
                    reset();
                    return;
                }
                Shot shot = new Shot(id, message.header("idempotency-key"), node, this, !hasReceivedCall);
                hasReceivedCall = true;
                pendingCall = new PendingCall(callNumber, shot);
                logEvent(EventType.CALL, 0, 0, requestStartMicros, Integer.toString(message.body().length));
                connectedReceiver.callReceived(TaskScheduler.nowMicros(), shot);
                scheduleAdvance();
            }
        }

        private void logEvent(EventType type, int status, long retryAfterMicros, long startMicros) {
            logEvent(type, status, retryAfterMicros, startMicros, null);
        }

        private void logEvent(EventType type, int status, long retryAfterMicros, long startMicros, String note) {
            eventLog.add(new ObservedEvent(TaskScheduler.nowMicros(), type, node, pendingCall.shot.id(), pendingCall.callNumber,
                    connectedReceiver.uid(), connectedReceiver.destination().number(), connectedReceiver.hall(),
                    status, retryAfterMicros, startMicros, note, null));
        }

        private void sendResponse(Response response) {
            switch (response.mode()) {
                case NO_RESPONSE -> { }
                case RESET -> reset();
                case MALFORMED_STATUS_LINE -> {
                    logEvent(EventType.CALL_ANSWERED, 0, 0, 0);
                    pendingCall = null;
                    write("HTP/1.1 2x0 \u0001\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    close();
                }
                case MALFORMED_HEADERS -> {
                    logEvent(EventType.CALL_ANSWERED, 200, 0, 0);
                    pendingCall = null;
                    write("HTTP/1.1 200 OK\r\nContent-Le\u0000ngth: 4x\r\n: \r\n\r\n\u0002"
                            .getBytes(StandardCharsets.ISO_8859_1));
                    close();
                }
                case ENDLESS_BODY -> {
                    logEvent(EventType.CALL_ANSWERED, 200, 0, 0);
                    pendingCall = null;
                    write("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    scheduler.schedule(TaskScheduler.nowMicros(), () -> continueEndlessBody(0));
                }
                case CONNECTION_REJECTED -> {
                    logEvent(EventType.CALL_ANSWERED, response.status(), 0, 0);
                    pendingCall = null;
                    write(RawHttpMessage.encode("HTTP/1.1 " + response.status() + " -", "Connection: close\r\n", EMPTY_BODY));
                    close();
                }
                default -> {
                    byte[] bytes = encodeResponse(response);
                    logEvent(EventType.CALL_ANSWERED, response.status(), response.retryAfterMicros(), 0);
                    pendingCall = null;
                    write(bytes);
                    if (response.mode() == Response.ResponseMode.DUPLICATED) {
                        sendCopy(bytes);
                    }
                }
            }
        }

        /** Sends a response again: at once, or with a lag, when the next call may be out on the connection. */
        private void sendCopy(byte[] bytes) {
            long lagMicros = copyCount++ % COPY_LAG_STEPS * COPY_LAG_STEP_MICROS;
            if (lagMicros == 0) {
                write(bytes);
                return;
            }
            scheduler.schedule(TaskScheduler.nowMicros() + lagMicros, () -> {
                if (isOpen()) {
                    write(bytes);
                }
            });
        }

        private void continueEndlessBody(int writtenBytes) {
            if (isOpen() && writtenBytes < ENDLESS_BODY_LIMIT_BYTES) {
                boolean previousChunkWritten = unsentBytes() == 0;
                if (previousChunkWritten) {
                    write(ENDLESS_BODY_CHUNK);
                }
                scheduler.schedule(TaskScheduler.nowMicros() + 2_000,
                        () -> continueEndlessBody(writtenBytes + (previousChunkWritten ? ENDLESS_BODY_CHUNK.length : 0)));
            } else {
                reset();
            }
        }

        private byte[] encodeResponse(Response response) {
            StringBuilder headers = new StringBuilder();
            if (response.retryAfterMicros() > 0) {
                headers.append("Retry-After: ").append(String.format(Locale.ROOT, "%.3f", response.retryAfterMicros() / 1e6))
                        .append("\r\n");
            }
            if (response.loadReport() != null) {
                headers.append(String.format(Locale.ROOT, "Server-Load: x0=%.3f,x1=%.3f\r\n", response.loadReport()[0],
                        response.loadReport()[1]));
            }
            return RawHttpMessage.encode("HTTP/1.1 " + response.status() + " -", headers.toString(), EMPTY_BODY);
        }

        @Override
        protected void onMalformedInput(String reason) {
            sendBadRequestAndClose();
        }

        @Override
        protected void onClosed() {
            synchronized (lock) {
                connections.remove(this);
                if (countedByReceiver) {
                    connectedReceiver.connectionClosed();
                }
                if (pendingCall != null) {
                    logEvent(EventType.CALL_ENDED, 0, 0, 0);
                    connectedReceiver.callerDisconnected(pendingCall.shot);
                    pendingCall = null;
                }
            }
        }
    }
}
