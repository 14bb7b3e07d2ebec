package terndyke.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import terndyke.api.Action;
import terndyke.api.DeliveryTerms;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.Standing;
import terndyke.api.ServiceGrade;
import terndyke.api.ServiceGrade.Effect;
import terndyke.decision.Call.Shot;
import terndyke.decision.RoutePicker.Fit;

/**
 * The decision module's one entry point: turn() takes what happened and returns what is to be done. Its interface is
 * the package terndyke.api; all decisions are in this package, and nothing here knows a protocol.
 *
 * <p>The design (RoutePicker over Route's fits) decides where each record goes; a sick destination holds at most half
 * of the slots. Beside it stand six mechanisms: (1) pace learned from refusals, (2) suspicion of an outage and the
 * budgeted return, both in Destination; (3) late shots: copies and recalls when a shot is overdue, (4) payoff order,
 * (5) holding room, here; (6) lines by key, in Held.
 */
public final class Dispatcher {
    private static final double LEAST_RELIABILITY = 0.9;
    /** Copies that each first shot earns. */
    private static final double COPY_SHARE = 0.1;
    private static final long STEP = 10_000;
    private static final double[] STRETCH = {1, 2, 4, 8, 16};

    private final DeliveryTerms terms;
    private final Map<Integer, Addressee> addressees = new LinkedHashMap<>();
    private final Map<Long, Route> routes = new LinkedHashMap<>();
    private final List<Destination> destinations = new ArrayList<>();
    private final Map<Long, Held> held = new HashMap<>();
    private final Map<Long, Held.KeyLine> lines = new HashMap<>();
    private final PriorityQueue<Held> byEnd =
            new PriorityQueue<>(Comparator.comparingLong((Held h) -> h.abandonAt).thenComparingLong(h -> h.id));
    private final StringBuilder log = new StringBuilder();
    private final double[] quotaLeft;
    private final int[] stretch = new int[STRETCH.length];
    private List<Action> actions;
    private long now;
    private long quotaAt;
    private long wakeAt;
    private long listAskedAt;
    private int live;
    private int slotsOut;
    private double copyCredit;

    public Dispatcher(DeliveryTerms terms) {
        this.terms = terms;
        quotaLeft = terms.tenantQuotas().stream().mapToDouble(q -> q / terms.nodes()).toArray();
    }

    /** Takes what happened, in order, and returns what is to be done, in order. */
    public List<Action> turn(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        for (Event event : events) {
            take(event);
        }
        askForList();
        if (now >= wakeAt || events.isEmpty()) {
            tick();
        }
        dispatch();
        if (live > 0 && wakeAt <= now) {
            wakeAt = now + STEP;
            actions.add(new Action.Wake(STEP, 0));
        }
        if (log.length() > 0) {
            log.toString().lines().forEach(line -> actions.add(new Action.Log(line)));
            log.setLength(0);
        }
        return actions;
    }

    private void take(Event event) {
        if (event instanceof Event.RecordTaken taken) {
            taken(taken);
        } else if (event instanceof Event.ShotEnded ended) {
            shotEnded(ended);
        } else if (event instanceof Event.ListTold told) {
            listTold(told);
        } else if (event instanceof Event.ProbeEnded probe && routes.containsKey(probe.endpoint())) {
            Destination destination = routes.get(probe.endpoint()).destination;
            destination.reported(probe.report());
            destination.probeEnded(now, probe.ending(), 0);
        } else if (event instanceof Event.RecordWithdrawn gone && held.containsKey(gone.id())) {
            over(held.get(gone.id()));
        }
    }

    private void askForList() {
        if (terms.listOnRequest() && (listAskedAt == 0 || now - listAskedAt > terms.listAskEvery() / 2)) {
            listAskedAt = now;
            actions.add(new Action.FollowList(true));
        }
    }

    private void listTold(Event.ListTold told) {
        if (told.whole()) {
            routes.values().forEach(route -> route.standing = Standing.GONE);
        }
        for (ListedEndpoint entry : told.entries()) {
            Route route = routes.computeIfAbsent(entry.endpoint(), e -> newRoute(entry));
            route.standing = entry.standing();
            if (terms.ratesListed() && entry.rate() > 0) {
                route.destination.listedRate = entry.rate();
            }
        }
    }

