package terndyke.lab.load;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One record of the schedule, and one line of a trace: its due time (microseconds since the start of the run), grade,
 * tenant, key, destination and size. Grades and tenants are given by name, so that a trace stays valid when the experiment
 * file changes.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Arrival(long due, String grade, String tenant, String key, int destination, int bytes) { }
