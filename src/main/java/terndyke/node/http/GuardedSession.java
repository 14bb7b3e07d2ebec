package terndyke.node.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.LockSupport;

import javax.net.ssl.SSLContext;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.util.Timeout;

/**
 * Session that limits how much is read in one pass, that is, for one event of the selector, and that goes on where the system refuses to take
 * bytes for lack of memory. Before it looks for the head of a message, the library reads all that the system has received, into a buffer that
 * grows without a bound. What is left stays in the system and is reported again. All other methods are those of the session behind it.
 */
final class GuardedSession implements ProtocolIOSession {
    private static final long WRITE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2); // a connection that is broken ends by its input before
    private static final long WRITE_RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final ProtocolIOSession session;
    private int readableBytes;
    private long failingSinceNanos; // when the first of the writes failed that have failed in a row
    private int failuresInARow;

    GuardedSession(ProtocolIOSession session) {
        this.session = session;
    }

    /** Begins a pass, in which at most the given number of bytes is read. */
    void beginPass(int maxBytes) {
        readableBytes = Math.max(0, maxBytes);
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (readableBytes == 0) {
            return 0;
        }
        int limit = target.limit();
        target.limit(Math.min(limit, target.position() + readableBytes));
        try {
            int read = session.read(target);
            readableBytes -= Math.max(0, read);
            return read;
        } finally {
            target.limit(limit);
        }
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        try {
            int written = session.write(source);
            failuresInARow = 0;
            return written;
        } catch (IOException e) {
            pauseOrGiveUp(e);
            return 0;
        }
    }

    /**
     * Lets the library try again as if the socket's buffer were full: a write may fail with ENOBUFS or ENOMEM on a sound connection. Java
     * does not tell these from other errors.
     */
    private void pauseOrGiveUp(IOException cause) throws IOException {
        long now = System.nanoTime();
        failingSinceNanos = failuresInARow == 0 ? now : failingSinceNanos;
        if (!session.isOpen() || now - failingSinceNanos > WRITE_RETRY_NANOS) {
            throw cause;
        }
        if (failuresInARow++ > 0) {
            LockSupport.parkNanos(WRITE_RETRY_PAUSE_NANOS); // the selector reports the socket as writable at once
        }
        session.setEvent(SelectionKey.OP_WRITE);
    }

    @Override
    public boolean isOpen() {
        return session.isOpen();
    }

    @Override
    public IOEventHandler getHandler() {
        return session.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        session.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return session.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        session.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return session.hasCommands();
    }

    @Override
    public Command poll() {
        return session.poll();
    }

    @Override
    public ByteChannel channel() {
        return session.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return session.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return session.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return session.getEventMask();
    }

    @Override
    public void setEventMask(int mask) {
        session.setEventMask(mask);
    }

    @Override
    public void setEvent(int event) {
        session.setEvent(event);
    }

    @Override
    public void clearEvent(int event) {
        session.clearEvent(event);
    }

    @Override
    public void close() {
        session.close();
    }

    @Override
    public void close(CloseMode mode) {
        session.close(mode);
    }

    @Override
    public IOSession.Status getStatus() {
        return session.getStatus();
    }

    @Override
    public Timeout getSocketTimeout() {
        return session.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        session.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return session.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return session.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return session.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        session.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        session.updateWriteTime();
    }

    @Override
    public String getId() {
        return session.getId();
    }

    @Override
    public NamedEndpoint getInitialEndpoint() {
        return session.getInitialEndpoint();
    }

    @Override
    public void startTls(SSLContext context, NamedEndpoint endpoint, SSLBufferMode bufferMode, SSLSessionInitializer initializer,
            SSLSessionVerifier verifier, Timeout handshakeTimeout) {
        session.startTls(context, endpoint, bufferMode, initializer, verifier, handshakeTimeout);
    }

    @Override
    public TlsDetails getTlsDetails() {
        return session.getTlsDetails();
    }
}
