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
    private static final byte[] EMPTY_BODY = new byte[0];

    private final Limits limits;
    private ConnectionPool.Peer discovery;
    private final EndpointRegistry endpointRegistry;
    private final ConnectionPool connectionPool;
    private final NodeLog log;
    private final BiConsumer<Long, Call.Result> resultListener;
    private ConnectionPool.PooledConnection connection;
    private long callNumber;
    private long dueAt; // when the call that is out has waited too long, or the next one may leave
    private boolean callInFlight;
    private boolean unavailable;
    private boolean fullListNeeded = true; // the whole list is asked for first
    private final boolean listOnRequest;
    private boolean listRequested; // where the list comes on request alone: it has been asked for, and no call has failed since
    private boolean failureUnreported;
    private boolean firstCallCompleted;
    private int consecutiveFailures; // in a row
    private final Random random; // nodes that broke together do not come back together

    public Watch(Limits limits, InetSocketAddress discovery, EndpointRegistry catalogue, ConnectionPool calls, NodeLog log,
            boolean onRequest, Random chance, BiConsumer<Long, Call.Result> whenAnswered) {
        this.listOnRequest = onRequest;
        this.random = chance;
        this.limits = limits;
        this.discovery = ConnectionPool.Peer.forPlatform(discovery);
        this.endpointRegistry = catalogue;
        this.connectionPool = calls;
        this.log = log;
        this.resultListener = whenAnswered;
    }

    /** Keeps the watch going, once the answers that have come by now have been taken in. */
    public void runDueActions(long now) {
        if (now >= dueAt && callInFlight) {
            connectionPool.cancelCall(connection);
            callInFlight = false;
            fullListNeeded = true;
            handleFailure("no answer from discovery; the list stays in force");
        }
        if (now >= dueAt && (listRequested || !listOnRequest)) {
            startCall(now);
        }
    }

    /** When to come again at the latest. */
    public long dueAt() {
        return listRequested || !listOnRequest || callInFlight ? dueAt : Long.MAX_VALUE;
    }

    /** True once the first call has been answered or has failed; at once where the list comes on request. */
    public boolean hasCompletedFirstCall() {
        return firstCallCompleted || listOnRequest;
    }

    private void handleFailure(String text) {
        firstCallCompleted = true;
        failureUnreported = true;
        listRequested = false;
        consecutiveFailures++;
        logStatusChange(false, text);
    }

    /**
     * How long a call for the whole list may take; after more than one break a little less by chance. On request the module
     * rests between calls, so each is short: together they keep within what a told change allows.
     */
    private long fullListTimeout() {
        int times = listOnRequest ? 1 : Math.max(1, Math.min(limits.maxWatchTimeoutMultiplier(), consecutiveFailures));
        return (long) (limits.responseTimeoutMicros() * (times - (times > 1 ? random.nextDouble() / 2 : 0)));
    }

    /** How long to rest after an answer that is no list. */
    private long retryDelay() {
        return (long) (Math.min(limits.responseTimeoutMicros(), limits.retryDelayMicros() << Math.min(consecutiveFailures, 10) - 1) * (0.5 + random.nextDouble()));
    }

    /** Asks for the list from now on, where it comes on request: who decides when is the module. */
    public void requestList(long now) {
        listRequested = true;
        dueAt = callInFlight ? dueAt : now;
    }

    /** True once after a call has failed, where somebody has to ask again. */
    public boolean pollFailure() {
        boolean tell = failureUnreported && listOnRequest;
        failureUnreported = false;
        return tell;
    }

    /** Follows discovery to another address: a fresh watch with the whole list; until it is told the old one stays. */
    public void changeDiscoveryAddress(InetSocketAddress address) {
        if (!address.equals(discovery.address())) {
            if (callInFlight) {
                connectionPool.cancelCall(connection);
                callInFlight = false;
            }
            connectionPool.removePeer(discovery);
            discovery = ConnectionPool.Peer.forPlatform(address);
            fullListNeeded = true;
            dueAt = 0;
        }
    }

    private void startCall(long now) {
        String path = "/catalog/members" + (fullListNeeded ? ""
                : "?after=" + endpointRegistry.version() + "&wait_ms=" + limits.watchWaitMicros() / 1000);
        long sent = ++callNumber;
        connection = connectionPool.startCall(discovery, new Call("GET", path, new String[] {"Host", discovery.hostHeader()}, EMPTY_BODY),
                now, result -> resultListener.accept(sent, result));
        callInFlight = connection != null;
        dueAt = now + (!callInFlight ? limits.retryDelayMicros() : fullListNeeded ? fullListTimeout() : limits.watchWaitMicros() + limits.watchSlackMicros());
    }

    /** Takes in an answer; returns what it tells, or null where it cannot be read. */
    public Event handleResult(long answeredRound, Call.Result result, long now) {
        if (!callInFlight || answeredRound != callNumber) {
            return null;
        }
        callInFlight = false;
        if (result.status() != 200 || result.body() == null) {
            fullListNeeded |= result.status() == 0 || result.status() == 200; // who refuses has lost nothing: its changes go on
            handleFailure("watch broke: status " + result.status() + ", " + result.ending());
            dueAt = now + retryDelay();
            return null;
        }
        try {
            List<String> unread = new ArrayList<>();
            Event.ListReceived list = endpointRegistry.update(result.body(), now, unread);
            unread.forEach(text -> log.warn("list: " + text));
            firstCallCompleted = true;
            consecutiveFailures = 0;
            fullListNeeded = !unread.isEmpty(); // what could not be read is asked for again
            dueAt = fullListNeeded ? now + limits.retryDelayMicros() : now;
            logStatusChange(true, "discovery answers again");
            return list;
        } catch (IOException e) {
            fullListNeeded = true;
            handleFailure("list cannot be read: " + e.getMessage());
            dueAt = now + retryDelay();
            return null;
        }
    }

    private void logStatusChange(boolean answered, String text) {
        if (unavailable == answered) {
            unavailable = !answered;
            log.info(text);
        }
    }
}
