package terndyke.decision;

import java.util.*;
import java.util.function.Predicate;

import terndyke.api.*;
import terndyke.decision.Held.*;

/** One entry point: turn() takes what happened and returns what is to be done. The design (RoutePicker over
 * Route's fits) decides where records go, and a sick destination holds at most half of the slots. Beside it
 * stand six mechanisms: (1) the pace learned from refusals and (2) suspicion of an outage with its budgeted
 * return, in Destination; (3) late shots, (4) payoff order, (5) holding room here; (6) key lines in Held. */
public final class Dispatcher {
    private static final double R_HAT = 0.9, COPY_SHARE = 0.1; // copies that each first shot earns
    private static final long STEP = 20_000, RETRY_REST = 100_000, SOON = 300_000, LATER = 6_000_000;

    private final DeliveryTerms terms;
    private final Map<Integer, Addressee> addressees = new LinkedHashMap<>();
    private final Map<Integer, Outcomes> halls = new HashMap<>();
    private final Map<Long, Route> routes = new LinkedHashMap<>();
    private final Set<Destination> busy = new LinkedHashSet<>(); // with calls out, or suspect
    private final Set<Route> quiet = new LinkedHashSet<>(); // those whose connections may go after this turn
    private final Set<Addressee> queued = new LinkedHashSet<>(); // with records that wait
    private final Map<Long, Held> held = new HashMap<>();
    private final Map<Long, KeyLine> lines = new HashMap<>(), untold = new HashMap<>(); // by key; by record
    private final TreeSet<Held> byEnd = new TreeSet<>(
            Comparator.comparingLong((Held held) -> held.abandonAt).thenComparingLong(held -> held.id));
    private final Random chance;
    private final Map<Integer, Long> shareUsed = new HashMap<>(); // by tenant: until when
    private final Map<Integer, Kind> kinds = new HashMap<>();
    private List<Action> actions;
    private final int[] sent = new int[2], lost = new int[2]; // calls on new connections, on kept; halved
    private long now, wakeAt, asksAt, leavesAt = Long.MAX_VALUE;
    private int slotsOut, sickOut, failedAsks; // calls out, in all and at sick destinations; for the list
    private double copyCredit;

    public Dispatcher(DeliveryTerms terms) {
        this.terms = terms;
        chance = new Random(terms.seed());
        asksAt = terms.listOnRequest() ? 0 : Long.MAX_VALUE;
    }

    public List<Action> turn(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        events.forEach(this::take);
        if (now >= wakeAt) {
            tick();
        }
        dispatch();
        makeRoom();
        if (now >= asksAt) {
            asksAt = Long.MAX_VALUE;
            actions.add(new Action.FollowList(true));
        }
        quiet.removeIf(this::makesRoom);
        if (wakeAt <= now && !(byEnd.isEmpty() && asksAt == Long.MAX_VALUE)) {
            wakeAt = now + STEP;
            actions.add(new Action.Wake(STEP, 0));
        }
        return actions;
    }

    private void take(Event event) {
        if (event instanceof Event.RecordTaken taken) {
            taken(taken);
        } else if (event instanceof Event.RecordOwed owed) {
            owed(owed);
        } else if (event instanceof Event.ShotEnded ended) {
            shotEnded(ended);
        } else if (event instanceof Event.ListTold told) {
            listTold(told);
            failedAsks = 0;
        } else if (event instanceof Event.ListFailed && terms.listOnRequest()) { // all may ask: after a while
            asksAt = now + (long) ((0.5 + chance.nextDouble()) * (SOON << Math.min(3, failedAsks++)));
        } else if (event instanceof Event.ProbeEnded probe && routes.containsKey(probe.endpoint())) {
            Route route = routes.get(probe.endpoint());
            route.destination.probeEnded(now, probe.ending(), probe.report());
            lookForRoom(route, probe.ending());
        } else if (event instanceof Event.EndTold told && untold.containsKey(told.id())) {
            untold.remove(told.id()).strays--;
        } else if (event instanceof Event.NodeLeaving leaving) {
            leavesAt = now + leaving.within();
        } else if (event instanceof Event.RecordWithdrawn gone && held.containsKey(gone.id())) {
            over(held.get(gone.id()));
        }
    }

