package terndyke.lab.referee;

/** A record as a client handed it in: what the rules need of it. Times are microseconds. */
public record HandedInRecord(String id, int message, int node, int grade, int tenant, String key, int destination, String mark,
        long due, long sent, long timeout, int bytes, boolean extra) { }
