package terndyke.node.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

import terndyke.api.Action;
import terndyke.api.Event;
import terndyke.decision.Dispatcher;

/** Third stage: collects events for the decision module (the dispatcher) and returns the actions that it asks for. */
public final class DecisionStage {
    private final Dispatcher dispatcher;
    private List<LongFunction<Event>> pendingEvents = new ArrayList<>(); // each gets the time of the turn

    public DecisionStage(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    void addEvent(Event event) {
        addEvent(turnTime -> event);
    }

    /** Adds an event that states periods of time, which are to be measured at the time of the turn that handles it. */
    void addEvent(LongFunction<Event> eventAtTime) {
        pendingEvents.add(eventAtTime);
    }

    boolean hasPendingEvents() {
        return !pendingEvents.isEmpty();
    }

    List<Action> runTurn(long now) {
        List<Event> events = new ArrayList<>(pendingEvents.size());
        pendingEvents.forEach(eventAtTime -> events.add(eventAtTime.apply(now)));
        pendingEvents = new ArrayList<>();
        return dispatcher.handleEvents(now, events);
    }
}
