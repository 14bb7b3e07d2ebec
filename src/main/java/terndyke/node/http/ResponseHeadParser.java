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

/**
 * Parses the heads of the responses on one connection. Reports the status line and a Retry-After header as soon as each has
 * been read, before the head is complete.
 */
final class ResponseHeadParser extends DefaultHttpResponseParser<HttpResponse> {
    private static final String RETRY_AFTER_PREFIX = "retry-after:";

    private final Listener listener;
    private final HeaderSize headerSize;
    private SessionInputBuffer input;
    private boolean statusLineRead; // the status line of a head that is not yet complete

    /** Notified of the parts of a response head while it is being read. */
    interface Listener {

        /** The status line has been read. */
        void onStatusLine(int status);

        /** A Retry-After header has been read; its value is passed as it was sent. */
        void onRetryAfter(String seconds);

        /** The input of the connection ended inside the head. */
        void onTruncatedHead(ResponseDefect defect);
    }

    ResponseHeadParser(Http1Config httpConfig, int maxHeadBytes, Listener listener) {
        super(httpConfig, DefaultHttpResponseFactory.INSTANCE);
        this.listener = listener;
        headerSize = new HeaderSize(maxHeadBytes);
    }

    /**
     * A head is not ended by the end of the input: half a status line, or half a header, tells nothing about the outcome of
     * the call.
     */
    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean endOfInput) throws IOException, HttpException {
        input = buffer;
        HttpResponse response = super.parse(new InspectingInputBuffer(buffer), false);
        statusLineRead &= response == null;
        if (response != null) {
            headerSize.reset();
        }
        if (response == null && endOfInput && hasLeftoverBytes()) {
            inspectTruncatedLine();
            listener.onTruncatedHead(statusLineRead ? ResponseDefect.CUT_IN_HEAD : ResponseDefect.CUT_IN_FIRST_LINE);
            throw new ConnectionClosedException("the connection ended inside the head of a response");
        }
        return response;
    }

    @Override
    protected HttpResponse createMessage(CharArrayBuffer line) throws HttpException {
        HttpResponse response = super.createMessage(line);
        statusLineRead = true;
        listener.onStatusLine(response.getCode());
        return response;
    }

    /** True if bytes are left after the last complete response. */
    boolean hasLeftoverBytes() {
        return statusLineRead || input != null && input.hasData();
    }

    /** The number of bytes that have been received and not parsed. */
    int unparsedBytes() {
        return input == null ? 0 : input.length();
    }

    /** The memory that the lines of the head being read take at most. */
    int headBytes() {
        return headerSize.memoryBytes();
    }

    /** Looks for Retry-After in a line of the head; the library gives the headers out only when the head is complete. */
    private void inspectLine(CharArrayBuffer line) {
        if (statusLineRead && line.length() > RETRY_AFTER_PREFIX.length()
                && line.substring(0, RETRY_AFTER_PREFIX.length()).equalsIgnoreCase(RETRY_AFTER_PREFIX)) {
            listener.onRetryAfter(line.substringTrimmed(RETRY_AFTER_PREFIX.length(), line.length()));
        }
    }

    /**
     * Also takes the Retry-After of a truncated line: with digits missing at its end it is no longer than the value that was
     * sent, so that waiting for at least this long is right.
     */
    private void inspectTruncatedLine() throws IOException {
        CharArrayBuffer truncatedLine = new CharArrayBuffer(RETRY_AFTER_PREFIX.length());
        if (input.readLine(truncatedLine, true)) {
            inspectLine(truncatedLine);
        }
    }

    /** Input buffer that passes each complete line to {@link #inspectLine}. */
    private final class InspectingInputBuffer extends CompleteLinesInputBuffer {
        InspectingInputBuffer(SessionInputBuffer input) {
            super(input, headerSize);
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfInput) throws IOException {
            boolean complete = super.readLine(line, endOfInput);
            if (complete) {
                inspectLine(line);
            }
            return complete;
        }
    }
}