    private void listTold(Event.ListTold told) {
        if (told.whole()) {
            routes.values().forEach(route -> route.stand(ListedEndpoint.Standing.GONE, now));
        }
        for (ListedEndpoint entry : told.entries()) {
            Route route = routes.computeIfAbsent(entry.endpoint(), e -> newRoute(entry));
            route.stand(entry.standing(), now);
            route.destination.listedRate = entry.rate() / terms.listed().excess();
        }
    }

    private Route newRoute(ListedEndpoint entry) {
        Addressee addressee = addressees.computeIfAbsent(entry.destination(), number -> new Addressee());
        int kind = entry.kind();
        addressee.kind = kinds.computeIfAbsent(kind, number -> new Kind());
        addressee.perCall = kind < terms.recordsPerCall().size() ? terms.recordsPerCall().get(kind) : 1;
        boolean apart = kind < terms.routesApart().size() && terms.routesApart().get(kind);
        Destination destination = !apart && !addressee.routes.isEmpty() ? addressee.routes.get(0).destination
                : new Destination(terms, chance, line -> actions.add(new Action.Log(line)));
        Route route = new Route(entry.endpoint(), entry.zone(), addressee, destination,
                halls.computeIfAbsent(entry.zone(), zone -> new Outcomes()));
        route.fee = (apart ? terms.hallFee(route.zone) : 0)
                + (route.zone == terms.zone() ? 0 : terms.crossingPrice());
        addressee.routes.add(route);
        destination.routes.add(route);
        return route;
    }

    private Held taken(Event.RecordTaken taken) {
        ServiceGrade grade = terms.grades().get(taken.grade());
        Addressee addressee = addressees.computeIfAbsent(taken.destination(), number -> new Addressee());
        double payoff = grade.payoff() * (withinShare(taken.tenant()) ? 1 : terms.overSharePayoff());
        KeyLine line = grade.inOrder() && taken.key() != 0
                ? lines.computeIfAbsent(taken.key(), key -> new KeyLine()) : new KeyLine();
        Held record = new Held(taken, now, grade, addressee, payoff, line);
        held.put(taken.id(), record);
        byEnd.add(record);
        line.records.add(record);
        queue(record, now);
        return record;
    }

    /** Rules 2 and 5 over any restart: a shot out at the end of the last life may have run. */
    private void owed(Event.RecordOwed owed) {
        Held record = taken(owed.taken());
        for (Event.EarlierShot past : owed.shots()) {
            Route route = new Route(past.endpoint(), past.zone(), record.addressee, null, new Outcomes());
            Shot shot = new Shot(new Call(route, now - past.age()));
            shot.ending = past.ending() == null ? Ending.RESET : past.ending();
            record.shots.add(shot);
            record.line.shotEnded(record, shot.ending, now, terms.keyRest());
        }
        if (owed.ended()) {
            untold(record);
            over(record);
        }
    }

    /** A final answer that is still to be told: until then the record's key waits. */
    private void untold(Held record) {
        record.line.strays += terms.endsTold() && untold.put(record.id, record.line) == null ? 1 : 0;
    }

    /** A tenant's records beyond its share of two seconds are worth little; one is always within it. */
    private boolean withinShare(int tenant) {
        List<Double> quotas = terms.tenantQuotas();
        long each = tenant < quotas.size() ? (long) (1e6 * terms.nodes() / quotas.get(tenant)) : 0;
        long used = Math.max(shareUsed.getOrDefault(tenant, 0L), now - Math.max(each, 2_000_000));
        shareUsed.put(tenant, used + each <= now ? used + each : used);
        return used + each <= now;
    }

    /** Holding room: of what could not go, the longest queue hands back what can win least. */
    private void makeRoom() {
        for (int over = byEnd.size() - terms.holdingRoom() + 2; over > 0; over--) {
            byEnd.stream().filter(record -> record.shotsOut == 0 && record.mayBounce())
                    .min(Comparator.comparingInt((Held record) -> -record.addressee.waiting.size())
                    .thenComparingDouble(record -> record.payoffAt(now + LATER, terms)))
                    .ifPresent(this::giveUp);
        }
    }

    private void queue(Held record, long notBefore) {
        record.notBefore = notBefore;
        record.addressee.waiting.add(record);
        queued.add(record.addressee);
    }

