package terndyke.api;

/** How a shot or a probe ended. */
public enum Ending {
    DONE, ERROR, FULL, TIMED_OUT, NOT_CONNECTED, RESET, RECALLED, NOT_SENT;

    /** True where the ending shows that the destination never ran the shot. */
    public boolean provesNotRun() {
        return this == FULL || this == NOT_CONNECTED || this == NOT_SENT;
    }
}
