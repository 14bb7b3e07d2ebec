package terndyke.decision;

import java.util.*;
import java.util.function.Predicate;

import terndyke.api.*;
import terndyke.decision.PendingRecord.*;

/**
 * Decides what happens to every pending record. {@link #handleEvents} is the only entry point: it takes the events since
 * the previous turn and returns the actions to perform. {@link RoutePicker} chooses the routes of a record by the latency
 * fits of {@link Route}, and degraded destinations hold at most half of the slots. Six further mechanisms: (1) the call
 * rate learned from refusals and (2) outage detection with a call budget during recovery, both in {@link FailureDomain};
 * (3) overdue shots, (4) ordering by payoff and (5) the limit of pending records, here; (6) the queues of records with
 * the same key, in {@link PendingRecord.KeyQueue}. Times are microseconds.
 */
public final class Dispatcher {
    private static final double TARGET_RELIABILITY = 0.9, // that a set of routes has to reach: R-hat of the design
            COPIES_PER_FIRST_SHOT = 0.1; // how many second copies each first shot adds to the budget
    private static final long TICK_INTERVAL_MICROS = 20_000, // between two checks for what is overdue or out of time
            RETRY_BACKOFF_MICROS = 100_000, // before a record's second shot if the first may have run; doubled each time
            SHORT_HORIZON_MICROS = 300_000, LONG_HORIZON_MICROS = 6_000_000; // soon and late; for the payoffs see urgency()

    private final DeliverySettings settings;
    private final Map<Integer, DestinationState> destinationStates = new LinkedHashMap<>();
    private final Map<Integer, OutcomeHistory> outcomesByHall = new HashMap<>();
    private final Map<Long, Route> routesByEndpoint = new LinkedHashMap<>();
    private final Set<FailureDomain> activeDomains = new LinkedHashSet<>(); // with calls out, or suspected of an outage
    private final Set<Route> idleCloseCandidates = new LinkedHashSet<>(); // their idle connections may be closed after this turn
    private final Set<DestinationState> destinationsWithWaitingRecords = new LinkedHashSet<>();
    private final Map<Long, PendingRecord> recordsById = new HashMap<>();
    private final Map<Long, KeyQueue> keyQueues = new HashMap<>(), undeliveredAnswers = new HashMap<>(); // by key; by record id
    private final TreeSet<PendingRecord> recordsByAbandonTime = new TreeSet<>(
            Comparator.comparingLong((PendingRecord record) -> record.abandonAt).thenComparingLong(record -> record.id));
    private final Random random;
    private final Map<Integer, Long> quotaUsedUntil = new HashMap<>(); // by tenant: time up to which its quota is consumed
    private final Map<Integer, EndpointKind> endpointKinds = new HashMap<>();
    private List<Action> actions;
    private final int[] endedCalls = new int[2], lostCalls = new int[2]; // [0] on new connections, [1] on reused; halved at times
    private long now, nextTickAt, nextListRequestAt, shutdownAt = Long.MAX_VALUE;
    private int inFlightCallCount, degradedCallCount, // calls out: in all, and in degraded failure domains
            failedListRequests; // since the last list
    private double copyBudget; // how many second copies may be sent

    public Dispatcher(DeliverySettings settings) {
        this.settings = settings;
        random = new Random(settings.seed());
        nextListRequestAt = settings.listOnRequest() ? 0 : Long.MAX_VALUE;
    }

    /**
     * Runs one turn.
     *
     * @param time   the present time
     * @param events what happened since the previous turn, in order
     * @return the actions to perform, in order
     */
    public List<Action> handleEvents(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        events.forEach(this::handleEvent);
        if (now >= nextTickAt) {
            tick();
        }
        dispatch();
        bounceExcessRecords();
        if (now >= nextListRequestAt) {
            nextListRequestAt = Long.MAX_VALUE;
            actions.add(new Action.SetListSubscription(true));
        }
        idleCloseCandidates.removeIf(this::closeIfRarelyUsed);
        if (nextTickAt <= now && !(recordsByAbandonTime.isEmpty() && nextListRequestAt == Long.MAX_VALUE)) {
            nextTickAt = now + TICK_INTERVAL_MICROS;
            actions.add(new Action.StartTimer(TICK_INTERVAL_MICROS, 0));
        }
        return actions;
    }

