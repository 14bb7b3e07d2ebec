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
    void aRecordAddedAfterTheFinalQueueCheckIsNotTakenOn() throws Exception {
        CountDownLatch adding = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        LinkedBlockingQueue<LoopEvent> inbox = new LinkedBlockingQueue<>() {
            @Override
            public boolean add(LoopEvent word) {
                if (word instanceof LoopEvent.RequestReceived) {
                    adding.countDown();
                    try {
                        ended.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
                return super.add(word);
            }
        };
        List<String> heard = Collections.synchronizedList(new ArrayList<>());
        ClientRequest.Responder answer = (ClientRequest.Responder) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {ClientRequest.Responder.class},
                (self, method, given) -> heard.add(method.getName()) ? null : null);
        Counters counters = new Counters();
        try (ServerSocket silent = new ServerSocket(0)) {
            NodeConfiguration charter = NodeFixtures.configuration(folder,
                    new InetSocketAddress("127.0.0.1", silent.getLocalPort()));
            Reactor reactor = new Reactor(charter.limits(), counters, NodeFixtures.NO_LOG);
            reactor.start();
            RecordStore book = new RecordStore(
                    Journal.open(folder, charter.limits().maxJournalBytes(), NodeFixtures.NO_LOG, new ArrayList<>()),
                    charter.limits(), counters, NodeFixtures.NO_LOG);
            DecisionLoop desk = new DecisionLoop(charter, reactor,
                    new EndpointRegistry(charter.zoneNames(), charter.endpointKinds()), book, new NodeClock(), counters,
                    NodeFixtures.NO_LOG, inbox);
            Thread thread = new Thread(desk);
            thread.start();
            CompletableFuture<Boolean> taken = new CompletableFuture<>();
            new Thread(() -> taken.complete(desk.offerRequest(new ClientRequest("r-1", 0, 0, 0, 3, null, 4_000_000, false, false,
                    new byte[0], new NodeClock().now(), answer)))).start();
            adding.await();
            desk.post(new LoopEvent.ShutdownRequested());
            thread.join(30_000);
            ended.countDown();
            assertFalse(taken.get(30, TimeUnit.SECONDS),
                    "offerRequest must report the request as not accepted: the ended loop will not answer it");
            assertEquals(List.of(), heard);
            reactor.close();
        }
    }
}
