package terndyke.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.HoldUpDetector;
import terndyke.node.Limits;
import terndyke.node.NodeLog;

/** Calls to an endpoint on the loopback interface whose behaviour each test scripts, connection by connection. */
class ConnectionPoolTest {
    private static final byte[] BODY = "content".getBytes(StandardCharsets.US_ASCII);
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final Counters counters = new Counters();
    private final BlockingQueue<Call.Result> results = new LinkedBlockingQueue<>();
    private final BlockingQueue<ConnectionPool.PooledConnection> releasedConnections = new LinkedBlockingQueue<>();
    private final Limits limits = Limits.fromResources(192, 1024, 3, 8, 40, 400_000, 1_000_000);
    private final NodeLog log = new NodeLog(new PrintStream(PrintStream.nullOutputStream()), "test");
    private final AtomicLong heldUpMicros = new AtomicLong(); // a hold-up of the process, as the detector sees it
    private final HoldUpDetector holdUpDetector = new HoldUpDetector(heldUpMicros::get, limits.holdUpToleranceMicros());
    private ServerSocket endpoint;
    private Reactor reactor;
    private ConnectionPool connectionPool;
    private ConnectionPool.Peer peer;

    @BeforeEach
    void start() throws IOException {
        endpoint = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        endpoint.setSoTimeout(5_000);
        peer = new ConnectionPool.Peer(endpointAddress());
        reactor = new Reactor(limits, counters, log, (name, cause) -> { });
        reactor.start();
        connectionPool = new ConnectionPool(reactor, limits, counters, log, () -> 0, holdUpDetector,
                releasedConnections::add);
    }

    @AfterEach
    void stop() throws IOException, InterruptedException {
        endpoint.close();
        reactor.close();
    }

    private InetSocketAddress endpointAddress() {
        return new InetSocketAddress(endpoint.getInetAddress(), endpoint.getLocalPort());
    }