    private void handleEvent(Event event) {
        if (event instanceof Event.RecordAccepted accepted) {
            acceptRecord(accepted);
        } else if (event instanceof Event.RecordRestored restored) {
            restoreRecord(restored);
        } else if (event instanceof Event.ShotEnded ended) {
            handleShotEnded(ended);
        } else if (event instanceof Event.ListReceived list) {
            updateEndpoints(list);
            failedListRequests = 0;
        } else if (event instanceof Event.ListRequestFailed && settings.listOnRequest()) {
            // all nodes may request the list at once, so each retries after a random backoff
            nextListRequestAt = now
                    + (long) ((0.5 + random.nextDouble()) * (SHORT_HORIZON_MICROS << Math.min(3, failedListRequests++)));
        } else if (event instanceof Event.ProbeEnded probe && routesByEndpoint.containsKey(probe.endpoint())) {
            Route route = routesByEndpoint.get(probe.endpoint());
            route.failureDomain.probeEnded(now, probe.ending(), probe.loadReport());
            checkConnectionLimit(route, probe.ending());
        } else if (event instanceof Event.FinalAnswerDelivered delivered && undeliveredAnswers.containsKey(delivered.id())) {
            undeliveredAnswers.remove(delivered.id()).outstandingCount--;
        } else if (event instanceof Event.DeliveryRevoked revoked) {
            awaitAnswerDelivery(revoked.id(), keyQueue(revoked.grade(), revoked.key()));
        } else if (event instanceof Event.CallClosedLate closed && keyQueues.containsKey(closed.key())) {
            keyQueues.get(closed.key()).restUntil(now + settings.keyQuietPeriod() + 1);
        } else if (event instanceof Event.NodeShuttingDown shutdown) {
            shutdownAt = now + shutdown.gracePeriod();
        } else if (event instanceof Event.RecordWithdrawn withdrawn && recordsById.containsKey(withdrawn.id())) {
            endRecord(recordsById.get(withdrawn.id()));
        }
    }

    private void updateEndpoints(Event.ListReceived list) {
        if (list.complete()) {
            routesByEndpoint.values().forEach(route -> route.updateState(ListedEndpoint.EndpointState.GONE, now));
        }
        for (ListedEndpoint entry : list.entries()) {
            Route route = routesByEndpoint.computeIfAbsent(entry.endpoint(), endpoint -> createRoute(entry));
            route.updateState(entry.state(), now);
            route.failureDomain.listedRate = entry.rate() / settings.listedRateAccuracy().maxOverstatement();
        }
    }

    private Route createRoute(ListedEndpoint entry) {
        DestinationState destination = destinationStates.computeIfAbsent(entry.destination(), number -> new DestinationState());
        int kind = entry.kind();
        destination.kind = endpointKinds.computeIfAbsent(kind, number -> new EndpointKind());
        destination.maxRecordsPerCall = kind < settings.maxRecordsPerCallByKind().size()
                ? settings.maxRecordsPerCallByKind().get(kind) : 1;
        boolean independent = kind < settings.independentRoutesByKind().size() && settings.independentRoutesByKind().get(kind);
        FailureDomain failureDomain = !independent && !destination.routes.isEmpty() ? destination.routes.get(0).failureDomain
                : new FailureDomain(settings, random, line -> actions.add(new Action.Log(line)));
        Route route = new Route(entry.endpoint(), entry.zone(), destination, failureDomain,
                outcomesByHall.computeIfAbsent(entry.zone(), zone -> new OutcomeHistory()));
        route.fee = (independent ? settings.hallFee(route.zone) : 0)
                + (route.zone == settings.zone() ? 0 : settings.zoneCrossingPrice());
        destination.routes.add(route);
        failureDomain.routes.add(route);
        return route;
    }

    private PendingRecord acceptRecord(Event.RecordAccepted accepted) {
        ServiceGrade grade = settings.grades().get(accepted.grade());
        DestinationState destination = destinationStates.computeIfAbsent(accepted.destination(),
                number -> new DestinationState());
        double payoff = grade.payoff() * (consumeQuota(accepted.tenant()) ? 1 : settings.overQuotaPayoffFactor());
        KeyQueue keyQueue = keyQueue(accepted.grade(), accepted.key());
        PendingRecord record = new PendingRecord(accepted, now, grade, destination, payoff, keyQueue);
        recordsById.put(accepted.id(), record);
        recordsByAbandonTime.add(record);
        keyQueue.records.add(record);
        enqueue(record, now);
        return record;
    }

