package terndyke.node.http;

/** How an answer to one of the node's own calls fell short of a whole one, for the log. */
public enum ResponseDefect {
    /** The answer is whole, or whole as far as it counts. */
    NONE,
    /** Nothing of an answer came before the connection ended. */
    MISSING,
    /** The connection ended before the end of the first line. */
    CUT_IN_FIRST_LINE,
    /** The connection ended between the first line and the end of the headers. */
    CUT_IN_HEAD,
    /** The connection ended, or the answer grew too large, before the end of the body. */
    CUT_IN_BODY,
    /** What came cannot be read as an answer. */
    UNREADABLE,
    /** The rest of the answer did not come in time. */
    STALLED
}