    /** The final answer, at once: a bounce where its promise holds, otherwise a termination. */
    private void giveUp(Held record) {
        actions.add(record.shotsOut > 0 || !record.mayBounce() ? new Action.Terminate(record.id)
                : new Action.Bounce(record.id, Math.min(1_000_000, terms.longestAdvice())));
        untold(record);
        over(record);
    }

    private void over(Held record) {
        if (byEnd.remove(record)) {
            record.over = true;
            record.addressee.waiting.remove(record);
            record.shots.stream().filter(shot -> shot.ending == null && terms.recalls())
                    .forEach(shot -> actions.add(new Action.Recall(record.id, record.shots.indexOf(shot))));
            record.line.over(record);
            held.remove(record.id, record.shotsOut == 0 ? record : null);
        }
    }

    private void shotEnded(Event.ShotEnded ended) {
        Held record = held.get(ended.id());
        if (record == null || ended.shot() >= record.shots.size()) {
            return;
        }
        Shot shot = record.shots.get(ended.shot());
        shot.ending = ended.ending();
        record.shotsOut--;
        callEnded(shot, ended);
        record.line.shotEnded(record, ended.ending(), now, terms.keyRest());
        if (record.over) {
            held.remove(record.id, record.shotsOut == 0 ? record : null);
        } else if (ended.recordOver()) {
            over(record);
        } else if (now >= record.abandonAt - terms.turn() || record.hopeless(now, terms)) {
            giveUp(record);
        } else if (record.shotsOut == 0) {
            queue(record, now + (shot.ending.provesNotRun() ? 0 : RETRY_REST << Math.min(4, ended.shot())));
        }
    }

    private void callEnded(Shot shot, Event.ShotEnded ended) {
        Call call = shot.call;
        Route route = call.route;
        call.out--;
        if (!call.known) {
            call.known = true;
            route.ended(call, ended.ending(), now);
            if (ended.ending() != Ending.NOT_SENT && (ended.ending() != Ending.RECALLED || shot.recalled)) {
                route.learn(now, ended.ending(), ended.spent());
            }
            if (keptAreLost(call, ended.ending(), shot.recalled)
                    || ended.ending() == Ending.CROWDED && crowdedWidely()) {
                closes(r -> true);
            }
            lookForRoom(route, ended.ending());
            route.destination.ended(call, ended.ending(), ended.waitTold(), now);
            busy.add(route.destination);
        }
        route.destination.told(now, ended.waitTold(), ended.report());
        route.destination.routes.stream().filter(r -> ended.waitTold() > 0)
                .forEach(r -> actions.add(new Action.Withhold(r.endpoint)));
        if (call.out == 0) {
            slotsOut--;
            route.addressee.callsOut--;
            if (now < route.addressee.kind.closesUntil || route.crowded(now, terms.idleClose())) {
                quiet.add(route);
            }
        }
    }

    /** No connection: down, or as many held as it accepts? A probe tells, and needs none of them. */
    private void lookForRoom(Route route, Ending ending) {
        Kind kind = route.addressee.kind;
        if (ending == Ending.DONE && now - route.destination.unconnectedAt < Destination.FULL_FOR) {
            closes(r -> r.addressee.kind == kind);
        } else if (ending == Ending.NOT_CONNECTED && terms.probes() && route.ready()
                && now >= Math.max(route.destination.waitUntil, Math.max(kind.asksAt, kind.closesUntil))) {
            kind.asksAt = now + Destination.FULL_FOR;
            actions.add(new Action.Probe(route.endpoint));
        }
    }

    /** Calls on kept connections end without an answer far more often than those on new ones. */
    private boolean keptAreLost(Call call, Ending ending, boolean late) {
        boolean gone = ending == Ending.RESET || ending == Ending.TIMED_OUT
                || late && ending == Ending.RECALLED;
        int kept = call.opened ? 0 : 1;
        lost[kept] += gone ? 1 : 0;
        sent[kept] += gone || ending == Ending.DONE ? 1 : 0;
        for (int i = 0; sent[kept] > Outcomes.KEPT && i < 2; i++) {
            lost[i] /= 2;
            sent[i] /= 2;
        }
        return gone && kept == 1 && lost[1] >= 2 && lost[1] * (1 + sent[0]) > 2 * (1 + lost[0]) * sent[1];
    }

