package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.REFUSED;
import static terndyke.ProcessTestSupport.sleep;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import terndyke.CallRecorder.Message;
import terndyke.PersistentClient.Outcome;
import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/**
 * Plays random faults of the system at random moments, from a seed: system calls that fail, a state folder that fails, steps of the wall
 * clock, silent endpoints, unanswered notices, signals one after another, restarts into the faults, a crowd of idle clients. The system
 * property soak.seeds, such as 100-149, plays others than the usual few.
 */
class SystemFaultSoakProcessTest {
    private static final int DESTINATIONS = 5;
    private static final int PLAY_MILLIS = 8_000;
    private static final int MIN_ACCEPTED = 60;
    private static final int MIN_TIMEOUT_MILLIS = 1_500;
    private static final int MAX_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_GAP_MILLIS = 60;
    private static final int MIN_SERVICE_MILLIS = 10;
    private static final int MAX_SERVICE_MILLIS = 80;
    private static final double REFUSED_SHARE = 0.05;
    private static final double UNANSWERED_NOTICES = 0.3;
    private static final int MIN_FAULT_MILLIS = 200;
    private static final int MAX_FAULT_MILLIS = 1_500;
    private static final int MAX_PAUSE_MILLIS = 400;
    private static final int MAX_STOP_MILLIS = 150;
    private static final int DOWN_MILLIS = 600;
    private static final int CROWD = 60;
    private static final long[] CLOCK_STEPS_MILLIS = {-3_600_000, -5_000, 5_000, 3_600_000};
    private static final List<String> GRADES = List.of("payment", "status", "order", "reading", "supply"); // the last three in order
    private static final int FIRST_ORDERED_GRADE = 2;
    private static final List<SystemFault> FAULTS = List.of(
            new SystemFault(Operation.SOCKET, SystemError.ENFILE, 1000), new SystemFault(Operation.SOCKET, SystemError.ENOBUFS, 1000),
            new SystemFault(Operation.CONNECT, SystemError.EADDRNOTAVAIL, 1000), new SystemFault(Operation.CONNECT, SystemError.ETIMEDOUT, 500),
            new SystemFault(Operation.CONNECT, SystemError.EINTR, 500), new SystemFault(Operation.ACCEPT, SystemError.ENFILE, 1000),
            new SystemFault(Operation.ACCEPT, SystemError.ECONNABORTED, 500), new SystemFault(Operation.SOCKET_READ, SystemError.EINTR, 300),
            new SystemFault(Operation.SOCKET_READ, SystemError.SHORT_COUNT, 500),
            new SystemFault(Operation.SOCKET_WRITE, SystemError.SHORT_COUNT, 500),
            new SystemFault(Operation.SOCKET_WRITE, SystemError.ENOBUFS, 300), new SystemFault(Operation.FILE_WRITE, SystemError.EIO, 1000),
            new SystemFault(Operation.FILE_WRITE, SystemError.ENOSPC, 1000), new SystemFault(Operation.FILE_WRITE, SystemError.ENOSPC, 300),
            new SystemFault(Operation.FILE_OPEN, SystemError.EIO, 1000), new SystemFault(Operation.FILE_TRUNCATE, SystemError.EIO, 1000),
            new SystemFault(Operation.FILE_READ, SystemError.EIO, 1000), new SystemFault(Operation.FILE_RENAME, SystemError.EIO, 1000));

    private final FinalAnswerRecorder answers = new FinalAnswerRecorder();
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final Map<String, List<Message>> acceptedByKey = new ConcurrentHashMap<>();
    private final List<String> breaches = new CopyOnWriteArrayList<>();
    private final List<String> faultLog = new CopyOnWriteArrayList<>();
    private final List<String> earlierLogLines = new CopyOnWriteArrayList<>(); // of processes that have ended
    private final long startNanos = System.nanoTime();
    private SystemFaultShim shim;
    private volatile TestNodeProcess node;
    private volatile boolean nodeMayBeDown;
    private volatile boolean playing = true;
    private volatile int silentDestination = -1;
    private volatile boolean noticesDisturbed;

    @TempDir
    Path folder;

    private record SystemFault(Operation operation, SystemError error, int perMille) { }

