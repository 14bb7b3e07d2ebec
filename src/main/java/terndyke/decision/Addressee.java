package terndyke.decision;

import java.util.*;

/** All that one destination number stands for: its routes, and the records that wait for a shot. */
final class Addressee {
    final List<Route> routes = new ArrayList<>(4);
    final Set<Held> waiting = new LinkedHashSet<>();
    /** How many records one call may carry. */
    int perCall = 1;
    int callsOut;
    /** The record to shoot next in this turn, and how dear it is. */
    Held next;
    double nextUrgency;
    boolean sick;

    /** The design's companion rule: calls mostly fail, time out or run far past what was usual. */
    boolean sick(long now) {
        return routes.stream().anyMatch(route -> route.destination.sick(now));
    }
}
