package terndyke.lab.model;

/** Who hears what the model does. */
public interface ReceiverListener {
    /** An answer is due now. */
    void onResponse(Receiver receiver, long now, Response answer);

    /** A call was carried out, or known as a repeat and dropped. */
    void onExecuted(Receiver receiver, long now, Shot shot, boolean dropped);

    /** A receiver that had come back was pushed over. */
    void onCollapse(Receiver receiver, long now);
}