    static LongStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1-3").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    private Response answerEvent(Request call, Random random) {
        String id = call.header("Request-Id");
        int destination = Character.digit(id.charAt(0), 10);
        int serviceMillis;
        boolean refused;
        synchronized (random) {
            serviceMillis = MIN_SERVICE_MILLIS + random.nextInt(MAX_SERVICE_MILLIS - MIN_SERVICE_MILLIS);
            refused = random.nextDouble() < REFUSED_SHARE;
        }
        if (refused) {
            return Response.complete(REFUSED);
        }
        noteRun(id);
        sleep(serviceMillis);
        if (destination == silentDestination) {
            return Response.NO_RESPONSE;
        }
        answers.noteDelivery(id);
        return Response.complete(OK);
    }

    /** An endpoint has a whole call: its effect happens, and all messages before it in its key's order must be over. */
    private void noteRun(String id) {
        int runs = runsById.computeIfAbsent(id, any -> new AtomicInteger()).incrementAndGet();
        if (runs > 1 && (id.contains("payment") || id.contains("order"))) {
            breaches.add(id + " ran " + runs + " times" + at());
        }
        Message message = id.contains("-") ? Message.ofId(id) : null;
        if (message != null) {
            acceptedByKey.getOrDefault(message.key(), List.of()).stream()
                    .filter(earlier -> earlier.number() < message.number() && !answers.isOver(earlier.id()))
                    .forEach(earlier -> breaches.add(id + " was called before " + earlier.id() + " was over" + at()));
        }
    }

    private String at() {
        return " at " + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private Response answerPlatform(Request request, RawServer endpoint, Random random) {
        synchronized (random) {
            if (request.path().equals("/v2/finals") && noticesDisturbed && random.nextDouble() < UNANSWERED_NOTICES) {
                return Response.NO_RESPONSE;
            }
        }
        return answers.answerPlatform(request, endpoint.address(), DESTINATIONS);
    }

    /** Hands in messages of one grade for one destination, one after another. */
    private void submitMessages(int destination, String grade, Random random) {
        String key = destination + grade;
        boolean ordered = GRADES.indexOf(grade) >= FIRST_ORDERED_GRADE;
        PersistentClient client = new PersistentClient();
        for (int number = 0; playing; number++) {
            Message message = new Message(key, number);
            String id = ordered ? message.id() : key + "+" + number;
            long timeoutMillis = MIN_TIMEOUT_MILLIS + random.nextInt(MAX_TIMEOUT_MILLIS - MIN_TIMEOUT_MILLIS);
            boolean mayBeDown = nodeMayBeDown;
            Outcome outcome = answers.submit(client, node.port(), grade, id, ordered ? key : "", destination, timeoutMillis);
            if (outcome == Outcome.TAKEN && ordered) {
                acceptedByKey.computeIfAbsent(key, any -> new CopyOnWriteArrayList<>()).add(message);
            } else if (outcome == Outcome.CLOSED_UNANSWERED && !mayBeDown && !nodeMayBeDown) {
                breaches.add(id + " was closed unanswered" + at());
            }
            sleep(random.nextInt(MAX_GAP_MILLIS));
        }
        client.close();
    }

    /** Connects clients that say nothing, again and again as the node closes them. */
    private void crowd() {
        List<Socket> crowd = new ArrayList<>();
        while (playing) {
            try {
                crowd.add(new Socket(InetAddress.getLoopbackAddress(), node.port()));
                if (crowd.size() > CROWD) {
                    crowd.remove(0).close();
                }
            } catch (IOException e) {
                sleep(MAX_PAUSE_MILLIS); // the node is down
            }
            sleep(MAX_PAUSE_MILLIS / 20);
        }
    }

    private void injectFaults(Random random) throws Exception {
        while (playing) {
            sleep(random.nextInt(MAX_PAUSE_MILLIS));
            int drawn = random.nextInt(12);
            if (drawn == 0) {
                restart(random, true);
            } else if (drawn == 1) {
                restart(random, false);
            } else if (drawn <= 3) {
                long offset = CLOCK_STEPS_MILLIS[random.nextInt(CLOCK_STEPS_MILLIS.length)];
                log("wall clock offset " + offset);
                shim.setWallClockOffset(offset);
            } else if (drawn == 4) {
                node.pause();
                sleep(random.nextInt(MAX_STOP_MILLIS));
                node.resume();
            } else if (drawn == 5) {
                node.sendHangup();
            } else {
                failForAWhile(random);
            }
            silentDestination = random.nextInt(3 * DESTINATIONS);
            noticesDisturbed = random.nextInt(3) == 0;
        }
    }

    private String describe(long seed) {
        return "seed " + seed + "\nfaults:\n" + String.join("\n", faultLog) + "\nlog:\n" + String.join("\n", earlierLogLines) + "\n"
                + String.join("\n", node.logLines()) + "\n";
    }

    private void log(String text) {
        faultLog.add(text + at());
    }

    private void beginFault(Random random) {
        SystemFault fault = FAULTS.get(random.nextInt(FAULTS.size()));
        log(fault.toString());
        shim.fail(fault.operation(), fault.error(), fault.perMille());
    }

    private void failForAWhile(Random random) {
        beginFault(random);
        if (random.nextInt(3) == 0) {
            beginFault(random);
        }
        sleep(MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS));
        shim.restoreAll();
        log("restored");
    }

    /** Ends the process by SIGKILL, or by SIGTERM and time to leave, sometimes while calls fail, and starts it again, sometimes into a fault. */
    private void restart(Random random, boolean kill) throws Exception {
        if (random.nextBoolean()) {
            beginFault(random);
            sleep(random.nextInt(MAX_FAULT_MILLIS));
        }
        nodeMayBeDown = true;
        earlierLogLines.addAll(node.logLines());
        answers.noteDown();
        log(kill ? "kill" : "terminate");
        if (kill) {
            node.kill();
        } else {
            node.terminate();
        }
        sleep(DOWN_MILLIS);
        boolean faultyStart = random.nextInt(3) == 0;
        if (!faultyStart) {
            shim.restoreAll();
        }
        TestNodeProcess restarted = TestNodeProcess.start(folder, shim.shellPrefix(), folder.resolve("config.json"), node.address());
        sleep(random.nextInt(MAX_FAULT_MILLIS));
        shim.restoreAll();
        restarted.awaitLog("serving on");
        node = restarted;
        answers.noteReadyAgain();
        log("ready");
        sleep(PersistentClient.ANSWER_TIMEOUT_MILLIS); // requests that were on their way to the old process
        nodeMayBeDown = false;
    }

    private List<Thread> startClients(Random random, boolean crowded) {
        List<Thread> threads = new ArrayList<>();
        for (int destination = 0; destination < DESTINATIONS; destination++) {
            for (String grade : GRADES) {
                Random clientRandom = new Random(random.nextLong());
                int clientDestination = destination;
                threads.add(new Thread(() -> submitMessages(clientDestination, grade, clientRandom)));
            }
        }
        if (crowded) {
            threads.add(new Thread(this::crowd));
        }
        threads.forEach(Thread::start);
        return threads;
    }

    /** Guards against lost, repeated or overtaken messages, unanswered requests and crashes under faults of the system together. */
    @ParameterizedTest
    @MethodSource("seeds")
    @Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void eachMessageGetsItsFinalAnswerWhateverTheSystemDoes(long seed) throws Exception {
        Random random = new Random(seed);
        Random serverRandom = new Random(random.nextLong());
        shim = SystemFaultShim.build(folder, folder.resolve("state"));
        try (RawServer endpoint = new RawServer(call -> answerEvent(call, serverRandom));
                RawServer platform = new RawServer(request -> answerPlatform(request, endpoint, serverRandom))) {
            node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address());
            List<Thread> clients = startClients(random, random.nextInt(4) == 0);
            Thread playEnd = new Thread(() -> {
                sleep(PLAY_MILLIS);
                playing = false;
            });
            playEnd.start();
            injectFaults(random);
            shim.restoreAll();
            for (Thread client : clients) {
                client.join();
            }
            answers.awaitEnds();
            answers.lost().forEach(lost -> breaches.add(lost + ", lost"));
            assertEquals(List.of(), List.copyOf(breaches), () -> describe(seed));
            assertTrue(node.isAlive(), () -> "the node has ended: " + describe(seed));
            assertTrue(answers.takenCount() >= MIN_ACCEPTED, "only " + answers.takenCount() + " messages were accepted");
        } finally {
            node.close();
        }
    }
}
