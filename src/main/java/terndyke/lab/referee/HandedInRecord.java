package terndyke.lab.referee;

/** The data of a record as a client handed it in, as far as the rules need it. All times are in microseconds. */
public record HandedInRecord(String id, int message, int node, int grade, int tenant, String key, int destination, String mark,
        long due, long sent, long timeout, int bytes, boolean extra) { }
