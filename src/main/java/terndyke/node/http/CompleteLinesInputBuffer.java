package terndyke.node.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer that returns a line only once its line terminator has been read, and limits the size of all header lines of a
 * message together. The library also ends a line at the end of the input, so that a truncated status line, header or chunk
 * size would count as a complete one; and it limits only the length and the number of lines.
 */
class CompleteLinesInputBuffer implements SessionInputBuffer {
    private final SessionInputBuffer input;
    private final HeaderSize headerSize;

    CompleteLinesInputBuffer(SessionInputBuffer input, HeaderSize headerSize) {
        this.input = input;
        this.headerSize = headerSize;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfInput) throws IOException {
        boolean complete = input.readLine(line, false);
        if (complete) {
            headerSize.add(line.length());
        }
        return complete;
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
    public int fill(ReadableByteChannel source) throws IOException {
        return input.fill(source);
    }

    @Override
    public int read() {
        return input.read();
    }

    @Override
    public int read(ByteBuffer target, int maxBytes) {
        return input.read(target, maxBytes);
    }

    @Override
    public int read(ByteBuffer target) {
        return input.read(target);
    }

    @Override
    public int read(WritableByteChannel target, int maxBytes) throws IOException {
        return input.read(target, maxBytes);
    }

    @Override
    public int read(WritableByteChannel target) throws IOException {
        return input.read(target);
    }
}
