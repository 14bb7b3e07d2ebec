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

import terndyke.lab.model.Answer.Manner;
import terndyke.lab.model.Receiver.Coming;
import terndyke.lab.plan.Experiment.Cold;
import terndyke.lab.plan.Experiment.Destinations;
import terndyke.lab.plan.Experiment.Limit;
import terndyke.lab.plan.Experiment.Service;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.Span;

class ReceiverTest {
    private static final Service TEN_MS = new Service(Service.Shape.FIXED, Span.of("10ms"), null, null);

    /** What the model said, as lines. */
    private static final class Heard implements Told {
        final List<Answer> answers = new ArrayList<>();
        final List<Long> times = new ArrayList<>();
        int ran;
        int dropped;
        boolean fell;

        @Override
        public void answer(Receiver receiver, long now, Answer answer) {
            answers.add(answer);
            times.add(now);
        }

        @Override
        public void ran(Receiver receiver, long now, Shot shot, boolean repeat) {
            ran++;
            dropped += repeat ? 1 : 0;
        }

        @Override
        public void fell(Receiver receiver, long now) {
            fell = true;
        }
    }

    private final Heard heard = new Heard();

    private static Destinations shop(int places, int queue, Service service, Limit limit, Cold cold) {
        return new Destinations("shop", 1, 2, false, places, queue, service, limit, 100, null, cold, false, null);
    }

    private Receiver receiver(Destinations told) {
        return receiver(new Site(0, told, 1_000_000), 0, 1);
    }

