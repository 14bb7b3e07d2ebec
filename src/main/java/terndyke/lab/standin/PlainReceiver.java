package terndyke.lab.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongUnaryOperator;

import org.HdrHistogram.Histogram;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;

import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.Ticker;

/** Answers every request with 200 after a delay that is known beforehand: what a load tool is checked against. */
public final class PlainReceiver implements AutoCloseable {
    private static final byte[] DONE = Message.bytes("HTTP/1.1 200 -", "", new byte[0]);

    private final ListenerEndpoint listener;
    private final LongUnaryOperator answerAt;
    private final Ticker ticker;
    private final Histogram gave = new Histogram(1, 600_000_000L, 3);

    /** @param answerAt when a request that came at a time is answered, both in microseconds; the same time is at once */
    public PlainReceiver(InetSocketAddress address, Net net, Ticker ticker, LongUnaryOperator answerAt) throws IOException {
        this.answerAt = answerAt;
        this.ticker = ticker;
        listener = net.listen(address, Side::new);
    }

    /** How long it really took from a request's last byte to its answer, in microseconds: no clock is exact. */
    public Histogram gave() {
        synchronized (gave) {
            return gave.copy();
        }
    }

    @Override
    public void close() {
        listener.close(CloseMode.IMMEDIATE);
    }

    private final class Side extends Link {
        Side(IOSession session) {
            super(session);
        }

        @Override
        protected void came(Message message) {
            long now = Ticker.now();
            long at = answerAt.applyAsLong(now);
            if (at <= now) {
                write(DONE);
            } else {
                ticker.at(at, () -> answer(now));
            }
        }

        private void answer(long came) {
            synchronized (gave) {
                gave.recordValue(Math.max(1, Ticker.now() - came));
            }
            write(DONE);
        }
    }
}