    /** The queue of a key, which all grades in order share; a record without order has a queue of its own. */
    private KeyQueue keyQueue(int grade, long key) {
        return settings.grades().get(grade).inOrder() && key != 0 ? keyQueues.computeIfAbsent(key, number -> new KeyQueue())
                : new KeyQueue();
    }

    /**
     * Takes over a record that the previous run of this node did not finish, so that rules 2 and 5 hold across a restart: a
     * shot that was out when that run ended may have run.
     */
    private void restoreRecord(Event.RecordRestored restored) {
        PendingRecord record = acceptRecord(restored.accepted());
        for (Event.EarlierShot earlier : restored.earlierShots()) {
            Route route = new Route(earlier.endpoint(), earlier.zone(), record.destinationState, null, new OutcomeHistory());
            Shot shot = new Shot(new Call(route, now - earlier.age()));
            shot.ending = earlier.ending() == null ? Ending.RESET : earlier.ending();
            record.shots.add(shot);
            record.keyQueue.shotEnded(record, shot.ending, now, settings.keyQuietPeriod());
        }
        if (restored.ended()) {
            awaitAnswerDelivery(record.id, record.keyQueue);
            endRecord(record);
        } else if (record.isDone()) {
            bounceOrTerminate(record);
        }
    }

    /** Notes that the final answer is not delivered yet; until then no other record of the same key is sent. */
    private void awaitAnswerDelivery(long id, KeyQueue keyQueue) {
        keyQueue.outstandingCount += settings.reportsFinalAnswerDelivery()
                && undeliveredAnswers.put(id, keyQueue) == null ? 1 : 0;
    }

    /**
     * Counts a record against its tenant's quota and returns whether it is within. Records beyond this node's share of
     * two seconds of quota have little payoff; a single record is always within, however small the share.
     */
    private boolean consumeQuota(int tenant) {
        List<Double> quotas = settings.tenantQuotas();
        long microsPerRecord = tenant < quotas.size() ? (long) (1e6 * settings.nodeCount() / quotas.get(tenant)) : 0;
        long usedUntil = Math.max(quotaUsedUntil.getOrDefault(tenant, 0L), now - Math.max(microsPerRecord, 2_000_000));
        quotaUsedUntil.put(tenant, usedUntil + microsPerRecord <= now ? usedUntil + microsPerRecord : usedUntil);
        return usedUntil + microsPerRecord <= now;
    }

    /**
     * Bounces records shortly before the limit of pending records is reached: of those without a shot out, the longest
     * queue gives up the record with the least payoff.
     */
    private void bounceExcessRecords() {
        for (int excess = recordsByAbandonTime.size() - settings.maxPendingRecords() + 2; excess > 0; excess--) {
            recordsByAbandonTime.stream().filter(record -> record.inFlightShotCount == 0 && record.canBounce())
                    .min(Comparator.comparingInt((PendingRecord record) -> -record.destinationState.waitingRecords.size())
                    .thenComparingDouble(record -> record.payoffAt(now + LONG_HORIZON_MICROS, settings)))
                    .ifPresent(this::bounceOrTerminate);
        }
    }

    private void enqueue(PendingRecord record, long notBefore) {
        record.notBefore = notBefore;
        record.destinationState.waitingRecords.add(record);
        destinationsWithWaitingRecords.add(record.destinationState);
    }

    /** Gives the final answer at once: a bounce if another try by the client is harmless, otherwise a termination. */
    private void bounceOrTerminate(PendingRecord record) {
        actions.add(record.inFlightShotCount > 0 || !record.canBounce() ? new Action.Terminate(record.id)
                : new Action.Bounce(record.id, Math.min(1_000_000, settings.maxRetryAfter())));
        awaitAnswerDelivery(record.id, record.keyQueue);
        endRecord(record);
    }

