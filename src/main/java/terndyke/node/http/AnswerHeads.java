package terndyke.node.http;

import java.io.IOException;
import java.util.function.IntConsumer;

import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Reads the heads of the answers on one connection, and says what each first line reads before the rest is there. */
final class AnswerHeads extends DefaultHttpResponseParser<HttpResponse> {
    private final IntConsumer whenFirstLine;
    private SessionInputBuffer input;
    private boolean begun; // a head of which the first line has been read

    AnswerHeads(Http1Config http, IntConsumer whenFirstLine) {
        super(http, DefaultHttpResponseFactory.INSTANCE);
        this.whenFirstLine = whenFirstLine;
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean end) throws IOException, HttpException {
        input = buffer;
        HttpResponse head = super.parse(buffer, end);
        begun &= head == null;
        return head;
    }

    @Override
    protected HttpResponse createMessage(CharArrayBuffer line) throws HttpException {
        HttpResponse head = super.createMessage(line);
        begun = true;
        whenFirstLine.accept(head.getCode());
        return head;
    }

    /** True where bytes are left that belong to no answer. */
    boolean left() {
        return begun || input != null && input.hasData();
    }
}
