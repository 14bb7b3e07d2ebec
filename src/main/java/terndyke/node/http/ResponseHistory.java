package terndyke.node.http;

import java.util.HashMap;
import java.util.Map;

import terndyke.node.HoldUpDetector;
import terndyke.node.Limits;

/**
 * The responses that were received on one connection not long ago. HTTP/1.1 has no number that ties a response to its request,
 * so a second copy of an earlier response, sent late by a proxy or by the server, looks like the response to the call that is
 * out when it comes. Copies are expected within a limited time only, the {@link CopyWindow}. Belongs to the I/O thread.
 */
final class ResponseHistory {
    private final CopyWindow copyWindow;
    private final HoldUpDetector holdUpDetector;
    private final Limits limits;
    private final Map<Integer, Long> receivedAtByStatus = new HashMap<>(2);

    ResponseHistory(CopyWindow copyWindow, HoldUpDetector holdUpDetector, Limits limits) {
        this.copyWindow = copyWindow;
        this.holdUpDetector = holdUpDetector;
        this.limits = limits;
    }

    /** Adds a complete response, and forgets those that no request to come can be written soon enough after. */
    void add(int status, long now) {
        receivedAtByStatus.values().removeIf(receivedAt -> now - receivedAt >= limits.maxResponseCopyWindowMicros());
        receivedAtByStatus.put(status, now);
    }

    /**
     * True if a response with this status that is read now may be a copy of an earlier one. If the request was written after the
     * copy window, it is none: copies that came within it were read before. Otherwise it may be one if it is read soon after the
     * window, or after the process was held up, which then may have read the copy late.
     */
    boolean mayBeCopy(int status, long requestStartedAt, long now) {
        Long receivedAt = receivedAtByStatus.get(status);
        long windowMicros = copyWindow.micros();
        return receivedAt != null && requestStartedAt - receivedAt < windowMicros
                && (now - receivedAt < windowMicros + limits.undetectedHoldUpMicros()
                || holdUpDetector.wasHeldUpSince(requestStartedAt));
    }
}
