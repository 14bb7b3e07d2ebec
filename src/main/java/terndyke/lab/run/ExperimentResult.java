package terndyke.lab.run;

import java.util.List;

import org.HdrHistogram.Histogram;

import terndyke.lab.plan.Experiment;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.RecordHistory;

/**
 * The result of a run, from which its report is made. If voidedBecause is not null, the run is void for that reason and
 * none of its figures may be used.
 */
public record ExperimentResult(Experiment experiment, String build, String voidedBecause, List<Breach> breaches,
        List<ObservedEvent> events, List<RecordHistory> histories, int offeredCount, int[] handInCounts,
        Histogram acceptedFromDue, Histogram acceptedFromSent, Histogram toolLateness, List<ResourceSampler.Sample> samples,
        int receiverCount, double seconds) {

    /** The same result, marked void for the given reason. */
    ExperimentResult voidedBecause(String reason) {
        return new ExperimentResult(experiment, build, reason, breaches, events, histories, offeredCount, handInCounts,
                acceptedFromDue, acceptedFromSent, toolLateness, samples, receiverCount, seconds);
    }

    /** The exit status: 0 all rules kept, 1 a rule broken, 3 void. */
    public int status() {
        return voidedBecause != null ? 3 : breaches.isEmpty() ? 0 : 1;
    }
}
