package terndyke.decision;

import java.util.ArrayList;
import java.util.List;

/** All that one destination number stands for: its routes, and the records that wait for a shot. */
final class Addressee {
    final List<Route> routes = new ArrayList<>(4);
    final List<Held> waiting = new ArrayList<>();
    /** The one limit of all routes where they are not apart; null otherwise. */
    Destination shared;
    /** How many records one call carries at most. */
    final int perCall;
    int callsOut;
    /** The record to shoot next in this turn, and how urgent it is. */
    Held next;
    double nextUrgency;

    Addressee(int perCall) {
        this.perCall = perCall;
    }

    /** A destination whose calls mostly fail, time out or run far past the fit (the design's companion rule). */
    boolean sick() {
        for (Route route : routes) {
            if (route.destination.sick()) {
                return true;
            }
        }
        return false;
    }
}
