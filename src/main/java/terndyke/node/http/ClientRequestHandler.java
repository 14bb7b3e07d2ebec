package terndyke.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;

/** Server side of the clients' interface: decodes each request once and submits it to the node, or rejects it if malformed. */
public final class ClientRequestHandler {
    private static final int REQUEST_OVERHEAD_BYTES = 4 << 10; // of a request without its body: head, exchange, response

    private static final ByteBuffer EMPTY_BODY = ByteBuffer.allocate(0);

    private final Limits limits;
    private final Counters counters;
    private final List<String> grades;
    private final List<String> tenants;
    private final LongSupplier clock;
    private final Predicate<ClientRequest> submitRequest;
    private final Consumer<ClientRequest> disconnectListener;
    private final Supplier<Boolean> readinessCheck;
    private volatile boolean closing;

    /**
     * Creates a handler for clients' requests. submitRequest returns false if the node takes no more requests at the moment;
     * disconnectListener gets each decoded request whose client disconnects before its response.
     */
    public ClientRequestHandler(Limits limits, Counters counters, List<String> grades, List<String> tenants, LongSupplier clock,
            Supplier<Boolean> readinessCheck, Predicate<ClientRequest> submitRequest,
            Consumer<ClientRequest> disconnectListener) {
        this.limits = limits;
        this.counters = counters;
        this.grades = grades;
        this.tenants = tenants;
        this.clock = clock;
        this.readinessCheck = readinessCheck;
        this.submitRequest = submitRequest;
        this.disconnectListener = disconnectListener;
    }

    /** From now on each response has the header "Connection: close". */
    public void startClosing() {
        closing = true;
    }

    /** Creates the handler of one request, whose connection is closed after its response if others wait for its place. */
    AsyncServerExchangeHandler createExchange(ClientConnections.ClientConnection clientConnection, boolean closeAfterResponse) {
        return new Exchange(clientConnection, closeAfterResponse);
    }

