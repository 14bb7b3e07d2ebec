package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.REFUSED;
import static terndyke.ProcessTestSupport.answerPlatform;
import static terndyke.ProcessTestSupport.noticeId;
import static terndyke.ProcessTestSupport.sleep;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import terndyke.CallRecorder.Message;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/**
 * Plays random faults at random moments, from a seed: a proxy that spoils responses and delays the ends of calls, a process that is
 * stopped for up to 150 ms, killed and started again, and whose disk fails for a while. The system property soak.seeds, such as
 * 100-149, plays others than the usual few.
 */
class KeyOrderSoakProcessTest {
    private static final int DESTINATIONS = 3;
    private static final int KEYS = 6;
    private static final int PLAY_MILLIS = 4_000;
    private static final int MIN_ACCEPTED = 30;
    private static final int MAX_GAP_MILLIS = 250;
    private static final int MIN_SERVICE_MILLIS = 20;
    private static final int MAX_SERVICE_MILLIS = 160;
    private static final double REFUSED_SHARE = 0.1;
    private static final int MAX_STOP_MILLIS = 150;
    private static final int MAX_DISK_FAILURE_MILLIS = 900;
    private static final int MAX_PAUSE_BETWEEN_FAULTS_MILLIS = 400;
    private static final int RESTART_DELAY_MILLIS = 600;
    private static final long MESSAGE_TIMEOUT_MILLIS = 1_500;
    private static final long NOTICE_GRACE_MILLIS = 500;
    private static final long PLAY_TIMEOUT_SECONDS = 40;
    private static final long RESTART_GRACE_MILLIS = 1_500; // no notice is overdue sooner after a start

    private final CallRecorder calls = new CallRecorder();
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final Set<String> reportedIds = ConcurrentHashMap.newKeySet();
    private final Set<String> acceptedIds = ConcurrentHashMap.newKeySet();
    private final Set<String> unrepeatableIds = ConcurrentHashMap.newKeySet();
    private volatile TestNodeProcess node;
    private volatile boolean clientsDone;

    @TempDir
    Path folder;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1-3").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    private Response answerEvent(Request call, Random random) {
        sleep(MIN_SERVICE_MILLIS + random.nextInt(MAX_SERVICE_MILLIS - MIN_SERVICE_MILLIS));
        if (random.nextDouble() < REFUSED_SHARE) {
            return Response.complete(REFUSED);
        }
        runsById.computeIfAbsent(call.header("Request-Id"), id -> new AtomicInteger()).incrementAndGet();
        return Response.complete(OK);
    }

    private static boolean awaitEnd(ExecutorService clients) {
        try {
            clients.awaitTermination(PLAY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return true;
    }

    /** Hands in messages of one key, one after another, for the time of the play. */
    private void submitMessages(int key, Random random) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS);
        for (int number = 0; System.nanoTime() < endNanos; number++) {
            Message message = new Message("key" + key, number);
            boolean unrepeatable = random.nextBoolean();
            if (unrepeatable) {
                unrepeatableIds.add(message.id());
            }
            try {
                String answer = node.submit(unrepeatable ? "order" : "reading", message, key % DESTINATIONS, MESSAGE_TIMEOUT_MILLIS);
                if (answer.contains(" 202 ")) {
                    acceptedIds.add(message.id());
                }
            } catch (IOException e) {
                // the node is down
            }
            sleep(random.nextInt(MAX_GAP_MILLIS));
        }
    }

    /** Stops the process now and then, and once lets its disk fail and then kills it and starts it again. */
    private void injectProcessFaults(Random random, String platformAddress) throws Exception {
        int stopsBeforeKill = 1 + random.nextInt(3);
        for (int fault = 0; !clientsDone; fault++) {
            sleep(random.nextInt(MAX_PAUSE_BETWEEN_FAULTS_MILLIS));
            if (fault == stopsBeforeKill) {
                killAndRestart(random, platformAddress);
            } else {
                node.pause();
                sleep(random.nextInt(MAX_STOP_MILLIS));
                node.resume();
            }
        }
    }

    private void killAndRestart(Random random, String platformAddress) throws Exception {
        if (random.nextBoolean()) {
            node.limitFileSize(0);
            sleep(random.nextInt(MAX_DISK_FAILURE_MILLIS));
            node.limitFileSize(-1);
            sleep(random.nextInt(MAX_STOP_MILLIS));
        }
        node.kill();
        sleep(RESTART_DELAY_MILLIS);
        node = TestNodeProcess.startServing(folder, platformAddress);
    }

    private List<String> findBreaches(FaultInjectingProxy proxy) {
        List<String> breaches = new ArrayList<>(calls.breaches());
        acceptedIds.stream().filter(id -> !proxy.deliveredIds().contains(id) && !reportedIds.contains(id))
                .forEach(id -> breaches.add(id + " was neither delivered nor reported"));
        unrepeatableIds.stream().filter(id -> runsById.containsKey(id) && runsById.get(id).get() > 1)
                .forEach(id -> breaches.add(id + " ran " + runsById.get(id) + " times"));
        return breaches;
    }

    /** Guards against messages of a key out of order, lost or run twice under faults of the network, the process and the disk together. */
    @ParameterizedTest
    @MethodSource("seeds")
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void messagesOfAKeyStayInOrderWhateverFails(long seed) throws Exception {
        Random random = new Random(seed);
        Random endpointRandom = new Random(random.nextLong());
        try (RawServer endpoint = new RawServer(call -> answerEvent(call, endpointRandom));
                FaultInjectingProxy proxy = new FaultInjectingProxy(endpoint.address(), random.nextLong(), calls);
                RawServer platform = new RawServer(request -> answerPlatform(request, proxy.address(), DESTINATIONS,
                        notice -> reportedIds.add(noticeId(notice))))) {
            node = TestNodeProcess.startServing(folder, platform.address());
            ExecutorService clients = Executors.newFixedThreadPool(KEYS);
            for (int key = 0; key < KEYS; key++) {
                int keyNumber = key;
                Random clientRandom = new Random(random.nextLong());
                clients.execute(() -> submitMessages(keyNumber, clientRandom));
            }
            clients.shutdown();
            Thread clientsEnd = new Thread(() -> clientsDone = awaitEnd(clients));
            clientsEnd.start();
            injectProcessFaults(random, platform.address());
            clientsEnd.join();
            sleep(Math.max(MESSAGE_TIMEOUT_MILLIS, RESTART_GRACE_MILLIS) + NOTICE_GRACE_MILLIS);
            assertEquals(List.of(), findBreaches(proxy));
            assertTrue(acceptedIds.size() >= MIN_ACCEPTED, "only " + acceptedIds.size() + " messages were accepted");
        } finally {
            node.close();
        }
    }
}
