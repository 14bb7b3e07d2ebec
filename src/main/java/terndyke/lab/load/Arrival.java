package terndyke.lab.load;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One record as the schedule has it, and one line of a trace: when it is due (microseconds since the day's start), of
 * which grade and tenant, its key, destination and size. Grades and tenants go by name so that a trace outlives a file.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Arrival(long due, String grade, String tenant, String key, int destination, int bytes) { }
