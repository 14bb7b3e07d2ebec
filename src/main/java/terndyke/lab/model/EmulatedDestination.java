package terndyke.lab.model;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import terndyke.lab.plan.Experiment.DestinationGroup;

/** One destination: its receivers, the limit they share, and what each hall remembers of carried-out marks. */
public final class EmulatedDestination {
    final int number;
    final DestinationGroup configuration;
    final long deduplicationWindowMicros;
    private final RateLimiter sharedRateLimiter;
    private final Map<Integer, Map<String, Long>> executionTimesByHall = new HashMap<>();

    /** @param window how long a hall drops repeats of a mark, in microseconds */
    public EmulatedDestination(int number, DestinationGroup told, long window) {
        this.number = number;
        this.configuration = told;
        this.deduplicationWindowMicros = window;
        sharedRateLimiter = new RateLimiter(told.limit());
    }

    public int number() {
        return number;
    }

    RateLimiter rateLimiterForReceiver() {
        return configuration.apart() ? new RateLimiter(configuration.limit()) : sharedRateLimiter;
    }

    /** Whether that hall has carried this mark out within the window; if not it is remembered from now on. */
    boolean checkAndRememberDuplicate(int hall, String mark, long now) {
        Map<String, Long> memory = executionTimesByHall.computeIfAbsent(hall, some -> new LinkedHashMap<>());
        for (Iterator<Long> oldest = memory.values().iterator(); oldest.hasNext() && oldest.next() < now - deduplicationWindowMicros;) {
            oldest.remove();
        }
        return mark != null && memory.putIfAbsent(mark, now) != null;
    }

    /** What a hall remembers is gone. */
    public void clearExecutionTimes(int hall) {
        executionTimesByHall.remove(hall);
    }
}