    private final class Exchange implements AsyncServerExchangeHandler, ClientRequest.Responder,
            ClientConnections.IncompleteRequest {
        private HttpRequest request;
        private ResponseChannel responseChannel;
        private HttpContext context;
        private ByteBuffer requestBody = EMPTY_BODY;
        private ByteBuffer responseBody;
        private boolean discardingBody; // the response has been sent before the end of the body
        private long discardedBytes;
        private MemoryBudget.Reservation memoryReservation; // for the request, until the node has handled it
        private final AtomicBoolean responseSettled = new AtomicBoolean(); // response chosen, or client gone
        private ClientRequest clientRequest;
        private final ClientConnections.ClientConnection clientConnection;
        private final boolean closeAfterResponse;

        Exchange(ClientConnections.ClientConnection clientConnection, boolean closeAfterResponse) {
            this.clientConnection = clientConnection;
            this.closeAfterResponse = closeAfterResponse;
        }

        @Override
        public void handleRequest(HttpRequest requestHead, EntityDetails entity, ResponseChannel channel, HttpContext httpContext)
                throws HttpException, IOException {
            request = requestHead;
            responseChannel = channel;
            context = httpContext;
            if (entity != null) {
                clientConnection.onBodyBegins(this);
            }
            if (entity != null && entity.getContentLength() > limits.maxBodyBytes()) {
                rejectTooLarge();
            } else if (entity == null) {
                processRequest();
            } else if (requestHead.containsHeader("Expect")) {
                responseChannel.sendInformation(new BasicHttpResponse(100), context);
            }
        }

        private void rejectTooLarge() {
            if (!discardingBody) {
                counters.add(Counter.TOO_LARGE);
                respondBeforeEndOfBody(413);
            }
        }

        private void respondBeforeEndOfBody(int status) {
            discardingBody = true;
            requestBody = EMPTY_BODY;
            sendResponse(status, 0, true, null);
        }

        @Override
        public int bufferedBytes() {
            return requestBody.capacity();
        }

        @Override
        public void refuse() {
            if (!discardingBody) {
                counters.add(Counter.REFUSED_AT_DOOR);
                counters.add(Counter.REFUSED_NO_MEMORY);
                respondBeforeEndOfBody(503);
            }
        }

        @Override
        public void updateCapacity(CapacityChannel capacity) throws IOException {
            capacity.update(Integer.MAX_VALUE);
        }

        @Override
        public void consume(ByteBuffer source) {
            if (!discardingBody && requestBody.position() + source.remaining() > limits.maxBodyBytes()) {
                rejectTooLarge();
            }
            if (discardingBody) {
                discardedBytes += source.remaining();
                source.position(source.limit());
                if (discardedBytes > limits.maxDiscardedBodyBytes()) { // the response has been sent long before
                    clientConnection.close();
                }
            } else {
                if (requestBody.remaining() < source.remaining()) {
                    int neededBytes = requestBody.position() + source.remaining();
                    int newCapacity = Math.max(neededBytes, Math.min(2 * requestBody.capacity(), limits.maxBodyBytes()));
                    requestBody = ByteBuffer.allocate(newCapacity).put(requestBody.flip());
                }
                requestBody.put(source);
            }
        }

        @Override
        public void streamEnd(List<? extends Header> trailers) {
            if (!discardingBody) {
                processRequest();
            }
        }

        private void processRequest() {
            clientConnection.onRequestComplete();
            byte[] body = Arrays.copyOf(requestBody.array(), requestBody.position());
            requestBody = EMPTY_BODY;
            String path = request.getPath();
            if (request.getMethod().equals("GET")) {
                switch (path) {
                    case "/_health" -> sendResponse(readinessCheck.get() ? 200 : 503, 0, false, null);
                    case "/_counters" -> sendResponse(200, 0, false, counters.toString());
                    default -> sendResponse(404, 0, false, null);
                }
                return;
            }
            counters.add(Counter.REQUESTS_IN);
            try {
                clientRequest = decodeRequest(path, body);
                Counter refusal = submitAndGetRefusal();
                if (refusal != null) {
                    counters.add(Counter.REFUSED_AT_DOOR);
                    counters.add(refusal);
                    refused(0);
                }
            } catch (IllegalArgumentException e) {
                counters.add(Counter.MALFORMED);
                sendResponse(request.getMethod().equals("POST") ? 400 : 405, 0, false, e.getMessage() + "\n");
            }
        }

        /** Submits the request to the node. Returns the counter of the reason for a refusal, or null if it is accepted. */
        private Counter submitAndGetRefusal() {
            if (clientConnection.unreadMicros() > limits.maxAdmissionDelayMicros()) {
                return Counter.REFUSED_READ_LATE;
            }
            memoryReservation = clientConnection.reserveMemory(clientRequest.body().length + REQUEST_OVERHEAD_BYTES);
            if (memoryReservation == null) {
                return Counter.REFUSED_NO_MEMORY;
            }
            return submitRequest.test(clientRequest) ? null : Counter.REFUSED_INBOX_FULL;
        }

        private ClientRequest decodeRequest(String path, byte[] body) {
            if (!request.getMethod().equals("POST")) {
                throw new IllegalArgumentException("only POST hands a record in");
            }
            int secondSlash = path.indexOf('/', 1);
            int queryStart = path.indexOf('?');
            int gradeEnd = secondSlash > 0 ? secondSlash : queryStart > 0 ? queryStart : path.length();
            int grade = grades.indexOf(path.length() > 0 ? path.substring(1, gradeEnd) : "");
            if (grade < 0) {
                throw new IllegalArgumentException("unknown service grade");
            }
            String id = singleHeader("Request-Id");
            if (id == null || id.isEmpty() || id.length() > limits.maxIdChars()
                    || !id.chars().allMatch(ClientRequestHandler::isVisibleAscii)) {
                throw new IllegalArgumentException("Request-Id is missing, too long or not plain");
            }
            int tenant = tenants.isEmpty() ? 0 : tenants.indexOf(singleHeader("Tenant"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown tenant");
            }
            long timeoutMillis = parseNumber(singleHeader("Request-Timeout-Ms"), "Request-Timeout-Ms",
                    limits.maxRecordTimeoutMicros() / 1000);
            String consignee = singleHeader("X-Consignee");
            String destinationText = consignee == null ? null : parseField(consignee, "dest", ",|;|\\s");
            long destination = parseNumber(destinationText, "X-Consignee", 1 << 24);
            String clientRetry = singleHeader("Client-Retry");
            String idempotencyKey = singleHeader("Idempotency-Key");
            if (idempotencyKey != null && (idempotencyKey.length() > limits.maxIdChars()
                    || !idempotencyKey.chars().allMatch(ClientRequestHandler::isVisibleAscii))) {
                throw new IllegalArgumentException("Idempotency-Key is too long or not plain");
            }
            return new ClientRequest(id, grade, tenant, parseKey(), (int) destination, idempotencyKey,
                    timeoutMillis * 1000, clientRetry != null, "again".equals(clientRetry), body,
                    clock.getAsLong() - clientConnection.unreadMicros(), this);
        }

        /** The value of a header that may occur once, or null if it is absent. */
        private String singleHeader(String name) {
            Header[] headers = request.getHeaders(name);
            if (headers.length > 1) {
                throw new IllegalArgumentException(name + " comes more than once");
            }
            return headers.length == 0 ? null : String.valueOf(headers[0].getValue()).strip();
        }

        private long parseNumber(String text, String name, long max) {
            long value = text == null || !text.matches("\\d{1,15}") ? -1 : Long.parseLong(text);
            if (value < 0 || value > max) {
                throw new IllegalArgumentException(name + " is missing or not a number in range");
            }
            return value;
        }

        private long parseKey() {
            String cookie = singleHeader("Cookie");
            String key = cookie == null ? null : parseField(cookie, "key", ";");
            return key == null || key.isEmpty() ? 0 : toKeyNumber(key);
        }

        @Override
        public void taken() {
            sendResponse(202, 0, false, null);
        }

        @Override
        public void delivered() {
            sendResponse(200, 0, false, null);
        }

        @Override
        public void refused(long retryAfterMicros) {
            sendResponse(503, retryAfterMicros, false, null);
        }

        @Override
        public void failed(int status) {
            sendResponse(status, 0, false, null);
        }

        @Override
        public void withdrawn() {
            releaseMemory();
        }

        private void releaseMemory() {
            if (memoryReservation != null) {
                memoryReservation.close();
            }
        }

        private void sendResponse(int status, long retryAfterMicros, boolean closeConnection, String bodyText) {
            releaseMemory();
            if (!responseSettled.compareAndSet(false, true)) {
                return;
            }
            BasicHttpResponse response = new BasicHttpResponse(status);
            if (retryAfterMicros > 0) {
                response.addHeader("Retry-After", formatSeconds(retryAfterMicros));
            }
            if (closeConnection || closing || closeAfterResponse) {
                response.addHeader("Connection", "close");
            }
            responseBody = bodyText == null ? null : ByteBuffer.wrap(bodyText.getBytes(StandardCharsets.UTF_8));
            response.addHeader("Content-Length", responseBody == null ? 0 : responseBody.remaining());
            if (DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context)) {
                writeResponse(response);
            } else {
                clientConnection.respondAndClose(() -> writeResponse(response));
            }
        }

        private void writeResponse(BasicHttpResponse response) {
            try {
                responseChannel.sendResponse(response, responseBody == null ? null
                        : new BasicEntityDetails(responseBody.remaining(), null), context);
            } catch (HttpException | IOException | CancelledKeyException e) {
                failed(e); // the connection is closed, or just being closed
            }
            clientConnection.onResponseSubmitted();
        }

        @Override
        public int available() {
            return responseBody == null ? 0 : responseBody.remaining();
        }

        @Override
        public void produce(DataStreamChannel out) throws IOException {
            if (responseBody != null && responseBody.hasRemaining()) {
                out.write(responseBody);
            }
            if (responseBody == null || !responseBody.hasRemaining()) {
                out.endStream(null);
            }
        }

        @Override
        public void failed(Exception cause) {
            if (clientRequest != null && responseSettled.compareAndSet(false, true)) {
                disconnectListener.accept(clientRequest);
            }
        }

        @Override
        public void releaseResources() {
            failed((Exception) null);
        }
    }

