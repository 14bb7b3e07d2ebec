package terndyke.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Decoder for a chunked body that is complete only once the whole line of its last chunk has been read. The library takes
 * the end of the input for the end of a chunk size, so that a body truncated after the first digit of {@code 0a} would count
 * as complete. The trailers together are limited like the header lines of a head.
 */
final class StrictChunkDecoder extends ChunkDecoder {
    private final HeaderSize trailerSize;
    private boolean endOfInput;

    /** Creates a decoder that adds the lines after the last data to the given size, which has to be used by it alone. */
    StrictChunkDecoder(ReadableByteChannel channel, SessionInputBuffer buffer, Http1Config httpConfig,
            BasicHttpTransportMetrics metrics, HeaderSize trailerSize) {
        super(channel, new CompleteLinesInputBuffer(buffer, trailerSize), httpConfig, metrics);
        this.trailerSize = trailerSize;
    }

    @Override
    protected int fillBufferFromChannel() throws IOException {
        int filled = super.fillBufferFromChannel();
        endOfInput |= filled < 0;
        return filled;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        int read = super.read(to);
        if (read > 0) {
            trailerSize.reset(); // the lines before the data were chunk sizes, which are not kept
        }
        if (read <= 0 && endOfInput && !isCompleted()) {
            throw new ConnectionClosedException("the connection ended inside a chunked body");
        }
        return read;
    }
}
