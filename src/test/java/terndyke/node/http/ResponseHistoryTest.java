package terndyke.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import terndyke.node.HoldUpDetector;
import terndyke.node.Limits;

/** What a connection, an endpoint and the pool remember to tell copies of responses from responses. */
class ResponseHistoryTest {
    private final Limits limits = Limits.fromResources(192, 1024, 3, 8, 40, 400_000, 1_000_000);
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final CopyWindow copyWindow = new CopyWindow(limits, clock::get);
    private final HoldUpDetector holdUpDetector = new HoldUpDetector(clock::get, limits.holdUpToleranceMicros());
    private final ResponseHistory history = new ResponseHistory(copyWindow, holdUpDetector, limits);

    @Test
    void onlyAResponseWithTheStatusOfARecentOneMayBeACopy() {
        long windowEnd = 1_000_000 + limits.responseCopyWindowMicros();
        long safeAt = windowEnd + limits.undetectedHoldUpMicros();
        history.add(200, 1_000_000);
        assertTrue(history.mayBeCopy(200, windowEnd - 1, safeAt - 1));
        assertFalse(history.mayBeCopy(200, windowEnd - 1, safeAt));
        assertFalse(history.mayBeCopy(200, windowEnd, windowEnd + 1));
        assertFalse(history.mayBeCopy(503, 1_000_001, 1_000_002));
    }

    /** Guards against a copy that comes soon but is read late, by a process that was held up while the request was out. */
    @Test
    void aResponseReadAfterAHoldUpMayBeACopy() {
        history.add(200, 1_000_000);
        holdUpDetector.beginWait(20_000);
        clock.addAndGet(20_000 + limits.holdUpToleranceMicros());
        assertFalse(history.mayBeCopy(200, 1_000_001, 2_000_000));
        clock.addAndGet(1);
        assertTrue(history.mayBeCopy(200, 1_000_001, 2_000_000), "a hold-up that has not been noted yet");
        holdUpDetector.endWait();
        assertTrue(history.mayBeCopy(200, 1_000_001, 2_000_000), "a hold-up that has been noted");
        assertFalse(history.mayBeCopy(200, clock.get() + 1, 2_000_000), "a hold-up before the request");
    }

    /** Guards against a copy of the response before the last one, which a response with another status does not make harmless. */
    @Test
    void anOlderResponseIsRememberedBesideTheLastOne() {
        history.add(503, 1_000_000);
        history.add(200, 1_020_000);
        assertTrue(history.mayBeCopy(503, 1_030_000, 1_040_000));
    }

    @Test
    void anObservedCopyWidensTheWindowForAWhile() {
        copyWindow.addObservedLag(1_000);
        assertEquals(limits.widenedCopyWindowMicros(), copyWindow.micros());
        copyWindow.addObservedLag(300_000);
        assertEquals(600_000, copyWindow.micros());
        copyWindow.addObservedLag(1_000);
        assertEquals(600_000, copyWindow.micros());
        copyWindow.addObservedLag(30_000_000);
        assertEquals(limits.maxResponseCopyWindowMicros(), copyWindow.micros());
        clock.addAndGet(limits.copyWindowRetentionMicros());
        assertEquals(limits.responseCopyWindowMicros(), copyWindow.micros());
    }

    @Test
    void oneShortDeliveryIsLeftOutAndOldOnesAreForgotten() {
        DeliveryTimes times = new DeliveryTimes();
        assertEquals(0, times.shortestMicros());
        times.add(80_000);
        assertEquals(40_000, times.shortestMicros());
        times.add(2_000);
        assertEquals(80_000, times.shortestMicros());
        for (int i = 0; i < 16; i++) {
            times.add(120_000);
        }
        assertEquals(120_000, times.shortestMicros());
    }
}
