package terndyke.node.http;

import java.io.IOException;
import java.util.function.BooleanSupplier;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the heads of the requests on one client's connection. Protects against request smuggling: a request whose end
 * two parsers could see in different places is rejected, and nothing that follows on the connection is read, since a record
 * must never be taken from the body of another (rule 2). This applies to Content-Length together with Transfer-Encoding, to
 * repeated, signed or huge lengths, and to codings other than chunked. It may also reject a sloppy client that sends two
 * equal lengths.
 */
final class RequestHeadParser extends DefaultHttpRequestParser<HttpRequest> {
    private static final String CONTENT_LENGTH_PATTERN = "\\d{1,18}";

    private final HeaderSize headerSize;
    private final BooleanSupplier mayBeginRequest;
    private SessionInputBuffer input;
    private boolean abandoned; // nothing that follows on the connection is read as a request
    private boolean requestLineRead; // the request line of a head that is not yet complete

    /** Creates a parser that leaves a request unread in the input while mayBeginRequest denies it. */
    RequestHeadParser(Http1Config httpConfig, int maxHeadBytes, BooleanSupplier mayBeginRequest) {
        super(httpConfig, DefaultHttpRequestFactory.INSTANCE);
        this.mayBeginRequest = mayBeginRequest;
        headerSize = new HeaderSize(maxHeadBytes);
    }

    /** A head is not ended by the end of the input: a client that stops inside one has handed in nothing. */
    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfInput) throws IOException, HttpException {
        if (abandoned) {
            return null;
        }
        input = buffer;
        if (!requestLineRead && !mayBeginRequest.getAsBoolean()) {
            return null;
        }
        try {
            HttpRequest request = super.parse(new CompleteLinesInputBuffer(buffer, headerSize), false);
            requestLineRead &= request == null;
            if (request != null) {
                headerSize.reset();
                checkBodyFraming(request);
            } else if (endOfInput && (requestLineRead || buffer.hasData())) {
                throw new ProtocolException("the connection ended inside the head of a request");
            }
            return request;
        } catch (MessageConstraintException e) {
            abandon();
            throw new RequestHeaderFieldsTooLargeException(e.getMessage(), e);
        } catch (HttpException e) {
            abandon();
            throw e;
        }
    }

    /** Drops what has been read of a head; nothing that follows on the connection is read as a request. */
    void abandon() {
        abandoned = true;
        headerSize.reset();
        reset();
    }

    /** True while the head of a request is being read. */
    boolean isInsideHead() {
        return requestLineRead;
    }

    /** The number of bytes that have been received and not parsed. */
    int unparsedBytes() {
        return input == null ? 0 : input.length();
    }

    /** The memory that the lines of the head being read take at most. */
    int headBytes() {
        return headerSize.memoryBytes();
    }

    @Override
    protected HttpRequest createMessage(CharArrayBuffer line) throws HttpException {
        HttpRequest request = super.createMessage(line);
        requestLineRead = true;
        return request;
    }

    private static void checkBodyFraming(HttpRequest request) throws ProtocolException {
        Header[] contentLengths = request.getHeaders("Content-Length");
        Header[] transferEncodings = request.getHeaders("Transfer-Encoding");
        if (contentLengths.length + transferEncodings.length > 1) {
            throw new ProtocolException("more than one header tells where the body ends");
        }
        if (contentLengths.length == 1 && !String.valueOf(contentLengths[0].getValue()).strip().matches(CONTENT_LENGTH_PATTERN)) {
            throw new ProtocolException("Content-Length cannot be read");
        }
        if (transferEncodings.length == 1 && (!"chunked".equalsIgnoreCase(String.valueOf(transferEncodings[0].getValue()).strip())
                || request.getVersion() != null && request.getVersion().lessEquals(HttpVersion.HTTP_1_0))) {
            throw new ProtocolException("unknown Transfer-Encoding");
        }
    }
}
