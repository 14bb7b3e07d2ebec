package terndyke.node.http;

import org.apache.hc.core5.http.MessageConstraintException;

/** Size of the header lines, or trailers, of the message that is being read on a connection. */
final class HeaderSize {
    private static final int BYTES_PER_CHARACTER = 2; // a line is held as characters
    private static final int LINE_OVERHEAD_BYTES = 200; // of a line's buffer and header object

    private final int maxBytes;
    private int bytes;
    private int lines;

    HeaderSize(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a line; fails if the lines together are longer than allowed. */
    void add(int lineBytes) throws MessageConstraintException {
        bytes += lineBytes;
        lines++;
        if (bytes > maxBytes) {
            throw new MessageConstraintException("the header lines together are longer than " + maxBytes + " bytes");
        }
    }

    /** Begins the next message. */
    void reset() {
        bytes = 0;
        lines = 0;
    }

    /** An upper estimate of the memory that the lines take. */
    int memoryBytes() {
        return bytes * BYTES_PER_CHARACTER + lines * LINE_OVERHEAD_BYTES;
    }
}
