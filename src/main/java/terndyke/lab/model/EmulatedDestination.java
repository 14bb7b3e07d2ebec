package terndyke.lab.model;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import terndyke.lab.plan.Experiment.DestinationGroup;

/**
 * One emulated destination: the rate limit that its receivers share, and for each hall the idempotency keys of the calls
 * executed there within the deduplication window.
 */
public final class EmulatedDestination {
    final int number;
    final DestinationGroup configuration;
    final long deduplicationWindowMicros;
    private final RateLimiter sharedRateLimiter;
    private final Map<Integer, Map<String, Long>> executionTimesByHall = new HashMap<>();

    /** @param deduplicationWindowMicros how long a hall drops repeated calls with the same idempotency key */
    public EmulatedDestination(int number, DestinationGroup configuration, long deduplicationWindowMicros) {
        this.number = number;
        this.configuration = configuration;
        this.deduplicationWindowMicros = deduplicationWindowMicros;
        sharedRateLimiter = new RateLimiter(configuration.limit());
    }

    public int number() {
        return number;
    }

    RateLimiter rateLimiterForReceiver() {
        return configuration.apart() ? new RateLimiter(configuration.limit()) : sharedRateLimiter;
    }

    /**
     * Returns whether the hall has executed a call with this idempotency key within the deduplication window. If not, the
     * key is remembered from now on. A null key is never a duplicate.
     */
    boolean checkAndRememberDuplicate(int hall, String idempotencyKey, long now) {
        Map<String, Long> executionTimes = executionTimesByHall.computeIfAbsent(hall, absent -> new LinkedHashMap<>());
        for (Iterator<Long> oldest = executionTimes.values().iterator();
                oldest.hasNext() && oldest.next() < now - deduplicationWindowMicros;) {
            oldest.remove();
        }
        return idempotencyKey != null && executionTimes.putIfAbsent(idempotencyKey, now) != null;
    }

    /** Clears the executed idempotency keys of a hall. */
    public void clearExecutionTimes(int hall) {
        executionTimesByHall.remove(hall);
    }
}
