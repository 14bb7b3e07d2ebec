package terndyke.node.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;

import terndyke.api.Event;
import terndyke.node.FlatJson;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;

/**
 * Keeps the endpoint list up to date by long polls of discovery: the next call starts as soon as the last one is answered.
 * A call without an answer in time has failed. The first call, and each one after a call that brought no answer or no
 * readable list, requests the whole list without waiting for changes, so that it is soon either answered or known to be
 * lost; after a refusal the watch continues from the known version. Where the list comes on request only, calls start only
 * when requested. All methods belong to the decision thread.
 *
 * With each consecutive failure the next call gets a longer time-out, and after a refusal it starts later. Both are
 * randomized and stay within the time after which a change counts as known to the node. Guards against nodes that keep
 * discovery overloaded by giving up each call and asking again.
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
    private long dueAt; // when the call in flight times out, or when the next one may start
    private boolean callInFlight;
    private boolean unavailable;
    private boolean fullListNeeded = true; // the first call requests the whole list
    private final boolean listOnRequest;
    private boolean listRequested; // only with listOnRequest: requested, and no call has failed since
    private boolean failureUnreported;
    private boolean firstCallCompleted;
    private int consecutiveFailures;
    private final OutdatedListFilter outdatedListFilter;
    private final Random random; // spreads the retries of nodes whose calls failed at the same time

    public Watch(Limits limits, InetSocketAddress discovery, EndpointRegistry endpointRegistry, ConnectionPool connectionPool,
            NodeLog log, boolean listOnRequest, Random random, BiConsumer<Long, Call.Result> resultListener) {
        this.listOnRequest = listOnRequest;
        this.random = random;
        this.limits = limits;
        outdatedListFilter = new OutdatedListFilter(limits.outdatedListHoldMicros());
        this.discovery = ConnectionPool.Peer.forPlatform(discovery, limits.readyWatchConnections());
        this.endpointRegistry = endpointRegistry;
        this.connectionPool = connectionPool;
        this.log = log;
        this.resultListener = resultListener;
    }

    /** Times out the call in flight and starts the next one, as due. Call it after handling the results received so far. */
    public void runDueActions(long now) {
        if (now >= dueAt && callInFlight) {
            connectionPool.cancelCall(connection);
            callInFlight = false;
            fullListNeeded = true;
            handleFailure("no answer from discovery; the last known list stays in use");
        }
        if (now >= dueAt && (listRequested || !listOnRequest)) {
            startCall(now);
        }
        connectionPool.maintainReadyConnections(discovery, now);
    }

    /** The time by which {@link #runDueActions} has to be called again. */
    public long dueAt() {
        return listRequested || !listOnRequest || callInFlight ? dueAt : Long.MAX_VALUE;
    }

    /** True once the first call has been answered or has failed. */
    public boolean hasCompletedFirstCall() {
        return firstCallCompleted;
    }

    private void handleFailure(String text) {
        firstCallCompleted = true;
        failureUnreported = true;
        listRequested = false;
        consecutiveFailures++;
        logStatusChange(false, text);
    }

    /**
     * The time-out of a call for the whole list, which grows with consecutive failures, less a random part. Where the list
     * comes on request, the decision module pauses between calls, so each call stays short: call and pause together stay
     * within the time after which a change counts as known to the node.
     */
    private long fullListTimeout() {
        int multiplier = listOnRequest ? 1 : Math.max(1, Math.min(limits.maxWatchTimeoutMultiplier(), consecutiveFailures));
        return (long) (limits.responseTimeoutMicros() * (multiplier - (multiplier > 1 ? random.nextDouble() / 2 : 0)));
    }

    /** The randomized delay after a result that is not a readable list; it doubles with each failure in a row, up to a limit. */
    private long retryDelay() {
        return (long) (Math.min(limits.responseTimeoutMicros(),
                limits.retryDelayMicros() << Math.min(consecutiveFailures, 10) - 1) * (0.5 + random.nextDouble()));
    }

    /** The randomized delay after an outdated list, as discovery may send it again at once. */
    private long outdatedListDelay() {
        return (long) (limits.responseTimeoutMicros() * (0.5 + random.nextDouble() / 2));
    }

    /** Requests the list until a call fails, where it comes on request; the decision module decides when. */
    public void requestList(long now) {
        listRequested = true;
        dueAt = callInFlight ? dueAt : now;
    }

    /** Returns true once after a failed call, where the list comes on request and has to be requested again. */
    public boolean pollFailure() {
        boolean failed = failureUnreported && listOnRequest;
        failureUnreported = false;
        return failed;
    }

    /** Restarts the watch at another address of discovery, with the whole list; until that arrives the old list stays in use. */
    public void changeDiscoveryAddress(InetSocketAddress address) {
        if (!address.equals(discovery.address())) {
            if (callInFlight) {
                connectionPool.cancelCall(connection);
                callInFlight = false;
            }
            connectionPool.removePeer(discovery);
            discovery = ConnectionPool.Peer.forPlatform(address, limits.readyWatchConnections());
            outdatedListFilter.reset();
            fullListNeeded = true;
            dueAt = 0;
        }
    }

    private void startCall(long now) {
        long waitMicros = Math.min(limits.watchWaitMicros(), Math.max(0, outdatedListFilter.holdUntil() - now));
        String path = "/catalog/members" + (fullListNeeded ? ""
                : "?after=" + endpointRegistry.version() + "&wait_ms=" + waitMicros / 1000);
        long startedCallNumber = ++callNumber;
        connection = connectionPool.startCall(discovery,
                new Call("GET", path, new String[] {"Host", discovery.hostHeader()}, EMPTY_BODY), now,
                result -> resultListener.accept(startedCallNumber, result));
        callInFlight = connection != null;
        dueAt = now + (!callInFlight ? limits.retryDelayMicros() : fullListNeeded ? fullListTimeout()
                : waitMicros + limits.watchSlackMicros());
    }

    /**
     * Handles the result of a call. Returns its list, or null if it holds no readable list, or only an older one than the one in use, or
     * if its call was given up.
     */
    public Event.ListReceived handleResult(long answeredCallNumber, Call.Result result, long now) {
        if (!callInFlight || answeredCallNumber != callNumber) {
            return null;
        }
        callInFlight = false;
        if (result.status() != 200 || result.body() == null) {
            // A discovery that refuses has lost nothing, so the changes continue from the known version.
            fullListNeeded |= result.status() == 0 || result.status() == 200;
            handleFailure("watch broke: status " + result.status() + ", " + result.ending());
            dueAt = now + retryDelay();
            return null;
        }
        try {
            return applyUnlessOutdated(FlatJson.read(result.body()), now);
        } catch (IOException e) {
            fullListNeeded = true;
            handleFailure("list cannot be read: " + e.getMessage());
            dueAt = now + retryDelay();
            return null;
        }
    }

    private Event.ListReceived applyUnlessOutdated(Map<String, String> fields, long now) throws IOException {
        List<String> unreadableEntries = new ArrayList<>();
        Event.ListReceived list = null;
        if (isAccepted(fields, now)) {
            list = endpointRegistry.update(fields, now, unreadableEntries);
            unreadableEntries.forEach(text -> log.warn("list: " + text));
            fullListNeeded = !unreadableEntries.isEmpty(); // later changes would not repeat the unreadable entries
            dueAt = fullListNeeded ? now + limits.retryDelayMicros() : now;
        } else {
            fullListNeeded = now >= outdatedListFilter.holdUntil(); // until then only what is newer than the list in use
            dueAt = fullListNeeded ? now : Math.min(now + outdatedListDelay(), outdatedListFilter.holdUntil());
        }
        firstCallCompleted = true;
        consecutiveFailures = 0;
        logStatusChange(true, "discovery answers again");
        return list;
    }

    private boolean isAccepted(Map<String, String> fields, long now) {
        long revision = EndpointRegistry.revisionOf(fields);
        boolean readable = revision >= 0;
        long previousHoldUntil = outdatedListFilter.holdUntil();
        boolean accepted = !readable
                || outdatedListFilter.accepts(revision, endpointRegistry.version(), EndpointRegistry.isComplete(fields), now);
        if (outdatedListFilter.holdUntil() < previousHoldUntil) {
            log.warn("list: revision " + revision + " is older than the known one, " + endpointRegistry.version() + "; ignored");
        } else if (readable && accepted && revision < endpointRegistry.version()) {
            log.warn("list: revision " + revision + " applied, discovery has told nothing newer; before it was "
                    + endpointRegistry.version());
        }
        return accepted;
    }

    private void logStatusChange(boolean available, String text) {
        if (unavailable == available) {
            unavailable = !available;
            log.info(text);
        }
    }
}
