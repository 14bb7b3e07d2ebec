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
    public void add(ObservedEvent event) {
        ObservedEvent relativeEvent = new ObservedEvent(event.at() - startMicros, event.what(), event.node(), event.id(),
                event.call(), event.uid(), event.destination(), event.hall(), event.status(), event.toldWait(),
                event.began() == 0 ? 0 : event.began() - startMicros, event.note(), relativeToStart(event.handed()));
        synchronized (events) {
            events.add(relativeEvent);
            boolean accepted = event.what() == EventType.ANSWERED && (event.status() == 202 || event.status() == 200);
            if (event.what() == EventType.NOTICE || event.what() == EventType.CALL_ANSWERED && event.status() == 200) {
                endedIds.add(event.id());
                pendingIds.remove(event.id());
            } else if (accepted && !endedIds.contains(event.id())) {
                pendingIds.add(event.id());
            }
        }
    }

    /** Whether every accepted record has ended. */
    public boolean hasNoPendingRecords() {
        synchronized (events) {
            return pendingIds.isEmpty();
        }
    }

    private HandedInRecord relativeToStart(HandedInRecord handedIn) {
        return handedIn == null ? null
                : new HandedInRecord(handedIn.id(), handedIn.message(), handedIn.node(), handedIn.grade(), handedIn.tenant(),
                handedIn.key(), handedIn.destination(), handedIn.mark(), handedIn.due() - startMicros,
                handedIn.sent() - startMicros, handedIn.timeout(),
                handedIn.bytes(), handedIn.extra());
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
