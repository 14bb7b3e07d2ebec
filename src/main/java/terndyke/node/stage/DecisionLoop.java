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
import terndyke.node.HoldUpDetector;
import terndyke.node.Limits;
import terndyke.node.NodeClock;
import terndyke.node.NodeLog;
import terndyke.node.SlowTurnDetector;
import terndyke.node.SlowTurnDetector.Phase;
import terndyke.node.WallClockMonitor;
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
    private final AtomicInteger queuedRequestCount = new AtomicInteger();
    private final TimerQueue timers = new TimerQueue();
    private final Map<Long, TrackedRecord> newRecords = new LinkedHashMap<>(); // admitted in this turn, not yet in the journal
    private final List<TrackedRecord> restoredRecords = new ArrayList<>(); // not yet passed to the decision module
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
    private final HoldUpDetector holdUpDetector;
    private final WallClockMonitor wallClockMonitor = new WallClockMonitor(WallClockMonitor::systemWallClock,
            () -> System.nanoTime() / 1000);
    private final long keyQuietMicros;
    private final int gradeCount;
    private long nextSweepAt;
    private long shutdownDeadline = Long.MAX_VALUE;
    private boolean eventsLost; // by a turn that failed: records whose end the decision module does not know of may be overdue
    private long nextOverdueCheckAt;
    private long eventsHandledUntil; // what was received by this time has been handled before the current decisions
    private final CountDownLatch discoveryResolved = new CountDownLatch(1); // the first call to discovery has completed or failed
    private final CountDownLatch firstTurnDone = new CountDownLatch(1); // the decision module has run once after that
    private volatile boolean finished; // set by the decision thread: no more turns
    private volatile boolean stopped; // set by stop(), even while a turn takes too long
    private volatile boolean queueClosed; // requests added from now on may not be polled any more

    public DecisionLoop(NodeConfiguration configuration, Reactor reactor, EndpointRegistry endpointRegistry,
            RecordStore recordStore, NodeClock clock, Counters counters, NodeLog log) {
        this(configuration, reactor, endpointRegistry, recordStore, clock, counters, log, new LinkedBlockingQueue<>());
    }

    DecisionLoop(NodeConfiguration configuration, Reactor reactor, EndpointRegistry endpointRegistry, RecordStore recordStore,
            NodeClock clock, Counters counters, NodeLog log, LinkedBlockingQueue<LoopEvent> eventQueue) {
        this.eventQueue = eventQueue;
        this.limits = configuration.limits();
        this.counters = counters;
        this.log = log;
        this.clock = clock;
        this.recordStore = recordStore;
        this.endpointRegistry = endpointRegistry;
        this.keyQuietMicros = configuration.deliverySettings().keyQuietPeriod();
        this.gradeCount = configuration.deliverySettings().grades().size();
        slowTurnDetector = new SlowTurnDetector(limits.slowTurnThresholdMicros(), limits.slowTurnLogIntervalMicros(), counters);
        holdUpDetector = new HoldUpDetector(() -> System.nanoTime() / 1000, limits.holdUpToleranceMicros());
        connectionPool = new ConnectionPool(reactor, limits, counters, log, clock::now, holdUpDetector,
                connection -> post(new LoopEvent.ConnectionReleased(connection)));
        decisionStage = new DecisionStage(new Dispatcher(configuration.deliverySettings()));
        intakeStage = new IntakeStage(recordStore.lastRecordNumber());
        admissionStage = new AdmissionStage(limits, counters, endpointRegistry, recordStore);
        sendStage = new SendStage(limits, counters, endpointRegistry, connectionPool, decisionStage, recordStore, timers,
                configuration.reportFields(), log, this);
        notificationStage = new NotificationStage(limits, counters, configuration.discoveryAddress(), connectionPool,
                decisionStage, recordStore, timers, log, this);
        watch = new Watch(limits, configuration.discoveryAddress(), endpointRegistry, connectionPool, log,
                configuration.deliverySettings().listOnRequest(), new Random(configuration.deliverySettings().seed()),
                (callNumber, result) -> post(new LoopEvent.WatchCompleted(callNumber, result)));
    }

    public long now() {
        return clock.now();
    }

    /** The decisions being carried out were made with knowledge of all that was received up to this time. */
    long eventsHandledUntil() {
        return eventsHandledUntil;
    }

    /**
     * Queues a client's request; called on the I/O thread. Returns false if the queue is full or the loop has ended. A
     * request that arrives while the loop is ending is either handled by its final drain of the queue or removed here, so
     * that it is answered exactly once.
     */
    public boolean offerRequest(ClientRequest request) {
        if (finished || stopped || queuedRequestCount.get() >= limits.requestQueueCapacity()) {
            return false;
        }
        LoopEvent event = new LoopEvent.RequestReceived(request);
        queuedRequestCount.incrementAndGet();
        eventQueue.add(event);
        return !queueClosed || !eventQueue.remove(event);
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
    public void post(LoopEvent event) {
        eventQueue.add(event);
    }

    /**
     * Restores the last known list and the unfinished records of the previous run; called before the thread starts. The
     * list may be out of date, and whatever discovery publishes counts as known to the node: the first turn of the
     * decision module waits until discovery has been asked, also where the list comes on request: the module would request it
     * only in that turn, after it has sent what was restored.
     */
    public void restore(Event.ListReceived knownList, Collection<TrackedRecord> records) {
        watch.requestList(now());
        decisionStage.addEvent(knownList);
        for (TrackedRecord record : List.copyOf(records)) {
            counters.add(Counter.RESTORED, record.noticeSettled ? 0 : 1);
            if (!record.isOpen()) {
                notificationStage.restore(record);
            }
            if (record.entry.grade() < gradeCount) {
                restoredRecords.add(record);
            } else if (record.isOpen()) {
                log.warn("journal: record has an unknown service grade, terminated without delivery");
                notificationStage.endRecord(record, JournalEntry.RecordOutcome.TERMINATED, 0);
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
        restoredRecords.forEach(sendStage::restore);
        restoredRecords.clear();
        deferredRequests.forEach(request -> handleClientRequest(request, now));
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
                counters.add(Counter.TURNS_FAILED);
                eventsLost = true;
                refuseNewRecords();
                log.warn("decision thread: turn failed, its new records are refused", e);
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
        deferredRequests.forEach(request -> request.responder().refused(0));
        try {
            for (LoopEvent event = eventQueue.poll(); event != null;
                    event = eventQueue.poll(limits.finalEventPollMicros(), TimeUnit.MICROSECONDS)) {
                handleAtShutdown(event);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        queueClosed = true;
        for (LoopEvent event = eventQueue.poll(); event != null; event = eventQueue.poll()) {
            handleAtShutdown(event);
        }
        recordStore.flush();
        connectionPool.close();
    }

    private void handleAtShutdown(LoopEvent event) {
        if (event instanceof LoopEvent.RequestReceived requestReceived) {
            counters.add(Counter.REFUSED_AT_DOOR);
            requestReceived.clientRequest().responder().refused(0);
        } else if (event instanceof LoopEvent.ShotCompleted shotCompleted) {
            sendStage.handleResult(shotCompleted);
        } else if (event instanceof LoopEvent.DeliveryContradicted contradicted) {
            notificationStage.reportUncertainDelivery(contradicted.trackedRecord(), contradicted.shot());
        }
    }

    private void runTurn() throws InterruptedException {
        long now = now();
        long wakeUpAt = Math.min(timers.nextDueAt(now + limits.maxPollWaitMicros()), watch.dueAt());
        beginOnceDiscoveryResolved(now);
        long maxWaitMicros = decisionStage.hasPendingEvents() && isDiscoveryResolved() ? 0 : Math.max(0, wakeUpAt - now);
        holdUpDetector.beginWait(maxWaitMicros);
        LoopEvent event = eventQueue.poll(maxWaitMicros, TimeUnit.MICROSECONDS);
        holdUpDetector.endWait();
        now = now();
        eventsHandledUntil = now;
        slowTurnDetector.beginTurn(now);
        int eventCount = 0;
        while (event != null) {
            handleEventOrDrop(event, now);
            event = eventCount++ < limits.maxEventsPerTurn() ? eventQueue.poll() : null;
        }
        slowTurnDetector.endEventPhase(eventCount, now());
        timers.runDue(now);
        slowTurnDetector.endPhase(Phase.TIMERS, now());
        watch.runDueActions(now);
        if (watch.pollFailure()) {
            decisionStage.addEvent(new Event.ListRequestFailed());
        }
        beginOnceDiscoveryResolved(now);
        if (isDiscoveryResolved()) {
            performActions();
            firstTurnDone.countDown();
        } else {
            notificationStage.sendPendingNotices(now);
        }
        if (eventsLost && now >= nextOverdueCheckAt) {
            nextOverdueCheckAt = now + limits.maxPollWaitMicros();
            endOverdueRecords(now);
        }
        if (now >= nextSweepAt) {
            nextSweepAt = now + limits.sweepIntervalMicros();
            logWallClockStep();
            connectionPool.closeExpired(now);
            endpointRegistry.evictGone(now - limits.goneEndpointRetentionMicros(), limits.maxGoneEndpoints());
            recordStore.evictEnded(now, Math.max(keyQuietMicros, limits.endedRecordRetentionMicros()));
            recordStore.compactIfNeeded();
            slowTurnDetector.endPhase(Phase.SWEEP, now());
        }
        String slowTurnReport = slowTurnDetector.endTurn(now());
        if (slowTurnReport != null) {
            log.warn(slowTurnReport);
        }
        // even with no record held the loop goes on for a minimum time: clients that do not know of the shutdown yet still
        // send requests, which must be answered
        finished = now >= shutdownDeadline || shutdownDeadline < Long.MAX_VALUE && recordStore.heldOrAdmittedCount() == 0
                && !notificationStage.hasPendingNotices()
                && now >= shutdownDeadline - limits.shutdownGracePeriodMicros() + limits.minShutdownMicros();
    }

    private void logWallClockStep() {
        long stepMicros = wallClockMonitor.pollStep();
        if (stepMicros != 0) {
            counters.add(Counter.WALL_CLOCK_STEPS);
            log.warn("wall clock stepped by " + stepMicros / 1000 + " ms");
        }
    }

    /** Records that the decision module has lost in a failed turn get their final answer all the same. */
    private void endOverdueRecords(long now) {
        for (TrackedRecord record : recordStore.openRecordsOverdueSince(now - limits.overdueRecordMicros())) {
            log.warn("message " + record.entry.id() + " is overdue and ended without a decision");
            notificationStage.endRecord(record, JournalEntry.RecordOutcome.TERMINATED, 0);
        }
    }

    /** Handles an event. One that fails is dropped, so that those behind it are still handled; its client, if any, is refused. */
    private void handleEventOrDrop(LoopEvent event, long now) {
        try {
            handleEvent(event, now);
        } catch (RuntimeException | OutOfMemoryError e) {
            counters.add(Counter.EVENTS_FAILED);
            eventsLost = true;
            if (event instanceof LoopEvent.RequestReceived requestReceived) {
                NotificationStage.answer(requestReceived.clientRequest().responder(), responder -> responder.refused(0));
            }
            log.warn("decision thread: " + event.getClass().getSimpleName() + " dropped", e);
        }
    }

    private void handleEvent(LoopEvent event, long now) {
        if (event instanceof LoopEvent.RequestReceived requestReceived) {
            queuedRequestCount.decrementAndGet();
            slowTurnDetector.recordQueueWait(now - requestReceived.clientRequest().receivedAt());
            if (isDiscoveryResolved()) {
                handleClientRequest(requestReceived.clientRequest(), now);
            } else if (deferredRequests.size() < limits.requestQueueCapacity()) {
                deferredRequests.add(requestReceived.clientRequest());
            } else {
                counters.add(Counter.REFUSED_AT_DOOR);
                requestReceived.clientRequest().responder().refused(0);
            }
        } else if (event instanceof LoopEvent.ShotCompleted shotCompleted) {
            sendStage.handleResult(shotCompleted);
        } else if (event instanceof LoopEvent.DeliveryContradicted contradicted) {
            notificationStage.reportUncertainDelivery(contradicted.trackedRecord(), contradicted.shot());
        } else if (event instanceof LoopEvent.ConnectionReleased connectionReleased) {
            connectionPool.release(connectionReleased.connection(), now);
            sendStage.handleConnectionReleased(connectionReleased.connection());
        } else if (event instanceof LoopEvent.ProbeCompleted probeCompleted) {
            sendStage.handleResult(probeCompleted);
        } else if (event instanceof LoopEvent.NoticeCallCompleted noticeCallCompleted) {
            notificationStage.handleNoticeResult(noticeCallCompleted, now);
        } else if (event instanceof LoopEvent.WatchCompleted watchCompleted) {
            Event.ListReceived list = watch.handleResult(watchCompleted.callNumber(), watchCompleted.result(), now);
            if (list != null) {
                handleList(list, now);
            }
        } else if (event instanceof LoopEvent.DiscoveryAddressChanged addressChanged) {
            watch.changeDiscoveryAddress(addressChanged.address());
            notificationStage.changePlatformAddress(addressChanged.address());
        } else if (event instanceof LoopEvent.ClientDisconnected clientDisconnected) {
            handleClientDisconnect(clientDisconnected.clientRequest(), now);
        } else if (event instanceof LoopEvent.ShutdownRequested) {
            shutdownDeadline = now + limits.shutdownGracePeriodMicros();
            admissionStage.beginShutdown();
            decisionStage.addEvent(new Event.NodeShuttingDown(limits.shutdownGracePeriodMicros()));
            timers.schedule(shutdownDeadline, () -> { });
        }
    }

    private void handleList(Event.ListReceived list, long now) {
        counters.add(Counter.LISTS_TOLD);
        log.trace(now, "list", list.entries().size());
        decisionStage.addEvent(list);
        endpointRegistry.pollRemovedPeers().forEach(connectionPool::removePeer);
        endpointRegistry.pollDrainingPeers().forEach(connectionPool::cancelUnstartedCalls);
        recordStore.journalEndpointList(endpointRegistry.version(), list.complete(), endpointRegistry.describeEntries(list));
    }

    /**
     * Admits a request as a new record, or answers it. If a record with the same id was admitted earlier in this turn, the
     * second request is refused, as it would be if the first record were in the journal. If the two requests differ, it is
     * unknown which client owns the id; since neither has been accepted yet, both are refused.
     */
    private void handleClientRequest(ClientRequest request, long now) {
        TrackedRecord earlier = newRecords.values().stream().filter(record -> record.entry.id().equals(request.id())).findFirst()
                .orElse(null);
        if (earlier != null) {
            counters.add(Counter.REPEATS);
            request.responder().refused(0);
            if (!earlier.isSameRecord(request)) {
                newRecords.remove(earlier.entry.number());
                notificationStage.answerRefused(earlier, 0);
                decisionStage.addEvent(new Event.RecordWithdrawn(earlier.entry.number()));
            }
        } else if (admissionStage.admit(request, now)) {
            TrackedRecord record = intakeStage.createRecord(request);
            newRecords.put(record.entry.number(), record);
            decisionStage.addEvent(turnTime -> toEvent(record, turnTime));
        }
    }

    static Event.RecordAccepted toEvent(TrackedRecord record, long now) {
        JournalEntry.RecordAccepted accepted = record.entry;
        return new Event.RecordAccepted(accepted.number(), accepted.grade(), accepted.tenant(), accepted.key(),
                accepted.abandonAt() - now, 0, accepted.destination(), record.clientRetry, false, record.fromDeadNode);
    }

    /**
     * Withdraws the record of a client that disconnected before its answer, as that client may hand it in again under
     * another id. Only the record that this client itself handed in is withdrawn: a client that repeated another one's id
     * leaves that record as it is.
     */
    private void handleClientDisconnect(ClientRequest request, long now) {
        TrackedRecord record = recordStore.findById(request.id());
        for (TrackedRecord newRecord : List.copyOf(newRecords.values())) {
            if (newRecord.responder == request.responder()) {
                newRecords.remove(newRecord.entry.number());
                decisionStage.addEvent(new Event.RecordWithdrawn(newRecord.entry.number()));
            }
        }
        if (record != null && record.isOpen() && record.entry.acceptedAt() == request.receivedAt()) {
            counters.add(Counter.WITHDRAWN);
            log.infoAboutRecord("message " + request.id() + " withdrawn: client disconnected before its answer");
            recordStore.endRecord(record, JournalEntry.RecordOutcome.WITHDRAWN, 0);
            decisionStage.addEvent(new Event.RecordWithdrawn(record.entry.number()));
        }
        request.responder().withdrawn();
    }

    private boolean isDiscoveryResolved() {
        return discoveryResolved.getCount() == 0;
    }

    /**
     * Runs the decision module until it has no pending events, and performs the actions that it asks for. The time of each
     * run is read after its events have happened. With the time of the turn's start, which may be long before, the quiet
     * period of a key and a requested wait would end too early.
     */
    private void performActions() {
        while (decisionStage.hasPendingEvents()) {
            long now = now();
            List<Action> actions = decisionStage.runTurn(now);
            slowTurnDetector.endPhase(Phase.MODULE, now());
            answerNewRecords(actions);
            actions.forEach(action -> performActionOrRecover(action, now));
            slowTurnDetector.endPhase(Phase.ACTIONS, now());
        }
        notificationStage.sendPendingNotices(now());
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
        for (TrackedRecord record : List.copyOf(newRecords.values())) {
            boolean journalled = recordStore.tryAdd(record);
            newRecords.remove(record.entry.number());
            if (journalled) {
                notificationStage.answerAccepted(record);
            } else {
                notificationStage.answerRefused(record, 0);
                decisionStage.addEvent(new Event.RecordWithdrawn(record.entry.number()));
            }
        }
        recordStore.clearReservations();
    }

    /** Refuses the new records of a turn that failed. They are not in the journal, so the node is not responsible for them. */
    private void refuseNewRecords() {
        for (TrackedRecord record : newRecords.values()) {
            notificationStage.answerRefused(record, 0);
            decisionStage.addEvent(new Event.RecordWithdrawn(record.entry.number()));
        }
        newRecords.clear();
        recordStore.clearReservations();
    }

    /** Ends a record. One that is not held any more has its answer, and the dispatcher must not wait for it. */
    private void endRecord(long number, JournalEntry.RecordOutcome outcome, long retryAfterMicros) {
        TrackedRecord record = recordStore.findByNumber(number);
        if (record == null) {
            decisionStage.addEvent(new Event.FinalAnswerDelivered(number));
        } else {
            notificationStage.endRecord(record, outcome, retryAfterMicros);
        }
    }

    /** Performs an action. If that fails, the others are still performed, and a record that was to end is ended in a later turn. */
    private void performActionOrRecover(Action action, long now) {
        try {
            performAction(action, now);
        } catch (RuntimeException | OutOfMemoryError e) {
            counters.add(Counter.ACTIONS_FAILED);
            if (action instanceof Action.Bounce || action instanceof Action.Terminate) {
                timers.schedule(now + limits.failedActionDelayMicros(), () -> performActionOrRecover(action, now()));
            }
            log.warn("decision thread: " + action.getClass().getSimpleName() + " failed", e);
        }
    }

    private void performAction(Action action, long now) {
        if (action instanceof Action.SendShot sendShot) {
            sendStage.sendShot(recordStore.findByNumber(sendShot.id()), sendShot, now);
        } else if (action instanceof Action.Recall recall && recordStore.findByNumber(recall.id()) != null) {
            sendStage.recallShot(recordStore.findByNumber(recall.id()), recall.shotIndex());
        } else if (action instanceof Action.Bounce bounce) {
            endRecord(bounce.id(), JournalEntry.RecordOutcome.BOUNCED, bounce.retryAfter());
        } else if (action instanceof Action.Terminate terminate) {
            endRecord(terminate.id(), JournalEntry.RecordOutcome.TERMINATED, 0);
        } else if (action instanceof Action.StartTimer startTimer) {
            timers.schedule(now + startTimer.delay(), () -> decisionStage.addEvent(new Event.TimerExpired(startTimer.token())));
        } else if (action instanceof Action.Probe probe) {
            sendStage.startProbe(probe.endpoint(), now);
        } else if (action instanceof Action.CancelUnsentCalls cancelCalls) {
            sendStage.cancelUnsentCalls(cancelCalls.endpoint());
        } else if (action instanceof Action.SetListSubscription) {
            watch.requestList(now);
        } else if (action instanceof Action.CloseIdleConnections closeIdle) {
            sendStage.closeIdleConnections(closeIdle.endpoint());
        } else if (action instanceof Action.Log logLine) {
            log.info(logLine.text());
        }
    }
}
