package terndyke;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A proxy that repeats, delays, splits, cuts, drops or prefixes responses and resets connections, at random from a seed. It
 * remembers which messages were delivered: those for which it has written the whole first line of a real response 200.
 */
final class FaultInjectingProxy extends TcpProxy {
    private static final Pattern REQUEST_ID = Pattern.compile("Request-Id: (\\S+)");
    private static final String DELIVERED = "HTTP/1.1 200 OK\r\n";
    private static final byte[] PROCESSING = "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_COPY_LAG_MILLIS = 40;
    private static final int MAX_DELAY_MILLIS = 150;
    private static final int MAX_END_LAG_MILLIS = 110; // a node may be held up for 150 ms
    private static final int MAX_SPLIT_PAUSE_MILLIS = 20;
    private static final int OUTCOMES_PER_FAULT = 5; // one of them is the fault, one a copy, the others are none

    private final Set<String> deliveredIds = ConcurrentHashMap.newKeySet();
    private final Random seeds;
    private final CallRecorder calls;

    /** What happens to one response. */
    private enum Fault { REPEATED, DELAYED, SPLIT, CUT, RESET, DROPPED, PREFIXED, NONE }

    FaultInjectingProxy(String serverAddress, long seed) throws IOException {
        this(serverAddress, seed, new CallRecorder());
    }

    /** Records the calls of messages with a key. */
    FaultInjectingProxy(String serverAddress, long seed, CallRecorder calls) throws IOException {
        super(serverAddress);
        this.calls = calls;
        seeds = new Random(seed);
        start();
    }

    Set<String> deliveredIds() {
        return deliveredIds;
    }

    @Override
    Relay createRelay(Socket client) throws IOException {
        return new FaultyRelay(client, new Random(seeds.nextLong()));
    }

    private final class FaultyRelay extends Relay {
        private final Random random;
        private volatile String currentId = "";
        private volatile CallRecorder.Message currentMessage; // null for one without a key

        FaultyRelay(Socket client, Random random) throws IOException {
            super(client);
            this.random = random;
        }

        @Override
        void forwardRequest(byte[] bytes) throws IOException {
            Matcher matcher = REQUEST_ID.matcher(new String(bytes, StandardCharsets.ISO_8859_1));
            currentId = matcher.find() ? matcher.group(1) : currentId;
            currentMessage = CallRecorder.Message.of(bytes);
            if (currentMessage != null) {
                calls.begin(currentMessage);
            }
            sendToServer(bytes);
        }

        private void endCall(boolean answered) {
            if (currentMessage != null) {
                calls.end(currentMessage, answered);
            }
        }

        /** The endpoint sees the end of a call that is given up some time after the node. */
        @Override
        void onClientEnd() throws InterruptedException {
            Thread.sleep(random.nextInt(MAX_END_LAG_MILLIS));
            endCall(false);
        }

        private Fault drawFault() {
            int faults = Fault.NONE.ordinal();
            int drawn = random.nextInt(OUTCOMES_PER_FAULT * faults);
            return drawn < faults ? Fault.values()[drawn] : drawn < 2 * faults ? Fault.REPEATED : Fault.NONE;
        }

        @Override
        void forwardResponse(byte[] bytes) throws IOException, InterruptedException {
            endCall(true); // the endpoint is done, whatever becomes of its response
            switch (drawFault()) {
                case DROPPED -> { }
                case RESET -> resetClient();
                case DELAYED -> {
                    Thread.sleep(random.nextInt(MAX_DELAY_MILLIS));
                    send(bytes);
                }
                case PREFIXED -> {
                    sendToClient(PROCESSING);
                    send(bytes);
                }
                case SPLIT -> {
                    int firstPart = random.nextInt(bytes.length);
                    sendToClient(Arrays.copyOf(bytes, firstPart));
                    Thread.sleep(random.nextInt(MAX_SPLIT_PAUSE_MILLIS));
                    sendToClient(Arrays.copyOfRange(bytes, firstPart, bytes.length));
                    noteDelivery(bytes);
                }
                case CUT -> {
                    send(Arrays.copyOf(bytes, random.nextInt(bytes.length)));
                    endOutputToClient();
                }
                case REPEATED -> {
                    send(bytes);
                    repeatLater(bytes, random.nextInt(MAX_COPY_LAG_MILLIS));
                }
                case NONE -> send(bytes);
            }
        }

        private void send(byte[] bytes) throws IOException {
            sendToClient(bytes);
            noteDelivery(bytes);
        }

        private void noteDelivery(byte[] bytes) {
            if (new String(bytes, StandardCharsets.ISO_8859_1).startsWith(DELIVERED)) {
                deliveredIds.add(currentId);
            }
        }

        private void repeatLater(byte[] bytes, int lagMillis) {
            startDaemon(() -> {
                try {
                    Thread.sleep(lagMillis);
                    sendToClient(bytes);
                } catch (IOException e) {
                    // the client has disconnected
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }
}
