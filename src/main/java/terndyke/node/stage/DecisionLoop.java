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
import terndyke.node.NodeConfiguration;
import terndyke.node.Counters;
import terndyke.node.Counters.Counter;
import terndyke.node.Limits;
import terndyke.node.NodeClock;
import terndyke.node.NodeLog;
import terndyke.node.SlowTurnDetector;
import terndyke.node.SlowTurnDetector.Phase;
import terndyke.node.discovery.EndpointRegistry;
import terndyke.node.discovery.Watch;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;
import terndyke.node.http.Reactor;
import terndyke.node.journal.JournalEntry;

/**
 * The event loop of the decision thread. It owns the dispatcher (the decision module) and all records, and passes each
 * record through the stages in order. One iteration is called a turn: it handles the queued events and due timers, runs
 * the dispatcher on what they reported, and performs the actions that the dispatcher asks for.
 */
public final class DecisionLoop implements Runnable {
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final NodeClock clock;
    private final LinkedBlockingQueue<LoopEvent> eventQueue;
    private final AtomicInteger queuedRecordCount = new AtomicInteger();
    private final TimerQueue timers = new TimerQueue();
    private final Map<Long, TrackedRecord> newRecords = new LinkedHashMap<>(); // admitted in this turn, not yet in the journal
    private final List<TrackedRecord> recoveredRecords = new ArrayList<>(); // not yet passed to the decision module
    private final List<ClientRequest> deferredRequests = new ArrayList<>(); // received before discovery was resolved
    private final IntakeStage intakeStage;
    private final AdmissionStage admissionStage;
    private final DecisionStage decisionStage;
    private final SendStage sendStage;
    private final NotificationStage notificationStage;
    private final RecordStore recordStore;
    private final ConnectionPool connectionPool;
    private final EndpointRegistry endpointRegistry;
    private final Watch watch;
    private final SlowTurnDetector slowTurnDetector;
    private final long keyQuietMicros;
    private final int gradeCount;
    private long nextSweepAt;
    private long shutdownDeadline = Long.MAX_VALUE;
    private final CountDownLatch discoveryResolved = new CountDownLatch(1); // the first call to discovery has completed or failed
    private final CountDownLatch firstTurnDone = new CountDownLatch(1); // the decision module has run once after that
    private volatile boolean finished; // set by the decision thread: no more turns
    private volatile boolean stopped; // set by stop(), even while a turn takes too long
    private volatile boolean queueClosed; // requests added from now on may not be polled any more

    public DecisionLoop(NodeConfiguration charter, Reactor reactor, EndpointRegistry catalogue, RecordStore book,
            NodeClock clock, Counters counters, NodeLog log) {
        this(charter, reactor, catalogue, book, clock, counters, log, new LinkedBlockingQueue<>());
    }

    DecisionLoop(NodeConfiguration charter, Reactor reactor, EndpointRegistry catalogue, RecordStore book,
            NodeClock clock, Counters counters, NodeLog log, LinkedBlockingQueue<LoopEvent> inbox) {
        this.eventQueue = inbox;
        this.limits = charter.limits();
        this.counters = counters;
        this.log = log;
        this.clock = clock;
        this.recordStore = book;
        this.endpointRegistry = catalogue;
        this.keyQuietMicros = charter.deliverySettings().keyQuietPeriod();
        this.gradeCount = charter.deliverySettings().grades().size();
        slowTurnDetector = new SlowTurnDetector(limits.slowTurnThresholdMicros(), limits.slowTurnLogIntervalMicros(), counters);
        connectionPool = new ConnectionPool(reactor, limits, counters, clock::now,
                line -> post(new LoopEvent.ConnectionReleased(line)));
        decisionStage = new DecisionStage(new Dispatcher(charter.deliverySettings()));
        intakeStage = new IntakeStage(book.lastRecordNumber());
        admissionStage = new AdmissionStage(limits, counters, catalogue, book);
        sendStage = new SendStage(limits, counters, catalogue, connectionPool, decisionStage, book, timers,
                charter.reportFields(), log, this);
        notificationStage = new NotificationStage(limits, counters, charter.discoveryAddress(), connectionPool, decisionStage,
                book, timers, log, this);
        watch = new Watch(limits, charter.discoveryAddress(), catalogue, connectionPool, log,
                charter.deliverySettings().listOnRequest(), new Random(charter.deliverySettings().seed()),
                (round, result) -> post(new LoopEvent.WatchCompleted(round, result)));
    }

    public long now() {
        return clock.now();
    }

    /**
     * Queues a client's request; called on the I/O thread. Returns false if the queue is full or the loop has ended. A
     * request that arrives while the loop is ending is either handled by its final drain of the queue or removed here, so
     * that it is answered exactly once.
     */
    public boolean offerRequest(ClientRequest handover) {
        if (finished || stopped || queuedRecordCount.get() >= limits.requestQueueCapacity()) {
            return false;
        }
        LoopEvent word = new LoopEvent.RequestReceived(handover);
        queuedRecordCount.incrementAndGet();
        eventQueue.add(word);
        return !queueClosed || !eventQueue.remove(word);
    }

