package terndyke.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Reads the heads of the answers on one connection, and says what each first line and a wait read before the rest is there. */
final class AnswerHeads extends DefaultHttpResponseParser<HttpResponse> {
    private static final String WAIT = "retry-after:";

    private final Listener listener;
    private SessionInputBuffer input;
    private boolean begun; // a head of which the first line has been read

    /** Hears of an answer's head while it is being read. */
    interface Listener {

        /** The first line has been read. */
        void firstLine(int status);

        /** A Retry-After header has been read, in seconds as it was sent. */
        void retryAfter(String seconds);

        /** The connection's input ended inside the head. */
        void cut(AnswerFlaw where);
    }

    AnswerHeads(Http1Config http, Listener listener) {
        super(http, DefaultHttpResponseFactory.INSTANCE);
        this.listener = listener;
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean end) throws IOException, HttpException {
        input = buffer;
        HttpResponse head = super.parse(new Lines(), false);
        if (head == null && end && left()) {
            listener.cut(begun ? AnswerFlaw.CUT_IN_HEAD : AnswerFlaw.CUT_IN_FIRST_LINE);
            head = super.parse(new Lines(), true);
        }
        begun &= head == null;
        return head;
    }

    @Override
    protected HttpResponse createMessage(CharArrayBuffer line) throws HttpException {
        HttpResponse head = super.createMessage(line);
        begun = true;
        listener.firstLine(head.getCode());
        return head;
    }

    /** True where bytes are left that belong to no answer. */
    boolean left() {
        return begun || input != null && input.hasData();
    }

    /** A line of a head, which the library keeps to itself until the head is whole. */
    private void line(CharArrayBuffer line) {
        if (begun && line.length() > WAIT.length() && line.substring(0, WAIT.length()).equalsIgnoreCase(WAIT)) {
            listener.retryAfter(line.substringTrimmed(WAIT.length(), line.length()));
        }
    }

    /** What has come, of which each whole line is looked at. */
    private final class Lines implements SessionInputBuffer {
        @Override
        public boolean readLine(CharArrayBuffer line, boolean end) throws IOException {
            boolean whole = input.readLine(line, end);
            if (whole) {
                line(line);
            }
            return whole;
        }

        @Override
        public boolean hasData() {
            return input.hasData();
        }

        @Override
        public int length() {
            return input.length();
        }

        @Override
        public int fill(ReadableByteChannel from) throws IOException {
            return input.fill(from);
        }

        @Override
        public int read() {
            return input.read();
        }

        @Override
        public int read(ByteBuffer to, int most) {
            return input.read(to, most);
        }

        @Override
        public int read(ByteBuffer to) {
            return input.read(to);
        }

        @Override
        public int read(WritableByteChannel to, int most) throws IOException {
            return input.read(to, most);
        }

        @Override
        public int read(WritableByteChannel to) throws IOException {
            return input.read(to);
        }
    }
}
