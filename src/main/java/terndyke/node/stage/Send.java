package terndyke.node.stage;

import java.util.ArrayList;
import java.util.List;

import terndyke.api.Action;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.node.Counters;
import terndyke.node.Counters.Count;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.discovery.Catalogue;
import terndyke.node.http.AnswerFlaw;
import terndyke.node.http.Call;
import terndyke.node.http.Calls;
import terndyke.node.journal.Entry;

/** Fourth stage: shots and probes as calls, and what comes back as events. */
public final class Send {
    private static final byte[] NOTHING = new byte[0];
    private static final float[] NO_REPORT = new float[0];

    private final Limits limits;
    private final Counters counters;
    private final Catalogue catalogue;
    private final Calls calls;
    private final Route route;
    private final Book book;
    private final Timers timers;
    private final List<String> reportFields;
    private final NodeLog log;
    private final Desk desk;
    private int probesOut;

    public Send(Limits limits, Counters counters, Catalogue catalogue, Calls calls, Route route, Book book,
            Timers timers, List<String> reportFields, NodeLog log, Desk desk) {
        this.limits = limits;
        this.counters = counters;
        this.catalogue = catalogue;
        this.calls = calls;
        this.route = route;
        this.book = book;
        this.timers = timers;
        this.reportFields = reportFields;
        this.log = log;
        this.desk = desk;
    }

    /** Books a shot and starts its call. What cannot leave comes back as not sent. */
    void shoot(Owed owed, Action.SendShot shoot, long now) {
        long endpoint = shoot.endpoint();
        long notPast = shoot.deadline();
        if (owed == null) {
            route.tell(new Event.ShotEnded(shoot.id(), 0, endpoint, Ending.NOT_SENT, 0, 0, false, true, NO_REPORT));
            return;
        }
        Catalogue.Member member = catalogue.member(endpoint);
        Owed.Shot shot = new Owed.Shot(owed.shots.size(), endpoint, member == null ? "" : member.uid(),
                member == null ? 0 : member.zone(), now);
        owed.shots.add(shot);
        boolean lawful = member != null && member.destination() == owed.taken.destination() && owed.open()
                && notPast > now && shoot.startBy() > desk.now();
        if (!lawful) {
            over(owed, shot, endpoint, Ending.NOT_SENT, now, 0, false, NO_REPORT);
            return;
        }
        if (!book.fired(owed, shot)) { // after a while, lest a full disk uses up all shots of a record at once
            timers.at(now + limits.unbooked(),
                    () -> over(owed, shot, endpoint, Ending.NOT_SENT, desk.now(), 0, true, NO_REPORT));
            return;
        }
        counters.add(Count.SHOTS);
        long opened = log.tracing() ? counters.of(Count.CONNECTIONS_OPENED) : 0;
        shot.line = calls.start(member.peer(), call(owed, member.peer(), notPast - now, shoot.startBy()), now,
                result -> desk.post(new Word.ShotOver(owed, shot, endpoint, result, desk.now())));
        if (shot.line == null) {
            over(owed, shot, endpoint, Ending.NOT_SENT, now, 0, true, NO_REPORT);
        } else {
            timers.at(notPast, () -> giveUp(owed, shot, endpoint, Ending.TIMED_OUT));
        }
        if (log.tracing()) {
            log.trace(now, "shot", owed.taken.number(), shot.number, member.uid(), member.destination(),
                    counters.of(Count.CONNECTIONS_OPENED) > opened ? "new" : "kept");
        }
    }

    private static Call call(Owed owed, Calls.Peer peer, long wait, long startBy) {
        List<String> headers = new ArrayList<>(List.of("Host", peer.host(), "Request-Id", owed.taken.id()));
        if (owed.taken.mark() != null) {
            headers.addAll(List.of("Idempotency-Key", owed.taken.mark()));
        }
        headers.addAll(List.of("Request-Timeout-Ms", Long.toString(Math.max(1, wait / 1000)),
                "Content-Length", Integer.toString(owed.taken.body().length)));
        return new Call("POST", "/events", headers.toArray(String[]::new), owed.taken.body(), startBy);
    }