    private Route newRoute(ListedEndpoint entry) {
        Addressee addressee = addressees.computeIfAbsent(entry.destination(), d -> new Addressee(perCall(entry.kind())));
        boolean apart = entry.kind() < terms.routesApart().size() && terms.routesApart().get(entry.kind());
        Destination destination = apart || addressee.shared == null ? new Destination(terms, log) : addressee.shared;
        if (apart || addressee.shared == null) {
            destinations.add(destination);
            addressee.shared = apart ? null : destination;
        }
        Route route = new Route(entry.endpoint(), entry.zone(), addressee, destination);
        addressee.routes.add(route);
        destination.routes.add(route);
        return route;
    }

    private int perCall(int kind) {
        return kind < terms.recordsPerCall().size() ? terms.recordsPerCall().get(kind) : 1;
    }

    private void taken(Event.RecordTaken taken) {
        ServiceGrade grade = terms.grades().get(taken.grade());
        Addressee addressee = addressees.computeIfAbsent(taken.destination(), d -> new Addressee(1));
        double payoff = grade.payoff() * (withinShare(taken.tenant()) ? 1 : terms.overSharePayoff());
        long abandonAt = now + taken.remaining();
        long aim = Math.min(grade.abandon(), grade.target() + (long) (grade.stretch() * taken.workHint()));
        Held.KeyLine line = grade.inOrder() && taken.key() != 0
                ? lines.computeIfAbsent(taken.key(), k -> new Held.KeyLine(k)) : null;
        Held record = new Held(taken.id(), grade, addressee, abandonAt - grade.abandon() + aim, abandonAt, payoff, line);
        held.put(taken.id(), record);
        byEnd.add(record);
        live++;
        if (line != null) {
            line.records.add(record);
        }
        queue(record, now);
        makeRoom();
    }

    private boolean withinShare(int tenant) {
        if (tenant < 0 || tenant >= quotaLeft.length) {
            return true;
        }
        for (int i = 0; i < quotaLeft.length; i++) {
            double rate = terms.tenantQuotas().get(i) / terms.nodes();
            quotaLeft[i] = Math.min(2 * rate, quotaLeft[i] + rate * (now - quotaAt) / 1e6);
        }
        quotaAt = now;
        boolean within = quotaLeft[tenant] >= 1;
        quotaLeft[tenant] -= within ? 1 : 0;
        return within;
    }

    /** Holding room: before the door turns records away unseen, the one that can win least is handed back. */
    private void makeRoom() {
        if (live < terms.holdingRoom() - 1 || live < 2) {
            return;
        }
        Held least = null;
        for (Addressee addressee : addressees.values()) {
            for (Held record : addressee.waiting) {
                if (record.shotsOut() == 0 && record.mayBounce() && (least == null || urgency(record) < urgency(least))) {
                    least = record;
                }
            }
        }
        if (least != null) {
            giveUp(least);
        }
    }

    private void queue(Held record, long notBefore) {
        record.notBefore = notBefore;
        if (!record.waiting) {
            record.waiting = true;
            record.addressee.waiting.add(record);
        }
    }

    private void stopWaiting(Held record) {
        if (record.waiting) {
            record.waiting = false;
            record.addressee.waiting.remove(record);
        }
    }

    /** The final answer, at once: a bounce where its promise holds, otherwise a termination. */
    private void giveUp(Held record) {
        if (record.shotsOut() == 0 && record.mayBounce()) {
            actions.add(new Action.Bounce(record.id, terms.bounceAdvice() ? Math.min(1_000_000, terms.longestAdvice()) : 0));
        } else {
            actions.add(new Action.Terminate(record.id));
        }
        over(record);
    }

    private void over(Held record) {
        if (record.over) {
            return;
        }
        record.over = true;
        live--;
        stopWaiting(record);
        byEnd.remove(record);
        int out = record.shotsOut();
        if (record.line != null) {
            record.line.records.remove(record);
            record.line.strays += out;
            dropLine(record.line);
        }
        if (out == 0) {
            held.remove(record.id);
        }
        for (int i = 0; i < record.shots.size() && terms.recalls(); i++) {
            if (record.shots.get(i).ending == null) {
                actions.add(new Action.Recall(record.id, i));
            }
        }
    }

    private void dropLine(Held.KeyLine line) {
        if (line.records.isEmpty() && line.strays == 0 && line.rested(now)) {
            lines.remove(line.key);
        }
    }

