package terndyke.api;

/** How a shot or a probe ended. */
public enum Ending {
    DONE, ERROR, FULL, TIMED_OUT, NOT_CONNECTED, RESET, RECALLED, NOT_SENT,
    /** The connection was closed on its first call: the endpoint holds as many connections as it accepts. */
    CROWDED;

    /** True if the ending shows that the destination never ran the shot. */
    public boolean provesNotRun() {
        return this == FULL || this == NOT_CONNECTED || this == NOT_SENT || this == CROWDED;
    }

    /** True if no connection was established or kept, or the one in use broke. */
    public boolean breaksConnection() {
        return this == NOT_CONNECTED || this == RESET || this == CROWDED;
    }
}
