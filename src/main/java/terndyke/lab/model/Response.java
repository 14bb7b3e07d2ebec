package terndyke.lab.model;

/** What goes back for a shot, and how: a wait of 0 is none told, a report of null is none given. */
public record Response(Shot shot, int status, long retryAfterMicros, ResponseMode mode, double[] loadReport) {

    /** How an answer is written. */
    public enum ResponseMode {
        COMPLETE, NO_RESPONSE, RESET,
        /** The first line itself cannot be read. */
        MALFORMED_STATUS_LINE,
        /** The first line reads, what follows does not. */
        MALFORMED_HEADERS, ENDLESS_BODY, DUPLICATED,
        /** Whole, and the connection is closed behind it: there are too many. */
        CONNECTION_REJECTED
    }
}
