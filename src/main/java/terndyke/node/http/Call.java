package terndyke.node.http;

import terndyke.api.Ending;

/** One call on an endpoint, in the form in which it goes out, and by when on the node's clock its first byte may leave. */
public record Call(String method, String path, String[] headers, byte[] body, long startDeadline) {

    /** A call that may start whenever its connection is up. */
    public Call(String method, String path, String[] headers, byte[] body) {
        this(method, path, headers, body, Long.MAX_VALUE);
    }

    /**
     * What came back. Status is 0 and ending says why where there was no readable answer; shutOut is true where the
     * answer to a connection's first call was that it is closed again. The flaw is for the log alone.
     */
    public record Result(int status, Ending ending, long retryAfterMicros, boolean lineBusy, String serverLoad, byte[] body,
            boolean connectionRejected, ResponseDefect defect) {

        public Result(int status, Ending ending, long waitTold, boolean lineBusy, String load, byte[] body) {
            this(status, ending, waitTold, lineBusy, load, body, false);
        }

        public Result(int status, Ending ending, long waitTold, boolean lineBusy, String load, byte[] body,
                boolean shutOut) {
            this(status, ending, waitTold, lineBusy, load, body, shutOut, ResponseDefect.NONE);
        }

        static Result withoutResponse(Ending ending) {
            return withoutResponse(ending, 0, ResponseDefect.NONE);
        }

        static Result withoutResponse(Ending ending, long waitTold, ResponseDefect flaw) {
            return new Result(0, ending, waitTold, false, null, null, false, flaw);
        }
    }

    /** Called once on the I/O thread with the result. */
    public interface ResultListener {
        void onResult(Result result);
    }
}
