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

import terndyke.node.Charter;
import terndyke.node.Counters;
import terndyke.node.GivenNode;
import terndyke.node.NodeClock;
import terndyke.node.discovery.Catalogue;
import terndyke.node.http.Handover;
import terndyke.node.http.Reactor;
import terndyke.node.journal.Journal;

/** Hand-overs to the decision thread that come between two of its lines. */
class DeskTest {
    @TempDir
    Path folder;

    /** The I/O thread has found the desk still open, and adds its record only after the desk's last look. */
    @Test
    void aRecordThatComesAfterTheDesksLastLookIsNotTakenIn() throws Exception {
        CountDownLatch adding = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        LinkedBlockingQueue<Word> inbox = new LinkedBlockingQueue<>() {
            @Override
            public boolean add(Word word) {
                if (word instanceof Word.Handed) {
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
        Handover.Answer answer = (Handover.Answer) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {Handover.Answer.class}, (self, method, given) -> heard.add(method.getName()) ? null : null);
        Counters counters = new Counters();
        try (ServerSocket silent = new ServerSocket(0)) {
            Charter charter = GivenNode.charter(folder, new InetSocketAddress("127.0.0.1", silent.getLocalPort()));
            Reactor reactor = new Reactor(charter.limits(), counters, GivenNode.NO_LOG);
            reactor.start();
            Book book = new Book(Journal.open(folder, charter.limits().journalBytes(), GivenNode.NO_LOG, new ArrayList<>()),
                    charter.limits(), counters, GivenNode.NO_LOG);
            Desk desk = new Desk(charter, reactor, new Catalogue(charter.zones(), charter.kinds()), book, new NodeClock(),
                    counters, GivenNode.NO_LOG, inbox);
            Thread thread = new Thread(desk);
            thread.start();
            CompletableFuture<Boolean> taken = new CompletableFuture<>();
            new Thread(() -> taken.complete(desk.handOver(new Handover("r-1", 0, 0, 0, 3, null, 4_000_000, false, false,
                    new byte[0], new NodeClock().now(), answer)))).start();
            adding.await();
            desk.post(new Word.Leave());
            thread.join(30_000);
            ended.countDown();
            assertFalse(taken.get(30, TimeUnit.SECONDS), "the door has to refuse it: nobody else will");
            assertEquals(List.of(), heard);
            reactor.close();
        }
    }
}
