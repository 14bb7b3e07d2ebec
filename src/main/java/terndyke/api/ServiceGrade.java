package terndyke.api;

/**
 * The settings of one service grade. Times are whole microseconds; targetWorkMultiple times a record's work hint is added
 * to its target time.
 */
public record ServiceGrade(RepeatSemantics repeatSemantics, boolean anyEndpointDeduplicates, long deduplicationWindow,
        boolean inOrder, long targetTime, double targetWorkMultiple, long abandonTime, double payoff, double latePayoffShare) {

    /** What may happen if a record of the grade is sent twice. */
    public enum RepeatSemantics { IDEMPOTENT, DEDUPLICATED, UNREPEATABLE }
}