    /** Gives up one shot at the module's word. */
    void recall(Owed owed, int number) {
        if (number < owed.shots.size()) {
            Owed.Shot shot = owed.shots.get(number);
            giveUp(owed, shot, shot.target, Ending.RECALLED);
        }
    }

    private void giveUp(Owed owed, Owed.Shot shot, long endpoint, Ending ending) {
        if (shot.ending == null && shot.line != null) {
            // of a record that is over, a connection that was not up in time says nothing of the endpoint
            boolean notConnected = calls.cancel(shot.line) && owed.open();
            Ending how = notConnected ? Ending.NOT_CONNECTED : ending;
            if (owed.open()) {
                log.message(attempt(owed, shot, how, desk.now()));
            }
            over(owed, shot, endpoint, how, desk.now(), 0, false, NO_REPORT);
        }
    }

    /** Takes in how a call ended. */
    void ended(Word.ShotOver over) {
        if (over.shot().ending == null) {
            Call.Result result = over.result();
            Ending ending = ending(result);
            if (ending == Ending.ERROR || result.ending() != null || result.flaw() != AnswerFlaw.NONE) {
                log.message(attempt(over.owed(), over.shot(), ending, over.at()) + ", status " + result.status()
                        + ", answer " + result.flaw());
            }
            if (result.status() == 410) {
                log.message("message " + over.owed().taken.id() + " is over: status 410");
                book.ended(over.owed(), Entry.End.WITHDRAWN, 0);
            }
            over(over.owed(), over.shot(), over.endpoint(), ending, over.at(),
                    ending == Ending.FULL || ending == Ending.RESET ? result.waitTold() : 0,
                    ending == Ending.NOT_SENT && result.lineBusy(),
                    report(result.load(), reportFields));
        }
    }

    private void over(Owed owed, Owed.Shot shot, long endpoint, Ending ending, long at, long wait, boolean noSlot,
            float[] report) {
        counters.add(Count.valueOf(ending.name()));
        if (log.tracing()) {
            log.trace(at, "over", owed.taken.number(), shot.number, shot.endpoint, owed.taken.destination(), ending,
                    at - shot.firedAt, wait);
        }
        boolean wasOver = owed.end != null;
        if (ending == Ending.DONE && !wasOver) {
            shot.ending = ending;
            shot.line = null;
            book.ended(owed, Entry.End.DONE, 0);
            counters.add(Count.ENDED_DONE);
        } else {
            book.shotOver(owed, shot, ending);
        }
        route.tell(new Event.ShotEnded(owed.taken.number(), shot.number, endpoint, ending, Math.max(0,
                at - shot.firedAt), wait, noSlot, owed.end != null, report));
    }

    private static String attempt(Owed owed, Owed.Shot shot, Ending ending, long at) {
        return "attempt " + shot.number + " of " + owed.taken.id() + " at " + shot.endpoint + ": " + ending + " after "
                + (at - shot.firedAt) / 1000 + " ms";
    }

    /** What an answer means; what cannot be read is an error. */
    static Ending ending(Call.Result result) {
        if (result.ending() != null) {
            return result.ending();
        }
        return switch (result.status()) {
            case 200 -> Ending.DONE;
            case 429 -> Ending.FULL;
            // a connection that is turned away at once and closed says nothing of the destination's limit: guards
            // against taking a table of connections that other nodes fill for one; may hurt where a limit closes too
            case 503 -> result.lineBusy() ? Ending.NOT_SENT
                    : result.shutOut() && result.waitTold() == 0 ? Ending.CROWDED : Ending.FULL;
            case 410, 504 -> Ending.NOT_SENT;
            default -> Ending.ERROR;
        };
    }

