package terndyke.node.http;

import java.io.IOException;

import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Reads the heads of the answers on one connection, and says what each first line and a wait read before the rest is there. */
final class ResponseHeadParser extends DefaultHttpResponseParser<HttpResponse> {
    private static final String RETRY_AFTER_PREFIX = "retry-after:";

    private final Listener listener;
    private SessionInputBuffer input;
    private boolean statusLineRead; // a head of which the first line has been read

    /** Hears of an answer's head while it is being read. */
    interface Listener {

        /** The first line has been read. */
        void onStatusLine(int status);

        /** A Retry-After header has been read, in seconds as it was sent. */
        void onRetryAfter(String seconds);

        /** The connection's input ended inside the head. */
        void onTruncatedHead(ResponseDefect where);
    }

    ResponseHeadParser(Http1Config http, Listener listener) {
        super(http, DefaultHttpResponseFactory.INSTANCE);
        this.listener = listener;
    }

    /** The end of the input ends no head: half a first line says nothing of what became of the call, nor does half a header. */
    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean endOfInput) throws IOException, HttpException {
        input = buffer;
        HttpResponse head = super.parse(new InspectingInputBuffer(buffer), false);
        statusLineRead &= head == null;
        if (head == null && endOfInput && hasLeftoverBytes()) {
            inspectTruncatedLine();
            listener.onTruncatedHead(statusLineRead ? ResponseDefect.CUT_IN_HEAD : ResponseDefect.CUT_IN_FIRST_LINE);
            throw new ConnectionClosedException("the connection ended inside the head of an answer");
        }
        return head;
    }

    @Override
    protected HttpResponse createMessage(CharArrayBuffer line) throws HttpException {
        HttpResponse head = super.createMessage(line);
        statusLineRead = true;
        listener.onStatusLine(head.getCode());
        return head;
    }

    /** True where bytes are left that belong to no answer. */
    boolean hasLeftoverBytes() {
        return statusLineRead || input != null && input.hasData();
    }

    /** A line of a head, which the library keeps to itself until the head is whole. */
    private void inspectLine(CharArrayBuffer line) {
        if (statusLineRead && line.length() > RETRY_AFTER_PREFIX.length() && line.substring(0, RETRY_AFTER_PREFIX.length()).equalsIgnoreCase(RETRY_AFTER_PREFIX)) {
            listener.onRetryAfter(line.substringTrimmed(RETRY_AFTER_PREFIX.length(), line.length()));
        }
    }

    /** A wait whose digits break off is no longer than the one that was told, so that much of it is heeded. */
    private void inspectTruncatedLine() throws IOException {
        CharArrayBuffer half = new CharArrayBuffer(RETRY_AFTER_PREFIX.length());
        if (input.readLine(half, true)) {
            inspectLine(half);
        }
    }

    /** Lines of which each is looked at. */
    private final class InspectingInputBuffer extends CompleteLinesInputBuffer {
        InspectingInputBuffer(SessionInputBuffer input) {
            super(input);
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfInput) throws IOException {
            boolean whole = super.readLine(line, endOfInput);
            if (whole) {
                inspectLine(line);
            }
            return whole;
        }
    }
}
