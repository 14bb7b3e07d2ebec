package terndyke.node.http;

/** What is wrong with the response to an outbound call, for logs and counters. */
public enum ResponseDefect {
    /** The response is complete, or complete as far as its outcome requires. */
    NONE,
    /** The connection ended before any byte of a response. */
    MISSING,
    /** The connection ended before the end of the status line. */
    CUT_IN_FIRST_LINE,
    /** The connection ended between the status line and the end of the headers. */
    CUT_IN_HEAD,
    /** The connection ended, or the response grew too large, before the end of the body. */
    CUT_IN_BODY,
    /** The bytes received cannot be parsed as a response. */
    UNREADABLE,
    /** The rest of the response did not arrive before the read timeout. */
    STALLED,
    /** The response may be a second copy of one that came on its connection just before. */
    POSSIBLE_COPY,
    /** The response came before the request was written to its end, so that it belongs to another call. */
    PREMATURE
}
