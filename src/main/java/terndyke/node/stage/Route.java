package terndyke.node.stage;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.Action;
import terndyke.api.Event;
import terndyke.decision.Dispatcher;

/** Third stage: tells the decision module what happened and hears what is to be done. */
public final class Route {
    private final Dispatcher dispatcher;
    private List<Event> events = new ArrayList<>();

    public Route(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    void tell(Event event) {
        events.add(event);
    }

    boolean due() {
        return !events.isEmpty();
    }

    List<Action> turn(long now) {
        List<Event> told = events;
        events = new ArrayList<>();
        return dispatcher.handleEvents(now, told);
    }
}
