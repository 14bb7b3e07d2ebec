package terndyke.node.http;

import java.util.HashMap;
import java.util.Map;

/**
 * The responses that were received on one connection not long ago. HTTP/1.1 has no number that ties a response to its request,
 * so a second copy of an earlier response, sent late by a proxy or by the server, looks like the response to the call that is
 * out when it comes. Copies are expected within a limited time only, the {@link CopyWindow}. Belongs to the I/O thread.
 */
final class ResponseHistory {
    private final CopyWindow copyWindow;
    private final long maxWindowMicros;
    private final Map<Integer, Long> receivedAtByStatus = new HashMap<>(2);

    ResponseHistory(CopyWindow copyWindow, long maxWindowMicros) {
        this.copyWindow = copyWindow;
        this.maxWindowMicros = maxWindowMicros;
    }

    /** Adds a complete response. */
    void add(int status, long now) {
        receivedAtByStatus.values().removeIf(receivedAt -> now - receivedAt >= maxWindowMicros);
        receivedAtByStatus.put(status, now);
    }

    /** True if a response with this status that comes now may be a copy of an earlier one. */
    boolean mayBeCopy(int status, long now) {
        Long receivedAt = receivedAtByStatus.get(status);
        return receivedAt != null && now - receivedAt < copyWindow.micros();
    }
}
