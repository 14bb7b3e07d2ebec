package terndyke.api;

/** How a shot or a probe ended. */
public enum Ending {
    DONE, ERROR, FULL, TIMED_OUT, NOT_CONNECTED, RESET, RECALLED, NOT_SENT;

    /** True where the ending shows that the destination never ran the shot. */
    public boolean provesNotRun() {
        return this == FULL || this == NOT_CONNECTED || this == NOT_SENT;
    }

    /** True where no connection came up, or the one in use broke. */
    public boolean breaksConnection() {
        return this == NOT_CONNECTED || this == RESET;
    }
}
