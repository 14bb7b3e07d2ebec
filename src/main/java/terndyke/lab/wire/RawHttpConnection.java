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
 * One HTTP connection of the laboratory, on HttpCore's reactor but below its message streams: the laboratory has to write
 * malformed messages, which no library would send, and has to know when the first and the last byte of a message was read
 * or written. Reading happens in the I/O thread; writing is safe from any thread.
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

    /** The connection is established. */
    protected void onOpen() { }

    /** The first byte of a message was read. */
    protected void onMessageStart() { }

    /** A message was read completely. */
    protected abstract void onMessage(RawHttpMessage message);

    /** The input cannot be parsed as HTTP. By default the connection is reset. */
    protected void onMalformedInput(String reason) {
        reset();
    }

    /** The connection has ended, by either side. Called once. */
    protected void onClosed() { }

    /** Answers malformed input with 400 and closes the connection gracefully. */
    protected final void sendBadRequestAndClose() {
        write(RawHttpMessage.encode("HTTP/1.1 400 -", "Connection: close\r\n", new byte[0]));
        close();
    }

    public boolean isOpen() {
        return session.isOpen();
    }

    /** Writes all bytes: what the socket accepts now, the rest as the peer reads. */
    public void write(byte[] bytes) {
        session.getLock().lock();
        try {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            if (unsentBuffers.isEmpty()) {
                session.write(remaining);
            }
            if (remaining.hasRemaining()) {
                unsentBuffers.add(remaining);
                session.setEvent(SelectionKey.OP_WRITE);
            }
        } catch (IOException | RuntimeException e) {
            session.close(CloseMode.IMMEDIATE);
        } finally {
            session.getLock().unlock();
        }
    }

    /** The number of bytes that the socket has not accepted yet. */
    public int unsentBytes() {
        session.getLock().lock();
        try {
            return unsentBuffers.stream().mapToInt(ByteBuffer::remaining).sum();
        } finally {
            session.getLock().unlock();
        }
    }

    /** Closes the connection gracefully. */
    public void close() {
        session.close(CloseMode.GRACEFUL);
    }

    /** Closes the connection at once, with a reset. */
    public void reset() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Stops reading for good; what the peer sends stays in the kernel's buffers. */
    public void stopReading() {
        readingStopped = true;
        session.clearEvent(SelectionKey.OP_READ);
    }

    @Override
    public void connected(IOSession ioSession) {
        ioSession.setEventMask(SelectionKey.OP_READ);
        onOpen();
    }

    @Override
    public void inputReady(IOSession ioSession, ByteBuffer unused) throws IOException {
        if (readingStopped) {
            ioSession.clearEvent(SelectionKey.OP_READ);
            return;
        }
        while (true) {
            if (writePosition == buffer.length) {
                ensureBufferSpace();
            }
            int read = ioSession.read(ByteBuffer.wrap(buffer, writePosition, buffer.length - writePosition));
            if (read < 0) {
                ioSession.close(CloseMode.GRACEFUL);
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

    /** Removes one complete message from the buffer; returns false if there is none yet. */
    private boolean parseMessage() {
        int headEnd = findHeadEnd();
        if (headEnd < 0) {
            if (writePosition - readPosition > MAX_HEAD_BYTES) {
                onMalformedInput("message head exceeds " + MAX_HEAD_BYTES + " bytes");
                readPosition = writePosition;
            }
            return false;
        }
        try {
            Map<String, String> headers = new HashMap<>();
            String[] startLine = null;
            int lineStart = readPosition;
            while (lineStart < headEnd) {
                int lineEnd = lineStart;
                while (buffer[lineEnd] != '\n') {
                    lineEnd++;
                }
                int contentEnd = lineEnd > lineStart && buffer[lineEnd - 1] == '\r' ? lineEnd - 1 : lineEnd;
                if (contentEnd > lineStart && startLine == null) {
                    startLine = new String(buffer, lineStart, contentEnd - lineStart, StandardCharsets.ISO_8859_1).split(" ", 3);
                    if (startLine.length < 2 || !startLine[0].startsWith("HTTP/1.")
                            && (startLine.length < 3 || !startLine[2].startsWith("HTTP/1."))) {
                        throw new ParseException("invalid start line");
                    }
                } else if (contentEnd > lineStart) {
                    CharArrayBuffer line = new CharArrayBuffer(contentEnd - lineStart);
                    line.append(buffer, lineStart, contentEnd - lineStart);
                    Header header = BasicLineParser.INSTANCE.parseHeader(line);
                    headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue());
                }
                lineStart = lineEnd + 1;
            }
            int bodyEnd = startLine == null ? headEnd : headEnd + parseBodyLength(startLine, headers);
            if (writePosition < bodyEnd) {
                return false;
            }
            byte[] body = Arrays.copyOfRange(buffer, headEnd, bodyEnd);
            readPosition = bodyEnd;
            if (readPosition == writePosition) {
                readPosition = 0;
                writePosition = 0;
            }
            if (startLine != null) {
                onMessage(new RawHttpMessage(startLine, headers, body));
            }
            return true;
        } catch (ParseException | NumberFormatException e) {
            readPosition = 0;
            writePosition = 0;
            onMalformedInput(e.getMessage());
            return false;
        }
    }

    private static int parseBodyLength(String[] startLine, Map<String, String> headers) throws ParseException {
        String contentLength = headers.get("content-length");
        if (headers.containsKey("transfer-encoding")) {
            throw new ParseException("chunked bodies are not supported");
        }
        int bytes = contentLength == null || startLine[1].equals("204") ? 0 : Integer.parseInt(contentLength);
        if (bytes < 0 || bytes > MAX_BODY_BYTES) {
            throw new ParseException("Content-Length of " + bytes + " bytes is out of range");
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
    public void outputReady(IOSession ioSession) throws IOException {
        ioSession.getLock().lock();
        try {
            while (!unsentBuffers.isEmpty()) {
                ioSession.write(unsentBuffers.peek());
                if (unsentBuffers.peek().hasRemaining()) {
                    return;
                }
                unsentBuffers.poll();
            }
            ioSession.clearEvent(SelectionKey.OP_WRITE);
        } finally {
            ioSession.getLock().unlock();
        }
    }

    @Override
    public void timeout(IOSession ioSession, Timeout timeout) { }

    @Override
    public void exception(IOSession ioSession, Exception cause) {
        ioSession.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void disconnected(IOSession ioSession) {
        if (!closed) {
            closed = true;
            onClosed();
        }
    }
}
