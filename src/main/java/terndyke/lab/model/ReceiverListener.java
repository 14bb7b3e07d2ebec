package terndyke.lab.model;

/** Callbacks of the receiver model. Times are microseconds. */
public interface ReceiverListener {
    /** A response is due at the given time. */
    void onResponse(Receiver receiver, long now, Response response);

    /** A call was executed, or recognized as a duplicate and dropped. */
    void onExecuted(Receiver receiver, long now, Shot shot, boolean duplicate);

    /** A receiver that was recovering from an outage was overloaded and went down. */
    void onCollapse(Receiver receiver, long now);
}
