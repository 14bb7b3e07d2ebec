package terndyke.decision;

import java.util.*;
import java.util.function.Predicate;

import terndyke.api.*;
import terndyke.decision.PendingRecord.*;

/** One entry point: turn() takes what happened and returns what is to be done. The design (RoutePicker over
 * Route's fits) decides where records go, and a sick destination holds at most half of the slots. Beside it
 * stand six mechanisms: (1) the pace learned from refusals and (2) suspicion of an outage with its budgeted
 * return, in Destination; (3) late shots, (4) payoff order, (5) holding room here; (6) key lines in Held. */
public final class Dispatcher {
    private static final double TARGET_RELIABILITY = 0.9, COPIES_PER_FIRST_SHOT = 0.1; // copies that each first shot earns
    private static final long TICK_INTERVAL_MICROS = 20_000, RETRY_BACKOFF_MICROS = 100_000, SHORT_HORIZON_MICROS = 300_000, LONG_HORIZON_MICROS = 6_000_000;

    private final DeliverySettings settings;
    private final Map<Integer, DestinationState> destinationStates = new LinkedHashMap<>();
    private final Map<Integer, OutcomeHistory> outcomesByHall = new HashMap<>();
    private final Map<Long, Route> routesByEndpoint = new LinkedHashMap<>();
    private final Set<FailureDomain> activeDomains = new LinkedHashSet<>(); // with calls out, or suspect
    private final Set<Route> idleCloseCandidates = new LinkedHashSet<>(); // those whose connections may go after this turn
    private final Set<DestinationState> destinationsWithWaitingRecords = new LinkedHashSet<>(); // with records that wait
    private final Map<Long, PendingRecord> recordsById = new HashMap<>();
    private final Map<Long, KeyQueue> keyQueues = new HashMap<>(), undeliveredAnswers = new HashMap<>(); // by key; by record
    private final TreeSet<PendingRecord> recordsByAbandonTime = new TreeSet<>(
            Comparator.comparingLong((PendingRecord held) -> held.abandonAt).thenComparingLong(held -> held.id));
    private final Random random;
    private final Map<Integer, Long> quotaUsedUntil = new HashMap<>(); // by tenant: until when
    private final Map<Integer, EndpointKind> endpointKinds = new HashMap<>();
    private List<Action> actions;
    private final int[] endedCalls = new int[2], lostCalls = new int[2]; // calls on new connections, on kept; halved
    private long now, nextTickAt, nextListRequestAt, shutdownAt = Long.MAX_VALUE;
    private int inFlightCallCount, degradedCallCount, failedListRequests; // calls out, in all and at sick destinations; for the list
    private double copyBudget;

