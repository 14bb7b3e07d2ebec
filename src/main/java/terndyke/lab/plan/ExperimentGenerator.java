package terndyke.lab.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.plan.Failure.TargetType;
import terndyke.lab.plan.Failure.Target;

/**
 * Generates random experiments: a base experiment with one to five failures of any kind, some of which start at the same
 * time. The seed determines the result.
 */
public final class ExperimentGenerator {
    private static final int MAX_FAILURES = 5;

    private ExperimentGenerator() { }

    /** The base experiment with random failures, all drawn from the given seed. */
    public static Experiment generate(Experiment base, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 7919 + 11);
        int count = 1 + random.nextInt(MAX_FAILURES);
        List<Failure> failures = new ArrayList<>();
        long commonStart = drawTimeMicros(base, random); // on average half of the failures start at this time
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            long start = random.nextBoolean() ? commonStart : drawTimeMicros(base, random);
            TimeSpan duration = TimeSpan.ofMillis(500 + random.nextInt((int) Math.max(1, base.length().millis() / 3)));
            failures.add(new Failure(kind, new TimeSpan(start / 1000 * 1000), duration, null, drawTarget(base, kind, random)));
        }
        failures.sort(Comparator.comparing(Failure::at));
        return base.with(base.name() + "-drawn-" + seed, "drawn from seed " + seed, seed, base.length(), failures);
    }

    private static long drawTimeMicros(Experiment base, UniformRandomProvider random) {
        return Math.round(base.length().micros() * (0.1 + 0.6 * random.nextDouble()));
    }

    private static Target drawTarget(Experiment base, Kind kind, UniformRandomProvider random) {
        if (kind.targetType() != TargetType.RECEIVER) {
            return new Target(null, null, null, null, kind.targetType() == TargetType.NODE || random.nextBoolean()
                    ? List.of(random.nextInt(base.nodes().count())) : null, null);
        }
        return switch (random.nextInt(4)) {
            case 0 -> new Target(base.halls().get(random.nextInt(base.halls().size())), null, null, null, null, null);
            case 1 -> new Target(null, base.destinations().get(random.nextInt(base.destinations().size())).kind(), null, null,
                    null, null);
            case 2 -> new Target(null, null, List.of(random.nextInt(base.destinationCount())), null, null, null);
            default -> new Target(null, null, null, null, null, 0.1 + Math.round(random.nextDouble() * 8) / 10.0);
        };
    }
}
