package terndyke.lab.referee;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import terndyke.lab.referee.ObservedEvent.EventType;

/** Collects observed events from all threads. Their times are converted to microseconds since the start of the run. */
public final class EventLog {
    private final List<ObservedEvent> events = new ArrayList<>(1 << 14);
    private final Set<String> pendingIds = new HashSet<>(); // acceptance confirmed to the client, outcome still open
    private final Set<String> endedIds = new HashSet<>();
    private volatile long startMicros;

    public void setStartMicros(long micros) {
        startMicros = micros;
    }

    public long startMicros() {
        return startMicros;
    }

    /** Adds an event whose times are still by the machine's clock, not relative to the start of the run. */
    public void add(ObservedEvent sight) {
        ObservedEvent moved = new ObservedEvent(sight.at() - startMicros, sight.what(), sight.node(), sight.id(), sight.call(),
                sight.uid(), sight.destination(), sight.hall(), sight.status(), sight.toldWait(),
                sight.began() == 0 ? 0 : sight.began() - startMicros, sight.note(), relativeToStart(sight.handed()));
        synchronized (events) {
            events.add(moved);
            boolean taken = sight.what() == EventType.ANSWERED && (sight.status() == 202 || sight.status() == 200);
            if (sight.what() == EventType.NOTICE || sight.what() == EventType.CALL_ANSWERED && sight.status() == 200) {
                endedIds.add(sight.id());
                pendingIds.remove(sight.id());
            } else if (taken && !endedIds.contains(sight.id())) {
                pendingIds.add(sight.id());
            }
        }
    }

    /** Whether every accepted record has ended. */
    public boolean hasNoPendingRecords() {
        synchronized (events) {
            return pendingIds.isEmpty();
        }
    }

    private HandedInRecord relativeToStart(HandedInRecord told) {
        return told == null ? null : new HandedInRecord(told.id(), told.message(), told.node(), told.grade(), told.tenant(),
                told.key(), told.destination(), told.mark(), told.due() - startMicros, told.sent() - startMicros, told.timeout(),
                told.bytes(), told.extra());
    }

    /** All events by time; events with the same time keep the order in which they were added. */
    public List<ObservedEvent> sortedEvents() {
        synchronized (events) {
            List<ObservedEvent> sorted = new ArrayList<>(events);
            sorted.sort(Comparator.comparingLong(ObservedEvent::at));
            return sorted;
        }
    }
}