    /** Connections in rare use close at once for a while: others need the room, or idle ones are dropped. */
    private void closes(Predicate<Route> which) {
        routes.values().stream().filter(which).forEach(route -> {
            quiet.add(route);
            route.addressee.kind.closesUntil = now + Outcomes.KEPT_FOR;
        });
    }

    /** Half of the routes in use: then room is short at the others too, and else only where it shows. */
    private boolean crowdedWidely() {
        return 2 * routes.values().stream().filter(route -> route.crowded(now, terms.idleClose())).count()
                >= routes.values().stream().filter(route -> now - route.endedAt < terms.idleClose()).count();
    }

    /** Connections in rare use go, once no record that waits can go on them: each costs others a place. */
    private boolean makesRoom(Route route) {
        boolean rare = now - route.endedAt > 2 * SOON || now == route.endedAt
                && (route.outcomes.gap(now) > 2 * SOON || route.crowded(now, terms.idleClose()));
        if (rare) {
            route.open = route.out;
            actions.add(new Action.DropConnections(route.endpoint));
        }
        return rare;
    }

    private void tick() {
        lines.values().removeIf(line -> line.idle(now));
        routes.values().removeIf(route -> route.forgotten(now));
        busy.removeIf(target -> target.out.isEmpty() && (!target.suspect() || target.routes.isEmpty()));
        long out = busy.stream().filter(destination -> !destination.out.isEmpty()).count();
        long late = busy.stream().filter(destination -> destination.overdue(now) > 0).count();
        String why = late > 2 && 2 * late > out ? null : late + " of " + out + " late"; // or slow everywhere
        for (Destination destination : busy) {
            destination.suspect(now, why, why != null && destination.overdue(now) >= 2);
            destination.probe(now).ifPresent(route -> actions.add(new Action.Probe(route.endpoint)));
        }
        for (Held record : List.copyOf(byEnd)) {
            if (record.abandonAt <= now + STEP + 2 * terms.turn() || record.hopeless(now, terms)) {
                giveUp(record);
            } else if (record.shotsOut == 1 && !record.addressee.waiting.contains(record)) {
                lateShot(record);
            }
        }
    }

    /** An overdue shot is doubled, or recalled where copies are barred or the sick crowd the slots. */
    private void lateShot(Held record) {
        Shot shot = record.shots.stream().filter(s -> s.ending == null).findFirst().orElseThrow();
        Route route = shot.call.route;
        long age = now - shot.call.firedAt, bound = route.overdueAfter(now);
        boolean crowded = slotsOut >= terms.slots() && age > 3 * bound
                || 2 * sickOut >= terms.slots() && route.destination.suspect();
        boolean late = !shot.recalled && age > bound;
        boolean elsewhere = late && record.addressee.routes.stream().anyMatch(other -> other != route
                && !other.destination.sick(now) && usable(other) && record.permits(other, now, terms, shot));
        boolean moves = crowded || !terms.copies() && elsewhere && route.destination.suspect();
        if (late && terms.recalls() && moves) {
            shot.recalled = true;
            actions.add(new Action.Recall(record.id, record.shots.indexOf(shot)));
        } else if (terms.copies() && elsewhere && 4 * slotsOut < 3 * terms.slots() - 3 && copyCredit >= 1) {
            queue(record, now);
        }
    }

    /** Payoff order: what is lost where the record is answered later, and a little for what is won at all. */
    private double urgency(Held record) {
        return record.payoffAt(now + SOON, terms) - 0.8 * record.payoffAt(now + LATER, terms);
    }

    private void dispatch() {
        queued.removeIf(addressee -> addressee.waiting.isEmpty());
        sickOut = busy.stream().filter(d -> d.sick(now)).mapToInt(d -> d.out.size()).sum();
        if (slotsOut < terms.slots()) {
            queued.forEach(this::findNext);
            for (Optional<Addressee> first = dearest(); first.isPresent(); first = dearest()) {
                shoot(first.get().next);
                findNext(first.get());
            }
        }
    }

    private Optional<Addressee> dearest() {
        return queued.stream().filter(addressee -> addressee.next != null)
                .max(Comparator.comparingDouble(addressee -> addressee.nextUrgency));
    }

