package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

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
    private boolean silent;
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
        answer(owed).taken();
    }

    /** Tells the client that its record is not taken on. */
    void refused(Owed owed, long after) {
        counters.add(Count.BOUNCED_AT_ONCE);
        answer(owed).refused(after);
        route.tell(new Event.EndTold(owed.taken.number()));
    }

    /** Tells the client that its record was given up in the turn of its taking. */
    void failed(Owed owed) {
        answer(owed).failed(500);
        route.tell(new Event.EndTold(owed.taken.number()));
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
            owing.add(owed);
        }
    }

    /** Owes again what the last life had not told, or lets the module know that it was told. */
    void restore(Owed owed) {
        if (owed.told) {
            route.tell(new Event.EndTold(owed.taken.number()));
        } else {
            owing.add(owed);
        }
    }

    boolean owes() {
        return !owing.isEmpty();
    }

    /** Sends what is owed, a number of notices in one call and one call at a time. */
    void notices(long now) {
        if (out || owing.isEmpty() || now < restUntil) {
            return;
        }
        List<Owed> batch = new ArrayList<>(owing).subList(0, Math.min(owing.size(), limits.noticesTogether()));
        StringBuilder lines = new StringBuilder();
        batch.forEach(owed -> lines.append(line(owed)).append('\n'));
        byte[] body = lines.toString().getBytes(StandardCharsets.UTF_8);
        Call call = new Call("POST", "/v2/finals", new String[] {"Host", platform.host(),
            "Content-Type", "application/json", "Content-Length", Integer.toString(body.length)}, body);
        long sent = ++round;
        line = calls.start(platform, call, now, result -> desk.post(new Word.Noticed(sent, batch, result)));
        out = line != null;
        counters.add(Count.NOTICES_SENT, out ? batch.size() : 0);
        if (!out) {
            unanswered("no socket", now);
            return;
        }
        timers.at(now + limits.unanswered(), () -> {
            if (out && round == sent) {
                calls.cancel(line);
                unanswered("silence", desk.now());
            }
        });
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
            restUntil = 0;
        }
    }

    private void unanswered(String why, long now) {
        if (!silent) {
            silent = true;
            log.warn("notices unanswered: " + owing.size() + " owed, " + why);
        }
        out = false;
        round++;
        restUntil = now + limits.resend();
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
            if (silent) {
                silent = false;
                log.info("notices are answered again, " + owing.size() + " owed");
            }
        } else if (status == 400 && noticed.told().size() == 1) {
            log.warn("notice cannot be read by the platform: " + line(noticed.told().get(0)));
            noticed.told().forEach(this::told);
        } else {
            unanswered("status " + status, now);
        }
    }

    private void told(Owed owed) {
        counters.add(Count.NOTICES_ANSWERED);
        owing.remove(owed);
        book.told(owed);
        route.tell(new Event.EndTold(owed.taken.number()));
    }
}