    private void shotEnded(Event.ShotEnded ended) {
        Held record = held.get(ended.id());
        if (record == null || ended.shot() >= record.shots.size() || record.shots.get(ended.shot()).ending != null) {
            return;
        }
        Shot shot = record.shots.get(ended.shot());
        shot.ending = ended.ending();
        callEnded(shot.call, ended);
        if (record.line != null) {
            record.line.shotEnded(record, ended.ending(), now, terms.keyRest());
        }
        if (record.over) {
            if (record.line != null) {
                record.line.strays--;
                dropLine(record.line);
            }
            if (record.shotsOut() == 0) {
                held.remove(record.id);
            }
        } else if (ended.recordOver()) {
            over(record);
        } else if (now >= record.abandonAt - terms.turn() || record.hopeless(now, terms)) {
            giveUp(record);
        } else if (record.shotsOut() == 0) {
            queue(record, ended.ending().provesNotRun() ? now : now + (50_000L << Math.min(5, record.shots.size())));
        }
    }

    private void callEnded(Call call, Event.ShotEnded ended) {
        Route route = call.route;
        call.out--;
        route.destination.told(now, ended.waitTold());
        if (!call.known) {
            call.known = true;
            Fit fit = route.fit(now);
            boolean far = fit != null && ended.spent() > Destination.overdueAfter(fit, slowness());
            if (ended.ending() == Ending.DONE && fit != null) {
                notePulse(ended.spent() / Math.max(1, fit.m()));
            }
            if (ended.ending() != Ending.NOT_SENT && (ended.ending() != Ending.RECALLED || far)) {
                route.learn(now, ended.ending(), ended.spent());
            }
            route.destination.reported(ended.report());
            route.destination.ended(call, ended.ending(), ended.waitTold(), far, now);
        }
        if (call.out == 0) {
            slotsOut--;
            route.addressee.callsOut--;
        }
    }

    /** Slowness everywhere at once is nobody's fault: how the usual call now stands to its route's mean. */
    private double slowness() {
        int all = 0;
        for (int n : stretch) {
            all += n;
        }
        int below = 0;
        for (int i = 0; i < stretch.length; i++) {
            below += stretch[i];
            if (2 * below > all) {
                return STRETCH[i];
            }
        }
        return 1;
    }

    private void notePulse(double ratio) {
        int bin = 0;
        while (bin < STRETCH.length - 1 && ratio > 1.25 * STRETCH[bin]) {
            bin++;
        }
        if (++stretch[bin] > 32) {
            for (int i = 0; i < stretch.length; i++) {
                stretch[i] /= 2;
            }
        }
    }

    /** Every few milliseconds: ends what is out of time, looks for silence, and takes up overdue shots again. */
    private void tick() {
        while (!byEnd.isEmpty() && byEnd.peek().abandonAt <= now + STEP + 2 * terms.turn()) {
            giveUp(byEnd.peek());
        }
        double slowness = slowness();
        for (Destination destination : destinations) {
            destination.tick(now, slowness);
            if (destination.wantsProbe(now)) {
                for (Route route : destination.routes) {
                    if (route.standing == Standing.READY) {
                        destination.probed(now);
                        actions.add(new Action.Probe(route.endpoint));
                        break;
                    }
                }
            }
        }
        for (Held record : new ArrayList<>(byEnd)) {
            if (record.hopeless(now, terms)) {
                giveUp(record);
            } else if (!record.waiting && record.shotsOut() == 1) {
                lateShot(record, slowness);
            }
        }
    }

    /** A shot that is overdue, or lost to an outage that is over, is doubled, or recalled where copies are barred. */
    private void lateShot(Held record, double slowness) {
        int last = record.shots.size() - 1;
        while (record.shots.get(last).ending != null) {
            last--;
        }
        Call call = record.shots.get(last).call;
        if (call.recalled || now - call.firedAt <= Destination.overdueAfter(call.route.fit(now), slowness)) {
            return;
        }
        Destination destination = call.route.destination;
        boolean lost = destination.returnedSince(call.firedAt);
        boolean elsewhere = record.addressee.routes.stream().anyMatch(route -> route != call.route
                && route.standing == Standing.READY && !route.destination.suspect() && repeatable(record, call, route));
        if (lost && terms.recalls() && repeatable(record, call, call.route)
                || !terms.copies() && terms.recalls() && destination.suspect() && elsewhere) {
            call.recalled = call.records == 1;
            actions.add(new Action.Recall(record.id, last));
        } else if (terms.copies() && elsewhere && 4 * slotsOut < 3 * terms.slots() && copyCredit >= 1) {
            queue(record, now);
        }
    }

