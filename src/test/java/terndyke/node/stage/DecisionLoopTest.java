package terndyke.node.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.node.NodeConfiguration;
import terndyke.node.Counters;
import terndyke.node.NodeFixtures;
import terndyke.node.NodeClock;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.http.ClientRequest;
import terndyke.node.http.Reactor;
import terndyke.node.journal.Journal;

/** Races between the I/O thread, which adds requests to the event queue, and the end of the decision loop. */
class DecisionLoopTest {
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
        ClientRequest.Responder responder = (ClientRequest.Responder) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {ClientRequest.Responder.class},
                (proxy, method, arguments) -> answers.add(method.getName()) ? null : null);
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
}
