package terndyke.api;

import java.util.List;

/**
 * What a delivery node reads at its start. Times are whole microseconds, rates are per second. Lists by kind hold
 * one item for each kind of destination; allowanceAt and limitAt are places in a report, -1 where it has no such
 * value. longestAdvice is 0 where none may be given.
 * HallFees and the prices are points of the result for each shot, connection or crossing, by first try.
 * IdleClose is the time after which an idle connection closes by itself. EndsTold is true where the node says when
 * a final answer has been told.
 */
public record DeliverySettings(long seed, int nodeCount, int nodeIndex, int zone, int slots, int maxPendingRecords,
        int maxShotsPerRecord, boolean copiesAllowed, boolean recallsAllowed, boolean probesAllowed, long maxRetryAfter,
        boolean listOnRequest, long listRequestInterval, ListedRateAccuracy listedRateAccuracy, boolean exponentialPayoffDecay, double overQuotaPayoffFactor,
        List<ServiceGrade> grades, List<Double> tenantQuotas, List<Boolean> independentRoutesByKind, List<Integer> maxRecordsPerCallByKind,
        int allowanceReportIndex, int limitReportIndex, long drainGracePeriod, double overloadMultiple, long overloadWindow, double coldCapacityShare,
        long warmUpTime, long keyQuietPeriod, long answerSlack, long turnInterval, long idleConnectionTimeout,
        boolean reportsFinalAnswerDelivery, List<Double> hallFees, double zoneCrossingPrice, double newConnectionPrice) {

    /** What the list's rates say: nothing, the rate within so much too high or low, or the rate itself. */
    public enum ListedRateAccuracy {
        NONE(Double.POSITIVE_INFINITY), ROUGH(1.5), EXACT(1);

        private final double maxOverstatement;

        ListedRateAccuracy(double excess) {
            this.maxOverstatement = excess;
        }

        /** How many times too high a listed rate may be. */
        public double maxOverstatement() {
            return maxOverstatement;
        }
    }

    /** The price of a shot that a route of this hall takes on; 0 where none is stated. */
    public double hallFee(int hall) {
        return hall < hallFees.size() ? hallFees.get(hall) : 0;
    }
}
