package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Count;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.http.Call;
import terndyke.node.http.Calls;
import terndyke.node.http.Handover;
import terndyke.node.journal.Entry;

/** Fifth stage: answers to clients, and notices to the platform, resent until they are answered. */
public final class Relay {
    private final Limits limits;
    private final Counters counters;
    private Calls.Peer platform;
    private final Calls calls;
    private final Route route;
    private final Book book;
    private final Timers timers;
    private final NodeLog log;
    private final Desk desk;
    private final Set<Owed> owing = new LinkedHashSet<>();
    private long round;
    private boolean out;
    private int failures; // calls with notices, in a row
    private int together = Integer.MAX_VALUE; // notices in one call at most
    private Calls.Line line;
    private long restUntil;

    public Relay(Limits limits, Counters counters, InetSocketAddress platform, Calls calls, Route route, Book book,
            Timers timers, NodeLog log, Desk desk) {
        this.limits = limits;
        this.counters = counters;
        this.platform = Calls.Peer.platform(platform);
        this.calls = calls;
        this.route = route;
        this.book = book;
        this.timers = timers;
        this.log = log;
        this.desk = desk;
    }

    /** Tells the client that its record is taken on; it has been booked. */
    void taken(Owed owed) {
        counters.add(Count.TAKEN);
        trace("taken", owed);
        answer(owed).taken();
    }

    /** Tells the client that its record is not taken on. */
    void refused(Owed owed, long after) {
        counters.add(Count.BOUNCED_AT_ONCE);
        trace("refused", owed);
        answer(owed).refused(after);
        route.tell(new Event.FinalAnswerDelivered(owed.taken.number()));
    }

    /** Tells the client that its record was given up in the turn of its taking. */
    void failed(Owed owed) {
        trace("failed", owed);
        answer(owed).failed(500);
        route.tell(new Event.FinalAnswerDelivered(owed.taken.number()));
    }

    private static Handover.Answer answer(Owed owed) {
        Handover.Answer answer = owed.answer;
        owed.answer = null;
        return answer;
    }

    /** Books the end of a record that was taken on, and owes the platform its notice. */
    void ended(Owed owed, Entry.End end, long wait) {
        if (owed.end == null) {
            book.ended(owed, end, wait);
            counters.add(end == Entry.End.BOUNCED ? Count.ENDED_BOUNCED : Count.ENDED_TERMINATED);
            owed.endedAt = desk.now();
            owing.add(owed);
            trace(end == Entry.End.BOUNCED ? "bounced" : "terminated", owed);
            if (end != Entry.End.BOUNCED || !owed.shots.isEmpty()) {
                log.message("message " + owed.taken.id() + " ended " + end + ", "
                        + (owed.taken.abandonAt() - owed.endedAt) / 1000 + " ms before its time, attempts: " + attempts(owed));
            }
        }
    }

    private static String attempts(Owed owed) {
        return owed.shots.stream().map(shot -> shot.endpoint + " " + (shot.ending == null ? "out" : shot.ending))
                .collect(Collectors.joining(", "));
    }

    private void trace(String verb, Owed owed) {
        if (log.tracing()) {
            Entry.Taken taken = owed.taken;
            log.trace(desk.now(), verb, taken.number(), taken.id(), taken.grade(), taken.destination(),
                    taken.abandonAt() - desk.now(), owed.shots.size());
        }
    }

    /** Owes again what the last life had not told, or lets the module know that it was told. */
    void restore(Owed owed) {
        if (owed.told) {
            route.tell(new Event.FinalAnswerDelivered(owed.taken.number()));
        } else {
            owed.endedAt = desk.now();
            owing.add(owed);
        }
    }

    boolean owes() {
        return !owing.isEmpty();
    }

    /**
     * Sends what is owed, as many notices in one call as a body holds and one call at a time. Guards against a node that
     * is back with hundreds of ends to tell and little CPU: each call takes it a tenth of a second and more, and at 64
     * notices a call the last ones came too late. Where one of many cannot be read, halves are sent until it stands alone.
     */
    void notices(long now) {
        if (out || owing.isEmpty() || now < restUntil) {
            return;
        }
        StringBuilder lines = new StringBuilder();
        List<Owed> batch = batch(owing, together, limits.bodyBytes(), lines);
        byte[] body = lines.toString().getBytes(StandardCharsets.UTF_8);
        Call call = new Call("POST", "/v2/finals", new String[] {"Host", platform.host(),
            "Content-Type", "application/json", "Content-Length", Integer.toString(body.length)}, body);
        long sent = ++round;
        line = calls.start(platform, call, now, result -> desk.post(new Word.Noticed(sent, batch, result)));
        out = line != null;
        counters.add(Count.NOTICES_SENT, out ? batch.size() : 0);
        if (!out) {
            unanswered("no socket", now, rest());
            return;
        }
        timers.at(now + timeout(), () -> {
            if (out && round == sent) {
                calls.cancel(line);
                unanswered("silence", desk.now(), 0);
            }
        });
    }

