package terndyke.api;

/** What the terms say of one service grade. Times are whole microseconds; stretch is the aim's multiple of the work. */
public record ServiceGrade(Effect effect, boolean anyEndpointDeduplicates, long memory, boolean inOrder, long target,
        double stretch, long abandon, double payoff, double lateShare) {

    /** What may happen when a record of the grade is shot twice. */
    public enum Effect { IDEMPOTENT, DEDUPLICATED, UNREPEATABLE }
}
