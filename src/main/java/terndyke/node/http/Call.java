package terndyke.node.http;

import terndyke.api.Ending;

/**
 * One HTTP call, as it is sent. Headers are alternating names and values. From startDeadline on, a time of the node's clock
 * in microseconds, the call must not start.
 */
public record Call(String method, String path, String[] headers, byte[] body, long startDeadline) {

    /** A call without a start deadline. */
    public Call(String method, String path, String[] headers, byte[] body) {
        this(method, path, headers, body, Long.MAX_VALUE);
    }

    /**
     * The result of a call. Without a readable response, status is 0 and ending says why; otherwise ending is null.
     * connectionRejected is true if the response to the first call on a connection closes that connection. The defect is
     * used for logs and counters only.
     */
    public record Result(int status, Ending ending, long retryAfterMicros, boolean lineBusy, String serverLoad, byte[] body,
            boolean connectionRejected, ResponseDefect defect) {

        public Result(int status, Ending ending, long retryAfterMicros, boolean lineBusy, String serverLoad, byte[] body) {
            this(status, ending, retryAfterMicros, lineBusy, serverLoad, body, false);
        }

        public Result(int status, Ending ending, long retryAfterMicros, boolean lineBusy, String serverLoad, byte[] body,
                boolean connectionRejected) {
            this(status, ending, retryAfterMicros, lineBusy, serverLoad, body, connectionRejected, ResponseDefect.NONE);
        }

        static Result withoutResponse(Ending ending) {
            return withoutResponse(ending, 0, ResponseDefect.NONE);
        }

        static Result withoutResponse(Ending ending, long retryAfterMicros, ResponseDefect defect) {
            return new Result(0, ending, retryAfterMicros, false, null, null, false, defect);
        }
    }

    /** Called once, on the I/O thread, with the result of a call. */
    public interface ResultListener {
        void onResult(Result result);

        /**
         * Called on the I/O thread if another response than the one that delivered the call came on its connection while that was
         * idle. The first one may have been a copy of an earlier response, and this one the response to the call.
         */
        default void onDeliveryContradicted() { }
    }
}
