package terndyke.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;

/** How an attempt to connect ends, with the test's clock and without sockets. */
class ConnectAttemptTest {
    private static final long DEADLINE_MICROS = 500_000;
    private static final Exception NO_SOCKET = new SocketException("Too many open files in system");

    private final List<ConnectAttempt.Failure> failures = new ArrayList<>();
    private FutureCallback<IOSession> pendingTry;
    private long now;
    private final ConnectAttempt attempt = new ConnectAttempt(this::beginTry, new ConnectAttempt.Listener() {
        @Override
        public void onLocalFailure(Exception cause) { }

        @Override
        public void onConnected(IOSession session) { }

        @Override
        public void onFailed(ConnectAttempt.Failure failure, String reason) {
            failures.add(failure);
        }
    }, () -> now, DEADLINE_MICROS, true);

    private CompletableFuture<IOSession> beginTry(FutureCallback<IOSession> callback) {
        pendingTry = callback;
        return new CompletableFuture<>() {
            @Override
            public boolean cancel(boolean mayInterrupt) {
                callback.cancelled();
                return super.cancel(mayInterrupt);
            }
        };
    }

    private void passTime(long until) {
        now = until;
        attempt.onDeadlinePassed(now);
    }

    /** Guards against a lack of sockets that is blamed on the endpoint, since the last try was still pending at the end. */
    @Test
    void anAttemptWhoseLastTryFollowsALocalFailureEndsAsALocalFailure() {
        attempt.start();
        pendingTry.failed(NO_SOCKET);
        passTime(attempt.nextDeadline());
        passTime(DEADLINE_MICROS);
        assertEquals(List.of(ConnectAttempt.Failure.LOCAL), failures);
    }

    @Test
    void anAttemptThatIsNotAnsweredInTimeEndsAsAFailureOfTheOtherSide() {
        attempt.start();
        passTime(DEADLINE_MICROS);
        assertEquals(List.of(ConnectAttempt.Failure.REMOTE), failures);
    }

    @Test
    void aRefusedTryEndsTheAttempt() {
        attempt.start();
        pendingTry.failed(NO_SOCKET);
        passTime(attempt.nextDeadline());
        pendingTry.failed(new ConnectException("Connection refused"));
        assertEquals(List.of(ConnectAttempt.Failure.REMOTE), failures);
    }
}
