package terndyke.node.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import terndyke.api.Action;
import terndyke.api.Event;
import terndyke.decision.Dispatcher;
import terndyke.node.Charter;
import terndyke.node.Counters;
import terndyke.node.Counters.Count;
import terndyke.node.Limits;
import terndyke.node.NodeClock;
import terndyke.node.NodeLog;
import terndyke.node.Watchdog;
import terndyke.node.Watchdog.Doing;
import terndyke.node.discovery.Catalogue;
import terndyke.node.discovery.Watch;
import terndyke.node.http.Calls;
import terndyke.node.http.Handover;
import terndyke.node.http.Reactor;
import terndyke.node.journal.Entry;

/** The decision thread: owns the dispatcher and all records, and passes each through the stages in order. */
public final class Desk implements Runnable {
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final NodeClock clock;
    private final LinkedBlockingQueue<Word> inbox;
    private final AtomicInteger handedIn = new AtomicInteger();
    private final Timers timers = new Timers();
    private final Map<Long, Owed> fresh = new LinkedHashMap<>(); // taken in this turn
    private final List<Owed> lastLife = new ArrayList<>(); // of which the module is still to hear
    private final List<Handover> early = new ArrayList<>(); // handed in before the first turn of the module
    private final TakeIn takeIn;
    private final Admit admit;
    private final Route route;
    private final Send send;
    private final Relay relay;
    private final Book book;
    private final Calls calls;
    private final Catalogue catalogue;
    private final Watch watch;
    private final Watchdog watchdog;
    private final long keyRest;
    private final int grades;
    private long sweepAt;
    private long leaveAt = Long.MAX_VALUE;
    private final CountDownLatch begun = new CountDownLatch(1); // what discovery has to tell is known, or it is silent
    private final CountDownLatch acted = new CountDownLatch(1); // and the module has had its first turn with it
    private volatile boolean over; // no more turns
    private volatile boolean shut; // not even where a turn takes too long
    private volatile boolean emptied; // nothing more is taken from the inbox

    public Desk(Charter charter, Reactor reactor, Catalogue catalogue, Book book, NodeClock clock, Counters counters,
            NodeLog log) {
        this(charter, reactor, catalogue, book, clock, counters, log, new LinkedBlockingQueue<>());
    }

    Desk(Charter charter, Reactor reactor, Catalogue catalogue, Book book, NodeClock clock, Counters counters,
            NodeLog log, LinkedBlockingQueue<Word> inbox) {
        this.inbox = inbox;
        this.limits = charter.limits();
        this.counters = counters;
        this.log = log;
        this.clock = clock;
        this.book = book;
        this.catalogue = catalogue;
        this.keyRest = charter.terms().keyQuietPeriod();
        this.grades = charter.terms().grades().size();
        watchdog = new Watchdog(limits.slowTurn(), limits.slowLineEvery(), counters);
        calls = new Calls(reactor, limits, counters, clock::now, line -> post(new Word.LineFree(line)));
        route = new Route(new Dispatcher(charter.terms()));
        takeIn = new TakeIn(book.lastNumber());
        admit = new Admit(limits, counters, catalogue, book);
        send = new Send(limits, counters, catalogue, calls, route, book, timers, charter.reportFields(), log, this);
        relay = new Relay(limits, counters, charter.discovery(), calls, route, book, timers, log, this);
        watch = new Watch(limits, charter.discovery(), catalogue, calls, log, charter.terms().listOnRequest(),
                new Random(charter.terms().seed()), (round, result) -> post(new Word.Watched(round, result)));
    }

    public long now() {
        return clock.now();
    }

    /**
     * Hands a record over from the I/O thread; false where too many wait already, or the desk takes no more. One that
     * comes while the desk ends is either seen by its last look or taken back here, so that it has one answer.
     */
    public boolean handOver(Handover handover) {
        if (over || shut || handedIn.get() >= limits.inbox()) {
            return false;
        }
        Word word = new Word.Handed(handover);
        handedIn.incrementAndGet();
        inbox.add(word);
        return !emptied || !inbox.remove(word);
    }

    /** No more is taken in, though the desk's last turn may take long. */
    public void shut() {
        shut = true;
    }

    /** Waits until what discovery has to tell is known, or it is silent, and the last life's records have been decided on. */
    public void awaitBegun(long micros) throws InterruptedException {
        acted.await(micros, TimeUnit.MICROSECONDS);
    }

    /** Tells the decision thread something; calls and probes that are out bound how much of this can wait. */
    public void post(Word word) {
        inbox.add(word);
    }

    /**
     * The list as it was last held, and what the last life owed, before the thread starts. The list may be old, and what
     * discovery has counts as told: the first turn of the module waits until it has been asked.
     */
    public void restore(Event.ListReceived known, Collection<Owed> records) {
        route.tell(known);
        for (Owed owed : List.copyOf(records)) {
            counters.add(Count.RESTORED, owed.told ? 0 : 1);
            if (owed.taken.grade() >= grades) {
                log.warn("journal: a record of an unknown service grade, ended without its delivery");
                relay.ended(owed, Entry.End.TERMINATED, 0);
                continue;
            }
            lastLife.add(owed);
            if (!owed.open()) {
                relay.restore(owed);
            }
        }
        relay.notices(now());
    }

