package terndyke.node.stage;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.Action;
import terndyke.api.Event;
import terndyke.decision.Dispatcher;

/** Third stage: collects events for the decision module (the dispatcher) and returns the actions that it asks for. */
public final class DecisionStage {
    private final Dispatcher dispatcher;
    private List<Event> pendingEvents = new ArrayList<>();

    public DecisionStage(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    void addEvent(Event event) {
        pendingEvents.add(event);
    }

    boolean hasPendingEvents() {
        return !pendingEvents.isEmpty();
    }

    List<Action> runTurn(long now) {
        List<Event> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        return dispatcher.handleEvents(now, events);
    }
}
