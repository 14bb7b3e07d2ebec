package terndyke.decision;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.Action;
import terndyke.api.DeliveryTerms;
import terndyke.api.DeliveryTerms.ListedRates;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.Standing;
import terndyke.api.ServiceGrade;
import terndyke.api.ServiceGrade.Effect;

/** State for the tests: terms with one grade of each effect, and a dispatcher that knows two endpoints. */
final class Given {
    static final int IDEMPOTENT = 0;
    static final int DEDUPLICATED = 1;
    static final int UNREPEATABLE = 2;
    static final int IN_ORDER = 3;
    static final long START = 100_000_000;
    static final float[] NO_REPORT = {};

    private Given() { }

    static DeliveryTerms terms(boolean copies, boolean probes, int holdingRoom) {
        return terms(copies, probes, holdingRoom, 2, 0, 8, List.of());
    }

    static DeliveryTerms terms(boolean copies, boolean probes, int holdingRoom, int nodes, int nodeNumber, int slots,
            List<Double> quotas) {
        return terms(copies, probes, holdingRoom, nodes, nodeNumber, slots, quotas, false, 0);
    }

    static DeliveryTerms terms(boolean copies, boolean probes, int holdingRoom, int nodes, int nodeNumber, int slots,
            List<Double> quotas, boolean listOnRequest, double crossingPrice) {
        return terms(1, copies, probes, holdingRoom, nodes, nodeNumber, slots, quotas, listOnRequest, crossingPrice);
    }

    static DeliveryTerms terms(long seed, boolean copies, boolean probes, int holdingRoom, int nodes, int nodeNumber, int slots,
            List<Double> quotas, boolean listOnRequest, double crossingPrice) {
        List<ServiceGrade> grades = List.of(
                new ServiceGrade(Effect.IDEMPOTENT, true, 0, false, 1_000_000, 0, 10_000_000, 1, 0.5),
                new ServiceGrade(Effect.DEDUPLICATED, false, 4_000_000, false, 1_000_000, 0, 10_000_000, 1, 0.5),
                new ServiceGrade(Effect.UNREPEATABLE, false, 0, false, 1_000_000, 0, 10_000_000, 1, 0.5),
                new ServiceGrade(Effect.IDEMPOTENT, true, 0, true, 1_000_000, 0, 10_000_000, 1, 0.5));
        return new DeliveryTerms(seed, nodes, nodeNumber, 0, slots, holdingRoom, 6, copies, true, probes, 2_000_000,
                listOnRequest, 0, ListedRates.ROUGH, false, 0.1, grades, quotas, List.of(false, true), List.of(1, 5), -1, -1, 500_000, 2, 2_000_000,
                0.2, 10_000_000, 100_000, 20_000, 5_000, 15_000_000, true, List.of(), crossingPrice, 0);
    }

    /** Destination 1 with endpoints 11 in zone 0 and 12 in zone 1, of that kind (1: apart, five records a call). */
    static Dispatcher dispatcher(DeliveryTerms terms, int kind) {
        Dispatcher dispatcher = new Dispatcher(terms);
        dispatcher.turn(START, List.of(new Event.ListTold(List.of(listed(11, 0, kind, Standing.READY),
                listed(12, 1, kind, Standing.READY)), true)));
        return dispatcher;
    }

    static ListedEndpoint listed(long endpoint, int zone, int kind, Standing standing) {
        return new ListedEndpoint(endpoint, zone, kind, 0, standing, 0, 1);
    }

    static Event taken(long id, int grade) {
        return taken(id, grade, 0, 1);
    }

    static Event taken(long id, int grade, int tenant, int destination) {
        return new Event.RecordTaken(id, grade, tenant, 7, 10_000_000, 0, destination, false, false, false);
    }

    static Event ended(long id, int shot, long endpoint, Ending ending, long wait) {
        return new Event.ShotEnded(id, shot, endpoint, ending, 200_000, wait, false, ending == Ending.DONE, NO_REPORT);
    }

    static <T extends Action> List<T> only(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Wakes the dispatcher every ten milliseconds up to that time, and returns all that it did. */
    static List<Action> wakeUntil(Dispatcher dispatcher, long from, long until) {
        List<Action> all = new ArrayList<>();
        for (long now = from; now <= until; now += 10_000) {
            all.addAll(dispatcher.turn(now, List.of(new Event.Woken(0))));
        }
        return all;
    }
}
