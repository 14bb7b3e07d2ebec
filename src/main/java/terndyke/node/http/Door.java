package terndyke.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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

/** The clients' door: decodes each request once and hands it over, or answers it where it cannot be read. */
public final class Door {
    private final Limits limits;
    private final Counters counters;
    private final List<String> grades;
    private final List<String> tenants;
    private final LongSupplier clock;
    private final Predicate<Handover> handOver;
    private final Consumer<Handover> whenLeft;
    private final Supplier<Boolean> ready;
    private volatile boolean closing;

    public Door(Limits limits, Counters counters, List<String> grades, List<String> tenants, LongSupplier clock,
            Supplier<Boolean> ready, Predicate<Handover> handOver,
            Consumer<Handover> whenLeft) {
        this.limits = limits;
        this.counters = counters;
        this.grades = grades;
        this.tenants = tenants;
        this.clock = clock;
        this.ready = ready;
        this.handOver = handOver;
        this.whenLeft = whenLeft;
    }

    /** From now on each answer asks the client to close its connection. */
    public void closing() {
        closing = true;
    }

    /** A handler for one request. */
    AsyncServerExchangeHandler exchange(Visits.Visit visit, boolean crowded) {
        return new Exchange(visit, crowded);
    }

    private final class Exchange implements AsyncServerExchangeHandler, Handover.Answer {
        private HttpRequest request;
        private ResponseChannel channel;
        private HttpContext context;
        private ByteBuffer body = ByteBuffer.allocate(0);
        private ByteBuffer text;
        private boolean tooLarge;
        private long passedOver; // bytes of a body that nobody wants
        private final AtomicBoolean answered = new AtomicBoolean(); // by the desk, or the client has left
        private Handover handover;
        private final Visits.Visit visit;
        private final boolean crowded;

        Exchange(Visits.Visit visit, boolean crowded) {
            this.visit = visit;
            this.crowded = crowded;
        }

        @Override
        public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel responses, HttpContext with)
                throws HttpException, IOException {
            request = head;
            channel = responses;
            context = with;
            if (entity != null && entity.getContentLength() > limits.maxBodyBytes()) {
                tooLarge();
            } else if (entity == null) {
                whole();
            } else if (head.containsHeader("Expect")) {
                channel.sendInformation(new BasicHttpResponse(100), context);
            }
        }

        private void tooLarge() {
            if (!tooLarge) {
                tooLarge = true;
                body = ByteBuffer.allocate(0);
                counters.add(Counter.TOO_LARGE);
                send(413, 0, true, null);
            }
        }

        @Override
        public void updateCapacity(CapacityChannel capacity) throws IOException {
            capacity.update(Integer.MAX_VALUE);
        }

        @Override
        public void consume(ByteBuffer source) {
            if (!tooLarge && body.position() + source.remaining() > limits.maxBodyBytes()) {
                tooLarge();
            }
            if (tooLarge) {
                passedOver += source.remaining();
                source.position(source.limit());
                if (passedOver > limits.maxDiscardedBodyBytes()) { // its answer has long gone out
                    visit.close();
                }
            } else {
                if (body.remaining() < source.remaining()) {
                    body = ByteBuffer.allocate(Math.max(2 * body.capacity(), body.position() + source.remaining()))
                            .put(body.flip());
                }
                body.put(source);
            }
        }

        @Override
        public void streamEnd(List<? extends Header> trailers) {
            if (!tooLarge) {
                whole();
            }
        }

        private void whole() {
            visit.whole();
            String path = request.getPath();
            if (request.getMethod().equals("GET")) {
                switch (path) {
                    case "/_health" -> send(ready.get() ? 200 : 503, 0, false, null);
                    case "/_counters" -> send(200, 0, false, counters.toString());
                    default -> send(404, 0, false, null);
                }
                return;
            }
            counters.add(Counter.REQUESTS_IN);
            try {
                handover = decode(path);
                Counter why = refusal();
                if (why != null) {
                    counters.add(Counter.REFUSED_AT_DOOR);
                    counters.add(why);
                    refused(0);
                }
            } catch (IllegalArgumentException e) {
                counters.add(Counter.MALFORMED);
                send(request.getMethod().equals("POST") ? 400 : 405, 0, false, e.getMessage() + "\n");
            }
        }

        /** Hands the message over; why it is refused, or null where it is not. */
        private Counter refusal() {
            if (crowded) {
                return Counter.REFUSED_CROWDED;
            }
            if (visit.floods()) {
                return Counter.REFUSED_FLOODING;
            }
            return handOver.test(handover) ? null : Counter.REFUSED_INBOX_FULL;
        }

