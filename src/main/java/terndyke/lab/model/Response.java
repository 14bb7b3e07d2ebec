package terndyke.lab.model;

/**
 * The response to a shot, and how it is written. A retryAfterMicros of 0 means no Retry-After header, a loadReport of null
 * means no Server-Load header.
 */
public record Response(Shot shot, int status, long retryAfterMicros, ResponseMode mode, double[] loadReport) {

    /** How a response is written to the connection. */
    public enum ResponseMode {
        COMPLETE, NO_RESPONSE, RESET,
        /** The status line cannot be parsed. */
        MALFORMED_STATUS_LINE,
        /** The status line can be parsed, the headers cannot. */
        MALFORMED_HEADERS, ENDLESS_BODY, DUPLICATED,
        /** Complete, and the connection is closed after it because the receiver has too many connections. */
        CONNECTION_REJECTED
    }
}
