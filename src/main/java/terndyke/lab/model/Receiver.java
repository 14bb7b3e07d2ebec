package terndyke.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;

import terndyke.lab.model.Answer.Manner;
import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;

/**
 * One receiver: places, queue, limit, connections, what is wrong with it now, and how it comes back. Times are whole
 * microseconds of the driver's clock and never go back. Whoever drives it calls advance at nextDue.
 */
public final class Receiver {
    private static final double[] NO_REPORT = null;

    /** How a connection that comes is met. */
    public enum Coming { UP, REFUSED, NEVER_UP }

    private final Site site;
    private final String uid;
    private final int index;
    private final int hall;
    private final Told told;
    private final UniformRandomProvider chance;
    private final ServiceTime service;
    private final Allowance allowance;
    private final ArrayDeque<Shot> queue = new ArrayDeque<>();
    private final PriorityQueue<Work> work = new PriorityQueue<>(
            Comparator.<Work>comparingLong(one -> one.due).thenComparingLong(one -> one.number));
    private final Map<Kind, List<Failure>> wrong = new EnumMap<>(Kind.class);
    private final List<Shot> held = new ArrayList<>(); // read while it hung
    private int busy;
    private int connections;
    private long numbers;
    private long backAt = Long.MIN_VALUE; // when it came back from an outage
    private long weighedAt;
    private double weight; // calls above what it can do, since it came back
    private boolean fallen;
    private boolean shutForGood;

    /** A piece of work that ends at a time: a call under way, or an answer that only waits for its time. */
    private record Work(long due, long number, Shot shot, Answer answer, boolean place) { }

    public Receiver(Site site, String uid, int index, int hall, Told told, UniformRandomProvider chance) {
        this.site = site;
        this.uid = uid;
        this.index = index;
        this.hall = hall;
        this.told = told;
        this.chance = chance;
        service = ServiceTime.of(site.told.service(), chance);
        allowance = site.allowance();
    }

    public Site site() {
        return site;
    }

    public String uid() {
        return uid;
    }

    /** Its place among the receivers of its destination. */
    public int index() {
        return index;
    }

    public int hall() {
        return hall;
    }

    /** Shots at work and in the queue. */
    public int inHand() {
        return busy + queue.size();
    }

    public int connections() {
        return connections;
    }

    /** What a connection that comes now meets; one that comes up has to be told again once it ends. */
    public Coming connect() {
        if (is(Kind.SILENT) || is(Kind.NEVER_UP)) {
            return Coming.NEVER_UP;
        }
        if (down() || is(Kind.REFUSED)) {
            return Coming.REFUSED;
        }
        connections++;
        return Coming.UP;
    }

    public void disconnected() {
        connections--;
    }

    /** Whether its process is gone, so that no connection to it lives. */
    public boolean down() {
        return fallen || is(Kind.CRASH);
    }

    /** Whether it reads nothing and writes nothing. */
    public boolean silent() {
        return is(Kind.SILENT);
    }

    /** Whether a call that has begun to come is cut off by a reset before its last byte. */
    public boolean cutsOff() {
        return drawn(Kind.RESET_BEFORE);
    }

    /** A failure begins here. */
    public void begin(long now, Failure failure) {
        if (failure.kind() == Kind.CRASH || failure.kind() == Kind.SILENT) {
            advance(now);
        }
        wrong.computeIfAbsent(failure.kind(), kind -> new ArrayList<>()).add(failure);
        if (failure.kind() == Kind.CRASH) {
            lose();
        }
    }

    /** A failure is over here. What was an outage leaves a cold receiver behind. */
    public void end(long now, Failure failure) {
        List<Failure> same = wrong.get(failure.kind());
        if (same == null || !same.remove(failure)) {
            return;
        }
        if (same.isEmpty()) {
            wrong.remove(failure.kind());
        }
        switch (failure.kind()) {
            case CRASH, SILENT, HANG, SHUT, ERRORS -> {
                if (wrong.isEmpty() && !fallen) {
                    backAt = now;
                    weighedAt = now;
                    weight = 0;
                }
            }
            default -> { }
        }
        if (failure.kind() == Kind.SILENT) {
            lose(); // its connections are reset when the machine is back
        }
        if (failure.kind() == Kind.HANG && !is(Kind.HANG)) {
            List<Shot> waiting = List.copyOf(held);
            held.clear();
            waiting.forEach(shot -> enter(now, shot));
        }
    }

    /** It takes no new work any more, and never will again. */
    public void shut() {
        shutForGood = true;
    }

    private void lose() {
        queue.clear();
        held.clear();
        work.clear();
        busy = 0;
    }

    /** A call has come to its last byte. */
    public void arrived(long now, Shot shot) {
        if (weigh(now)) {
            return;
        }
        if (is(Kind.HANG)) {
            held.add(shot);
            return;
        }
        enter(now, shot);
    }

