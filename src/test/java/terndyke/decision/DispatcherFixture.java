package terndyke.decision;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.Action;
import terndyke.api.DeliverySettings;
import terndyke.api.DeliverySettings.ListedRateAccuracy;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.EndpointState;
import terndyke.api.ServiceGrade;
import terndyke.api.ServiceGrade.RepeatSemantics;

/**
 * What the tests of the dispatcher share: settings with one grade for each kind of repeat semantics and one in order,
 * events, and a dispatcher that knows two endpoints.
 */
final class DispatcherFixture {
    static final int IDEMPOTENT = 0;
    static final int DEDUPLICATED = 1;
    static final int UNREPEATABLE = 2;
    static final int IN_ORDER = 3;
    static final long START_MICROS = 100_000_000;
    static final float[] NO_LOAD_REPORT = {};

    private DispatcherFixture() { }

    static DeliverySettings settings(boolean copiesAllowed, boolean probesAllowed, int maxPendingRecords) {
        return settings(copiesAllowed, probesAllowed, maxPendingRecords, 2, 0, 8, List.of());
    }

    static DeliverySettings settings(boolean copiesAllowed, boolean probesAllowed, int maxPendingRecords, int nodeCount,
            int nodeIndex, int slots, List<Double> tenantQuotas) {
        return settings(copiesAllowed, probesAllowed, maxPendingRecords, nodeCount, nodeIndex, slots, tenantQuotas, false, 0);
    }

    static DeliverySettings settings(boolean copiesAllowed, boolean probesAllowed, int maxPendingRecords, int nodeCount,
            int nodeIndex, int slots, List<Double> tenantQuotas, boolean listOnRequest, double zoneCrossingPrice) {
        return settings(1, copiesAllowed, probesAllowed, maxPendingRecords, nodeCount, nodeIndex, slots, tenantQuotas,
                listOnRequest, zoneCrossingPrice);
    }

    static DeliverySettings settings(long seed, boolean copiesAllowed, boolean probesAllowed, int maxPendingRecords,
            int nodeCount, int nodeIndex, int slots, List<Double> tenantQuotas, boolean listOnRequest,
            double zoneCrossingPrice) {
        List<ServiceGrade> grades = List.of(
                new ServiceGrade(RepeatSemantics.IDEMPOTENT, true, 0, false, 1_000_000, 0, 10_000_000, 1, 0.5),
                new ServiceGrade(RepeatSemantics.DEDUPLICATED, false, 4_000_000, false, 1_000_000, 0, 10_000_000, 1, 0.5),
                new ServiceGrade(RepeatSemantics.UNREPEATABLE, false, 0, false, 1_000_000, 0, 10_000_000, 1, 0.5),
                new ServiceGrade(RepeatSemantics.IDEMPOTENT, true, 0, true, 1_000_000, 0, 10_000_000, 1, 0.5));
        return new DeliverySettings(seed, nodeCount, nodeIndex, 0, slots, maxPendingRecords, 6, copiesAllowed, true,
                probesAllowed, 2_000_000, listOnRequest, 0, ListedRateAccuracy.ROUGH, false, 0.1, grades, tenantQuotas,
                List.of(false, true), List.of(1, 5), -1, -1, 500_000, 2, 2_000_000,
                0.2, 10_000_000, 100_000, 20_000, 5_000, 15_000_000, true, List.of(), zoneCrossingPrice, 0);
    }

    /**
     * A dispatcher that knows destination 1 with endpoint 11 in zone 0 and endpoint 12 in zone 1. Endpoints of kind 1 are
     * independent of each other and take up to five records per call.
     */
    static Dispatcher dispatcher(DeliverySettings settings, int kind) {
        Dispatcher dispatcher = new Dispatcher(settings);
        dispatcher.handleEvents(START_MICROS,
                List.of(new Event.ListReceived(List.of(listedEndpoint(11, 0, kind, EndpointState.READY),
                listedEndpoint(12, 1, kind, EndpointState.READY)), true)));
        return dispatcher;
    }

    static ListedEndpoint listedEndpoint(long endpoint, int zone, int kind, EndpointState state) {
        return new ListedEndpoint(endpoint, zone, kind, 0, state, 0, 1);
    }

    static Event recordAccepted(long id, int grade) {
        return recordAccepted(id, grade, 0, 1);
    }

    static Event recordAccepted(long id, int grade, int tenant, int destination) {
        return new Event.RecordAccepted(id, grade, tenant, 7, 10_000_000, 0, destination, false, false, false);
    }

    static Event shotEnded(long id, int shotIndex, long endpoint, Ending ending, long retryAfter) {
        return new Event.ShotEnded(id, shotIndex, endpoint, ending, 200_000, retryAfter, false, ending == Ending.DONE,
                NO_LOAD_REPORT);
    }

    static <T extends Action> List<T> actionsOfType(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Sends a TimerExpired event every 10 ms, from one time to the other inclusive, and returns all actions. */
    static List<Action> expireTimersUntil(Dispatcher dispatcher, long from, long until) {
        List<Action> all = new ArrayList<>();
        for (long now = from; now <= until; now += 10_000) {
            all.addAll(dispatcher.handleEvents(now, List.of(new Event.TimerExpired(0))));
        }
        return all;
    }
}