        private Handover decode(String path) {
            if (!request.getMethod().equals("POST")) {
                throw new IllegalArgumentException("only POST hands a record in");
            }
            int end = path.indexOf('/', 1);
            int query = path.indexOf('?');
            int stop = end > 0 ? end : query > 0 ? query : path.length();
            int grade = grades.indexOf(path.length() > 0 ? path.substring(1, stop) : "");
            if (grade < 0) {
                throw new IllegalArgumentException("unknown service grade");
            }
            String id = one("Request-Id");
            if (id == null || id.isEmpty() || id.length() > limits.maxIdChars() || !id.chars().allMatch(Door::plain)) {
                throw new IllegalArgumentException("Request-Id is missing, too long or not plain");
            }
            int tenant = tenants.isEmpty() ? 0 : tenants.indexOf(one("Tenant"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown tenant");
            }
            long remaining = number(one("Request-Timeout-Ms"), "Request-Timeout-Ms", limits.maxRecordTimeoutMicros() / 1000);
            String consignee = one("X-Consignee");
            String dest = consignee == null ? null : field(consignee, "dest", ",|;|\\s");
            long destination = number(dest, "X-Consignee", 1 << 24);
            String retry = one("Client-Retry");
            String mark = one("Idempotency-Key");
            if (mark != null && (mark.length() > limits.maxIdChars() || !mark.chars().allMatch(Door::plain))) {
                throw new IllegalArgumentException("Idempotency-Key is too long or not plain");
            }
            byte[] content = new byte[body.flip().remaining()];
            body.get(content);
            return new Handover(id, grade, tenant, key(), (int) destination, mark,
                    remaining * 1000, retry != null, "again".equals(retry), content, clock.getAsLong(), this);
        }

        /** The value of a header that may come once, or null where it is not there. */
        private String one(String name) {
            Header[] headers = request.getHeaders(name);
            if (headers.length > 1) {
                throw new IllegalArgumentException(name + " comes more than once");
            }
            return headers.length == 0 ? null : String.valueOf(headers[0].getValue()).strip();
        }

        private long number(String text, String name, long most) {
            long value = text == null || !text.matches("\\d{1,15}") ? -1 : Long.parseLong(text);
            if (value < 0 || value > most) {
                throw new IllegalArgumentException(name + " is missing or not a number in range");
            }
            return value;
        }

        private long key() {
            String cookie = one("Cookie");
            String key = cookie == null ? null : field(cookie, "key", ";");
            return key == null || key.isEmpty() ? 0 : keyNumber(key);
        }

        @Override
        public void taken() {
            send(202, 0, false, null);
        }

        @Override
        public void delivered() {
            send(200, 0, false, null);
        }

        @Override
        public void refused(long after) {
            send(503, after, false, null);
        }

        @Override
        public void failed(int status) {
            send(status, 0, false, null);
        }

        private void send(int status, long retryAfter, boolean close, String content) {
            if (!answered.compareAndSet(false, true)) {
                return;
            }
            BasicHttpResponse response = new BasicHttpResponse(status);
            if (retryAfter > 0) {
                response.addHeader("Retry-After", seconds(retryAfter));
            }
            if (close || closing || crowded) {
                response.addHeader("Connection", "close");
            }
            text = content == null ? null : ByteBuffer.wrap(content.getBytes(StandardCharsets.UTF_8));
            response.addHeader("Content-Length", text == null ? 0 : text.remaining());
            if (DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context)) {
                write(response);
            } else {
                visit.answerAndClose(() -> write(response));
            }
        }

        private void write(BasicHttpResponse response) {
            try {
                channel.sendResponse(response, text == null ? null
                        : new BasicEntityDetails(text.remaining(), null), context);
            } catch (HttpException | IOException e) {
                failed(e);
            }
        }

        @Override
        public int available() {
            return text == null ? 0 : text.remaining();
        }

        @Override
        public void produce(DataStreamChannel out) throws IOException {
            if (text != null && text.hasRemaining()) {
                out.write(text);
            }
            if (text == null || !text.hasRemaining()) {
                out.endStream(null);
            }
        }

        @Override
        public void failed(Exception cause) {
            if (handover != null && answered.compareAndSet(false, true)) {
                whenLeft.accept(handover);
            }
        }

        @Override
        public void releaseResources() {
            failed((Exception) null);
        }
    }

    static String seconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static boolean plain(int character) {
        return character > ' ' && character < 0x7f;
    }

    /** The value of one name in a list of name=value pairs, or null; it may come once. */
    static String field(String pairs, String name, String apart) {
        String value = null;
        for (String pair : pairs.split(apart)) {
            String[] sides = pair.strip().split("=", 2);
            if (sides.length == 2 && sides[0].strip().equals(name)) {
                if (value != null) {
                    throw new IllegalArgumentException(name + " comes more than once");
                }
                value = sides[1].strip();
            }
        }
        return value;
    }

    /** A key as the module knows it: 16 hexadecimal digits as they are, anything else by its hash; never 0. */
    static long keyNumber(String key) {
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