    private void enter(long now, Shot shot) {
        long handshake = shot.firstOnConnection ? site.told.handshake().micros() : 0;
        if (is(Kind.SHUT) || shutForGood) {
            refuse(now + handshake, shot, 503, 0);
        } else if (shot.firstOnConnection && connections > site.told.connections()) {
            add(now + handshake + 200, shot, answer(now, shot, 503, 0, Manner.SHUT_OUT), false);
        } else if (!allowance.take(now)) {
            boolean tells = chance.nextDouble() < site.told.limit().tellsWait();
            long wait = Math.max(site.told.limit().toldWait().micros(), allowance.freeAt(now) - now);
            refuse(now + handshake, shot, tells ? 429 : 503, tells ? wait : 0);
        } else if (drawn(Kind.ERRORS)) {
            add(now + handshake + 500, shot, answer(now, shot, 500, 0, Manner.WHOLE), false);
        } else if (busy < places(now)) {
            start(now + handshake, shot);
        } else if (queue.size() < site.told.queue()) {
            queue.add(shot);
        } else {
            refuse(now + handshake, shot, 503, 0);
        }
    }

    /** The connection of a call has ended: what still waits is dropped, what is at work goes on. */
    public void gone(Shot shot) {
        shot.gone = true;
        queue.remove(shot);
        held.remove(shot);
    }

    /** When something is due next; Long.MAX_VALUE where nothing is. */
    public long nextDue() {
        return work.isEmpty() || is(Kind.SILENT) ? Long.MAX_VALUE : work.peek().due;
    }

    /** Carries out what is due by now. */
    public void advance(long now) {
        while (nextDue() <= now) {
            Work done = work.poll();
            if (done.place) {
                busy--;
                while (busy < places(now) && !queue.isEmpty()) {
                    start(done.due, queue.poll());
                }
            }
            if (!done.shot.gone) {
                told.answer(this, done.due, done.answer);
            }
        }
    }

    private void refuse(long at, Shot shot, int status, long wait) {
        add(at + 200, shot, answer(at, shot, status, wait, Manner.WHOLE), false);
    }

    private void start(long at, Shot shot) {
        busy++;
        boolean repeat = site.repeats(hall, shot.mark, at);
        told.ran(this, at, shot, repeat);
        double slow = 1;
        for (Failure failure : wrong.getOrDefault(Kind.SLOW, List.of())) {
            slow *= failure.amount();
        }
        long takes = Math.max(1, Math.round(service.draw() * slow));
        Manner manner = drawn(Kind.ANSWER_LOST) ? Manner.NOTHING : drawn(Kind.RESET_AFTER) ? Manner.RESET
                : drawn(Kind.SPOILT) ? chance.nextBoolean() ? Manner.SPOILT_LINE : Manner.SPOILT_REST
                : drawn(Kind.ENDLESS) ? Manner.ENDLESS : drawn(Kind.DOUBLED) ? Manner.DOUBLED : Manner.WHOLE;
        add(at + takes, shot, answer(at, shot, 200, 0, manner), true);
    }

    private void add(long due, Shot shot, Answer answer, boolean place) {
        work.add(new Work(due, ++numbers, shot, answer, place));
    }

    private Answer answer(long now, Shot shot, int status, long wait, Manner manner) {
        double[] report = site.told.reports() ? new double[] {allowance.left(now), allowance.perSecond()} : NO_REPORT;
        return new Answer(shot, status, wait, manner, report);
    }

    /** The share of its places that it has now: less for a while after an outage. */
    public double share(long now) {
        if (backAt == Long.MIN_VALUE) {
            return 1;
        }
        double warm = Math.min(1, (now - backAt) / (double) Math.max(1, site.told.cold().warm().micros()));
        return site.told.cold().share() + (1 - site.told.cold().share()) * warm;
    }

    private int places(long now) {
        return Math.max(1, (int) Math.floor(site.told.places() * share(now)));
    }

    /** Calls a second that it can carry out now. */
    public double capacity(long now) {
        double most = site.told.places() / Math.max(1e-6, site.told.service().mean().seconds());
        double limit = allowance.perSecond();
        return (limit > 0 ? Math.min(limit, most) : most) * share(now);
    }

    /** Rule 4: every call counts, refused ones too; kept above the multiple for the span it falls. True if it has. */
    private boolean weigh(long now) {
        if (fallen || backAt == Long.MIN_VALUE || share(now) >= 1) {
            return fallen;
        }
        double bound = site.told.cold().fallMultiple() * capacity(now);
        weight = Math.max(0, weight - (now - weighedAt) / 1e6 * bound) + 1;
        weighedAt = now;
        if (weight > bound * site.told.cold().fallWithin().seconds() + 2) {
            fallen = true;
            lose();
            told.fell(this, now);
        }
        return fallen;
    }

    private boolean is(Kind kind) {
        return wrong.containsKey(kind);
    }

    private boolean drawn(Kind kind) {
        for (Iterator<Failure> each = wrong.getOrDefault(kind, List.of()).iterator(); each.hasNext();) {
            if (chance.nextDouble() < each.next().amount()) {
                return true;
            }
        }
        return false;
    }
}
