package terndyke.lab.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.apache.hc.core5.util.Timeout;

/**
 * One connection of the laboratory, on HttpCore's reactor but below its message streams: a laboratory has to write what
 * no library would, and to know when a first and a last byte came or left. Reading goes on in the I/O thread; writing is
 * safe from any.
 */
public abstract class RawHttpConnection implements IOEventHandler {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_HEAD_BYTES = 16 << 10;

    private final IOSession session;
    private final ArrayDeque<ByteBuffer> unsentBuffers = new ArrayDeque<>();
    private byte[] buffer = new byte[2 << 10];
    private int readPosition;
    private int writePosition;
    private boolean messageStarted;
    private boolean readingStopped;
    private boolean closed;

    protected RawHttpConnection(IOSession session) {
        this.session = session;
    }

    /** The connection is there. */
    protected void onOpen() { }

    /** The first byte of a message has come. */
    protected void onMessageStart() { }

    /** A message has come whole. */
    protected abstract void onMessage(RawHttpMessage message);

    /** What came cannot be read. */
    protected void onMalformedInput(String why) {
        reset();
    }

    /** The connection is over, whoever ended it; told once. */
    protected void onClosed() { }

    /** Answers what cannot be read, and ends the connection in good order. */
    protected final void sendBadRequestAndClose() {
        write(RawHttpMessage.encode("HTTP/1.1 400 -", "Connection: close\r\n", new byte[0]));
        close();
    }

    public boolean isOpen() {
        return session.isOpen();
    }

    /** Writes all of this, now or as the other side reads. */
    public void write(byte[] bytes) {
        session.getLock().lock();
        try {
            ByteBuffer rest = ByteBuffer.wrap(bytes);
            if (unsentBuffers.isEmpty()) {
                session.write(rest);
            }
            if (rest.hasRemaining()) {
                unsentBuffers.add(rest);
                session.setEvent(SelectionKey.OP_WRITE);
            }
        } catch (IOException | RuntimeException e) {
            session.close(CloseMode.IMMEDIATE);
        } finally {
            session.getLock().unlock();
        }
    }

    /** Bytes that the other side has not taken yet. */
    public int unsentBytes() {
        session.getLock().lock();
        try {
            return unsentBuffers.stream().mapToInt(ByteBuffer::remaining).sum();
        } finally {
            session.getLock().unlock();
        }
    }

    /** Ends the connection in good order. */
    public void close() {
        session.close(CloseMode.GRACEFUL);
    }

    /** Ends the connection with a reset. */
    public void reset() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Reads nothing any more; what comes stays in the kernel. */
    public void stopReading() {
        readingStopped = true;
        session.clearEvent(SelectionKey.OP_READ);
    }

    @Override
    public void connected(IOSession one) {
        one.setEventMask(SelectionKey.OP_READ);
        onOpen();
    }

    @Override
    public void inputReady(IOSession one, ByteBuffer first) throws IOException {
        if (readingStopped) {
            one.clearEvent(SelectionKey.OP_READ);
            return;
        }
        while (true) {
            if (writePosition == buffer.length) {
                ensureBufferSpace();
            }
            int read = one.read(ByteBuffer.wrap(buffer, writePosition, buffer.length - writePosition));
            if (read < 0) {
                one.close(CloseMode.GRACEFUL);
                return;
            }
            if (read == 0) {
                return;
            }
            if (!messageStarted) {
                messageStarted = true;
                onMessageStart();
            }
            writePosition += read;
            while (readPosition < writePosition && !readingStopped && parseMessage()) {
                messageStarted = readPosition < writePosition;
                if (messageStarted) {
                    onMessageStart();
                }
            }
        }
    }

    private void ensureBufferSpace() {
        if (readPosition > 0) {
            System.arraycopy(buffer, readPosition, buffer, 0, writePosition - readPosition);
            writePosition -= readPosition;
            readPosition = 0;
        }
        if (writePosition == buffer.length) {
            buffer = Arrays.copyOf(buffer, buffer.length * 2);
        }
    }

    /** Takes one whole message off the buffer; false where it is not whole yet. */
    private boolean parseMessage() {
        int head = findHeadEnd();
        if (head < 0) {
            if (writePosition - readPosition > MAX_HEAD_BYTES) {
                onMalformedInput("a head of more than " + MAX_HEAD_BYTES + " bytes");
                readPosition = writePosition;
            }
            return false;
        }
        try {
            Map<String, String> fields = new HashMap<>();
            String[] first = null;
            int at = readPosition;
            while (at < head) {
                int end = at;
                while (buffer[end] != '\n') {
                    end++;
                }
                int stop = end > at && buffer[end - 1] == '\r' ? end - 1 : end;
                if (stop > at && first == null) {
                    first = new String(buffer, at, stop - at, StandardCharsets.ISO_8859_1).split(" ", 3);
                    if (first.length < 2 || !first[0].startsWith("HTTP/1.")
                            && (first.length < 3 || !first[2].startsWith("HTTP/1."))) {
                        throw new ParseException("no first line");
                    }
                } else if (stop > at) {
                    CharArrayBuffer line = new CharArrayBuffer(stop - at);
                    line.append(buffer, at, stop - at);
                    Header field = BasicLineParser.INSTANCE.parseHeader(line);
                    fields.put(field.getName().toLowerCase(Locale.ROOT), field.getValue());
                }
                at = end + 1;
            }
            int bodyEnd = first == null ? head : head + parseBodyLength(first, fields);
            if (writePosition < bodyEnd) {
                return false;
            }
            byte[] body = Arrays.copyOfRange(buffer, head, bodyEnd);
            readPosition = bodyEnd;
            if (readPosition == writePosition) {
                readPosition = 0;
                writePosition = 0;
            }
            if (first != null) {
                onMessage(new RawHttpMessage(first, fields, body));
            }
            return true;
        } catch (ParseException | NumberFormatException e) {
            readPosition = 0;
            writePosition = 0;
            onMalformedInput(e.getMessage());
            return false;
        }
    }

    private static int parseBodyLength(String[] first, Map<String, String> fields) throws ParseException {
        String length = fields.get("content-length");
        if (fields.containsKey("transfer-encoding")) {
            throw new ParseException("a body in chunks");
        }
        int bytes = length == null || first[1].equals("204") ? 0 : Integer.parseInt(length);
        if (bytes < 0 || bytes > MAX_BODY_BYTES) {
            throw new ParseException("a body of " + bytes + " bytes");
        }
        return bytes;
    }

    private int findHeadEnd() {
        for (int i = readPosition; i + 1 < writePosition; i++) {
            if (buffer[i] == '\n' && (buffer[i + 1] == '\n'
                    || buffer[i + 1] == '\r' && i + 2 < writePosition && buffer[i + 2] == '\n')) {
                return buffer[i + 1] == '\n' ? i + 2 : i + 3;
            }
        }
        return -1;
    }

    @Override
    public void outputReady(IOSession one) throws IOException {
        one.getLock().lock();
        try {
            while (!unsentBuffers.isEmpty()) {
                one.write(unsentBuffers.peek());
                if (unsentBuffers.peek().hasRemaining()) {
                    return;
                }
                unsentBuffers.poll();
            }
            one.clearEvent(SelectionKey.OP_WRITE);
        } finally {
            one.getLock().unlock();
        }
    }

    @Override
    public void timeout(IOSession one, Timeout timeout) { }

    @Override
    public void exception(IOSession one, Exception cause) {
        one.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void disconnected(IOSession one) {
        if (!closed) {
            closed = true;
            onClosed();
        }
    }
}
