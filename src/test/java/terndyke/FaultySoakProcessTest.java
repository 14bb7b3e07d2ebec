package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.FAILED;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.REFUSED;
import static terndyke.ProcessTestSupport.noticeId;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
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

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/**
 * Plays random faults between a node process and its endpoints and platform, from a seed. The system property soak.seeds, such as
 * 100-149, plays others than the usual few.
 */
class FaultySoakProcessTest {
    private static final int DESTINATIONS = 6;
    private static final int MESSAGES = 150;
    private static final int MAX_GAP_MILLIS = 30;
    private static final int MIN_SERVICE_MILLIS = 20;
    private static final int MAX_SERVICE_MILLIS = 100;
    private static final double REFUSED_SHARE = 0.1;
    private static final double FAILED_SHARE = 0.05;
    private static final long MESSAGE_TIMEOUT_MILLIS = 3_000;
    private static final long NOTICE_GRACE_MILLIS = 500;

    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final Map<String, String> noticesById = new ConcurrentHashMap<>();

    @TempDir
    Path folder;

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1-3").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    private Response answerPlatform(Request request, String endpointAddress, Random random) {
        if (request.path().equals("/v2/finals") && random.nextDouble() < REFUSED_SHARE) {
            return Response.complete(REFUSED);
        }
        return ProcessTestSupport.answerPlatform(request, endpointAddress, DESTINATIONS,
                notice -> noticesById.put(noticeId(notice), notice.split("\"")[7]));
    }

    private Response answerEvent(Request call, Random random) {
        sleep(MIN_SERVICE_MILLIS + random.nextInt(MAX_SERVICE_MILLIS - MIN_SERVICE_MILLIS));
        double drawn = random.nextDouble();
        if (drawn < REFUSED_SHARE) {
            return Response.complete(REFUSED);
        }
        runsById.computeIfAbsent(call.header("Request-Id"), id -> new AtomicInteger()).incrementAndGet();
        return Response.complete(drawn < REFUSED_SHARE + FAILED_SHARE ? FAILED : OK);
    }

    /** Submits messages at random moments; returns the grades of the accepted ones by id. */
    private static Map<String, String> submitMessages(TestNodeProcess node, Random random) throws InterruptedException {
        Map<String, String> accepted = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(DESTINATIONS);
        for (int i = 0; i < MESSAGES; i++) {
            String grade = random.nextBoolean() ? "payment" : "status";
            String id = grade + i;
            int destination = random.nextInt(DESTINATIONS);
            clients.submit(() -> {
                if (node.submit(grade, id, destination, MESSAGE_TIMEOUT_MILLIS).contains(" 202 ")) {
                    accepted.put(id, grade);
                }
                return null;
            });
            sleep(random.nextInt(MAX_GAP_MILLIS));
        }
        clients.shutdown();
        assertTrue(clients.awaitTermination(10, TimeUnit.SECONDS));
        return accepted;
    }

    private List<String> findBreaches(Map<String, String> accepted, FaultInjectingProxy proxy) {
        List<String> breaches = new ArrayList<>();
        accepted.forEach((id, grade) -> {
            if (!proxy.deliveredIds().contains(id) && !noticesById.containsKey(id)) {
                breaches.add(id + " was neither delivered nor reported");
            }
            if (grade.equals("payment") && runsById.containsKey(id)) {
                if (runsById.get(id).get() > 1) {
                    breaches.add(id + " ran " + runsById.get(id) + " times");
                }
                if ("bounced".equals(noticesById.get(id))) {
                    breaches.add(id + " ran and was handed back");
                }
            }
        });
        return breaches;
    }

    /** Guards against lost and repeated messages where a proxy repeats, delays, splits, cuts or drops responses. */
    @ParameterizedTest
    @MethodSource("seeds")
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void eachMessageEndsOnceWhateverAProxyDoesToResponses(long seed) throws Exception {
        Random random = new Random(seed);
        Random endpointRandom = new Random(random.nextLong());
        Random platformRandom = new Random(random.nextLong());
        try (RawServer endpoint = new RawServer(call -> answerEvent(call, endpointRandom));
                FaultInjectingProxy endpointProxy = new FaultInjectingProxy(endpoint.address(), random.nextLong());
                RawServer platform = new RawServer(request -> answerPlatform(request, endpointProxy.address(), platformRandom));
                FaultInjectingProxy platformProxy = new FaultInjectingProxy(platform.address(), random.nextLong());
                TestNodeProcess node = TestNodeProcess.startServing(folder, platformProxy.address())) {
            Map<String, String> accepted = submitMessages(node, random);
            sleep(MESSAGE_TIMEOUT_MILLIS + NOTICE_GRACE_MILLIS);
            assertEquals(List.of(), findBreaches(accepted, endpointProxy));
            assertTrue(accepted.size() > MESSAGES / 3, "only " + accepted.size() + " messages were accepted");
        }
    }
}