    /** Accepts no more requests and runs no further turn, even if the current turn takes long. */
    public void stop() {
        stopped = true;
    }

    /**
     * Waits until the first call to discovery has completed or failed and the decision module has handled the records of
     * the previous run, at most for the given time.
     */
    public void awaitFirstTurn(long micros) throws InterruptedException {
        firstTurnDone.await(micros, TimeUnit.MICROSECONDS);
    }

    /** Queues an event from any thread. The number of calls and probes in flight limits how many events can be queued. */
    public void post(LoopEvent word) {
        eventQueue.add(word);
    }

    /**
     * Restores the last known list and the unfinished records of the previous run; called before the thread starts. The
     * list may be out of date, and whatever discovery publishes counts as known to the node: the first turn of the
     * decision module waits until discovery has been asked.
     */
    public void restore(Event.ListReceived known, Collection<TrackedRecord> records) {
        decisionStage.addEvent(known);
        for (TrackedRecord owed : List.copyOf(records)) {
            counters.add(Counter.RESTORED, owed.noticeSettled ? 0 : 1);
            if (owed.entry.grade() >= gradeCount) {
                log.warn("journal: record has an unknown service grade, terminated without delivery");
                notificationStage.endRecord(owed, JournalEntry.RecordOutcome.TERMINATED, 0);
                continue;
            }
            recoveredRecords.add(owed);
            if (!owed.isOpen()) {
                notificationStage.restore(owed);
            }
        }
        notificationStage.sendPendingNotices(now());
    }

    /**
     * Passes restored and deferred records to the decision module once the first call to discovery has completed or
     * failed. Not earlier, since the events state the time remaining at the moment at which the module acts on them.
     */
    private void beginOnceDiscoveryResolved(long now) {
        if (isDiscoveryResolved() || !watch.hasCompletedFirstCall()) {
            return;
        }
        recoveredRecords.forEach(owed -> sendStage.restore(owed, now));
        recoveredRecords.clear();
        deferredRequests.forEach(handover -> handleClientRequest(handover, now));
        deferredRequests.clear();
        discoveryResolved.countDown();
    }

    @Override
    public void run() {
        while (!finished && !stopped) {
            try {
                runTurn();
            } catch (InterruptedException e) {
                return;
            } catch (Exception | OutOfMemoryError e) {
                log.warn("decision thread: turn failed, its new records are refused", e);
                refuseNewRecords();
            }
        }
        refuseRemaining();
    }

