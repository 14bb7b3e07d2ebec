package terndyke;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/**
 * Messages that a node has taken on, with their deliveries and notices, checked against the rule on lost messages: each is delivered or ended
 * by a notice 300 ms after its time is up, or 1.5 s after the node is ready again where a restart lies in between.
 */
final class FinalAnswerRecorder {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NOTICE_GRACE_MILLIS = 350; // 300 ms, and the 50 ms by which each limit is longer on sockets
    private static final long RESTART_GRACE_MILLIS = 1_550;

    private final Map<String, Submission> submissions = new ConcurrentHashMap<>();
    private final Map<String, Long> firstNotices = new ConcurrentHashMap<>();
    private final Map<String, Long> firstDeliveries = new ConcurrentHashMap<>();
    private final Map<String, Integer> calls = new ConcurrentHashMap<>();
    private final List<Restart> restarts = new CopyOnWriteArrayList<>();
    private volatile long downNanos = Long.MIN_VALUE;

    private record Submission(long handedInNanos, long timeoutMillis) {
        private long endNanos() {
            return handedInNanos + timeoutMillis * NANOS_PER_MILLI;
        }
    }

    /** Hands a message in; notes it if it is taken on, and returns whether it is. */
    boolean submit(TestNodeProcess node, String grade, String id, int destination, long timeoutMillis) throws IOException {
        return note(id, System.nanoTime(), timeoutMillis, node.submit(grade, id, destination, timeoutMillis));
    }

    /** Hands a message in that is kept in order with the others of its key. */
    boolean submit(TestNodeProcess node, String grade, Message message, int destination, long timeoutMillis) throws IOException {
        return note(message.id(), System.nanoTime(), timeoutMillis, node.submit(grade, message, destination, timeoutMillis));
    }

    /** Hands a message in through a client; notes it if it is taken on, and returns what the client sees. */
    PersistentClient.Outcome submit(PersistentClient client, int port, String grade, String id, int destination, long timeoutMillis) {
        return submit(client, port, grade, id, "", destination, timeoutMillis);
    }

    /** The same for a message with a key, which may be empty. */
    PersistentClient.Outcome submit(PersistentClient client, int port, String grade, String id, String key, int destination,
            long timeoutMillis) {
        long handedInNanos = System.nanoTime();
        PersistentClient.Outcome outcome = client.submit(port, TestNodeProcess.requestText(grade, id, key, destination, timeoutMillis));
        if (outcome == PersistentClient.Outcome.TAKEN) {
            submissions.put(id, new Submission(handedInNanos, timeoutMillis));
        }
        return outcome;
    }

    /** Hands a message with a body of the given size in; notes it if it is taken on. */
    void submitLarge(TestNodeProcess node, String grade, String id, int destination, long timeoutMillis, int bodyBytes) throws IOException {
        String request = TestNodeProcess.requestText(grade, id, destination, timeoutMillis).replace("Content-Length: " + ("body of " + id).length(),
                "Content-Length: " + bodyBytes).replace("body of " + id, "b".repeat(bodyBytes));
        note(id, System.nanoTime(), timeoutMillis, node.sendRaw(request, false));
    }

    private boolean note(String id, long handedInNanos, long timeoutMillis, String answer) {
        boolean taken = answer.contains(" 202 ");
        if (taken) {
            submissions.put(id, new Submission(handedInNanos, timeoutMillis));
        }
        return taken;
    }

    /** A restart: no notice is overdue from the signal until some time after the node is ready again. */
    private record Restart(long downNanos, long readyNanos) {
        private boolean covers(long nanos) {
            return nanos >= downNanos && nanos < graceEndNanos();
        }

        private long graceEndNanos() {
            return readyNanos + RESTART_GRACE_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** The node is about to get a signal that ends it. */
    void noteDown() {
        downNanos = System.nanoTime();
    }

    /** The node serves again after a restart. */
    void noteReadyAgain() {
        restarts.add(new Restart(downNanos, System.nanoTime()));
    }

    /** A call of the message has reached an endpoint. */
    void noteCall(String id) {
        calls.merge(id, 1, Integer::sum);
    }

    /** An endpoint is about to answer the message's call with 200. */
    void noteDelivery(String id) {
        firstDeliveries.putIfAbsent(id, System.nanoTime());
    }

    /** Answers as the platform: the list has the given number of destinations at one endpoint, and notices are noted. */
    Response answerPlatform(Request request, String endpointAddress, int destinations) {
        return ProcessTestSupport.answerPlatform(request, endpointAddress, destinations,
                notice -> firstNotices.putIfAbsent(ProcessTestSupport.noticeId(notice), System.nanoTime()));
    }

    int takenCount() {
        return submissions.size();
    }

    int deliveredCount() {
        return firstDeliveries.size();
    }

    int noticeCount() {
        return firstNotices.size();
    }

    /** How often endpoints were called for the message. */
    int callCount(String id) {
        return calls.getOrDefault(id, 0);
    }

    /** True if the message has been delivered, or ended by a notice. */
    boolean isOver(String id) {
        return firstDeliveries.containsKey(id) || firstNotices.containsKey(id);
    }

    boolean isDelivered(String id) {
        return firstDeliveries.containsKey(id);
    }

    /** The messages that were ended by a notice while more than the given part of their time was left. */
    List<String> endedEarly(double timeLeftShare) {
        List<String> early = new ArrayList<>();
        submissions.forEach((id, submission) -> {
            Long notice = firstNotices.get(id);
            if (notice != null && notice < submission.endNanos()
                    - (long) (timeLeftShare * submission.timeoutMillis() * NANOS_PER_MILLI)) {
                early.add(id + " " + (submission.endNanos() - notice) / NANOS_PER_MILLI + " ms before its end");
            }
        });
        return early;
    }

    /** Waits until each message has its final answer or is lost. */
    void awaitEnds() throws InterruptedException {
        for (Submission submission : submissions.values()) {
            long restNanos = dueNanos(submission) - System.nanoTime();
            Thread.sleep(Math.max(0, restNanos / NANOS_PER_MILLI + 1));
        }
    }

    private long dueNanos(Submission submission) {
        long dueNanos = submission.endNanos() + NOTICE_GRACE_MILLIS * NANOS_PER_MILLI;
        for (Restart restart : restarts) {
            dueNanos = restart.covers(dueNanos) ? restart.graceEndNanos() : dueNanos;
        }
        return dueNanos;
    }

    /** The messages that are lost, each with how late its notice came. */
    List<String> lost() {
        List<String> lost = new ArrayList<>();
        submissions.forEach((id, submission) -> {
            long answered = Math.min(firstNotices.getOrDefault(id, Long.MAX_VALUE), firstDeliveries.getOrDefault(id, Long.MAX_VALUE));
            if (answered > dueNanos(submission)) {
                lost.add(id + (answered == Long.MAX_VALUE ? " never"
                        : " " + (answered - submission.endNanos()) / NANOS_PER_MILLI + " ms after its time"));
            }
        });
        return lost;
    }
}
