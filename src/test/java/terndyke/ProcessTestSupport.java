package terndyke;

import java.util.function.Consumer;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** What the tests with node processes share: responses, and the platform with discovery and notices. */
final class ProcessTestSupport {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    static final String REFUSED = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    static final String FAILED = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n";

    private ProcessTestSupport() { }

    /**
     * Answers as the platform: notices are accepted, and each is passed on as its line; the list has the given number of
     * destinations at one endpoint; a watch stays unanswered.
     */
    static Response answerPlatform(Request request, String endpointAddress, int destinations, Consumer<String> notices) {
        if (request.path().equals("/v2/finals")) {
            request.body().lines().forEach(notices);
            return Response.complete(NO_CONTENT);
        }
        return request.path().contains("after=") ? Response.NO_RESPONSE
                : Response.json(TestNodeProcess.listJson(endpointAddress, destinations));
    }

    /** The id of the message that a notice is about. */
    static String noticeId(String notice) {
        return notice.split("\"")[3];
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