    private void endRecord(PendingRecord record) {
        if (recordsByAbandonTime.remove(record)) {
            record.ended = true;
            record.destinationState.waitingRecords.remove(record);
            record.shots.stream().filter(shot -> shot.ending == null && settings.recallsAllowed())
                    .forEach(shot -> actions.add(new Action.Recall(record.id, record.shots.indexOf(shot))));
            record.keyQueue.recordEnded(record);
            recordsById.remove(record.id, record.inFlightShotCount == 0 ? record : null);
        }
    }

    private void handleShotEnded(Event.ShotEnded ended) {
        PendingRecord record = recordsById.get(ended.id());
        if (record == null || ended.shotIndex() >= record.shots.size()) {
            return;
        }
        Shot shot = record.shots.get(ended.shotIndex());
        shot.ending = ended.ending();
        record.inFlightShotCount--;
        handleCallEnded(shot, ended);
        record.keyQueue.shotEnded(record, ended.ending(), now, settings.keyQuietPeriod() + PendingRecord.MAX_HOLD_UP_MICROS);
        if (record.ended) {
            recordsById.remove(record.id, record.inFlightShotCount == 0 ? record : null);
        } else if (ended.recordEnded()) {
            endRecord(record);
        } else if (record.isDone() || now >= record.abandonAt - settings.turnInterval()
                || record.isUndeliverable(now, settings)) {
            bounceOrTerminate(record);
        } else if (record.inFlightShotCount == 0) {
            enqueue(record, now + (shot.ending.provesNotRun() ? 0 : RETRY_BACKOFF_MICROS << Math.min(4, ended.shotIndex())));
        }
    }

    private void handleCallEnded(Shot shot, Event.ShotEnded ended) {
        Call call = shot.call;
        Route route = call.route;
        call.inFlightRecordCount--;
        if (!call.outcomeKnown) {
            call.outcomeKnown = true;
            route.callEnded(call, ended.ending(), now);
            if (ended.ending() != Ending.NOT_SENT && (ended.ending() != Ending.RECALLED || shot.recalled)) {
                route.addOutcome(now, ended.ending(), ended.elapsed());
            }
            if (updateAndCheckReusedConnectionLoss(call, ended.ending(), shot.recalled)
                    || ended.ending() == Ending.CROWDED && isWidelyCrowded()) {
                scheduleIdleClose(r -> true);
            }
            checkConnectionLimit(route, ended.ending());
            route.failureDomain.callEnded(call, ended.ending(), ended.retryAfter(), now);
            activeDomains.add(route.failureDomain);
        }
        route.failureDomain.applyFeedback(now, ended.retryAfter(), ended.loadReport());
        route.failureDomain.routes.stream().filter(r -> ended.retryAfter() > 0)
                .forEach(r -> actions.add(new Action.CancelUnsentCalls(r.endpoint)));
        if (call.inFlightRecordCount == 0) {
            inFlightCallCount--;
            route.destinationState.inFlightCallCount--;
            if (now < route.destinationState.kind.closeIdleUntil
                    || route.wasCrowdedWithin(now, settings.idleConnectionTimeout())) {
                idleCloseCandidates.add(route);
            }
        }
    }

    /**
     * A call that got no connection does not show whether the endpoint is down or holds as many connections as it
     * accepts. A probe does, as it needs none of them: if it succeeds, or a call does soon after, rarely used connections
     * to endpoints of this kind are closed.
     */
    private void checkConnectionLimit(Route route, Ending ending) {
        EndpointKind kind = route.destinationState.kind;
        if (ending == Ending.DONE && now - route.failureDomain.lastConnectFailureAt < FailureDomain.MIN_OUTAGE_MICROS) {
            scheduleIdleClose(r -> r.destinationState.kind == kind);
        } else if (ending == Ending.NOT_CONNECTED && settings.probesAllowed() && route.isReady()
                && now >= Math.max(route.failureDomain.waitUntil, Math.max(kind.nextConnectionProbeAt, kind.closeIdleUntil))) {
            kind.nextConnectionProbeAt = now + FailureDomain.MIN_OUTAGE_MICROS;
            actions.add(new Action.Probe(route.endpoint));
        }
    }

