package terndyke.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import terndyke.api.Event;
import terndyke.node.discovery.Catalogue;
import terndyke.node.http.Door;
import terndyke.node.http.Reactor;
import terndyke.node.journal.Entry;
import terndyke.node.journal.Journal;
import terndyke.node.stage.Book;
import terndyke.node.stage.Desk;
import terndyke.node.stage.Owed;
import terndyke.node.stage.Word;

/** A delivery node that others can embed: start() serves, close() leaves in good order. */
public final class DeliveryNode implements AutoCloseable {
    private final Charter charter;
    private final NodeLog log;
    private final Counters counters = new Counters();
    private Reactor reactor;
    private Journal journal;
    private volatile Door door; // the last part to come at the start
    private volatile Desk desk;
    private Thread thread;
    private volatile boolean ready;
    private volatile boolean leaving;
    private volatile InetSocketAddress movedTo; // as read again, or null

    public DeliveryNode(Charter charter, NodeLog log) {
        this.charter = charter;
        this.log = log;
    }

    /** Takes up what the last life owed and serves from then on. */
    public void start() throws IOException {
        Limits limits = charter.limits();
        NodeClock clock = new NodeClock();
        List<Entry> entries = new ArrayList<>();
        try {
            journal = Journal.open(charter.folder(), limits.journalBytes(), log, entries);
        } catch (IOException e) {
            throw new IOException("no journal can be kept in " + charter.folder() + ": " + e.getMessage(), e);
        }
        Catalogue catalogue = new Catalogue(charter.zones(), charter.kinds());
        List<String> unread = new ArrayList<>();
        Event.ListReceived known = new Event.ListReceived(List.of(), true);
        try {
            known = charter.known().isEmpty() ? known : catalogue.take(charter.known(), clock.now(), unread);
        } catch (IOException e) {
            log.warn("known list passed over: " + e.getMessage());
        }
        unread.forEach(text -> log.warn("known list: " + text));
        Rehearsal.decide(charter, limits.rehearse());
        Book book = new Book(journal, limits, counters, log);
        Collection<Owed> owed = book.restore(entries);
        reactor = new Reactor(limits, counters, log);
        reactor.start();
        desk = new Desk(charter, reactor, catalogue, book, clock, counters, log);
        if (movedTo != null) {
            desk.post(new Word.Moved(movedTo)); // read again before there was a desk to tell
        }
        desk.restore(known, owed);
        thread = new Thread(desk, "terndyke-desk");
        thread.start();
        door = new Door(limits, counters, charter.grades(), charter.tenants(), clock::now, () -> ready && !leaving,
                desk::handOver, handover -> desk.post(new Word.Left(handover)));
        reactor.listen(charter.listen(), door);
        Rehearsal.talk(charter, reactor, clock, charter.listen(), limits.rehearse());
        awaitBegun(limits.startWithin());
        ready = true;
        log.trace(clock.now(), "serving");
        log.info("serving on " + charter.listen() + ", " + known.entries().size() + " endpoints known, "
                + counters.of(Counters.Count.RESTORED) + " records owed from the last life");
    }

    private void awaitBegun(long within) throws IOException {
        try {
            desk.awaitBegun(within);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
    }

    /**
     * Reads the configuration again and follows discovery to the address that it names; all else in it is for the next
     * start. What cannot be read leaves the node as it is. From any thread but the node's own.
     */
    public void reread(Charter.Place place) {
        try {
            Charter told = Charter.read(place);
            boolean same = charter.movedTo(told.discovery()).equals(told);
            log.info("configuration read again, discovery at " + told.discovery()
                    + (same ? "" : "; what else differs is taken up at the next start"));
            movedTo = told.discovery();
            Desk running = desk; // where there is none yet, the start tells it
            if (running != null) {
                running.post(new Word.Moved(movedTo));
            }
        } catch (IOException | RuntimeException e) {
            log.warn("configuration not taken up, the old one stays: " + e.getMessage());
        }
    }

    public Counters counters() {
        return counters;
    }

    /** Takes nothing new, finishes what can still be finished in time, and leaves the rest in the journal. */
    @Override
    public void close() {
        if (door == null) {
            return;
        }
        leaving = true;
        door.closing();
        desk.post(new Word.Leave());
        try {
            thread.join(charter.limits().leaveWithin() / 1000 + 200);
            desk.shut();
            reactor.close();
            journal.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            log.warn("journal", e);
        }
        log.info("left; counters: " + counters.toString().strip().replace("\n", ", "));
    }
}
