package terndyke.lab.referee;

import java.util.List;

import terndyke.lab.plan.Experiment;

/** The parameters of the six rules and the tolerances that allow for delays on the sockets. Times are in microseconds. */
public record RuleParameters(List<Grade> grades, boolean copiesAllowed, long stopSendingWithinMicros,
        long overloadWindowMicros, long keyQuietMicros, List<Boolean> independentRoutesByDestination, long toleranceMicros,
        long noticeToleranceMicros, long restartGraceMicros, long retryAfterGraceMicros, long listChangeDeadlineMicros) {

    /** The properties of a service grade that the rules use. */
    public record Grade(Experiment.RepeatSemantics repeatSemantics, boolean deduplicatedAcrossHalls,
            long deduplicationWindowMicros, boolean inOrder) { }

    /** The parameters for judging a run of the given experiment. */
    public static RuleParameters of(Experiment experiment) {
        List<Boolean> independentRoutes = new java.util.ArrayList<>();
        experiment.destinations().forEach(group -> {
            for (int i = 0; i < group.count(); i++) {
                independentRoutes.add(group.apart());
            }
        });
        return new RuleParameters(experiment.grades().stream().map(grade -> new Grade(grade.effect(), grade.everywhere(),
                grade.window().micros(), grade.inOrder())).toList(), experiment.nodes().copies(), 2_000_000, 2_000_000, 100_000,
                independentRoutes, 50_000, 300_000, 1_500_000, 100_000, 6_000_000);
    }
}