    /** Formats a time as seconds with three decimals, rounded up to whole milliseconds. */
    static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static boolean isVisibleAscii(int character) {
        return character > ' ' && character < 0x7f;
    }

    /** The value of one name in a list of name=value pairs, or null if it is absent; the name may occur once. */
    static String parseField(String pairs, String name, String separatorRegex) {
        String value = null;
        for (String pair : pairs.split(separatorRegex)) {
            String[] nameAndValue = pair.strip().split("=", 2);
            if (nameAndValue.length == 2 && nameAndValue[0].strip().equals(name)) {
                if (value != null) {
                    throw new IllegalArgumentException(name + " comes more than once");
                }
                value = nameAndValue[1].strip();
            }
        }
        return value;
    }

    /**
     * Converts a key to the number that the decision module uses: 16 hexadecimal digits by their value, anything else by the
     * 64-bit FNV-1a hash of its characters. Never 0, which means no key.
     */
    static long toKeyNumber(String key) {
        long number = 0xcbf29ce484222325L;
        if (key.length() == 16 && key.matches("[0-9a-fA-F]+")) {
            number = Long.parseUnsignedLong(key, 16);
        } else {
            for (int i = 0; i < key.length(); i++) {
                number = (number ^ key.charAt(i)) * 0x100000001b3L;
            }
        }
        return number == 0 ? 1 : number;
    }
}