    /**
     * Refuses the requests that were read in the last moments before the connections close, so that every client gets
     * an answer. Shots that have ended by now are journalled, so that the next run does not repeat them.
     */
    private void refuseRemaining() {
        refuseNewRecords();
        deferredRequests.forEach(handover -> handover.responder().refused(0));
        try {
            for (LoopEvent word = eventQueue.poll(); word != null;
                    word = eventQueue.poll(limits.finalEventPollMicros(), TimeUnit.MICROSECONDS)) {
                handleAtShutdown(word);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        queueClosed = true;
        for (LoopEvent word = eventQueue.poll(); word != null; word = eventQueue.poll()) {
            handleAtShutdown(word);
        }
        connectionPool.close();
    }

    private void handleAtShutdown(LoopEvent word) {
        if (word instanceof LoopEvent.RequestReceived handed) {
            counters.add(Counter.REFUSED_AT_DOOR);
            handed.clientRequest().responder().refused(0);
        } else if (word instanceof LoopEvent.ShotCompleted shot) {
            sendStage.handleResult(shot);
        }
    }

    private void runTurn() throws InterruptedException {
        long now = now();
        long next = Math.min(timers.nextDueAt(now + limits.maxPollWaitMicros()), watch.dueAt());
        beginOnceDiscoveryResolved(now);
        LoopEvent word = eventQueue.poll(decisionStage.hasPendingEvents() && isDiscoveryResolved() ? 0
                : Math.max(0, next - now), TimeUnit.MICROSECONDS);
        now = now();
        slowTurnDetector.beginTurn(now);
        int words = 0;
        while (word != null) {
            handleEvent(word, now);
            word = words++ < limits.maxEventsPerTurn() ? eventQueue.poll() : null;
        }
        slowTurnDetector.endEventPhase(words, now());
        timers.runDue(now);
        slowTurnDetector.endPhase(Phase.TIMERS, now());
        watch.runDueActions(now);
        if (watch.pollFailure()) {
            decisionStage.addEvent(new Event.ListRequestFailed());
        }
        beginOnceDiscoveryResolved(now);
        if (isDiscoveryResolved()) {
            performActions(now);
            firstTurnDone.countDown();
        } else {
            notificationStage.sendPendingNotices(now);
        }
        if (now >= nextSweepAt) {
            nextSweepAt = now + limits.sweepIntervalMicros();
            connectionPool.closeExpired(now);
            endpointRegistry.evictGone(now - limits.goneEndpointRetentionMicros(), limits.maxGoneEndpoints());
            recordStore.evictEnded(now, Math.max(keyQuietMicros, limits.endedRecordRetentionMicros()));
            recordStore.compactIfNeeded();
            slowTurnDetector.endPhase(Phase.SWEEP, now());
        }
        String slow = slowTurnDetector.endTurn(now());
        if (slow != null) {
            log.warn(slow);
        }
        // even with no record held the loop goes on for a minimum time: clients that do not know of the shutdown yet still
        // send requests, which must be answered
        finished = now >= shutdownDeadline || shutdownDeadline < Long.MAX_VALUE && recordStore.heldOrAdmittedCount() == 0
                && !notificationStage.hasPendingNotices()
                && now >= shutdownDeadline - limits.shutdownGracePeriodMicros() + limits.minShutdownMicros();
    }

    private void handleEvent(LoopEvent word, long now) {
        if (word instanceof LoopEvent.RequestReceived handed) {
            queuedRecordCount.decrementAndGet();
            slowTurnDetector.measureQueueWait(now - handed.clientRequest().receivedAt());
            if (isDiscoveryResolved()) {
                handleClientRequest(handed.clientRequest(), now);
            } else if (deferredRequests.size() < limits.requestQueueCapacity()) {
                deferredRequests.add(handed.clientRequest());
            } else {
                counters.add(Counter.REFUSED_AT_DOOR);
                handed.clientRequest().responder().refused(0);
            }
        } else if (word instanceof LoopEvent.ShotCompleted shot) {
            sendStage.handleResult(shot);
        } else if (word instanceof LoopEvent.ConnectionReleased free) {
            connectionPool.release(free.connection(), now);
        } else if (word instanceof LoopEvent.ProbeCompleted probe) {
            sendStage.handleResult(probe);
        } else if (word instanceof LoopEvent.NoticeCallCompleted noticed) {
            notificationStage.handleNoticeResult(noticed, now);
        } else if (word instanceof LoopEvent.WatchCompleted watched) {
            Event told = watch.handleResult(watched.callNumber(), watched.result(), now);
            if (told != null) {
                counters.add(Counter.LISTS_TOLD);
                log.trace(now, "list", ((Event.ListReceived) told).entries().size());
                decisionStage.addEvent(told);
                endpointRegistry.pollRemovedPeers().forEach(connectionPool::removePeer);
            }
        } else if (word instanceof LoopEvent.DiscoveryAddressChanged moved) {
            watch.changeDiscoveryAddress(moved.address());
            notificationStage.changePlatformAddress(moved.address());
        } else if (word instanceof LoopEvent.ClientDisconnected left) {
            handleClientDisconnect(left.clientRequest(), now);
        } else if (word instanceof LoopEvent.ShutdownRequested) {
            shutdownDeadline = now + limits.shutdownGracePeriodMicros();
            admissionStage.beginShutdown();
            decisionStage.addEvent(new Event.NodeShuttingDown(limits.shutdownGracePeriodMicros()));
            timers.schedule(shutdownDeadline, () -> { });
        }
    }

    /**
     * Admits a request as a new record, or answers it. If a record with the same id was admitted earlier in this turn, the
     * second request is refused, as it would be if the first record were in the journal. If the two requests differ, it is
     * unknown which client owns the id; since neither has been accepted yet, both are refused.
     */
    private void handleClientRequest(ClientRequest handover, long now) {
        TrackedRecord same = newRecords.values().stream().filter(owed -> owed.entry.id().equals(handover.id())).findFirst()
                .orElse(null);
        if (same != null) {
            counters.add(Counter.REPEATS);
            handover.responder().refused(0);
            if (!same.isSameRecord(handover)) {
                newRecords.remove(same.entry.number());
                notificationStage.answerRefused(same, 0);
                decisionStage.addEvent(new Event.RecordWithdrawn(same.entry.number()));
            }
        } else if (admissionStage.admit(handover, now)) {
            TrackedRecord owed = intakeStage.createRecord(handover);
            newRecords.put(owed.entry.number(), owed);
            decisionStage.addEvent(toEvent(owed, now));
        }
    }

    static Event.RecordAccepted toEvent(TrackedRecord owed, long now) {
        JournalEntry.RecordAccepted taken = owed.entry;
        return new Event.RecordAccepted(taken.number(), taken.grade(), taken.tenant(), taken.key(),
                taken.abandonAt() - now, 0, taken.destination(), owed.clientRetry, false, owed.fromDeadNode);
    }

    /**
     * Withdraws the record of a client that disconnected before its answer, as that client may submit it again under
     * another id. Only the record that this client itself submitted is withdrawn: a client that repeated another one's id
     * leaves that record as it is.
     */
    private void handleClientDisconnect(ClientRequest handover, long now) {
        TrackedRecord owed = recordStore.findById(handover.id());
        for (TrackedRecord taken : List.copyOf(newRecords.values())) {
            if (taken.responder == handover.responder()) {
                newRecords.remove(taken.entry.number());
                decisionStage.addEvent(new Event.RecordWithdrawn(taken.entry.number()));
            }
        }
        if (owed != null && owed.isOpen() && owed.entry.acceptedAt() == handover.receivedAt()) {
            counters.add(Counter.WITHDRAWN);
            log.infoAboutRecord("message " + handover.id() + " withdrawn: client disconnected before its answer");
            recordStore.endRecord(owed, JournalEntry.RecordOutcome.WITHDRAWN, 0);
            decisionStage.addEvent(new Event.RecordWithdrawn(owed.entry.number()));
        }
    }

    private boolean isDiscoveryResolved() {
        return discoveryResolved.getCount() == 0;
    }

    /** Runs the decision module until it has no pending events, and performs the actions that it asks for. */
    private void performActions(long now) {
        while (decisionStage.hasPendingEvents()) {
            List<Action> actions = decisionStage.runTurn(now);
            slowTurnDetector.endPhase(Phase.MODULE, now());
            answerNewRecords(actions);
            for (Action action : actions) {
                performAction(action, now);
            }
            slowTurnDetector.endPhase(Phase.ACTIONS, now());
        }
        notificationStage.sendPendingNotices(now);
    }

    /** Answers the records admitted in this turn: refused if the module ended them, otherwise journalled and then accepted. */
    private void answerNewRecords(List<Action> actions) {
        for (Action action : newRecords.isEmpty() ? List.<Action>of() : actions) {
            if (action instanceof Action.Bounce bounce && newRecords.containsKey(bounce.id())) {
                notificationStage.answerRefused(newRecords.remove(bounce.id()), bounce.retryAfter());
            } else if (action instanceof Action.Terminate terminate && newRecords.containsKey(terminate.id())) {
                notificationStage.answerFailed(newRecords.remove(terminate.id()));
            }
        }
        for (TrackedRecord owed : newRecords.values()) {
            if (recordStore.tryAdd(owed)) {
                notificationStage.answerTaken(owed);
            } else {
                notificationStage.answerRefused(owed, 0);
                decisionStage.addEvent(new Event.RecordWithdrawn(owed.entry.number()));
            }
        }
        newRecords.clear();
        recordStore.clearReservations();
    }

    /** Refuses the new records of a turn that failed. They are not in the journal, so the node owes them nothing. */
    private void refuseNewRecords() {
        for (TrackedRecord owed : newRecords.values()) {
            notificationStage.answerRefused(owed, 0);
            decisionStage.addEvent(new Event.RecordWithdrawn(owed.entry.number()));
        }
        newRecords.clear();
        recordStore.clearReservations();
    }

    private void performAction(Action action, long now) {
        if (action instanceof Action.SendShot shoot) {
            sendStage.sendShot(recordStore.findByNumber(shoot.id()), shoot, now);
        } else if (action instanceof Action.Recall recall && recordStore.findByNumber(recall.id()) != null) {
            sendStage.recallShot(recordStore.findByNumber(recall.id()), recall.shotIndex());
        } else if (action instanceof Action.Bounce bounce && recordStore.findByNumber(bounce.id()) != null) {
            notificationStage.endRecord(recordStore.findByNumber(bounce.id()), JournalEntry.RecordOutcome.BOUNCED,
                    bounce.retryAfter());
        } else if (action instanceof Action.Terminate terminate && recordStore.findByNumber(terminate.id()) != null) {
            notificationStage.endRecord(recordStore.findByNumber(terminate.id()), JournalEntry.RecordOutcome.TERMINATED, 0);
        } else if (action instanceof Action.StartTimer wake) {
            timers.schedule(now + wake.delay(), () -> decisionStage.addEvent(new Event.TimerExpired(wake.token())));
        } else if (action instanceof Action.Probe probe) {
            sendStage.startProbe(probe.endpoint(), now);
        } else if (action instanceof Action.CancelUnsentCalls withhold) {
            sendStage.withhold(withhold.endpoint());
        } else if (action instanceof Action.SetListSubscription) {
            watch.requestList(now);
        } else if (action instanceof Action.CloseIdleConnections drop) {
            sendStage.closeIdleConnections(drop.endpoint());
        } else if (action instanceof Action.Log line) {
            log.info(line.text());
        }
    }
}