    /**
     * Updates the counts of lost calls. Returns true if calls on reused connections end without an answer far more often
     * than those on new ones, as they do where idle connections are dropped unnoticed.
     */
    private boolean updateAndCheckReusedConnectionLoss(Call call, Ending ending, boolean recalledAsOverdue) {
        boolean lost = ending == Ending.RESET || ending == Ending.TIMED_OUT
                || recalledAsOverdue && ending == Ending.RECALLED;
        int reused = call.neededNewConnection ? 0 : 1;
        lostCalls[reused] += lost ? 1 : 0;
        endedCalls[reused] += lost || ending == Ending.DONE ? 1 : 0;
        for (int i = 0; endedCalls[reused] > OutcomeHistory.MAX_OUTCOMES && i < 2; i++) {
            lostCalls[i] /= 2;
            endedCalls[i] /= 2;
        }
        return lost && reused == 1 && lostCalls[1] >= 2
                && lostCalls[1] * (1 + endedCalls[0]) > 2 * (1 + lostCalls[0]) * endedCalls[1];
    }

    /**
     * For a while, closes rarely used connections of these routes at once: other nodes need the connections, or idle
     * ones are dropped by the other side.
     */
    private void scheduleIdleClose(Predicate<Route> which) {
        routesByEndpoint.values().stream().filter(which).forEach(route -> {
            idleCloseCandidates.add(route);
            route.destinationState.kind.closeIdleUntil = now + OutcomeHistory.RETENTION_MICROS;
        });
    }

    /**
     * True if at least half of the routes in use were crowded lately: then connections are short everywhere, otherwise
     * only at the crowded endpoints.
     */
    private boolean isWidelyCrowded() {
        return 2 * routesByEndpoint.values().stream()
                .filter(route -> route.wasCrowdedWithin(now, settings.idleConnectionTimeout())).count()
                >= routesByEndpoint.values().stream()
                .filter(route -> now - route.lastCallEndedAt < settings.idleConnectionTimeout()).count();
    }

    /**
     * Closes the idle connections of a rarely used route and returns true if it did. This runs at the end of a turn, when
     * no waiting record can use them; each connection held here is one fewer for the other nodes.
     */
    private boolean closeIfRarelyUsed(Route route) {
        boolean rarelyUsed = now - route.lastCallEndedAt > 2 * SHORT_HORIZON_MICROS || now == route.lastCallEndedAt
                && (route.outcomes.meanCallInterval(now) > 2 * SHORT_HORIZON_MICROS
                || route.wasCrowdedWithin(now, settings.idleConnectionTimeout()));
        if (rarelyUsed) {
            route.openConnections = route.inFlightCallCount;
            actions.add(new Action.CloseIdleConnections(route.endpoint));
        }
        return rarelyUsed;
    }

    private void tick() {
        keyQueues.values().removeIf(keyQueue -> keyQueue.isIdle(now));
        routesByEndpoint.values().removeIf(route -> route.removeIfExpired(now));
        activeDomains.removeIf(domain -> domain.inFlightCalls.isEmpty() && (!domain.isSuspect() || domain.routes.isEmpty()));
        long domainsWithCalls = activeDomains.stream().filter(domain -> !domain.inFlightCalls.isEmpty()).count();
        long domainsWithOverdueCalls = activeDomains.stream().filter(domain -> domain.overdueScore(now) > 0).count();
        String reason = domainsWithOverdueCalls > 2 && 2 * domainsWithOverdueCalls > domainsWithCalls ? null // slow everywhere
                : domainsWithOverdueCalls + " of " + domainsWithCalls + " destinations with overdue calls";
        for (FailureDomain domain : activeDomains) {
            domain.markSuspectIf(now, reason, reason != null && domain.overdueScore(now) >= 2);
            domain.nextProbeRoute(now).ifPresent(route -> actions.add(new Action.Probe(route.endpoint)));
        }
        for (PendingRecord record : List.copyOf(recordsByAbandonTime)) {
            if (record.abandonAt <= now + TICK_INTERVAL_MICROS + 2 * settings.turnInterval()
                    || record.isUndeliverable(now, settings)) {
                bounceOrTerminate(record);
            } else if (record.inFlightShotCount == 1 && !record.destinationState.waitingRecords.contains(record)) {
                handleOverdueShot(record);
            }
        }
    }

