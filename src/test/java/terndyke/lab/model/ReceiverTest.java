package terndyke.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import terndyke.lab.model.Response.ResponseMode;
import terndyke.lab.model.Receiver.ConnectOutcome;
import terndyke.lab.plan.Experiment.SlowStart;
import terndyke.lab.plan.Experiment.DestinationGroup;
import terndyke.lab.plan.Experiment.RateLimit;
import terndyke.lab.plan.Experiment.ServiceTimeDistribution;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.TimeSpan;

/** Tests the receiver model with a virtual clock. */
class ReceiverTest {
    private static final ServiceTimeDistribution TEN_MS =
            new ServiceTimeDistribution(ServiceTimeDistribution.Shape.FIXED, TimeSpan.of("10ms"), null, null);

    /** Records the callbacks of the model. */
    private static final class RecordingListener implements ReceiverListener {
        final List<Response> responses = new ArrayList<>();
        final List<Long> times = new ArrayList<>();
        int executedCount;
        int duplicateCount;
        boolean collapsed;

        @Override
        public void onResponse(Receiver receiver, long now, Response response) {
            responses.add(response);
            times.add(now);
        }

        @Override
        public void onExecuted(Receiver receiver, long now, Shot shot, boolean duplicate) {
            executedCount++;
            duplicateCount += duplicate ? 1 : 0;
        }

        @Override
        public void onCollapse(Receiver receiver, long now) {
            collapsed = true;
        }
    }

    private final RecordingListener listener = new RecordingListener();

    private static DestinationGroup shopDestinations(int places, int queue, ServiceTimeDistribution service, RateLimit limit,
            SlowStart cold) {
        return new DestinationGroup("shop", 1, 2, false, places, queue, service, limit, 100, null, cold, false, null);
    }

    private Receiver receiver(DestinationGroup configuration) {
        return receiver(new EmulatedDestination(0, configuration, 1_000_000), 0, 1);
    }