    private boolean repeatable(Held record, Call call, Route route) {
        return record.shots.size() < terms.shotsPerRecord() && (record.grade.effect() == Effect.IDEMPOTENT
                || record.grade.effect() == Effect.DEDUPLICATED && now < call.firedAt + record.grade.memory() * 9 / 10
                && (record.grade.anyEndpointDeduplicates() || call.route.zone == route.zone));
    }

    /** Payoff order: what can still be won, the sooner it starts to shrink the dearer. */
    private double urgency(Held record) {
        double slack = Math.max(0, record.targetAt - now) / 1e6;
        return record.payoffAt(now + 300_000, terms.payoffHalves()) / (1 + slack);
    }

    private void dispatch() {
        for (Addressee addressee : addressees.values()) {
            addressee.next = addressee.waiting.isEmpty() ? null : best(addressee);
        }
        while (true) {
            Addressee first = null;
            for (Addressee addressee : addressees.values()) {
                if (addressee.next != null && (first == null || addressee.nextUrgency > first.nextUrgency)) {
                    first = addressee;
                }
            }
            if (first == null) {
                return;
            }
            shoot(first.next);
            first.next = best(first);
        }
    }

    private Held best(Addressee addressee) {
        Held best = null;
        double most = -1;
        if (addressee.routes.stream().noneMatch(this::usable)) {
            return null;
        }
        for (Held record : addressee.waiting) {
            double urgency = urgency(record);
            if (urgency > most && record.notBefore <= now && (record.line == null || record.line.hasTurn(record, now))
                    && addressee.routes.stream().anyMatch(r -> usable(r) && record.permits(r, now, terms))) {
                best = record;
                most = urgency;
            }
        }
        addressee.nextUrgency = most;
        return best;
    }

    private boolean usable(Route route) {
        if (route.standing != Standing.READY) {
            return false;
        }
        if (joinable(route)) {
            return true;
        }
        boolean capped = route.addressee.sick() && 2 * (route.addressee.callsOut + 1) > terms.slots();
        return slotsOut < terms.slots() && !capped && route.destination.admits(now);
    }

    private boolean joinable(Route route) {
        return route.joinable != null && route.joinable.firedAt == now && route.destination.waitOver(now)
                && route.joinable.records < route.destination.recordsPerCall(now, route.addressee.perCall);
    }

    private void shoot(Held record) {
        List<Route> choice = new ArrayList<>();
        Route fresh = null;
        for (Route route : record.addressee.routes) {
            if (usable(route) && record.permits(route, now, terms)) {
                choice.add(route);
                if (route.fit(now) == null && (fresh == null || route.firsts < fresh.firsts)) {
                    fresh = route;
                }
            }
        }
        boolean again = record.shotsOut() > 0;
        if (again) {
            copyCredit -= 1;
        }
        if (fresh != null) {
            fresh.firsts++;
            fire(record, fresh);
        } else {
            Fit[] fits = choice.stream().map(route -> route.fit(now)).toArray(Fit[]::new);
            int set = RoutePicker.pick(fits, Math.max(1, record.grade.target()), Math.max(1, record.abandonAt - now),
                    LEAST_RELIABILITY, again ? 1 : copyBudget(record));
            for (int i = 0; i < choice.size(); i++) {
                if ((set >> i & 1) != 0 && (record.shotsOut() == 0 || record.permits(choice.get(i), now, terms))
                        && usable(choice.get(i))) {
                    copyCredit -= record.shotsOut() > 0 && !again ? 1 : 0;
                    fire(record, choice.get(i));
                }
            }
        }
        copyCredit = Math.min(terms.slots(), copyCredit + COPY_SHARE);
        stopWaiting(record);
    }

    /** C-hat: a second call only where copies are allowed, slots are plentiful, and copies have been earned. */
    private int copyBudget(Held record) {
        return terms.copies() && record.grade.effect() != Effect.UNREPEATABLE && record.addressee.perCall == 1
                && 2 * slotsOut < terms.slots() && !record.addressee.sick() && copyCredit >= 1 ? 2 : 1;
    }

    private void fire(Held record, Route route) {
        if (!joinable(route)) {
            route.joinable = new Call(route, now);
            slotsOut++;
            route.addressee.callsOut++;
            route.destination.fired(route.joinable, now);
        } else {
            route.destination.joined();
        }
        route.joinable.records++;
        route.joinable.out++;
        record.shots.add(new Shot(route.joinable));
        actions.add(new Action.Shoot(record.id, route.endpoint, record.abandonAt));
    }
}
