package terndyke.api;

/** What the terms say of one service grade. Times are whole microseconds; stretch is the aim's multiple of the work. */
public record ServiceGrade(RepeatSemantics repeatSemantics, boolean anyEndpointDeduplicates, long deduplicationWindow, boolean inOrder, long targetTime,
        double targetWorkMultiple, long abandonTime, double payoff, double latePayoffShare) {

    /** What may happen when a record of the grade is shot twice. */
    public enum RepeatSemantics { IDEMPOTENT, DEDUPLICATED, UNREPEATABLE }
}
