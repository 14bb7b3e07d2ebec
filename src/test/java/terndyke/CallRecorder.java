package terndyke;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The calls that passed a proxy or reached an endpoint, checked against the order of their keys: while a call is out, no other
 * message of its key may be called, nor for the quiet period after one that ended without a response, and no message may be called
 * once a later one of its key has been. The id of a message is its key, a dash and its number within the key.
 */
final class CallRecorder {
    private static final long MIN_QUIET_NANOS = 100_000_000; // keyQuiet of the settings
    private static final Pattern REQUEST_ID = Pattern.compile("Request-Id: (\\S+)-(\\d+)\r");

    private final Map<String, Set<Message>> callsOut = new ConcurrentHashMap<>(); // by key
    private final Map<String, Integer> lastCalled = new ConcurrentHashMap<>(); // by key
    private final Map<String, Long> lastUnansweredEndNanos = new ConcurrentHashMap<>(); // by key
    private final Set<Message> answered = ConcurrentHashMap.newKeySet();
    private final List<String> breaches = new ArrayList<>();

    /** A message by its place in the order of its key. */
    record Message(String key, int number) {
        /** The message that a request carries, or null if it carries none. */
        static Message of(byte[] request) {
            Matcher matcher = REQUEST_ID.matcher(new String(request, StandardCharsets.ISO_8859_1));
            return matcher.find() ? new Message(matcher.group(1), Integer.parseInt(matcher.group(2))) : null;
        }

        static Message ofId(String id) {
            int dash = id.lastIndexOf('-');
            return new Message(id.substring(0, dash), Integer.parseInt(id.substring(dash + 1)));
        }

        String id() {
            return key + "-" + number;
        }
    }

    synchronized void begin(Message message) {
        Set<Message> sameKey = callsOut.computeIfAbsent(message.key(), key -> ConcurrentHashMap.newKeySet());
        sameKey.stream().filter(other -> other.number() != message.number())
                .forEach(other -> breaches.add(message.id() + " was called while the call of " + other.id() + " was out"));
        long quietNanos = System.nanoTime() - lastUnansweredEndNanos.getOrDefault(message.key(), Long.MIN_VALUE / 2);
        if (quietNanos < MIN_QUIET_NANOS && lastCalled.get(message.key()) != message.number()) {
            breaches.add(message.id() + " was called " + quietNanos / 1_000_000 + " ms after a call of its key without a response");
        }
        int last = lastCalled.merge(message.key(), message.number(), Math::max);
        if (last > message.number()) {
            breaches.add(message.id() + " was called after " + message.key() + "-" + last);
        }
        sameKey.add(message);
        notifyAll();
    }

    /** The response to a call has been sent, or its connection has ended. */
    synchronized void end(Message message, boolean wasAnswered) {
        boolean wasOut = callsOut.getOrDefault(message.key(), Set.of()).remove(message);
        if (wasAnswered) {
            answered.add(message);
        } else if (wasOut) {
            lastUnansweredEndNanos.put(message.key(), System.nanoTime());
        }
        notifyAll();
    }

    /** Waits until the message has been called, at most for the given time; returns whether it was. */
    synchronized boolean awaitCall(Message message, long millis) throws InterruptedException {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (lastCalled.getOrDefault(message.key(), -1) < message.number() && System.nanoTime() < deadline) {
            wait(10);
        }
        return lastCalled.getOrDefault(message.key(), -1) >= message.number();
    }

    /** Waits until a call of the message has been answered, at most for the given time; returns whether it was. */
    synchronized boolean awaitAnswer(Message message, long millis) throws InterruptedException {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (!answered.contains(message) && System.nanoTime() < deadline) {
            wait(10);
        }
        return answered.contains(message);
    }

    synchronized List<String> breaches() {
        return List.copyOf(breaches);
    }
}
