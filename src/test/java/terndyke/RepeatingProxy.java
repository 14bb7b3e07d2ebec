package terndyke;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A proxy that sends each response a second time: shortly after the next request has passed on its connection, or alone if none
 * passes within the maximum lag.
 */
final class RepeatingProxy extends TcpProxy {
    private static final long LAG_AFTER_NEXT_REQUEST_MILLIS = 5;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(TcpProxy::daemonThread);
    private final long maxLagMillis;

    RepeatingProxy(String serverAddress, long maxLagMillis) throws IOException {
        super(serverAddress);
        this.maxLagMillis = maxLagMillis;
        start();
    }

    @Override
    Relay createRelay(Socket client) throws IOException {
        return new RepeatingRelay(client);
    }

    private final class RepeatingRelay extends Relay {
        private byte[] pendingCopy; // of the last response

        RepeatingRelay(Socket client) throws IOException {
            super(client);
        }

        @Override
        void forwardRequest(byte[] bytes) throws IOException {
            sendToServer(bytes);
            byte[] copy = takePendingCopy(null);
            if (copy != null) {
                scheduler.schedule(() -> sendCopy(copy), LAG_AFTER_NEXT_REQUEST_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        synchronized void forwardResponse(byte[] bytes) throws IOException {
            sendToClient(bytes);
            pendingCopy = bytes;
            scheduler.schedule(() -> sendCopy(takePendingCopy(bytes)), maxLagMillis, TimeUnit.MILLISECONDS);
        }

        /** Takes the pending copy: of the expected response, or of any if that is null. Returns null if there is none. */
        private synchronized byte[] takePendingCopy(byte[] expectedResponse) {
            byte[] copy = expectedResponse == null || expectedResponse == pendingCopy ? pendingCopy : null;
            pendingCopy = copy == null ? pendingCopy : null;
            return copy;
        }

        private void sendCopy(byte[] copy) {
            try {
                if (copy != null) {
                    sendToClient(copy);
                }
            } catch (IOException e) {
                // the client has disconnected
            }
        }
    }

    @Override
    public void close() throws IOException {
        super.close();
        scheduler.shutdownNow();
    }
}
