package terndyke.node.discovery;

/**
 * Recognizes lists that are older than the one in use, as an agent of discovery sends them that has not been sent all yet. Guards
 * against endpoints that come back in the node's eyes at addresses that others have by now. If discovery has told nothing newer for
 * the whole hold time, its revisions have begun anew, and an older whole list is accepted. All times are in microseconds.
 */
final class OutdatedListFilter {
    private static final long NONE = Long.MAX_VALUE;

    private final long holdMicros;
    private long holdUntil = NONE; // set while the lists that come are older than the one in use

    OutdatedListFilter(long holdMicros) {
        this.holdMicros = holdMicros;
    }

    /** Whether a list may be applied to the one of the current revision. */
    boolean accepts(long revision, long currentRevision, boolean complete, long now) {
        boolean outdated = revision < currentRevision;
        if (outdated && holdUntil == NONE) {
            holdUntil = now + holdMicros;
        }
        boolean accepted = !outdated || complete && now >= holdUntil;
        if (accepted) {
            reset();
        }
        return accepted;
    }

    /** The time from which an older whole list is accepted; {@link Long#MAX_VALUE} unless the last list was outdated. */
    long holdUntil() {
        return holdUntil;
    }

    /** Forgets what has come so far, for another source of lists. */
    void reset() {
        holdUntil = NONE;
    }
}
