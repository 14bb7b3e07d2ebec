package terndyke.node.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

import terndyke.api.Event;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;

/**
 * Follows discovery's list: the next call leaves as soon as the last one is answered. Silence on a watch is a break. The
 * first call, and each after a silence, asks for the whole list at once, so that it is answered or known to be lost soon; after
 * a refusal the watch goes on from the version that is known.
 * Where the list comes on request alone, these wait until they are asked for. All on the decision thread.
 *
 * With each break in a row the next call is given more time, and one that was refused leaves later, by chance, all within
 * what a told change allows. Guards against nodes that keep a discovery at its limit by giving each call up and asking again.
 */
public final class Watch {
    private static final byte[] NOTHING = new byte[0];

    private final Limits limits;
    private ConnectionPool.Peer discovery;
    private final Catalogue catalogue;
    private final ConnectionPool calls;
    private final NodeLog log;
    private final BiConsumer<Long, Call.Result> whenAnswered;
    private ConnectionPool.PooledConnection line;
    private long round;
    private long dueAt; // when the call that is out has waited too long, or the next one may leave
    private boolean out;
    private boolean silent;
    private boolean afresh = true; // the whole list is asked for first
    private final boolean onRequest;
    private boolean asked; // where the list comes on request alone: it has been asked for, and no call has failed since
    private boolean failed;
    private boolean tried;
    private int breaks; // in a row
    private final Random chance; // nodes that broke together do not come back together

    public Watch(Limits limits, InetSocketAddress discovery, Catalogue catalogue, ConnectionPool calls, NodeLog log,
            boolean onRequest, Random chance, BiConsumer<Long, Call.Result> whenAnswered) {
        this.onRequest = onRequest;
        this.chance = chance;
        this.limits = limits;
        this.discovery = ConnectionPool.Peer.forPlatform(discovery);
        this.catalogue = catalogue;
        this.calls = calls;
        this.log = log;
        this.whenAnswered = whenAnswered;
    }

    /** Keeps the watch going, once the answers that have come by now have been taken in. */
    public void keep(long now) {
        if (now >= dueAt && out) {
            calls.cancelCall(line);
            out = false;
            afresh = true;
            broke("no answer from discovery; the list stays in force");
        }
        if (now >= dueAt && (asked || !onRequest)) {
            start(now);
        }
    }

    /** When to come again at the latest. */
    public long dueAt() {
        return asked || !onRequest || out ? dueAt : Long.MAX_VALUE;
    }

    /** True once the first call has been answered or has failed; at once where the list comes on request. */
    public boolean tried() {
        return tried || onRequest;
    }

    private void broke(String text) {
        tried = true;
        failed = true;
        asked = false;
        breaks++;
        told(false, text);
    }

    /**
     * How long a call for the whole list may take; after more than one break a little less by chance. On request the module
     * rests between calls, so each is short: together they keep within what a told change allows.
     */
    private long patience() {
        int times = onRequest ? 1 : Math.max(1, Math.min(limits.maxWatchTimeoutMultiplier(), breaks));
        return (long) (limits.responseTimeoutMicros() * (times - (times > 1 ? chance.nextDouble() / 2 : 0)));
    }

    /** How long to rest after an answer that is no list. */
    private long rest() {
        return (long) (Math.min(limits.responseTimeoutMicros(), limits.retryDelayMicros() << Math.min(breaks, 10) - 1) * (0.5 + chance.nextDouble()));
    }

    /** Asks for the list from now on, where it comes on request: who decides when is the module. */
    public void ask(long now) {
        asked = true;
        dueAt = out ? dueAt : now;
    }

    /** True once after a call has failed, where somebody has to ask again. */
    public boolean failed() {
        boolean tell = failed && onRequest;
        failed = false;
        return tell;
    }

    /** Follows discovery to another address: a fresh watch with the whole list; until it is told the old one stays. */
    public void moveTo(InetSocketAddress address) {
        if (!address.equals(discovery.address())) {
            if (out) {
                calls.cancelCall(line);
                out = false;
            }
            calls.removePeer(discovery);
            discovery = ConnectionPool.Peer.forPlatform(address);
            afresh = true;
            dueAt = 0;
        }
    }

    private void start(long now) {
        String path = "/catalog/members" + (afresh ? ""
                : "?after=" + catalogue.version() + "&wait_ms=" + limits.watchWaitMicros() / 1000);
        long sent = ++round;
        line = calls.startCall(discovery, new Call("GET", path, new String[] {"Host", discovery.hostHeader()}, NOTHING),
                now, result -> whenAnswered.accept(sent, result));
        out = line != null;
        dueAt = now + (!out ? limits.retryDelayMicros() : afresh ? patience() : limits.watchWaitMicros() + limits.watchSlackMicros());
    }

    /** Takes in an answer; returns what it tells, or null where it cannot be read. */
    public Event answered(long answeredRound, Call.Result result, long now) {
        if (!out || answeredRound != round) {
            return null;
        }
        out = false;
        if (result.status() != 200 || result.body() == null) {
            afresh |= result.status() == 0 || result.status() == 200; // who refuses has lost nothing: its changes go on
            broke("watch broke: status " + result.status() + ", " + result.ending());
            dueAt = now + rest();
            return null;
        }
        try {
            List<String> unread = new ArrayList<>();
            Event.ListReceived list = catalogue.take(result.body(), now, unread);
            unread.forEach(text -> log.warn("list: " + text));
            tried = true;
            breaks = 0;
            afresh = !unread.isEmpty(); // what could not be read is asked for again
            dueAt = afresh ? now + limits.retryDelayMicros() : now;
            told(true, "discovery answers again");
            return list;
        } catch (IOException e) {
            afresh = true;
            broke("list cannot be read: " + e.getMessage());
            dueAt = now + rest();
            return null;
        }
    }

    private void told(boolean answered, String text) {
        if (silent == answered) {
            silent = !answered;
            log.info(text);
        }
    }
}
