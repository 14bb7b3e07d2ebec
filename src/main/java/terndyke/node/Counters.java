package terndyke.node;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counters and maxima of what the node has received, sent and answered since its start. */
public final class Counters {

    /** The counters; their names in lower case are the metric names. */
    public enum Counter {
        CLIENT_CONNECTIONS, ACCEPTS_HELD, ACCEPTS_FAILED, TURNED_OUT, CLIENTS_EVICTED, REQUESTS_IN, MALFORMED, TOO_LARGE, REFUSED_AT_DOOR, TAKEN, BOUNCED_AT_ONCE,
        REPEATS, WITHDRAWN, RESTORED, SHOTS, CONNECTIONS_OPENED, DONE, ERROR, FULL, TIMED_OUT, NOT_CONNECTED, RESET, RECALLED,
        NOT_SENT, CROWDED, PROBES, ENDED_DONE, ENDED_BOUNCED, ENDED_TERMINATED, NOTICES_SENT, NOTICES_ANSWERED, LISTS_TOLD,
        JOURNAL_ENTRIES, JOURNAL_COMPACTIONS, JOURNAL_REFUSALS, SLOW_TURNS,
        /** Deliveries at a time at which the client's time may have been over, so that a notice follows. */
        DONE_LATE,
        /** Incomplete or unreadable answers to any of the node's own calls, by kind of defect. */
        ANSWERS_MISSING, ANSWERS_CUT, ANSWERS_UNREADABLE, ANSWERS_STALLED,
        /** Bytes that came on a kept connection while no call was out on it, such as a second copy of an answer. */
        STRAY_ANSWERS,
        /** Answers that may be a second copy of an earlier one on their connection, and do not count therefore. */
        ANSWERS_DOUBTFUL,
        /** Messages that are reported although they were counted as delivered, since another answer followed the one that said so. */
        DELIVERIES_UNCERTAIN,
        /** Calls that were not sent since a list said, before their first byte, that their endpoint drains, moved or is gone. */
        CALLS_CANCELLED_BY_LIST,
        /** Deliveries before the request was written, or on a kept connection much sooner than the endpoint's others. */
        DELIVERIES_EARLY,
        /** Calls with notices that failed or were not answered in time, and notices answered only after their deadline. */
        NOTICES_UNANSWERED, NOTICES_LATE,
        /** Reasons for which requests were refused before they were admitted. */
        REFUSED_LEAVING, REFUSED_READ_LATE, REFUSED_NO_ROOM, REFUSED_INBOX_FULL,
        REFUSED_NO_MEMORY,
        /** Connections of the node's own calls that did not come up: by the other side, and for lack of a socket or address here. */
        CONNECTS_FAILED, CONNECTS_FAILED_LOCALLY,
        /** Calls to the platform on a connection that had carried another call, as no connection could be opened. */
        PLATFORM_CONNECTIONS_REUSED,
        /** Turns of the decision thread that ended by an exception. */
        TURNS_FAILED, EVENTS_FAILED, ACTIONS_FAILED,
        /** Steps of the wall clock against the node's own clock. */
        WALL_CLOCK_STEPS,
        /** Pauses in reading from a client that has sent a request before it got the response to the one before. */
        READS_SUSPENDED,
        /** Bytes that clients' requests take at present, from their first byte until the decision thread has answered them. */
        REQUEST_MEMORY_BYTES,
        /** Requests that were given up before they were read to their end, since all requests together took too much memory. */
        REQUESTS_EVICTED,
        /** Bytes that incomplete responses of endpoints and the platform take at present. */
        RESPONSE_MEMORY_BYTES,
        /** Responses that were given up before they were read to their end, since all together took too much memory. */
        RESPONSES_EVICTED,
        /** In microseconds: the longest turn of the decision thread, and the longest wait of a request for a turn. */
        LONGEST_TURN, LONGEST_WAIT,
        /** In microseconds: the longest time between a record's end and the platform's answer to its notice. */
        LONGEST_NOTICE,
        /** In microseconds: the longest time from giving a call up until its connection was closed. */
        LONGEST_CLOSE
    }

    private final Map<Counter, AtomicLong> counts = new EnumMap<>(Counter.class);

    public Counters() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, new AtomicLong());
        }
    }

    public void add(Counter counter) {
        add(counter, 1);
    }

    public void add(Counter counter, long amount) {
        counts.get(counter).addAndGet(amount);
    }

    /** Raises a counter that holds a maximum. Each such counter is written by one thread only. */
    public void recordMaximum(Counter counter, long value) {
        AtomicLong maximum = counts.get(counter);
        if (value > maximum.get()) { // not atomic: one thread writes it
            maximum.set(value);
        }
    }

    public long get(Counter counter) {
        return counts.get(counter).get();
    }

    /** One line for each counter that is not zero: its name in lower case and its value. */
    @Override
    public String toString() {
        StringBuilder lines = new StringBuilder();
        counts.forEach((counter, value) -> {
            if (value.get() != 0) {
                lines.append(counter.name().toLowerCase(java.util.Locale.ROOT)).append(' ').append(value).append('\n');
            }
        });
        return lines.toString();
    }
}
