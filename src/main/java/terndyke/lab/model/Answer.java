package terndyke.lab.model;

/** What goes back for a shot, and how: a wait of 0 is none told, a report of null is none given. */
public record Answer(Shot shot, int status, long toldWait, Manner manner, double[] report) {

    /** How an answer is written. */
    public enum Manner {
        WHOLE, NOTHING, RESET,
        /** The first line itself cannot be read. */
        SPOILT_LINE,
        /** The first line reads, what follows does not. */
        SPOILT_REST, ENDLESS, DOUBLED,
        /** Whole, and the connection is closed behind it: there are too many. */
        SHUT_OUT
    }
}
