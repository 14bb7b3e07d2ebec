package terndyke.lab.model;

/** Who hears what the model does. */
public interface Told {
    /** An answer is due now. */
    void answer(Receiver receiver, long now, Answer answer);

    /** A call was carried out, or known as a repeat and dropped. */
    void ran(Receiver receiver, long now, Shot shot, boolean dropped);

    /** A receiver that had come back was pushed over. */
    void fell(Receiver receiver, long now);
}
