package terndyke.node.http;

import java.util.Arrays;

/**
 * The times of the last deliveries to one endpoint, from the start of the request to the end of the response, in microseconds.
 * Written by the I/O thread, read by any.
 */
final class DeliveryTimes {
    private static final int CAPACITY = 16;

    private final long[] lastMicros = new long[CAPACITY];
    private int count; // of the times held
    private int next; // index of the next time
    private volatile long shortestMicros;

    void add(long micros) {
        lastMicros[next] = micros;
        next = (next + 1) % CAPACITY;
        count = Math.min(count + 1, CAPACITY);
        long[] sorted = Arrays.copyOf(lastMicros, count);
        Arrays.sort(sorted);
        shortestMicros = sorted.length == 1 ? sorted[0] / 2 : sorted[1];
    }

    /**
     * The time that a delivery is likely to take at least; 0 before the first one. A single short time is left out, since an
     * endpoint answers a repeated message at once.
     */
    long shortestMicros() {
        return shortestMicros;
    }
}