    /**
     * Handles a record whose only shot is out. If the shot is overdue, a copy is sent by another route. The shot is
     * recalled instead where it holds a slot that others need, or where copies are not allowed, its own failure domain is
     * suspected of an outage and another route can take the record.
     */
    private void handleOverdueShot(PendingRecord record) {
        Shot shot = record.shots.stream().filter(s -> s.ending == null).findFirst().orElseThrow();
        Route route = shot.call.route;
        long age = now - shot.call.startedAt, overdueAfter = route.overdueAfter(now);
        boolean slotNeeded = inFlightCallCount >= settings.slots() && age > 3 * overdueAfter
                || 2 * degradedCallCount >= settings.slots() && route.failureDomain.isSuspect();
        boolean overdue = !shot.recalled && age > overdueAfter;
        boolean otherRouteUsable = overdue && record.destinationState.routes.stream().anyMatch(other -> other != route
                && !other.failureDomain.isDegraded(now) && isUsable(other) && record.permitsShot(other, now, settings, shot));
        boolean recall = slotNeeded || !settings.copiesAllowed() && otherRouteUsable && route.failureDomain.isSuspect();
        if (overdue && settings.recallsAllowed() && recall) {
            shot.recalled = true;
            actions.add(new Action.Recall(record.id, record.shots.indexOf(shot)));
        } else if (settings.copiesAllowed() && otherRouteUsable && 4 * inFlightCallCount < 3 * settings.slots() - 3
                && copyBudget >= 1) {
            enqueue(record, now);
        }
    }

    /**
     * The urgency by which records are sent: the payoff that is lost if the record is answered late instead of soon, plus
     * a fifth of its late payoff, so that a record that loses nothing by waiting has some urgency too. A record that will be
     * abandoned soon has the payoff of the earliest answer to be expected: it is sent as long as that is in time.
     */
    private double urgency(PendingRecord record, double expectedLatency) {
        boolean abandonedSoon = record.abandonAt <= now + SHORT_HORIZON_MICROS;
        long soon = now + (abandonedSoon ? (long) Math.min(SHORT_HORIZON_MICROS, expectedLatency) : SHORT_HORIZON_MICROS);
        return record.payoffAt(soon, settings) - 0.8 * record.payoffAt(now + LONG_HORIZON_MICROS, settings);
    }

    private void dispatch() {
        destinationsWithWaitingRecords.removeIf(destination -> destination.waitingRecords.isEmpty());
        degradedCallCount = activeDomains.stream().filter(d -> d.isDegraded(now)).mapToInt(d -> d.inFlightCalls.size()).sum();
        if (inFlightCallCount < settings.slots()) {
            destinationsWithWaitingRecords.forEach(this::selectNextRecord);
            for (Optional<DestinationState> first = mostUrgentDestination(); first.isPresent(); first = mostUrgentDestination()) {
                sendOnBestRoutes(first.get().nextRecord);
                selectNextRecord(first.get());
            }
        }
    }

    private Optional<DestinationState> mostUrgentDestination() {
        return destinationsWithWaitingRecords.stream().filter(destination -> destination.nextRecord != null)
                .max(Comparator.comparingDouble(destination -> destination.nextUrgency));
    }

    /** Finds the destination's most urgent record that may be sent now, and its urgency per expected time in a slot. */
    private void selectNextRecord(DestinationState destination) {
        destination.degraded = destination.routes.stream().anyMatch(route -> route.failureDomain.isDegraded(now));
        List<Route> usable = destination.routes.stream().filter(this::isUsable).toList();
        double expectedSlotTime = usable.stream().mapToDouble(route -> route.failureDomain.expectedLatency(now)).min().orElse(1);
        double expectedLatency = usable.stream().mapToDouble(route -> route.expectedLatency(now)).min().orElse(0);
        destination.nextRecord = null;
        destination.nextUrgency = 0;
        for (PendingRecord record : usable.isEmpty() ? Set.<PendingRecord>of() : destination.waitingRecords) {
            double urgency = urgency(record, expectedLatency) / expectedSlotTime;
            if (urgency > destination.nextUrgency && record.notBefore <= now && record.keyQueue.canSend(record, now)
                    && usable.stream().anyMatch(route -> record.permitsShot(route, now, settings, null))) {
                destination.nextRecord = record;
                destination.nextUrgency = urgency;
            }
        }
    }

