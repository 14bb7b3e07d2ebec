package terndyke.api;

import java.util.List;

/**
 * The settings of the decision module. Times are whole microseconds, rates are per second. Lists by kind have one item for
 * each kind of destination.
 *
 * @param slots                      how many calls may be out at once
 * @param maxRetryAfter              the longest Retry-After of a bounce; 0 if a bounce may have none
 * @param allowanceReportIndex       index of the allowance in a load report, -1 if reports do not contain it
 * @param limitReportIndex           index of the rate limit in a load report, -1 if reports do not contain it
 * @param idleConnectionTimeout      the time after which an idle connection closes by itself
 * @param reportsFinalAnswerDelivery true if the node sends FinalAnswerDelivered events
 * @param hallFees                   the price of a shot in each hall, in points of the result
 * @param zoneCrossingPrice          the price of a shot to another zone, in points of the result
 * @param newConnectionPrice         the price of a new connection, in points of the result
 */
public record DeliverySettings(long seed, int nodeCount, int nodeIndex, int zone, int slots, int maxPendingRecords,
        int maxShotsPerRecord, boolean copiesAllowed, boolean recallsAllowed, boolean probesAllowed, long maxRetryAfter,
        boolean listOnRequest, long listRequestInterval, ListedRateAccuracy listedRateAccuracy,
        boolean exponentialPayoffDecay, double overQuotaPayoffFactor,
        List<ServiceGrade> grades, List<Double> tenantQuotas, List<Boolean> independentRoutesByKind,
        List<Integer> maxRecordsPerCallByKind, int allowanceReportIndex, int limitReportIndex,
        long drainGracePeriod, double overloadMultiple, long overloadWindow, double slowStartCapacityShare, long slowStartTime,
        long keyQuietPeriod, long answerSlack, long turnInterval, long idleConnectionTimeout,
        boolean reportsFinalAnswerDelivery, List<Double> hallFees, double zoneCrossingPrice, double newConnectionPrice) {

    /** How accurate the listed rates are: they say nothing, they may be too high or low by a factor, or they are exact. */
    public enum ListedRateAccuracy {
        NONE(Double.POSITIVE_INFINITY), ROUGH(1.5), EXACT(1);

        private final double maxOverstatement;

        ListedRateAccuracy(double maxOverstatement) {
            this.maxOverstatement = maxOverstatement;
        }

        /** The factor by which a listed rate may be too high. */
        public double maxOverstatement() {
            return maxOverstatement;
        }
    }

    /** The price of a shot to this hall, in points of the result; 0 if none is set. */
    public double hallFee(int hall) {
        return hall < hallFees.size() ? hallFees.get(hall) : 0;
    }
}
