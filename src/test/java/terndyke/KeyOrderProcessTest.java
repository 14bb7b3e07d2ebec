package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.answerPlatform;
import static terndyke.ProcessTestSupport.sleep;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Response;

/** Runs a node as a process and checks the order of the calls of one key, whatever happens to responses and to the process. */
class KeyOrderProcessTest {
    private static final long SERVICE_MILLIS = 300;
    private static final long REST_MILLIS = 15; // of a connection between two calls
    private static final long HOLD_UP_MILLIS = 120; // a node may be held up for 150 ms
    private static final long END_LAG_MILLIS = 110; // from the end of a call at the node to its end at the endpoint
    private static final long SHORT_TIMEOUT_MILLIS = 800; // of a message whose call is given up
    private static final long MESSAGE_TIMEOUT_MILLIS = 4_000;
    private static final Message EARLIER = new Message("other", 0);
    private static final Message FIRST = new Message("key", 0);
    private static final Message SECOND = new Message("key", 1);

    private final CallRecorder calls = new CallRecorder();
    private volatile TestNodeProcess node;

    @TempDir
    Path folder;

    private static Response answerSlowly() {
        sleep(SERVICE_MILLIS);
        return Response.complete(OK);
    }

    /**
     * Records the calls. Lets the endpoint see the end of a call later than the node ended it, and may send the response to the call
     * before a second time while the first message of the key is out, to a node that is held up.
     */
    private final class RecordingProxy extends TcpProxy {
        private final long endLagMillis;
        private final boolean copiesResponses;

        RecordingProxy(String serverAddress, long endLagMillis, boolean copiesResponses) throws IOException {
            super(serverAddress);
            this.endLagMillis = endLagMillis;
            this.copiesResponses = copiesResponses;
            start();
        }

        @Override
        Relay createRelay(Socket client) throws IOException {
            return new RecordingRelay(client);
        }

        private final class RecordingRelay extends Relay {
            private volatile Message message;
            private volatile byte[] lastResponse;

            RecordingRelay(Socket client) throws IOException {
                super(client);
            }

            @Override
            void forwardRequest(byte[] bytes) throws IOException {
                message = Message.of(bytes);
                calls.begin(message);
                sendToServer(bytes);
                if (copiesResponses && message.equals(FIRST) && lastResponse != null) {
                    holdUpNodeDuring(() -> sendToClient(lastResponse));
                }
            }

            @Override
            void forwardResponse(byte[] bytes) throws IOException {
                lastResponse = bytes;
                calls.end(message, true);
                sendToClient(bytes);
            }

            @Override
            void onClientEnd() throws InterruptedException {
                Thread.sleep(endLagMillis);
                calls.end(message, false);
            }
        }
    }

    /** Sends bytes over a connection. */
    private interface Sending {
        void send() throws IOException;
    }

    private void holdUpNodeDuring(Sending sending) throws IOException {
        try {
            node.pause();
            sending.send();
            sleep(HOLD_UP_MILLIS);
            node.resume();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submitAndAwaitAnswer(Message message) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", node.submit("order", message, 0, MESSAGE_TIMEOUT_MILLIS));
        assertTrue(calls.awaitAnswer(message, MESSAGE_TIMEOUT_MILLIS), message.id() + " was not delivered");
    }

    /** Submits two messages of a key shortly after a message of another key was delivered, and waits until the last one is called. */
    private void playTwoMessagesOfOneKey() throws Exception {
        submitAndAwaitAnswer(EARLIER);
        sleep(REST_MILLIS);
        assertEquals("HTTP/1.1 202 Accepted", node.submit("order", FIRST, 0, MESSAGE_TIMEOUT_MILLIS));
        assertEquals("HTTP/1.1 202 Accepted", node.submit("order", SECOND, 0, MESSAGE_TIMEOUT_MILLIS));
        assertTrue(calls.awaitCall(SECOND, MESSAGE_TIMEOUT_MILLIS), "the second message was never called");
    }

    /** Guards against a key freed by a copy of an earlier response that came soon, but was read late by a node that was held up. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aCopyThatIsReadLateByANodeHeldUpDoesNotFreeTheKey() throws Exception {
        try (RawServer endpoint = new RawServer(call -> answerSlowly());
                RecordingProxy proxy = new RecordingProxy(endpoint.address(), 0, true);
                RawServer platform = new RawServer(request -> answerPlatform(request, proxy.address(), 1, notice -> { }));
                TestNodeProcess started = TestNodeProcess.startServing(folder, platform.address())) {
            node = started;
            playTwoMessagesOfOneKey();
            assertEquals(List.of(), calls.breaches());
        }
    }

    /**
     * Guards against a key that rests from the moment at which the node gives a call up: where the node is held up just then, or
     * the network is slow, the endpoint sees the end of the call later.
     */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aKeyRestsFromTheTimeAtWhichTheEndpointSeesTheEndOfTheCall() throws Exception {
        try (RawServer endpoint = new RawServer(call -> call.header("Request-Id").equals(FIRST.id()) ? Response.NO_RESPONSE
                        : Response.complete(OK));
                RecordingProxy proxy = new RecordingProxy(endpoint.address(), END_LAG_MILLIS, false);
                RawServer platform = new RawServer(request -> answerPlatform(request, proxy.address(), 1, notice -> { }));
                TestNodeProcess started = TestNodeProcess.startServing(folder, platform.address())) {
            assertEquals("HTTP/1.1 202 Accepted", started.submit("order", FIRST, 0, SHORT_TIMEOUT_MILLIS));
            assertEquals("HTTP/1.1 202 Accepted", started.submit("order", SECOND, 0, MESSAGE_TIMEOUT_MILLIS));
            assertTrue(calls.awaitCall(SECOND, MESSAGE_TIMEOUT_MILLIS), "the second message was never called");
            sleep(2 * END_LAG_MILLIS);
            assertEquals(List.of(), calls.breaches());
        }
    }
}
