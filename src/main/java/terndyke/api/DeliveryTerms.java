package terndyke.api;

import java.util.List;

/**
 * What a delivery node reads at its start. Times are whole microseconds, rates are per second. Lists by kind hold
 * one item for each kind of destination; allowanceAt and limitAt are places in a report, -1 where it has no such
 * value. RatesListed is false where the list's rates say nothing; longestAdvice is 0 where none may be given.
 * IdleClose is the time after which an idle connection closes by itself. EndsTold is true where the node says when
 * a final answer has been told.
 */
public record DeliveryTerms(long seed, int nodes, int nodeNumber, int zone, int slots, int holdingRoom,
        int shotsPerRecord, boolean copies, boolean recalls, boolean probes, long longestAdvice,
        boolean listOnRequest, long listAskEvery, boolean ratesListed, boolean payoffHalves, double overSharePayoff,
        List<ServiceGrade> grades, List<Double> tenantQuotas, List<Boolean> routesApart, List<Integer> recordsPerCall,
        int allowanceAt, int limitAt, long drainGrace, double fallMultiple, long fallSpan, double coldShare,
        long coldFor, long keyRest, long answerSlack, long turn, long idleClose,
        boolean endsTold) { }
