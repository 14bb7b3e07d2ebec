package terndyke;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import terndyke.PersistentClient.Outcome;

/** Sound clients beside others that are not: each submits a message at intervals, always on a new connection. */
final class UsualClients {
    static final long MESSAGE_TIMEOUT_MILLIS = 5_000;
    private static final int COUNT = 4;
    private static final long MESSAGE_INTERVAL_MILLIS = 50;

    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private final Set<String> taken = ConcurrentHashMap.newKeySet();
    private final List<Thread> threads = new ArrayList<>();

    /** Starts the clients, which stop once the condition is false. */
    static UsualClients start(int port, BooleanSupplier goesOn) {
        UsualClients clients = new UsualClients();
        for (int i = 0; i < COUNT; i++) {
            String name = "usual-" + i;
            clients.threads.add(new Thread(() -> clients.submitMessages(port, name, goesOn), name));
        }
        clients.threads.forEach(Thread::start);
        return clients;
    }

    private void submitMessages(int port, String name, BooleanSupplier goesOn) {
        for (int i = 0; goesOn.getAsBoolean(); i++) {
            String id = name + "-" + i;
            try (PersistentClient client = new PersistentClient()) {
                Outcome outcome = client.submit(port, TestNodeProcess.requestText("status", id, 0, MESSAGE_TIMEOUT_MILLIS));
                synchronized (outcomes) {
                    outcomes.merge(outcome, 1, Integer::sum);
                }
                if (outcome == Outcome.TAKEN) {
                    taken.add(id);
                }
            }
            ProcessTestSupport.sleep(MESSAGE_INTERVAL_MILLIS);
        }
    }

    void awaitEnd() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** How many messages had the outcome. */
    int count(Outcome outcome) {
        synchronized (outcomes) {
            return outcomes.getOrDefault(outcome, 0);
        }
    }

    int submittedCount() {
        synchronized (outcomes) {
            return outcomes.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** The ids of the messages that were taken on. */
    Set<String> taken() {
        return taken;
    }

    @Override
    public String toString() {
        synchronized (outcomes) {
            return outcomes.toString();
        }
    }
}