    private Receiver receiver(Site site, int hall, long seed) {
        return new Receiver(site, "s-" + hall, 0, hall, heard, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static Shot shot(String mark) {
        return new Shot("r", mark, 0, null, false);
    }

    private static Failure failure(Kind kind, Double amount) {
        return new Failure(kind, Span.ZERO, Span.of("1s"), amount, null);
    }

    private List<Integer> statuses() {
        return heard.answers.stream().map(Answer::status).toList();
    }

    @Test
    void callsBeyondThePlacesWaitAndBeyondTheQueueAreTurnedAway() {
        Receiver receiver = receiver(shop(1, 1, TEN_MS, null, null));
        for (int i = 0; i < 3; i++) {
            receiver.arrived(0, shot(null));
        }
        receiver.advance(1_000);
        assertEquals(List.of(503), statuses());
        receiver.advance(30_000);
        assertEquals(List.of(503, 200, 200), statuses());
        assertEquals(List.of(10_000L, 20_000L), heard.times.subList(1, 3));
    }

    @Test
    void aLimitIsSharedAndTellsAWaitThatIsTrue() {
        Limit limit = new Limit(10.0, 2.0, null, null, 1.0, Span.of("50ms"));
        Site site = new Site(0, shop(8, 8, TEN_MS, limit, null), 1_000_000);
        Receiver one = receiver(site, 0, 1);
        Receiver other = receiver(site, 1, 2);
        one.arrived(0, shot(null));
        other.arrived(0, shot(null));
        one.arrived(0, shot(null));
        one.advance(5_000);
        assertEquals(List.of(429), statuses());
        long wait = heard.answers.get(0).toldWait();
        assertTrue(wait >= 100_000, "there is room again after the wait: " + wait);
        one.arrived(wait, shot(null));
        one.advance(wait + 20_000);
        assertEquals(200, statuses().get(statuses().size() - 1));
    }

    @Test
    void aCountInASpanBeginsAnewWithTheNextSpan() {
        Receiver receiver = receiver(shop(8, 8, TEN_MS, new Limit(null, null, 2, Span.of("100ms"), 0.0, null), null));
        for (long at : new long[] {0, 1, 2, 100_000}) {
            receiver.arrived(at, shot(null));
        }
        receiver.advance(200_000);
        assertEquals(List.of(200, 200, 200, 503), statuses().stream().sorted().toList());
    }

    @Test
    void aHallDropsARepeatWithinItsWindowAndNoOtherHallDoes() {
        Site site = new Site(0, shop(8, 8, TEN_MS, null, null), 1_000_000);
        Receiver east = receiver(site, 0, 1);
        Receiver west = receiver(site, 1, 2);
        east.arrived(0, shot("m"));
        east.arrived(500_000, shot("m"));
        assertEquals(1, heard.dropped);
        west.arrived(600_000, shot("m"));
        east.arrived(1_600_000, shot("m"));
        assertEquals(1, heard.dropped);
        assertEquals(4, heard.ran);
        site.forget(0);
        east.arrived(1_700_000, shot("m"));
        assertEquals(1, heard.dropped, "a memory that is lost drops nothing");
    }

    @Test
    void aConnectionBeyondTheBoundIsShutOutAndOneThatIsHeldGoesOnServing() {
        Receiver receiver = receiver(new Destinations("shop", 1, 2, false, 8, 8, TEN_MS, null, 1, null, null, false, null));
        receiver.connect();
        receiver.connect();
        receiver.arrived(0, new Shot("new", null, 0, null, true));
        receiver.arrived(0, new Shot("held", null, 0, null, false));
        receiver.advance(30_000);
        assertEquals(List.of(503, 200), statuses());
        assertEquals(Answer.Manner.SHUT_OUT, heard.answers.get(0).manner());
    }

    @Test
    void aHungReceiverAnswersLateWhoStillWaits() {
        Receiver receiver = receiver(shop(8, 8, TEN_MS, null, null));
        Failure hang = failure(Kind.HANG, null);
        receiver.begin(0, hang);
        Shot patient = shot(null);
        Shot left = shot(null);
        receiver.arrived(10, patient);
        receiver.arrived(20, left);
        receiver.gone(left);
        assertEquals(Long.MAX_VALUE, receiver.nextDue());
        receiver.end(500_000, hang);
        receiver.advance(600_000);
        assertEquals(List.of(200), statuses());
        assertEquals(1, heard.ran);
    }

    @Test
    void aCrashLosesWhatWasInHandAndRefusesConnections() {
        Receiver receiver = receiver(shop(8, 8, TEN_MS, null, null));
        receiver.arrived(0, shot(null));
        Failure crash = failure(Kind.CRASH, null);
        receiver.begin(5_000, crash);
        assertEquals(Coming.REFUSED, receiver.connect());
        receiver.end(900_000, crash);
        receiver.advance(1_000_000);
        assertTrue(heard.answers.isEmpty());
        assertEquals(Coming.UP, receiver.connect());
        assertTrue(receiver.share(900_000) < 0.5, "it comes back cold");
        assertEquals(1, receiver.share(60_000_000));
    }

    @Test
    void aColdReceiverFallsWhenItIsPushedOverAndOnlyThen() {
        Cold cold = new Cold(0.5, Span.of("10s"), 2.0, Span.of("1s"));
        for (int every : new int[] {20_000, 2_000}) { // 50 and 500 calls a second; it can do 100 at half of its places
            Receiver receiver = receiver(shop(2, 100, TEN_MS, null, cold));
            Failure crash = failure(Kind.CRASH, null);
            receiver.begin(0, crash);
            receiver.end(1_000_000, crash);
            heard.fell = false;
            for (long at = 1_000_000; at < 4_000_000; at += every) {
                receiver.advance(at);
                receiver.arrived(at, shot(null));
            }
            assertEquals(every == 2_000, heard.fell);
            assertEquals(heard.fell, receiver.down());
        }
    }

    @Test
    void whatIsWrongWithAnswersIsTold() {
        for (Kind kind : List.of(Kind.ANSWER_LOST, Kind.RESET_AFTER, Kind.ENDLESS, Kind.DOUBLED, Kind.SPOILT)) {
            heard.answers.clear();
            Receiver receiver = receiver(shop(8, 8, TEN_MS, null, null));
            receiver.begin(0, failure(kind, 1.0));
            receiver.arrived(0, shot(null));
            receiver.advance(50_000);
            assertFalse(heard.answers.get(0).manner() == Manner.WHOLE, kind.toString());
            assertEquals(200, heard.answers.get(0).status(), "it ran");
        }
    }

    @Property(tries = 100)
    void neverMoreAtWorkThanPlacesAndEveryCallIsAnsweredOnce(@ForAll @IntRange(min = 1, max = 6) int places,
            @ForAll @IntRange(min = 0, max = 6) int queue, @ForAll @IntRange(min = 1, max = 60) int calls,
            @ForAll long seed) {
        Service service = new Service(Service.Shape.EXPONENTIAL, Span.of("5ms"), null, null);
        List<List<Long>> runs = new ArrayList<>();
        for (int again = 0; again < 2; again++) {
            Heard own = new Heard();
            Site site = new Site(0, shop(places, queue, service, null, null), 1_000_000);
            Receiver receiver = new Receiver(site, "s", 0, 0, own, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
            for (int i = 0; i < calls; i++) {
                receiver.advance(i * 700L);
                receiver.arrived(i * 700L, shot(null));
                assertTrue(receiver.inHand() <= places + queue);
            }
            receiver.advance(Long.MAX_VALUE - 1);
            assertEquals(calls, own.answers.size());
            runs.add(own.times);
        }
        assertEquals(runs.get(0), runs.get(1), "the same seed, the same day");
    }
}