    /** A report such as x0=0.4,x1=25 in the order of the terms' fields; empty where it lacks one or one is no figure. */
    static float[] report(String load, List<String> reportFields) {
        if (load == null || reportFields.isEmpty()) {
            return NO_REPORT;
        }
        float[] values = new float[reportFields.size()];
        int read = 0;
        for (String pair : load.split(",")) {
            String[] sides = pair.strip().split("=", 2);
            int place = reportFields.indexOf(sides[0].strip());
            float value = -1;
            try {
                value = sides.length == 2 ? Float.parseFloat(sides[1].strip()) : -1;
            } catch (NumberFormatException e) {
                // no figure, no report
            }
            if (!Float.isFinite(value) || value < 0) {
                return NO_REPORT;
            }
            if (place >= 0) {
                values[place] = value;
                read |= 1 << place;
            }
        }
        return Integer.bitCount(read) == reportFields.size() ? values : NO_REPORT;
    }

    /** Checks an endpoint by a call of its own. */
    void probe(long endpoint, long now) {
        Catalogue.Member member = catalogue.member(endpoint);
        if (member == null) {
            return;
        }
        Call call = new Call("GET", "/ping", new String[] {"Host", member.peer().host()}, NOTHING);
        Probing probing = new Probing(member, now);
        probing.line = probesOut >= limits.probes() ? null : calls.start(member.peer(), call, now,
                result -> desk.post(new Word.ProbeOver(probing, result, desk.now())));
        if (probing.line == null) {
            route.tell(new Event.ProbeEnded(endpoint, Ending.NOT_SENT, 0, NO_REPORT));
            return;
        }
        probesOut++;
        counters.add(Count.PROBES);
        log.trace(now, "probe", member.uid(), member.destination());
        timers.at(now + limits.probeTimeout(), () -> {
            if (!probing.over) {
                calls.cancel(probing.line);
                over(probing, Ending.TIMED_OUT, desk.now(), NO_REPORT);
            }
        });
    }

    /** Takes in how a probe ended. */
    void ended(Word.ProbeOver probe) {
        if (!probe.probing().over) {
            over(probe.probing(), ending(probe.result()), probe.at(), report(probe.result().load(), reportFields));
        }
    }

    private void over(Probing probing, Ending ending, long at, float[] report) {
        probing.over = true;
        probesOut--;
        log.trace(at, "probed", probing.member.uid(), probing.member.destination(), ending, at - probing.firedAt);
        route.tell(new Event.ProbeEnded(probing.member.number(), ending, Math.max(0, at - probing.firedAt), report));
    }

    /** A probe that is out. */
    static final class Probing {
        private final Catalogue.Member member;
        private final long firedAt;
        private Calls.Line line;
        private boolean over;

        private Probing(Catalogue.Member member, long firedAt) {
            this.member = member;
            this.firedAt = firedAt;
        }
    }

    /** Tells the module what the last life owed and did for it. */
    void restore(Owed owed, long now) {
        List<Event.EarlierShot> earlier = new ArrayList<>();
        for (Owed.Shot shot : owed.shots) {
            Catalogue.Member member = catalogue.member(shot.endpoint);
            earlier.add(new Event.EarlierShot(member == null ? -1 : member.number(), shot.zone,
                    Math.max(0, now - shot.firedAt), shot.ending));
        }
        boolean stray = owed.shots.stream().anyMatch(shot -> shot.ending == null);
        if (owed.open() || !owed.told || stray) {
            route.tell(new Event.RecordRestored(Desk.event(owed, now), earlier, !owed.open()));
        }
    }

    /** Holds back the calls to an endpoint that still wait for their connection. */
    void withhold(long endpoint) {
        Catalogue.Member member = catalogue.member(endpoint);
        if (member != null) {
            calls.withhold(member.peer());
        }
    }

    /** Closes the idle connections to an endpoint. */
    void dropConnections(long endpoint) {
        Catalogue.Member member = catalogue.member(endpoint);
        if (member != null) {
            calls.dropIdle(member.peer());
        }
    }
}
