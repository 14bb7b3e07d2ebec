package terndyke.node.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.CancelledKeyException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.NodeClock;
import terndyke.node.NodeConfiguration;
import terndyke.node.NodeFixtures;
import terndyke.node.NodeLog;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.ClientRequest;
import terndyke.node.http.Reactor;
import terndyke.node.journal.Journal;

/** What the decision loop does where a step of it fails, and races between its end and the I/O thread, which adds requests to its queue. */
class DecisionLoopTest {
    private static final int MESSAGES = 5;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final String LIST = "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:1\","
            + "\"az\":\"east\",\"model\":\"a\",\"pod_group\":3,\"state\":\"active\",\"capacity_hint\":50,\"boot_ms\":0}]}";

    @TempDir
    Path folder;

    /** The I/O thread sees the loop running, but adds its request only after the loop has checked the queue for the last time. */
    @Test
    void aRequestAddedAfterTheFinalQueueCheckIsNotAccepted() throws Exception {
        CountDownLatch requestBeingAdded = new CountDownLatch(1);
        CountDownLatch loopEnded = new CountDownLatch(1);
        LinkedBlockingQueue<LoopEvent> eventQueue = new LinkedBlockingQueue<>() {
            @Override
            public boolean add(LoopEvent event) {
                if (event instanceof LoopEvent.RequestReceived) {
                    requestBeingAdded.countDown();
                    try {
                        loopEnded.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
                return super.add(event);
            }
        };
        List<String> answers = Collections.synchronizedList(new ArrayList<>());
        ClientRequest.Responder responder = responder(answers);
        Counters counters = new Counters();
        try (ServerSocket silentDiscovery = new ServerSocket(0)) {
            NodeConfiguration configuration = NodeFixtures.configuration(folder,
                    new InetSocketAddress("127.0.0.1", silentDiscovery.getLocalPort()));
            Reactor reactor = new Reactor(configuration.limits(), counters, NodeFixtures.NO_LOG, (threadName, cause) -> { });
            reactor.start();
            RecordStore recordStore = new RecordStore(
                    Journal.open(folder, configuration.limits().maxJournalBytes(), NodeFixtures.NO_LOG, new ArrayList<>()),
                    configuration.limits(), counters, NodeFixtures.NO_LOG);
            DecisionLoop decisionLoop = new DecisionLoop(configuration, reactor,
                    new EndpointRegistry(configuration.zoneNames(), configuration.endpointKinds()), recordStore, new NodeClock(),
                    counters, NodeFixtures.NO_LOG, eventQueue);
            Thread thread = new Thread(decisionLoop);
            thread.start();
            CompletableFuture<Boolean> accepted = new CompletableFuture<>();
            new Thread(() -> accepted.complete(decisionLoop.offerRequest(new ClientRequest("r-1", 0, 0, 0, 3, null, 4_000_000,
                    false, false, new byte[0], new NodeClock().now(), responder)))).start();
            requestBeingAdded.await();
            decisionLoop.post(new LoopEvent.ShutdownRequested());
            thread.join(30_000);
            loopEnded.countDown();
            assertFalse(accepted.get(30, TimeUnit.SECONDS),
                    "offerRequest must report the request as not accepted: the ended loop will not answer it");
            assertEquals(List.of(), answers);
            reactor.close();
        }
    }

    /** A loop with one endpoint of destination 3 that refuses connections, whose log throws at the first line with the given text. */
    private Thread startLoop(ServerSocket silentDiscovery, String failingLogText, Counters counters, CompletableFuture<DecisionLoop> started)
            throws Exception {
        AtomicBoolean thrown = new AtomicBoolean();
        NodeLog log = new NodeLog(new PrintStream(PrintStream.nullOutputStream()) {
            @Override
            public void println(String line) {
                if (line.contains(failingLogText) && !thrown.getAndSet(true)) {
                    throw new IllegalStateException("injected");
                }
            }
        }, "test");
        NodeConfiguration configuration = NodeFixtures.configuration(folder,
                new InetSocketAddress("127.0.0.1", silentDiscovery.getLocalPort()));
        Reactor reactor = new Reactor(configuration.limits(), counters, log, (threadName, cause) -> { });
        reactor.start();
        RecordStore recordStore = new RecordStore(Journal.open(folder, configuration.limits().maxJournalBytes(), log, new ArrayList<>()),
                configuration.limits(), counters, log);
        EndpointRegistry endpointRegistry = new EndpointRegistry(configuration.zoneNames(), configuration.endpointKinds());
        Event.ListReceived list = endpointRegistry.update(LIST.getBytes(StandardCharsets.US_ASCII), 0, new ArrayList<>());
        DecisionLoop decisionLoop = new DecisionLoop(configuration, reactor, endpointRegistry, recordStore, new NodeClock(), counters, log);
        decisionLoop.restore(list, List.of());
        Thread thread = new Thread(decisionLoop);
        thread.start();
        decisionLoop.awaitFirstTurn(10_000_000);
        started.complete(decisionLoop);
        return thread;
    }

    private static void awaitCount(int expected, Supplier<Integer> count) throws InterruptedException {
        for (int i = 0; count.get() < expected && i < 1_000; i++) {
            Thread.sleep(10);
        }
        assertEquals(expected, count.get());
    }

    /** Hands in messages at once, the first one with a responder of its own, and waits until each has ended, in a loop that is still alive. */
    private void assertAllEnd(String failingLogText, ClientRequest.Responder firstResponder, ClientRequest.Responder others) throws Exception {
        Counters counters = new Counters();
        try (ServerSocket silentDiscovery = new ServerSocket(0)) {
            CompletableFuture<DecisionLoop> loop = new CompletableFuture<>();
            Thread thread = startLoop(silentDiscovery, failingLogText, counters, loop);
            long receivedAt = new NodeClock().now();
            for (int i = 0; i < MESSAGES; i++) {
                loop.get().post(new LoopEvent.RequestReceived(new ClientRequest("r-" + i, 0, 0, 0, 3, null, TIMEOUT_MICROS, false, false,
                        new byte[0], receivedAt, i == 0 ? firstResponder : others)));
            }
            awaitCount(MESSAGES, () -> (int) (counters.get(Counter.ENDED_TERMINATED) + counters.get(Counter.ENDED_BOUNCED)));
            assertTrue(thread.isAlive());
            loop.get().stop();
        }
    }

    /** Guards against messages that never end because an action for another one fails in the turn in which they are to end. */
    @Test
    void anActionThatFailsLosesNoOtherAction() throws Exception {
        assertAllEnd(" ended ", responder(new ArrayList<>()), responder(new ArrayList<>()));
    }

    /** Guards against a process that ends because the answer to one client cannot be written, and against messages that are lost with it. */
    @Test
    void anAnswerThatFailsLosesNoOtherAnswer() throws Exception {
        List<String> answers = Collections.synchronizedList(new ArrayList<>());
        ClientRequest.Responder failing = (ClientRequest.Responder) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {ClientRequest.Responder.class}, (proxy, method, arguments) -> {
            if (method.getName().equals("taken")) {
                throw new CancelledKeyException();
            }
            return null;
        });
        assertAllEnd("no such line", failing, responder(answers));
        assertEquals(Collections.nCopies(MESSAGES - 1, "taken"), answers);
    }

    private ClientRequest.Responder responder(List<String> answers) {
        return (ClientRequest.Responder) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {ClientRequest.Responder.class},
                (proxy, method, arguments) -> answers.add(method.getName()) ? null : null);
    }
}