    /** The module hears of records by the time that is left, so it hears of them only in the turn that it acts in. */
    private void begin(long now) {
        if (begun() || !watch.tried()) {
            return;
        }
        lastLife.forEach(owed -> send.restore(owed, now));
        lastLife.clear();
        early.forEach(handover -> handed(handover, now));
        early.clear();
        begun.countDown();
    }

    @Override
    public void run() {
        while (!over && !shut) {
            try {
                turn();
            } catch (InterruptedException e) {
                return;
            } catch (Exception | OutOfMemoryError e) {
                log.warn("decision thread", e);
                refuseFresh();
            }
        }
        refuseLast();
    }

    /**
     * Whoever was read in the last moments is refused too, before the connections close: nobody is left unanswered. What
     * has ended by now is booked, so that the next life does not send it again.
     */
    private void refuseLast() {
        refuseFresh();
        early.forEach(handover -> handover.answer().refused(0));
        try {
            for (Word word = inbox.poll(); word != null; word = inbox.poll(limits.lastWords(), TimeUnit.MICROSECONDS)) {
                last(word);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        emptied = true;
        for (Word word = inbox.poll(); word != null; word = inbox.poll()) {
            last(word);
        }
        calls.close();
    }

    private void last(Word word) {
        if (word instanceof Word.Handed handed) {
            counters.add(Count.REFUSED_AT_DOOR);
            handed.handover().answer().refused(0);
        } else if (word instanceof Word.ShotOver shot) {
            send.ended(shot);
        }
    }

    private void turn() throws InterruptedException {
        long now = now();
        long next = Math.min(timers.first(now + limits.longestSleep()), watch.dueAt());
        begin(now);
        Word word = inbox.poll(route.due() && begun() ? 0 : Math.max(0, next - now), TimeUnit.MICROSECONDS);
        now = now();
        watchdog.begin(now);
        int words = 0;
        while (word != null) {
            take(word, now);
            word = words++ < limits.wordsATurn() ? inbox.poll() : null;
        }
        watchdog.tookIn(words, now());
        timers.run(now);
        watchdog.did(Doing.TIMERS, now());
        watch.keep(now);
        if (watch.failed()) {
            route.tell(new Event.ListRequestFailed());
        }
        begin(now);
        if (begun()) {
            act(now);
            acted.countDown();
        } else {
            relay.notices(now);
        }
        if (now >= sweepAt) {
            sweepAt = now + limits.sweepEvery();
            calls.sweep(now);
            catalogue.forget(now - limits.rememberGone(), limits.goneAtMost());
            book.forget(now, Math.max(keyRest, limits.rememberFor()));
            book.tidy();
            watchdog.did(Doing.SWEEP, now());
        }
        String slow = watchdog.end(now());
        if (slow != null) {
            log.warn(slow);
        }
        // not at once where nothing is held: clients that do not know yet still come, and are owed an answer
        over = now >= leaveAt || leaveAt < Long.MAX_VALUE && book.held() == 0 && !relay.owes()
                && now >= leaveAt - limits.leaveWithin() + limits.leaveLast();
    }

    private void take(Word word, long now) {
        if (word instanceof Word.Handed handed) {
            handedIn.decrementAndGet();
            watchdog.waited(now - handed.handover().readAt());
            if (begun()) {
                handed(handed.handover(), now);
            } else if (early.size() < limits.inbox()) {
                early.add(handed.handover());
            } else {
                counters.add(Count.REFUSED_AT_DOOR);
                handed.handover().answer().refused(0);
            }
        } else if (word instanceof Word.ShotOver shot) {
            send.ended(shot);
        } else if (word instanceof Word.LineFree free) {
            calls.free(free.line(), now);
        } else if (word instanceof Word.ProbeOver probe) {
            send.ended(probe);
        } else if (word instanceof Word.Noticed noticed) {
            relay.noticed(noticed, now);
        } else if (word instanceof Word.Watched watched) {
            Event told = watch.answered(watched.round(), watched.result(), now);
            if (told != null) {
                counters.add(Count.LISTS_TOLD);
                log.trace(now, "list", ((Event.ListReceived) told).entries().size());
                route.tell(told);
                catalogue.left().forEach(calls::left);
            }
        } else if (word instanceof Word.Moved moved) {
            watch.moveTo(moved.address());
            relay.moveTo(moved.address());
        } else if (word instanceof Word.Left left) {
            left(left.handover(), now);
        } else if (word instanceof Word.Leave) {
            leaveAt = now + limits.leaveWithin();
            admit.leave();
            route.tell(new Event.NodeShuttingDown(limits.leaveWithin()));
            timers.at(leaveAt, () -> { });
        }
    }

    /**
     * An id that was taken in this very turn is as owed as one that is booked: the second record is refused. Where it is
     * another record nobody knows whose id it is, and since nothing is owed yet both are refused.
     */
    private void handed(Handover handover, long now) {
        Owed same = fresh.values().stream().filter(owed -> owed.taken.id().equals(handover.id())).findFirst().orElse(null);
        if (same != null) {
            counters.add(Count.REPEATS);
            handover.answer().refused(0);
            if (!same.holds(handover)) {
                fresh.remove(same.taken.number());
                relay.refused(same, 0);
                route.tell(new Event.RecordWithdrawn(same.taken.number()));
            }
        } else if (admit.admit(handover, now)) {
            Owed owed = takeIn.take(handover);
            fresh.put(owed.taken.number(), owed);
            route.tell(event(owed, now));
        }
    }

    static Event.RecordAccepted event(Owed owed, long now) {
        Entry.Taken taken = owed.taken;
        return new Event.RecordAccepted(taken.number(), taken.grade(), taken.tenant(), taken.key(),
                taken.abandonAt() - now, 0, taken.destination(), owed.again, false, owed.fromDeadNode);
    }

    /**
     * A client that left before its answer may hand the record in again under another id. One that only repeated
     * another's id takes nothing back: the record is the one that this client handed in, or stays.
     */
    private void left(Handover handover, long now) {
        Owed owed = book.byId(handover.id());
        for (Owed taken : List.copyOf(fresh.values())) {
            if (taken.answer == handover.answer()) {
                fresh.remove(taken.taken.number());
                route.tell(new Event.RecordWithdrawn(taken.taken.number()));
            }
        }
        if (owed != null && owed.open() && owed.taken.takenAt() == handover.readAt()) {
            counters.add(Count.WITHDRAWN);
            log.message("message " + handover.id() + " is over: its client left before its answer");
            book.ended(owed, Entry.End.WITHDRAWN, 0);
            route.tell(new Event.RecordWithdrawn(owed.taken.number()));
        }
    }

    private boolean begun() {
        return begun.getCount() == 0;
    }

    /** One turn of the module, and all that it asks for. */
    private void act(long now) {
        while (route.due()) {
            List<Action> actions = route.turn(now);
            watchdog.did(Doing.MODULE, now());
            answerFresh(actions);
            for (Action action : actions) {
                act(action, now);
            }
            watchdog.did(Doing.ACTIONS, now());
        }
        relay.notices(now);
    }

    /** The records of this turn: bounced at once, or booked and then answered. */
    private void answerFresh(List<Action> actions) {
        for (Action action : fresh.isEmpty() ? List.<Action>of() : actions) {
            if (action instanceof Action.Bounce bounce && fresh.containsKey(bounce.id())) {
                relay.refused(fresh.remove(bounce.id()), bounce.retryAfter());
            } else if (action instanceof Action.Terminate terminate && fresh.containsKey(terminate.id())) {
                relay.failed(fresh.remove(terminate.id()));
            }
        }
        for (Owed owed : fresh.values()) {
            if (book.taken(owed)) {
                relay.taken(owed);
            } else {
                relay.refused(owed, 0);
                route.tell(new Event.RecordWithdrawn(owed.taken.number()));
            }
        }
        fresh.clear();
        book.settled();
    }

    /** What could not be decided has not been booked, so nothing is owed. */
    private void refuseFresh() {
        for (Owed owed : fresh.values()) {
            relay.refused(owed, 0);
            route.tell(new Event.RecordWithdrawn(owed.taken.number()));
        }
        fresh.clear();
        book.settled();
    }

    private void act(Action action, long now) {
        if (action instanceof Action.SendShot shoot) {
            send.shoot(book.byNumber(shoot.id()), shoot, now);
        } else if (action instanceof Action.Recall recall && book.byNumber(recall.id()) != null) {
            send.recall(book.byNumber(recall.id()), recall.shotIndex());
        } else if (action instanceof Action.Bounce bounce && book.byNumber(bounce.id()) != null) {
            relay.ended(book.byNumber(bounce.id()), Entry.End.BOUNCED, bounce.retryAfter());
        } else if (action instanceof Action.Terminate terminate && book.byNumber(terminate.id()) != null) {
            relay.ended(book.byNumber(terminate.id()), Entry.End.TERMINATED, 0);
        } else if (action instanceof Action.StartTimer wake) {
            timers.at(now + wake.delay(), () -> route.tell(new Event.TimerExpired(wake.token())));
        } else if (action instanceof Action.Probe probe) {
            send.probe(probe.endpoint(), now);
        } else if (action instanceof Action.CancelUnsentCalls withhold) {
            send.withhold(withhold.endpoint());
        } else if (action instanceof Action.SetListSubscription) {
            watch.ask(now);
        } else if (action instanceof Action.CloseIdleConnections drop) {
            send.dropConnections(drop.endpoint());
        } else if (action instanceof Action.Log line) {
            log.info(line.text());
        }
    }
}
