package terndyke.lab.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongUnaryOperator;

import org.HdrHistogram.Histogram;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;

import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/** Answers every request with 200 after a known delay. The load generator is checked against it. */
public final class KnownDelayServer implements AutoCloseable {
    private static final byte[] OK_RESPONSE = RawHttpMessage.encode("HTTP/1.1 200 -", "", new byte[0]);

    private final ListenerEndpoint listener;
    private final LongUnaryOperator responseTime;
    private final TaskScheduler scheduler;
    private final Histogram serverDelays = new Histogram(1, 600_000_000L, 3);

    /**
     * @param responseTime gives the time of the response for a request read at a time, both in microseconds; the response is
     *         written at once if that time is not later
     */
    public KnownDelayServer(InetSocketAddress address, SocketReactor reactor, TaskScheduler scheduler,
            LongUnaryOperator responseTime) throws IOException {
        this.responseTime = responseTime;
        this.scheduler = scheduler;
        listener = reactor.listen(address, ServerConnection::new);
    }

    /**
     * The measured times from a request's last byte to its response, in microseconds, since delayed responses are never sent
     * exactly on time. Requests answered at once are not included.
     */
    public Histogram serverDelays() {
        synchronized (serverDelays) {
            return serverDelays.copy();
        }
    }

    @Override
    public void close() {
        listener.close(CloseMode.IMMEDIATE);
    }

    private final class ServerConnection extends RawHttpConnection {
        ServerConnection(IOSession session) {
            super(session);
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            long now = TaskScheduler.nowMicros();
            long responseMicros = responseTime.applyAsLong(now);
            if (responseMicros <= now) {
                write(OK_RESPONSE);
            } else {
                scheduler.schedule(responseMicros, () -> sendResponse(now));
            }
        }

        private void sendResponse(long requestMicros) {
            synchronized (serverDelays) {
                serverDelays.recordValue(Math.max(1, TaskScheduler.nowMicros() - requestMicros));
            }
            write(OK_RESPONSE);
        }
    }
}