    /** Finds the addressee's dearest record that may go now, and its payoff for each moment of a slot. */
    private void findNext(Addressee addressee) {
        addressee.sick = addressee.routes.stream().anyMatch(route -> route.destination.sick(now));
        List<Route> usable = addressee.routes.stream().filter(this::usable).toList();
        double price = usable.stream().mapToDouble(route -> route.destination.expected(now)).min().orElse(1);
        addressee.next = null;
        addressee.nextUrgency = 0;
        for (Held record : usable.isEmpty() ? Set.<Held>of() : addressee.waiting) {
            double urgency = urgency(record) / price;
            if (urgency > addressee.nextUrgency && record.notBefore <= now && record.line.hasTurn(record, now)
                    && usable.stream().anyMatch(route -> record.permits(route, now, terms, null))) {
                addressee.next = record;
                addressee.nextUrgency = urgency;
            }
        }
    }

    private boolean usable(Route route) {
        Destination destination = route.destination;
        boolean capped = route.addressee.sick && 2 * (route.addressee.callsOut + 1) > terms.slots()
                || 2 * sickOut >= terms.slots() && destination.sick(now) && !destination.suspect();
        return route.ready() && now + route.fit(now).m() < leavesAt
                && (joinable(route) || !capped && slotsOut < terms.slots()
                && (now >= route.restUntil || destination.suspect()) && route.hasRoom(now)
                && destination.admits(now));
    }

    private boolean joinable(Route route) {
        return route.joinable != null && route.joinable.firedAt == now && now >= route.destination.waitUntil
                && route.joinable.records < route.addressee.perCall && route.destination.takesMore();
    }

    private void shoot(Held record) {
        List<Route> choice = record.addressee.routes.stream()
                .filter(route -> usable(route) && record.permits(route, now, terms, null))
                .sorted(Comparator.comparingInt(route -> route.calls)).toList(); // unsampled ones in turn
        boolean again = record.shotsOut > 0;
        copyCredit = Math.min(terms.slots(), copyCredit + (again ? -1 : COPY_SHARE));
        RoutePicker.Fit[] fits = choice.stream().map(route -> route.fit(now)).toArray(RoutePicker.Fit[]::new);
        boolean pair = terms.copies() && !again && record.grade.effect() != ServiceGrade.Effect.UNREPEATABLE
                && record.addressee.perCall == 1 && 2 * (slotsOut + 2) <= terms.slots()
                && !record.addressee.sick && copyCredit >= 1;
        double[] prices = choice.stream().mapToDouble(this::price).toArray();
        int set = RoutePicker.pick(fits, prices, record.grade.target(), record.abandonAt - now, R_HAT,
                pair ? 2 : 1);
        for (int i = 0; i < fits.length; i++) {
            if ((set >> i & 1) != 0 && usable(choice.get(i))
                    && record.permits(choice.get(i), now, terms, null)) {
                copyCredit -= record.shotsOut > 0 && !again ? 1 : 0;
                fire(record, choice.get(i));
            }
        }
    }

    /** What a call by this route takes off the result: its hall's fee, a crossing, a new connection. */
    private double price(Route route) {
        boolean stands = route.out < route.open && now - route.endedAt < terms.idleClose();
        return route.fee + (stands || joinable(route) ? 0 : terms.connectionPrice());
    }

    private void fire(Held record, Route route) {
        if (!joinable(route)) {
            route.joinable = new Call(route, now);
            route.fired();
            route.destination.fired(route.joinable);
            busy.add(route.destination);
            slotsOut++;
            route.addressee.callsOut++;
            sickOut += route.destination.sick(now) ? 1 : 0;
        }
        record.shots.add(new Shot(route.joinable)); // a copy may run before it leaves, so its window binds it
        boolean once = record.grade.effect() == ServiceGrade.Effect.UNREPEATABLE;
        actions.add(new Action.Shoot(record.id, route.endpoint, record.abandonAt,
                once ? Long.MAX_VALUE : record.repeatBy(terms)));
        route.destination.joined(route.joinable.records++);
        route.joinable.out++;
        record.shotsOut++;
        record.addressee.waiting.remove(record);
    }
}