    private Receiver receiver(EmulatedDestination destination, int hall, long seed) {
        return new Receiver(destination, "s-" + hall, 0, hall, listener, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static Shot shot(String idempotencyKey) {
        return new Shot("r", idempotencyKey, 0, null, false);
    }

    private static Failure failure(Kind kind, Double amount) {
        return new Failure(kind, TimeSpan.ZERO, TimeSpan.of("1s"), amount, null);
    }

    private List<Integer> statuses() {
        return listener.responses.stream().map(Response::status).toList();
    }

    @Test
    void callsBeyondThePlacesWaitAndBeyondTheQueueAreTurnedAway() {
        Receiver receiver = receiver(shopDestinations(1, 1, TEN_MS, null, null));
        for (int i = 0; i < 3; i++) {
            receiver.callReceived(0, shot(null));
        }
        receiver.advance(1_000);
        assertEquals(List.of(503), statuses());
        receiver.advance(30_000);
        assertEquals(List.of(503, 200, 200), statuses());
        assertEquals(List.of(10_000L, 20_000L), listener.times.subList(1, 3));
    }

    @Test
    void aLimitIsSharedAndItsRetryAfterIsAccurate() {
        RateLimit limit = new RateLimit(10.0, 2.0, null, null, 1.0, TimeSpan.of("50ms"));
        EmulatedDestination destination = new EmulatedDestination(0, shopDestinations(8, 8, TEN_MS, limit, null), 1_000_000);
        Receiver first = receiver(destination, 0, 1);
        Receiver second = receiver(destination, 1, 2);
        first.callReceived(0, shot(null));
        second.callReceived(0, shot(null));
        first.callReceived(0, shot(null));
        first.advance(5_000);
        assertEquals(List.of(429), statuses());
        long wait = listener.responses.get(0).retryAfterMicros();
        assertTrue(wait >= 100_000, "Retry-After covers the time to the next permit, in us: " + wait);
        first.callReceived(wait, shot(null));
        first.advance(wait + 20_000);
        assertEquals(200, statuses().get(statuses().size() - 1));
    }

    @Test
    void aCountLimitResetsWithEachWindow() {
        Receiver receiver = receiver(
                shopDestinations(8, 8, TEN_MS, new RateLimit(null, null, 2, TimeSpan.of("100ms"), 0.0, null), null));
        for (long at : new long[] {0, 1, 2, 100_000}) {
            receiver.callReceived(at, shot(null));
        }
        receiver.advance(200_000);
        assertEquals(List.of(200, 200, 200, 503), statuses().stream().sorted().toList());
    }

    @Test
    void aHallDropsARepeatWithinItsWindowAndNoOtherHallDoes() {
        EmulatedDestination destination = new EmulatedDestination(0, shopDestinations(8, 8, TEN_MS, null, null), 1_000_000);
        Receiver east = receiver(destination, 0, 1);
        Receiver west = receiver(destination, 1, 2);
        east.callReceived(0, shot("m"));
        east.callReceived(500_000, shot("m"));
        assertEquals(1, listener.duplicateCount);
        west.callReceived(600_000, shot("m"));
        east.callReceived(1_600_000, shot("m"));
        assertEquals(1, listener.duplicateCount);
        assertEquals(4, listener.executedCount);
        destination.clearExecutionTimes(0);
        east.callReceived(1_700_000, shot("m"));
        assertEquals(1, listener.duplicateCount, "no call is dropped after the hall's memory was cleared");
    }

    @Test
    void aConnectionBeyondTheLimitIsRejectedAndAnOpenOneKeepsServing() {
        Receiver receiver = receiver(new DestinationGroup("shop", 1, 2, false, 8, 8, TEN_MS, null, 1, null, null, false, null));
        receiver.openConnection();
        receiver.openConnection();
        receiver.callReceived(0, new Shot("new", null, 0, null, true));
        receiver.callReceived(0, new Shot("held", null, 0, null, false));
        receiver.advance(30_000);
        assertEquals(List.of(503, 200), statuses());
        assertEquals(Response.ResponseMode.CONNECTION_REJECTED, listener.responses.get(0).mode());
    }

    @Test
    void aHungReceiverAnswersAfterwardsOnlyCallersStillConnected() {
        Receiver receiver = receiver(shopDestinations(8, 8, TEN_MS, null, null));
        Failure hang = failure(Kind.HANG, null);
        receiver.beginFailure(0, hang);
        Shot connected = shot(null);
        Shot disconnected = shot(null);
        receiver.callReceived(10, connected);
        receiver.callReceived(20, disconnected);
        receiver.callerDisconnected(disconnected);
        assertEquals(Long.MAX_VALUE, receiver.nextDueMicros());
        receiver.endFailure(500_000, hang);
        receiver.advance(600_000);
        assertEquals(List.of(200), statuses());
        assertEquals(1, listener.executedCount);
    }

    @Test
    void aCrashDropsCallsInProgressAndRefusesConnections() {
        Receiver receiver = receiver(shopDestinations(8, 8, TEN_MS, null, null));
        receiver.callReceived(0, shot(null));
        Failure crash = failure(Kind.CRASH, null);
        receiver.beginFailure(5_000, crash);
        assertEquals(ConnectOutcome.REFUSED, receiver.openConnection());
        receiver.endFailure(900_000, crash);
        receiver.advance(1_000_000);
        assertTrue(listener.responses.isEmpty());
        assertEquals(ConnectOutcome.ACCEPTED, receiver.openConnection());
        assertTrue(receiver.availableShare(900_000) < 0.5, "reduced capacity right after the outage");
        assertEquals(1, receiver.availableShare(60_000_000));
    }

    @Test
    void aColdReceiverCollapsesWhenOverloadedAndOnlyThen() {
        SlowStart cold = new SlowStart(0.5, TimeSpan.of("10s"), 2.0, TimeSpan.of("1s"));
        // 50 and 500 calls per second; with half of its places the receiver can execute 100
        for (int intervalMicros : new int[] {20_000, 2_000}) {
            Receiver receiver = receiver(shopDestinations(2, 100, TEN_MS, null, cold));
            Failure crash = failure(Kind.CRASH, null);
            receiver.beginFailure(0, crash);
            receiver.endFailure(1_000_000, crash);
            listener.collapsed = false;
            for (long at = 1_000_000; at < 4_000_000; at += intervalMicros) {
                receiver.advance(at);
                receiver.callReceived(at, shot(null));
            }
            assertEquals(intervalMicros == 2_000, listener.collapsed);
            assertEquals(listener.collapsed, receiver.isDown());
        }
    }

    @Test
    void responseFailuresShowInTheResponseMode() {
        for (Kind kind : List.of(Kind.ANSWER_LOST, Kind.RESET_AFTER, Kind.ENDLESS, Kind.DOUBLED, Kind.SPOILT)) {
            listener.responses.clear();
            Receiver receiver = receiver(shopDestinations(8, 8, TEN_MS, null, null));
            receiver.beginFailure(0, failure(kind, 1.0));
            receiver.callReceived(0, shot(null));
            receiver.advance(50_000);
            assertFalse(listener.responses.get(0).mode() == ResponseMode.COMPLETE, kind.toString());
            assertEquals(200, listener.responses.get(0).status(), "the call was executed");
        }
    }

    @Property(tries = 100)
    void callsInProgressStayWithinPlacesAndQueueAndEachCallIsAnsweredOnce(@ForAll @IntRange(min = 1, max = 6) int places,
            @ForAll @IntRange(min = 0, max = 6) int queue, @ForAll @IntRange(min = 1, max = 60) int calls,
            @ForAll long seed) {
        ServiceTimeDistribution service =
                new ServiceTimeDistribution(ServiceTimeDistribution.Shape.EXPONENTIAL, TimeSpan.of("5ms"), null, null);
        List<List<Long>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RecordingListener runListener = new RecordingListener();
            EmulatedDestination destination =
                    new EmulatedDestination(0, shopDestinations(places, queue, service, null, null), 1_000_000);
            Receiver receiver = new Receiver(destination, "s", 0, 0, runListener, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
            for (int i = 0; i < calls; i++) {
                receiver.advance(i * 700L);
                receiver.callReceived(i * 700L, shot(null));
                assertTrue(receiver.callsInProgress() <= places + queue);
            }
            receiver.advance(Long.MAX_VALUE - 1);
            assertEquals(calls, runListener.responses.size());
            runs.add(runListener.times);
        }
        assertEquals(runs.get(0), runs.get(1), "the same seed gives the same response times");
    }
}