    private ConnectionPool.PooledConnection startCall(byte[] body, long now) {
        return connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Host", "x", "Content-Length",
            Integer.toString(body.length)}, body), now, results::add);
    }

    private Call.Result awaitResult() throws InterruptedException {
        return results.poll(30, TimeUnit.SECONDS);
    }

    private static String readRequest(Socket from) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = from.getInputStream();
        from.setSoTimeout(5_000);
        while (text.indexOf("\r\n\r\n") < 0 || !text.toString().endsWith("content")) {
            int read = in.read();
            assertTrue(read >= 0, "the connection ended inside a request: " + text);
            text.append((char) read);
        }
        return text.toString();
    }

    private static void sendResponse(Socket to, String response) throws IOException {
        to.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        to.getOutputStream().flush();
    }

    @Test
    void aResponseIsReturnedAndTheConnectionServesTheNextCall() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            assertTrue(readRequest(connection).startsWith("POST /events HTTP/1.1\r\n"));
            sendResponse(connection, OK_RESPONSE);
            assertEquals(200, awaitResult().status());
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            startCall(BODY, limits.responseCopyWindowMicros());
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 429 Slow\r\nRetry-After: 0.25\r\nServer-Load: x0=0.5\r\n"
                    + "Content-Length: 0\r\n\r\n");
            Call.Result second = awaitResult();
            assertEquals(429, second.status());
            assertEquals(250_000, second.retryAfterMicros());
            assertEquals("x0=0.5", second.serverLoad());
        }
        assertEquals(1, counters.get(Counter.CONNECTIONS_OPENED));
    }

    /** Delivers one call that takes twice as long as copies of its response are expected; releases its connection at time 0. */
    private Socket deliverSlowly() throws Exception {
        return deliverWithin(2 * limits.responseCopyWindowMicros() / 1000 + 20);
    }

    private Socket deliverWithin(long millis) throws Exception {
        startCall(BODY, 0);
        Socket connection = endpoint.accept();
        readRequest(connection);
        Thread.sleep(millis);
        sendResponse(connection, OK_RESPONSE);
        assertEquals(200, awaitResult().status());
        connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
        return connection;
    }

    /** Guards against a copy of the response to the call before that is taken for the response to the next call. */
    @Test
    void aResponseThatMayBeACopyOfTheOneBeforeItProvesNothing() throws Exception {
        try (Socket connection = deliverSlowly()) {
            startCall(BODY, limits.responseCopyWindowMicros());
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            Call.Result result = awaitResult();
            assertEquals(Ending.RECALLED, result.ending(), "it may have run, and says nothing of the endpoint");
            assertEquals(ResponseDefect.POSSIBLE_COPY, result.defect());
            assertClosed(connection);
        }
    }

    @Test
    void aResponseWithAnotherStatusThanTheOneBeforeItCountsHoweverSoonItComes() throws Exception {
        try (Socket connection = deliverSlowly()) {
            startCall(BODY, limits.responseCopyWindowMicros());
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            assertEquals(503, awaitResult().status());
        }
    }

    /** Guards against a copy of a delivery that is read when the endpoint may deliver again. */
    @Test
    void aConnectionIsNotUsedWhileACopyOfADeliveryMayBeReadAsTheNextOne() throws Exception {
        try (Socket connection = deliverSlowly()) { // the endpoint may deliver again after half of the window's double
            long restMicros = limits.undetectedHoldUpMicros() / 2;
            startCall(BODY, restMicros);
            try (Socket second = endpoint.accept()) {
                readRequest(second);
            }
            startCall(BODY, limits.responseCopyWindowMicros());
            readRequest(connection);
        }
    }

    /** Guards against a copy that comes while the next call is out and is read late, after a hold-up of the node that was or was not seen. */
    @ParameterizedTest
    @CsvSource({"10, false, POSSIBLE_COPY", "75, false, POSSIBLE_COPY", "150, false, NONE", "150, true, POSSIBLE_COPY"})
    void aResponseReadAfterAHoldUpProvesNothing(long millis, boolean heldUp, ResponseDefect defect) throws Exception {
        try (Socket connection = deliverWithin(250)) { // the endpoint may deliver again after half of that
            startCall(BODY, 0);
            readRequest(connection);
            Thread.sleep(millis);
            heldUpMicros.set(heldUp ? limits.holdUpToleranceMicros() + 1 : 0);
            sendResponse(connection, OK_RESPONSE);
            assertEquals(defect, awaitResult().defect());
        }
    }

    /** Guards against a copy of a refusal, which may come before the endpoint could have answered. */
    @Test
    void aConnectionIsNotUsedWhileACopyOfARefusalMayComeOnIt() throws Exception {
        try (Socket connection = deliverSlowly()) {
            long releasedAt = limits.responseCopyWindowMicros();
            startCall(BODY, releasedAt);
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            assertEquals(503, awaitResult().status());
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), releasedAt);
            startCall(BODY, releasedAt + limits.responseCopyWindowMicros() - 1);
            try (Socket second = endpoint.accept()) {
                readRequest(second);
            }
            startCall(BODY, releasedAt + limits.responseCopyWindowMicros());
            readRequest(connection);
        }
    }

    /** Guards against deliveries reported as uncertain wherever a server closes idle connections with a 408. */
    @ParameterizedTest
    @CsvSource({"503, 1", "500, 1", "408, 0", "200, 0"})
    void onlyAnotherResponseToACallMakesADeliveryUncertain(int status, int contradictions) throws Exception {
        BlockingQueue<Call.Result> contradicted = new LinkedBlockingQueue<>();
        try (Socket connection = deliverSlowly()) {
            Thread.sleep(limits.responseCopyWindowMicros() / 1000 + 20);
            connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Content-Length", "7"}, BODY),
                    limits.responseCopyWindowMicros(), new Call.ResultListener() {
                @Override
                public void onResult(Call.Result result) {
                    results.add(result);
                }

                @Override
                public void onDeliveryContradicted() {
                    contradicted.add(results.remove());
                }
            });
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            sendResponse(connection, "HTTP/1.1 " + status + " Late\r\nContent-Length: 0\r\n\r\n");
            assertClosed(connection);
            assertEquals(contradictions, contradicted.size());
        }
    }

    @Test
    void aConnectionClosedOnItsFirstCallWasRejectedAndOneClosedLaterWasNot() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertTrue(awaitResult().connectionRejected());
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
        }
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            assertFalse(awaitResult().connectionRejected());
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            startCall(BODY, limits.responseCopyWindowMicros());
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertFalse(awaitResult().connectionRejected());
        }
    }

    @Test
    void aConnectionReleasedAfterIdleOnesOfItsPeerWereClosedIsClosedAsWell() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            assertEquals(200, awaitResult().status());
            // the owner thread processes the result before this connection is released to it
            ConnectionPool.PooledConnection pooledConnection = releasedConnections.poll(30, TimeUnit.SECONDS);
            connectionPool.closeIdle(peer);
            connectionPool.release(pooledConnection, 0);
            connection.setSoTimeout(30_000);
            assertTrue(isClosed(connection));
        }
    }

    private static boolean isClosed(Socket connection) throws IOException {
        try {
            return connection.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true; // closed by a reset
        }
    }

    @Test
    void aRefusedConnectionShowsThatNothingRan() throws Exception {
        InetSocketAddress closedAddress = endpointAddress();
        endpoint.close();
        connectionPool.startCall(new ConnectionPool.Peer(closedAddress), new Call("POST", "/events", new String[0], BODY), 0,
                results::add);
        assertEquals(Ending.NOT_CONNECTED, awaitResult().ending());
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteMayHaveRun() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
        }
        assertEquals(Ending.RESET, awaitResult().ending());
    }

    @Test
    void aConnectionThatBreaksBeforeTheLastByteShowsThatNothingRan() throws Exception {
        endpoint.setReceiveBufferSize(4096);
        startCall(new byte[8 << 20], 0); // far more than the sockets hold
        try (Socket connection = endpoint.accept()) {
            connection.getInputStream().read();
            connection.setSoLinger(true, 0);
        }
        assertEquals(Ending.NOT_CONNECTED, awaitResult().ending());
    }

    @Test
    void anUnreadableResponseEndsTheCallAsResetAndDoesNotStopTheNode() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "what is this?\r\n\r\n");
        }
        assertEquals(Ending.RESET, awaitResult().ending());
    }

    /** Guards against a cancelled call that its endpoint still sees as open for as long as the I/O thread is busy. */
    @Test
    void aCancelledCallEndsAtItsEndpointWhileTheIoThreadIsBusy() throws Exception {
        ConnectionPool.PooledConnection pooledConnection = startCall(BODY, 0);
        CountDownLatch ioThreadBusy = new CountDownLatch(1);
        CountDownLatch connectionEnded = new CountDownLatch(1);
        try (Socket cancelled = endpoint.accept()) {
            readRequest(cancelled);
            connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Content-Length", "7"}, BODY), 0, result -> {
                ioThreadBusy.countDown();
                awaitLatch(connectionEnded);
            });
            try (Socket other = endpoint.accept()) {
                readRequest(other);
                sendResponse(other, OK_RESPONSE);
                assertTrue(ioThreadBusy.await(30, TimeUnit.SECONDS));
                connectionPool.cancelCall(pooledConnection);
                cancelled.setSoTimeout(5_000);
                assertTrue(isClosed(cancelled));
            } finally {
                connectionEnded.countDown();
            }
        }
    }

    /** Guards against a call that is reported as ended while its endpoint still sees it as open. */
    @Test
    void aCallWhoseResponseStallsEndsAtItsEndpointBeforeItsResultIsReported() throws Exception {
        CountDownLatch connectionEnded = new CountDownLatch(1);
        connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Content-Length", "7"}, BODY), 0, result -> {
            awaitLatch(connectionEnded);
            results.add(result);
        });
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 20");
            connection.setSoTimeout(5_000);
            assertTrue(isClosed(connection));
        } finally {
            connectionEnded.countDown();
        }
        assertEquals(Ending.RESET, awaitResult().ending());
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void cancellingACallClosesItsConnection() throws Exception {
        ConnectionPool.PooledConnection pooledConnection = startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            assertFalse(connectionPool.cancelCall(pooledConnection), "the connection was established, so the call may have run");
            connection.setSoTimeout(5_000);
            int end;
            try {
                end = connection.getInputStream().read();
            } catch (java.net.SocketException e) {
                end = -1; // closed by a reset
            }
            assertEquals(-1, end);
        }
    }

    @Test
    void aConnectionIsNotReusedAfterItsIdleTimeout() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            awaitResult();
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            startCall(BODY, limits.idleConnectionTimeoutMicros());
            try (Socket second = endpoint.accept()) {
                readRequest(second);
                sendResponse(second, OK_RESPONSE);
                assertEquals(200, awaitResult().status());
            }
        }
    }

    @Test
    void aConnectionThatTheEndpointClosesIsNotReused() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertEquals(503, awaitResult().status());
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            startCall(BODY, 0);
            try (Socket second = endpoint.accept()) {
                readRequest(second);
                sendResponse(second, OK_RESPONSE);
                assertEquals(200, awaitResult().status());
            }
        }
    }

    @Test
    void anEndlessResponseIsCutOffAndItsOutcomeCounts() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
            assertEquals(200, awaitResult().status());
            byte[] endless = new byte[1 << 16];
            try {
                for (int i = 0; i < 1000; i++) {
                    connection.getOutputStream().write(endless);
                }
            } catch (IOException e) {
                // closed by the node, as expected
            }
        }
        ConnectionPool.PooledConnection pooledConnection = releasedConnections.poll(30, TimeUnit.SECONDS);
        assertTrue(pooledConnection != null);
        assertTrue(results.isEmpty());
    }

    @Test
    void anIdleConnectionStaysOpenLongerThanTheResponseTimeout() throws Exception {
        Limits longIdleLimits = Limits.fromResources(192, 1024, 3, 8, 40, 400_000, 15_000_000);
        connectionPool = new ConnectionPool(reactor, longIdleLimits, counters, log, () -> 0, holdUpDetector,
                releasedConnections::add);
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            awaitResult();
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            Thread.sleep(longIdleLimits.responseReadTimeoutMicros() / 1000 + 400);
            startCall(BODY, longIdleLimits.responseReadTimeoutMicros());
            readRequest(connection);
            sendResponse(connection, OK_RESPONSE);
            assertEquals(200, awaitResult().status());
        }
        assertEquals(1, counters.get(Counter.CONNECTIONS_OPENED));
    }

    @Test
    void aCorruptResponseWithStatus200IsDoneAndItsConnectionIsClosed() throws Exception {
        for (String corrupt : List.of("HTTP/1.1 200 OK\r\n\u0001\u0002 what\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", "HTTP/1.1 200 OK\r\nNever: ends",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1")) {
            startCall(BODY, 0);
            try (Socket connection = endpoint.accept()) {
                readRequest(connection);
                sendResponse(connection, corrupt);
                assertEquals(200, awaitResult().status(), corrupt);
                assertClosed(connection);
            }
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
        }
    }

    private static void assertClosed(Socket connection) throws IOException {
        connection.setSoTimeout(5_000);
        try {
            assertEquals(-1, connection.getInputStream().read());
        } catch (java.net.SocketException e) {
            // closed by a reset
        }
    }

    @Test
    void aCorruptResponseWithAnyOtherStatusDoesNotProveThatTheCallDidNotRun() throws Exception {
        for (String corrupt : List.of("HTTP/1.1 2\u0000\u0001\r\n\r\n", "\u0003\u0004\u0005\r\n\r\n",
                "HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\n1",
                "HTTP/1.1 429 No\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\nxx",
                "HTTP/1.1 100 Go\r\n\r\n".repeat(200))) {
            startCall(BODY, 0);
            try (Socket connection = endpoint.accept()) {
                readRequest(connection);
                sendResponse(connection, corrupt);
                assertEquals(Ending.RESET, awaitResult().ending(), corrupt);
                assertClosed(connection);
            }
        }
    }

    @Test
    void aFewInformationalResponsesBeforeTheFinalOneAreSkipped() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + OK_RESPONSE);
            assertEquals(200, awaitResult().status());
        }
    }

    @Test
    void bytesAfterAResponseAreNeverTakenForTheNextResponse() throws Exception {
        for (String trailingBytes : List.of(OK_RESPONSE, "noise", "HTTP/1.1 200 OK\r\n")) {
            for (boolean sentLater : List.of(false, true)) {
                startCall(BODY, 0);
                try (Socket connection = endpoint.accept()) {
                    readRequest(connection);
                    sendResponse(connection, OK_RESPONSE + (sentLater ? "" : trailingBytes));
                    assertEquals(200, awaitResult().status());
                    connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
                    if (sentLater) {
                        sendResponse(connection, trailingBytes);
                    }
                    assertClosed(connection);
                }
                startCall(BODY, 0);
                try (Socket second = endpoint.accept()) {
                    readRequest(second);
                    sendResponse(second, "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                    assertEquals(500, awaitResult().status(), trailingBytes);
                }
                connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 0);
            }
        }
    }

    @Test
    void aCallThatCannotStartBeforeItsDeadlineIsNeverSent() throws Exception {
        connectionPool = new ConnectionPool(reactor, limits, counters, log, () -> 500, holdUpDetector,
                releasedConnections::add);
        connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Host", "x"}, BODY, 500), 0, results::add);
        try (Socket connection = endpoint.accept()) {
            assertEquals(Ending.NOT_SENT, awaitResult().ending());
            assertClosed(connection);
        }
    }

    /** Guards against a delivery by a response that comes before the endpoint has the whole request, and so is not its own. */
    @Test
    void aResponseThatComesBeforeTheRequestIsWrittenDeliversNothing() throws Exception {
        endpoint.setReceiveBufferSize(4096);
        byte[] large = new byte[8 << 20]; // far more than the sockets hold
        startCall(large, 0);
        try (Socket connection = endpoint.accept()) {
            connection.getInputStream().read();
            sendResponse(connection, OK_RESPONSE);
            Call.Result result = awaitResult();
            assertEquals(Ending.NOT_CONNECTED, result.ending(), "a request that is not whole never runs");
            assertEquals(ResponseDefect.PREMATURE, result.defect());
        }
    }

    @Test
    void aCallWhoseLastByteWouldBeSentTooLateIsNeverSentCompletely() throws Exception {
        AtomicLong clock = new AtomicLong(100);
        connectionPool = new ConnectionPool(reactor, limits, counters, log, clock::get, holdUpDetector,
                releasedConnections::add);
        endpoint.setReceiveBufferSize(4096);
        byte[] large = new byte[8 << 20]; // far more than the sockets hold
        connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Content-Length",
            Integer.toString(large.length)}, large, 500), 0, results::add);
        try (Socket connection = endpoint.accept()) {
            connection.setSoTimeout(5_000);
            assertEquals('P', connection.getInputStream().read(), "the request has started before its deadline");
            clock.set(500);
            long read = 1;
            byte[] buffer = new byte[1 << 16];
            try {
                for (int n = 0; n >= 0; n = connection.getInputStream().read(buffer)) {
                    read += n;
                }
            } catch (SocketException e) {
                // closed before the whole request was sent
            }
            assertTrue(read < large.length, "bytes received of the request: " + read);
        }
        assertEquals(Ending.NOT_CONNECTED, awaitResult().ending(), "an incomplete request is not executed");
    }

    @Test
    void aRetryAfterIsReportedThoughTheResponseBodyIsTruncated() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 429 Slow\r\nRetry-After: 0.25\r\nContent-Length: 9\r\n\r\ncut");
        }
        Call.Result result = awaitResult();
        assertEquals(Ending.RESET, result.ending());
        assertEquals(250_000, result.retryAfterMicros());
    }

    /** The connection ends after the Retry-After header and before the end of the head. */
    @ParameterizedTest
    @CsvSource({"'429 Slow\r\nRetry-After: 0.25\r\nContent-Le', 250000", "'503 Full\r\nretry-AFTER:2\r\n', 2000000",
        "'429 Slow\r\nX: Retry-After: 3\r\nContent-Le', 0", "'429 Slow\r\nRetry-After: 1', 1000000",
        "'429 Slow\r\nRetry-After:', 0", "'500 No\r\nRetry-After: 1\r\n', 0"})
    void aRetryAfterIsReportedThoughTheResponseHeadIsTruncated(String responseHead, long retryAfterMicros) throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 " + responseHead);
        }
        Call.Result result = awaitResult();
        assertEquals(Ending.RESET, result.ending());
        assertEquals(retryAfterMicros, result.retryAfterMicros());
    }

    /** The connection is closed gracefully before the response is complete: what was received proves nothing. */
    @ParameterizedTest
    @CsvSource({"'HTTP/1.1 200', CUT_IN_FIRST_LINE", "'HTTP/1.1 200 OK\r', CUT_IN_FIRST_LINE",
        "'HTTP/1.1 503 No', CUT_IN_FIRST_LINE",
        "'HTTP/1.1 410 Gone\r\n', CUT_IN_HEAD", "'HTTP/1.1 429 Slow\r\nRetry-A', CUT_IN_HEAD",
        "'HTTP/1.1 504 No\r\nContent-Length: 0\r\n', CUT_IN_HEAD",
        "'HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nno', CUT_IN_BODY",
        "'HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n', CUT_IN_BODY",
        "'HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0', CUT_IN_BODY", "'', MISSING"})
    void aTruncatedResponseDoesNotProveThatTheCallDidNotRun(String response, ResponseDefect defect) throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, response);
            connection.shutdownOutput();
            Call.Result result = awaitResult();
            assertEquals(Ending.RESET, result.ending());
            assertEquals(defect, result.defect());
        }
    }

    /** Starts a call whose connection does not come up until others have been accepted, since the listen backlog is full. */
    private ConnectionPool.Peer startCallOnALateConnection(List<Socket> backlog) throws Exception {
        endpoint.close();
        endpoint = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        ConnectionPool.Peer peerWithFullBacklog = new ConnectionPool.Peer(endpointAddress());
        for (int i = 0; i < 2; i++) {
            backlog.add(new Socket(endpoint.getInetAddress(), endpoint.getLocalPort()));
        }
        connectionPool = new ConnectionPool(reactor, Limits.fromResources(192, 1024, 3, 8, 40, 5_000_000, 1_000_000), counters, log,
                () -> 0, holdUpDetector, releasedConnections::add);
        connectionPool.startCall(peerWithFullBacklog, new Call("POST", "/events", new String[] {"Host", "x"}, BODY), 0,
                results::add);
        Thread.sleep(100); // the I/O thread asks for the connection
        return peerWithFullBacklog;
    }

    private static void closeAll(List<Socket> sockets) throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Test
    void aCallWithheldBeforeItsConnectionIsUpIsNeverSent() throws Exception {
        List<Socket> backlog = new java.util.ArrayList<>();
        ConnectionPool.Peer latePeer = startCallOnALateConnection(backlog);
        connectionPool.withhold(latePeer);
        for (int i = 0; i < 3; i++) {
            endpoint.accept().close();
        }
        assertEquals(Ending.NOT_SENT, awaitResult().ending());
        closeAll(backlog);
    }

    /** Guards against a call that waits for its connection, and then reaches whoever is at the address of its endpoint by then. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCallIsNeverSentOnceItsEndpointDrainsOrIsGoneAndItsConnectionIsNotUp(boolean gone) throws Exception {
        List<Socket> backlog = new java.util.ArrayList<>();
        ConnectionPool.Peer latePeer = startCallOnALateConnection(backlog);
        if (gone) {
            connectionPool.removePeer(latePeer);
        } else {
            connectionPool.cancelUnstartedCalls(latePeer);
        }
        assertEquals(Ending.NOT_SENT, results.poll(500, TimeUnit.MILLISECONDS).ending(), "before the connect timeout");
        for (int i = 0; i < 2; i++) {
            endpoint.accept().close();
        }
        endpoint.setSoTimeout(1_500); // the system asks again for the connection after a second
        try (Socket late = endpoint.accept()) {
            assertClosed(late);
        } catch (SocketTimeoutException e) {
            // the connection was given up before it came up
        }
        assertEquals(1, counters.get(Counter.CALLS_CANCELLED_BY_LIST));
        closeAll(backlog);
    }

    @Test
    void aCallThatHasBegunGoesOnThoughItsEndpointDrains() throws Exception {
        startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            connectionPool.cancelUnstartedCalls(peer);
            sendResponse(connection, OK_RESPONSE);
            assertEquals(200, awaitResult().status());
        }
    }

    @Test
    void aCallDecidedOnBeforeARetryAfterWasReceivedIsNotSentAfterIt() throws Exception {
        AtomicLong clock = new AtomicLong(1_000);
        connectionPool = new ConnectionPool(reactor, limits, counters, log, clock::get, holdUpDetector,
                releasedConnections::add);
        startCall(BODY, 1_000);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            sendResponse(connection, "HTTP/1.1 429 Slow\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
            assertEquals(429, awaitResult().status());
            connectionPool.release(releasedConnections.poll(30, TimeUnit.SECONDS), 1_000);
            connectionPool.startCall(peer, new Call("POST", "/events", new String[] {"Host", "x", "Content-Length", "7"}, BODY),
                    1_000 + limits.responseCopyWindowMicros(), 900, results::add);
            assertEquals(Ending.NOT_SENT, awaitResult().ending());
            startCall(BODY, 1_000 + limits.responseCopyWindowMicros());
            try (Socket second = endpoint.accept()) {
                readRequest(second);
                sendResponse(second, OK_RESPONSE);
                assertEquals(200, awaitResult().status());
            }
        }
    }

    @Test
    void aConnectionToARemovedPeerIsNotReusedHoweverLateItIsReleased() throws Exception {
        ConnectionPool.PooledConnection pooledConnection = startCall(BODY, 0);
        try (Socket connection = endpoint.accept()) {
            readRequest(connection);
            connectionPool.removePeer(peer);
            sendResponse(connection, OK_RESPONSE);
            assertEquals(200, awaitResult().status());
            releasedConnections.poll(30, TimeUnit.SECONDS);
            connectionPool.release(pooledConnection, 0);
            assertClosed(connection);
        }
    }

    @Test
    void connectionsAreBounded() {
        for (int i = 0; i < limits.maxEndpointConnections(); i++) {
            assertTrue(startCall(BODY, 0) != null);
        }
        assertNull(startCall(BODY, 0));
        assertTrue(connectionPool.startCall(ConnectionPool.Peer.forPlatform(endpointAddress(), 1),
                new Call("POST", "/v2/finals", new String[0], BODY), 0, results::add) != null,
                "calls to the platform are exempt from the limit");
    }
}
