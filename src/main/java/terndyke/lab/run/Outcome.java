package terndyke.lab.run;

import java.util.List;

import org.HdrHistogram.Histogram;

import terndyke.lab.plan.Experiment;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Story;

/** What a day was: all that its report is made from. A reason in voided makes every figure of it worthless. */
public record Outcome(Experiment day, String build, String voided, List<Breach> breaches, List<Sight> sights,
        List<Story> stories, int offered, int[] atTheDoors, Histogram acceptedFromDue, Histogram acceptedFromSent,
        Histogram lateness, List<Sampler.Sample> samples, int receivers, double seconds) {

    /** The same day, worth nothing. */
    Outcome voided(String why) {
        return new Outcome(day, build, why, breaches, sights, stories, offered, atTheDoors, acceptedFromDue, acceptedFromSent,
                lateness, samples, receivers, seconds);
    }

    /** 0 rules kept, 1 a rule broken, 3 void. */
    public int status() {
        return voided != null ? 3 : breaches.isEmpty() ? 0 : 1;
    }
}