    /**
     * How long a call may take. A message is given up shortly before its time, so two calls are tried within what a client is
     * owed behind it; later ones get longer, for a platform that is slow and a node that has many ends to tell.
     */
    private long timeout() {
        return Math.min(limits.unanswered(), limits.noticeTimeout() << Math.min(10, Math.max(0, failures - 1)));
    }

    /** How long to wait after a call that failed at once, which silence has already cost. */
    private long rest() {
        return Math.min(limits.resend(), limits.noticeRest() << Math.min(10, failures));
    }

    /** The first ones whose lines fit into so many bytes, one at least and so many at most. */
    static List<Owed> batch(Collection<Owed> owing, int most, int bytes, StringBuilder lines) {
        List<Owed> batch = new ArrayList<>();
        for (Owed owed : owing) {
            String line = line(owed) + "\n";
            if (!batch.isEmpty() && (batch.size() == most || lines.length() + line.length() > bytes)) {
                break;
            }
            lines.append(line);
            batch.add(owed);
        }
        return batch;
    }

    /** From now on notices go to another address; those not yet answered go there again. */
    void moveTo(InetSocketAddress address) {
        if (!address.equals(platform.address())) {
            if (out) {
                calls.cancel(line);
                out = false;
                round++;
            }
            calls.left(platform);
            platform = Calls.Peer.platform(address);
            failures = 0;
            restUntil = 0;
        }
    }

    /** The next call goes on a connection of its own: a kept one that lost a call would lose the next one too. */
    private void unanswered(String why, long now, long rest) {
        counters.add(Count.NOTICES_UNANSWERED);
        if (failures++ == 0) {
            log.warn("notices unanswered: " + owing.size() + " owed, first " + owing.iterator().next().taken.id() + ", " + why);
        }
        calls.dropIdle(platform);
        out = false;
        round++;
        restUntil = now + rest;
        timers.at(restUntil, () -> { });
    }

    static String line(Owed owed) {
        StringBuilder line = new StringBuilder("{\"ref\":\"");
        for (char c : owed.taken.id().toCharArray()) {
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < ' ') {
                line.append(String.format("\\u%04x", (int) c));
            } else {
                line.append(c);
            }
        }
        line.append("\",\"result\":\"").append(owed.end == Entry.End.BOUNCED ? "bounced" : "dead").append('"');
        if (owed.end == Entry.End.BOUNCED && owed.wait > 0) {
            line.append(",\"wait_ms\":").append(owed.wait / 1000);
        }
        return line.append('}').toString();
    }

    /** Takes in the platform's answer. */
    void noticed(Word.Noticed noticed, long now) {
        if (!out || noticed.round() != round) {
            return;
        }
        out = false;
        int status = noticed.result().status();
        if (status == 204 || status == 200) {
            noticed.told().forEach(this::told);
            together = Integer.MAX_VALUE;
            if (failures > 0) {
                failures = 0;
                log.info("notices are answered again, " + owing.size() + " owed");
            }
        } else if (status == 400 && noticed.told().size() == 1) {
            log.warn("notice cannot be read by the platform: " + line(noticed.told().get(0)));
            noticed.told().forEach(this::told);
        } else {
            together = status == 400 ? Math.max(1, noticed.told().size() / 2) : together;
            unanswered("status " + status, now, rest());
        }
    }

    private void told(Owed owed) {
        long now = desk.now();
        counters.add(Count.NOTICES_ANSWERED);
        counters.most(Count.LONGEST_NOTICE, now - owed.endedAt);
        if (now - owed.endedAt > limits.noticeWithin()) {
            counters.add(Count.NOTICES_LATE);
            log.message("notice of " + owed.taken.id() + " answered " + (now - owed.endedAt) / 1000 + " ms after its end");
        }
        owing.remove(owed);
        book.told(owed);
        route.tell(new Event.FinalAnswerDelivered(owed.taken.number()));
    }
}