    private boolean isUsable(Route route) {
        FailureDomain domain = route.failureDomain;
        // degraded destinations together hold at most half of the slots
        boolean capReached = route.destinationState.degraded
                && 2 * (route.destinationState.inFlightCallCount + 1) > settings.slots()
                || 2 * degradedCallCount >= settings.slots() && domain.isDegraded(now) && !domain.isSuspect();
        return route.isReady() && now + route.fit(now).meanLatency() < shutdownAt
                && (hasJoinableCall(route) || !capReached && inFlightCallCount < settings.slots()
                && (now >= route.backoffUntil || domain.isSuspect()) && route.hasConnectionAvailable(now)
                && domain.admitsCall(now));
    }

    private boolean hasJoinableCall(Route route) {
        return route.joinableCall != null && route.joinableCall.startedAt == now && now >= route.failureDomain.waitUntil
                && route.joinableCall.recordCount < route.destinationState.maxRecordsPerCall
                && route.failureDomain.acceptsMoreRecords();
    }

    private void sendOnBestRoutes(PendingRecord record) {
        List<Route> candidates = record.destinationState.routes.stream()
                .filter(route -> isUsable(route) && record.permitsShot(route, now, settings, null))
                .sorted(Comparator.comparingInt(route -> route.callCount)).toList(); // routes without outcomes take turns
        boolean isCopy = record.inFlightShotCount > 0;
        copyBudget = Math.min(settings.slots(), copyBudget + (isCopy ? -1 : COPIES_PER_FIRST_SHOT));
        RoutePicker.Fit[] fits = candidates.stream().map(route -> route.fit(now)).toArray(RoutePicker.Fit[]::new);
        boolean sendPair = settings.copiesAllowed() && !isCopy
                && record.grade.repeatSemantics() != ServiceGrade.RepeatSemantics.UNREPEATABLE
                && record.destinationState.maxRecordsPerCall == 1 && 2 * (inFlightCallCount + 2) <= settings.slots()
                && !record.destinationState.degraded && copyBudget >= 1;
        double[] prices = candidates.stream().mapToDouble(this::shotPrice).toArray();
        int chosenRoutes = RoutePicker.pickSubset(fits, prices, record.grade.targetTime(), record.abandonAt - now,
                TARGET_RELIABILITY, sendPair ? 2 : 1);
        for (int i = 0; i < fits.length; i++) {
            if ((chosenRoutes >> i & 1) != 0 && isUsable(candidates.get(i))
                    && record.permitsShot(candidates.get(i), now, settings, null)) {
                copyBudget -= record.inFlightShotCount > 0 && !isCopy ? 1 : 0;
                sendShot(record, candidates.get(i));
            }
        }
    }

    /** The price of a shot by this route, in points: the fee of its hall, a zone crossing, a new connection. */
    private double shotPrice(Route route) {
        boolean hasIdleConnection = route.inFlightCallCount < route.openConnections
                && now - route.lastCallEndedAt < settings.idleConnectionTimeout();
        return route.fee + (hasIdleConnection || hasJoinableCall(route) ? 0 : settings.newConnectionPrice());
    }

    private void sendShot(PendingRecord record, Route route) {
        if (!hasJoinableCall(route)) {
            route.joinableCall = new Call(route, now);
            route.callStarted();
            route.failureDomain.callStarted(route.joinableCall);
            activeDomains.add(route.failureDomain);
            inFlightCallCount++;
            route.destinationState.inFlightCallCount++;
            degradedCallCount += route.failureDomain.isDegraded(now) ? 1 : 0;
        }
        // also for a first shot: a copy may run before it leaves, so the deduplication window applies to it too
        record.shots.add(new Shot(route.joinableCall));
        boolean unrepeatable = record.grade.repeatSemantics() == ServiceGrade.RepeatSemantics.UNREPEATABLE;
        actions.add(new Action.SendShot(record.id, route.endpoint, record.abandonAt,
                unrepeatable ? Long.MAX_VALUE : record.repeatDeadline(settings)));
        route.failureDomain.recordJoined(route.joinableCall.recordCount++);
        route.joinableCall.inFlightRecordCount++;
        record.inFlightShotCount++;
        record.destinationState.waitingRecords.remove(record);
    }
}
