package terndyke.lab.run;

import java.util.List;

import org.HdrHistogram.Histogram;

import terndyke.lab.plan.Experiment;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.RecordHistory;

/** What a day was: all that its report is made from. A reason in voided makes every figure of it worthless. */
public record ExperimentResult(Experiment experiment, String build, String voidedBecause, List<Breach> breaches, List<ObservedEvent> events,
        List<RecordHistory> histories, int offeredCount, int[] handInCounts, Histogram acceptedFromDue, Histogram acceptedFromSent,
        Histogram toolLateness, List<ResourceSampler.Sample> samples, int receiverCount, double seconds) {

    /** The same day, worth nothing. */
    ExperimentResult voidedBecause(String why) {
        return new ExperimentResult(experiment, build, why, breaches, events, histories, offeredCount, handInCounts, acceptedFromDue, acceptedFromSent,
                toolLateness, samples, receiverCount, seconds);
    }

    /** 0 rules kept, 1 a rule broken, 3 void. */
    public int status() {
        return voidedBecause != null ? 3 : breaches.isEmpty() ? 0 : 1;
    }
}