    public Dispatcher(DeliverySettings terms) {
        this.settings = terms;
        random = new Random(terms.seed());
        nextListRequestAt = terms.listOnRequest() ? 0 : Long.MAX_VALUE;
    }

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
        if (event instanceof Event.RecordAccepted taken) {
            acceptRecord(taken);
        } else if (event instanceof Event.RecordRestored owed) {
            restoreRecord(owed);
        } else if (event instanceof Event.ShotEnded ended) {
            handleShotEnded(ended);
        } else if (event instanceof Event.ListReceived told) {
            updateEndpoints(told);
            failedListRequests = 0;
        } else if (event instanceof Event.ListRequestFailed && settings.listOnRequest()) { // all may ask: after a while
            nextListRequestAt = now + (long) ((0.5 + random.nextDouble()) * (SHORT_HORIZON_MICROS << Math.min(3, failedListRequests++)));
        } else if (event instanceof Event.ProbeEnded probe && routesByEndpoint.containsKey(probe.endpoint())) {
            Route route = routesByEndpoint.get(probe.endpoint());
            route.failureDomain.probeEnded(now, probe.ending(), probe.loadReport());
            checkConnectionLimit(route, probe.ending());
        } else if (event instanceof Event.FinalAnswerDelivered told && undeliveredAnswers.containsKey(told.id())) {
            undeliveredAnswers.remove(told.id()).outstandingCount--;
        } else if (event instanceof Event.NodeShuttingDown leaving) {
            shutdownAt = now + leaving.gracePeriod();
        } else if (event instanceof Event.RecordWithdrawn gone && recordsById.containsKey(gone.id())) {
            endRecord(recordsById.get(gone.id()));
        }
    }

    private void updateEndpoints(Event.ListReceived told) {
        if (told.complete()) {
            routesByEndpoint.values().forEach(route -> route.updateState(ListedEndpoint.EndpointState.GONE, now));
        }
        for (ListedEndpoint entry : told.entries()) {
            Route route = routesByEndpoint.computeIfAbsent(entry.endpoint(), e -> createRoute(entry));
            route.updateState(entry.state(), now);
            route.failureDomain.listedRate = entry.rate() / settings.listedRateAccuracy().maxOverstatement();
        }
    }

    private Route createRoute(ListedEndpoint entry) {
        DestinationState addressee = destinationStates.computeIfAbsent(entry.destination(), number -> new DestinationState());
        int kind = entry.kind();
        addressee.kind = endpointKinds.computeIfAbsent(kind, number -> new EndpointKind());
        addressee.maxRecordsPerCall = kind < settings.maxRecordsPerCallByKind().size() ? settings.maxRecordsPerCallByKind().get(kind) : 1;
        boolean apart = kind < settings.independentRoutesByKind().size() && settings.independentRoutesByKind().get(kind);
        FailureDomain destination = !apart && !addressee.routes.isEmpty() ? addressee.routes.get(0).failureDomain
                : new FailureDomain(settings, random, line -> actions.add(new Action.Log(line)));
        Route route = new Route(entry.endpoint(), entry.zone(), addressee, destination,
                outcomesByHall.computeIfAbsent(entry.zone(), zone -> new OutcomeHistory()));
        route.fee = (apart ? settings.hallFee(route.zone) : 0)
                + (route.zone == settings.zone() ? 0 : settings.zoneCrossingPrice());
        addressee.routes.add(route);
        destination.routes.add(route);
        return route;
    }

    private PendingRecord acceptRecord(Event.RecordAccepted taken) {
        ServiceGrade grade = settings.grades().get(taken.grade());
        DestinationState addressee = destinationStates.computeIfAbsent(taken.destination(), number -> new DestinationState());
        double payoff = grade.payoff() * (consumeQuota(taken.tenant()) ? 1 : settings.overQuotaPayoffFactor());
        KeyQueue line = grade.inOrder() && taken.key() != 0
                ? keyQueues.computeIfAbsent(taken.key(), key -> new KeyQueue()) : new KeyQueue();
        PendingRecord record = new PendingRecord(taken, now, grade, addressee, payoff, line);
        recordsById.put(taken.id(), record);
        recordsByAbandonTime.add(record);
        line.records.add(record);
        enqueue(record, now);
        return record;
    }

    /** Rules 2 and 5 over any restart: a shot out at the end of the last life may have run. */
    private void restoreRecord(Event.RecordRestored owed) {
        PendingRecord record = acceptRecord(owed.accepted());
        for (Event.EarlierShot past : owed.earlierShots()) {
            Route route = new Route(past.endpoint(), past.zone(), record.destinationState, null, new OutcomeHistory());
            Shot shot = new Shot(new Call(route, now - past.age()));
            shot.ending = past.ending() == null ? Ending.RESET : past.ending();
            record.shots.add(shot);
            record.keyQueue.shotEnded(record, shot.ending, now, settings.keyQuietPeriod());
        }
        if (owed.ended()) {
            awaitAnswerDelivery(record);
            endRecord(record);
        }
    }

    /** A final answer that is still to be told: until then the record's key waits. */
    private void awaitAnswerDelivery(PendingRecord record) {
        record.keyQueue.outstandingCount += settings.reportsFinalAnswerDelivery() && undeliveredAnswers.put(record.id, record.keyQueue) == null ? 1 : 0;
    }

    /** A tenant's records beyond its share of two seconds are worth little; one is always within it. */
    private boolean consumeQuota(int tenant) {
        List<Double> quotas = settings.tenantQuotas();
        long each = tenant < quotas.size() ? (long) (1e6 * settings.nodeCount() / quotas.get(tenant)) : 0;
        long used = Math.max(quotaUsedUntil.getOrDefault(tenant, 0L), now - Math.max(each, 2_000_000));
        quotaUsedUntil.put(tenant, used + each <= now ? used + each : used);
        return used + each <= now;
    }

    /** Holding room: of what could not go, the longest queue hands back what can win least. */
    private void bounceExcessRecords() {
        for (int over = recordsByAbandonTime.size() - settings.maxPendingRecords() + 2; over > 0; over--) {
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

    /** The final answer, at once: a bounce where its promise holds, otherwise a termination. */
    private void bounceOrTerminate(PendingRecord record) {
        actions.add(record.inFlightShotCount > 0 || !record.canBounce() ? new Action.Terminate(record.id)
                : new Action.Bounce(record.id, Math.min(1_000_000, settings.maxRetryAfter())));
        awaitAnswerDelivery(record);
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
        record.keyQueue.shotEnded(record, ended.ending(), now, settings.keyQuietPeriod());
        if (record.ended) {
            recordsById.remove(record.id, record.inFlightShotCount == 0 ? record : null);
        } else if (ended.recordEnded()) {
            endRecord(record);
        } else if (now >= record.abandonAt - settings.turnInterval() || record.isUndeliverable(now, settings)) {
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
            if (updateAndCheckKeptConnectionLoss(call, ended.ending(), shot.recalled)
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
            if (now < route.destinationState.kind.closeIdleUntil || route.wasCrowdedWithin(now, settings.idleConnectionTimeout())) {
                idleCloseCandidates.add(route);
            }
        }
    }

    /** No connection: down, or as many held as it accepts? A probe tells, and needs none of them. */
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

    /** Calls on kept connections end without an answer far more often than those on new ones. */
    private boolean updateAndCheckKeptConnectionLoss(Call call, Ending ending, boolean late) {
        boolean gone = ending == Ending.RESET || ending == Ending.TIMED_OUT
                || late && ending == Ending.RECALLED;
        int kept = call.neededNewConnection ? 0 : 1;
        lostCalls[kept] += gone ? 1 : 0;
        endedCalls[kept] += gone || ending == Ending.DONE ? 1 : 0;
        for (int i = 0; endedCalls[kept] > OutcomeHistory.MAX_OUTCOMES && i < 2; i++) {
            lostCalls[i] /= 2;
            endedCalls[i] /= 2;
        }
        return gone && kept == 1 && lostCalls[1] >= 2 && lostCalls[1] * (1 + endedCalls[0]) > 2 * (1 + lostCalls[0]) * endedCalls[1];
    }

    /** Connections in rare use close at once for a while: others need the room, or idle ones are dropped. */
    private void scheduleIdleClose(Predicate<Route> which) {
        routesByEndpoint.values().stream().filter(which).forEach(route -> {
            idleCloseCandidates.add(route);
            route.destinationState.kind.closeIdleUntil = now + OutcomeHistory.RETENTION_MICROS;
        });
    }

    /** Half of the routes in use: then room is short at the others too, and else only where it shows. */
    private boolean isWidelyCrowded() {
        return 2 * routesByEndpoint.values().stream().filter(route -> route.wasCrowdedWithin(now, settings.idleConnectionTimeout())).count()
                >= routesByEndpoint.values().stream().filter(route -> now - route.lastCallEndedAt < settings.idleConnectionTimeout()).count();
    }

    /** Connections in rare use go, once no record that waits can go on them: each costs others a place. */
    private boolean closeIfRarelyUsed(Route route) {
        boolean rare = now - route.lastCallEndedAt > 2 * SHORT_HORIZON_MICROS || now == route.lastCallEndedAt
                && (route.outcomes.meanCallInterval(now) > 2 * SHORT_HORIZON_MICROS || route.wasCrowdedWithin(now, settings.idleConnectionTimeout()));
        if (rare) {
            route.openConnections = route.inFlightCallCount;
            actions.add(new Action.CloseIdleConnections(route.endpoint));
        }
        return rare;
    }

    private void tick() {
        keyQueues.values().removeIf(line -> line.isIdle(now));
        routesByEndpoint.values().removeIf(route -> route.removeIfExpired(now));
        activeDomains.removeIf(target -> target.inFlightCalls.isEmpty() && (!target.suspect() || target.routes.isEmpty()));
        long out = activeDomains.stream().filter(destination -> !destination.inFlightCalls.isEmpty()).count();
        long late = activeDomains.stream().filter(destination -> destination.overdueScore(now) > 0).count();
        String why = late > 2 && 2 * late > out ? null : late + " of " + out + " late"; // or slow everywhere
        for (FailureDomain destination : activeDomains) {
            destination.suspect(now, why, why != null && destination.overdueScore(now) >= 2);
            destination.nextProbeRoute(now).ifPresent(route -> actions.add(new Action.Probe(route.endpoint)));
        }
        for (PendingRecord record : List.copyOf(recordsByAbandonTime)) {
            if (record.abandonAt <= now + TICK_INTERVAL_MICROS + 2 * settings.turnInterval() || record.isUndeliverable(now, settings)) {
                bounceOrTerminate(record);
            } else if (record.inFlightShotCount == 1 && !record.destinationState.waitingRecords.contains(record)) {
                handleOverdueShot(record);
            }
        }
    }

    /** An overdue shot is doubled, or recalled where copies are barred or the sick crowd the slots. */
    private void handleOverdueShot(PendingRecord record) {
        Shot shot = record.shots.stream().filter(s -> s.ending == null).findFirst().orElseThrow();
        Route route = shot.call.route;
        long age = now - shot.call.startedAt, bound = route.overdueAfter(now);
        boolean crowded = inFlightCallCount >= settings.slots() && age > 3 * bound
                || 2 * degradedCallCount >= settings.slots() && route.failureDomain.suspect();
        boolean late = !shot.recalled && age > bound;
        boolean elsewhere = late && record.destinationState.routes.stream().anyMatch(other -> other != route
                && !other.failureDomain.isDegraded(now) && isUsable(other) && record.permitsShot(other, now, settings, shot));
        boolean moves = crowded || !settings.copiesAllowed() && elsewhere && route.failureDomain.suspect();
        if (late && settings.recallsAllowed() && moves) {
            shot.recalled = true;
            actions.add(new Action.Recall(record.id, record.shots.indexOf(shot)));
        } else if (settings.copiesAllowed() && elsewhere && 4 * inFlightCallCount < 3 * settings.slots() - 3 && copyBudget >= 1) {
            enqueue(record, now);
        }
    }

    /** Payoff order: what is lost where the record is answered later, and a little for what is won at all. */
    private double urgency(PendingRecord record) {
        return record.payoffAt(now + SHORT_HORIZON_MICROS, settings) - 0.8 * record.payoffAt(now + LONG_HORIZON_MICROS, settings);
    }

    private void dispatch() {
        destinationsWithWaitingRecords.removeIf(addressee -> addressee.waitingRecords.isEmpty());
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
        return destinationsWithWaitingRecords.stream().filter(addressee -> addressee.nextRecord != null)
                .max(Comparator.comparingDouble(addressee -> addressee.nextUrgency));
    }

    /** Finds the addressee's dearest record that may go now, and its payoff for each moment of a slot. */
    private void selectNextRecord(DestinationState addressee) {
        addressee.degraded = addressee.routes.stream().anyMatch(route -> route.failureDomain.isDegraded(now));
        List<Route> usable = addressee.routes.stream().filter(this::isUsable).toList();
        double price = usable.stream().mapToDouble(route -> route.failureDomain.expectedLatency(now)).min().orElse(1);
        addressee.nextRecord = null;
        addressee.nextUrgency = 0;
        for (PendingRecord record : usable.isEmpty() ? Set.<PendingRecord>of() : addressee.waitingRecords) {
            double urgency = urgency(record) / price;
            if (urgency > addressee.nextUrgency && record.notBefore <= now && record.keyQueue.canSend(record, now)
                    && usable.stream().anyMatch(route -> record.permitsShot(route, now, settings, null))) {
                addressee.nextRecord = record;
                addressee.nextUrgency = urgency;
            }
        }
    }

    private boolean isUsable(Route route) {
        FailureDomain destination = route.failureDomain;
        boolean capped = route.destinationState.degraded && 2 * (route.destinationState.inFlightCallCount + 1) > settings.slots()
                || 2 * degradedCallCount >= settings.slots() && destination.isDegraded(now) && !destination.suspect();
        return route.isReady() && now + route.fit(now).meanLatency() < shutdownAt
                && (hasJoinableCall(route) || !capped && inFlightCallCount < settings.slots()
                && (now >= route.backoffUntil || destination.suspect()) && route.hasConnectionAvailable(now)
                && destination.admitsCall(now));
    }

    private boolean hasJoinableCall(Route route) {
        return route.joinableCall != null && route.joinableCall.startedAt == now && now >= route.failureDomain.waitUntil
                && route.joinableCall.recordCount < route.destinationState.maxRecordsPerCall && route.failureDomain.acceptsMoreRecords();
    }

    private void sendOnBestRoutes(PendingRecord record) {
        List<Route> choice = record.destinationState.routes.stream()
                .filter(route -> isUsable(route) && record.permitsShot(route, now, settings, null))
                .sorted(Comparator.comparingInt(route -> route.callCount)).toList(); // unsampled ones in turn
        boolean again = record.inFlightShotCount > 0;
        copyBudget = Math.min(settings.slots(), copyBudget + (again ? -1 : COPIES_PER_FIRST_SHOT));
        RoutePicker.Fit[] fits = choice.stream().map(route -> route.fit(now)).toArray(RoutePicker.Fit[]::new);
        boolean pair = settings.copiesAllowed() && !again && record.grade.repeatSemantics() != ServiceGrade.RepeatSemantics.UNREPEATABLE
                && record.destinationState.maxRecordsPerCall == 1 && 2 * (inFlightCallCount + 2) <= settings.slots()
                && !record.destinationState.degraded && copyBudget >= 1;
        double[] prices = choice.stream().mapToDouble(this::shotPrice).toArray();
        int set = RoutePicker.pickSubset(fits, prices, record.grade.targetTime(), record.abandonAt - now, TARGET_RELIABILITY,
                pair ? 2 : 1);
        for (int i = 0; i < fits.length; i++) {
            if ((set >> i & 1) != 0 && isUsable(choice.get(i))
                    && record.permitsShot(choice.get(i), now, settings, null)) {
                copyBudget -= record.inFlightShotCount > 0 && !again ? 1 : 0;
                sendShot(record, choice.get(i));
            }
        }
    }

    /** What a call by this route takes off the result: its hall's fee, a crossing, a new connection. */
    private double shotPrice(Route route) {
        boolean stands = route.inFlightCallCount < route.openConnections && now - route.lastCallEndedAt < settings.idleConnectionTimeout();
        return route.fee + (stands || hasJoinableCall(route) ? 0 : settings.newConnectionPrice());
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
        record.shots.add(new Shot(route.joinableCall)); // a copy may run before it leaves, so its window binds it
        boolean once = record.grade.repeatSemantics() == ServiceGrade.RepeatSemantics.UNREPEATABLE;
        actions.add(new Action.SendShot(record.id, route.endpoint, record.abandonAt,
                once ? Long.MAX_VALUE : record.repeatDeadline(settings)));
        route.failureDomain.recordJoined(route.joinableCall.recordCount++);
        route.joinableCall.inFlightRecordCount++;
        record.inFlightShotCount++;
        record.destinationState.waitingRecords.remove(record);
    }
}
