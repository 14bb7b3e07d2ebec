package terndyke.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import terndyke.api.Action;
import terndyke.api.Ending;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.decision.Dispatcher;
import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.Reactor;

/**
 * Exercises the code paths of a delivery before clients are served, for a bounded time, so that the JIT compiler has
 * seen them. Without it a cold node on a fraction of a core answers late, receives repeated requests because of that,
 * and so never warms up. It lengthens the start by its time limits at most, and leaves no state behind.
 */
final class WarmUp {
    private static final int MAX_ITERATIONS = 400;
    private static final int ITERATIONS_PER_YIELD = 20;
    private static final long YIELD_NANOS = 100_000;
    private static final float[] NO_REPORT = new float[0];

    private WarmUp() { }

    /** Lets a separate dispatcher accept and deliver synthetic records. */
    static void warmUpDispatcher(NodeConfiguration configuration, long timeoutMicros) {
        warmUpDispatcher(configuration, timeoutMicros, () -> LockSupport.parkNanos(YIELD_NANOS));
    }

    /**
     * Yields the processor regularly, for machines on which many nodes start at once. Without that the warm-up was the
     * longest time for which a node computed without a pause (150 ms of a core), and a hundred nodes on one core blocked
     * all other processes, including watchdogs for hung processes. The pauses lengthen the start by some milliseconds.
     */
    static void warmUpDispatcher(NodeConfiguration configuration, long timeoutMicros, Runnable pause) {
        long deadlineNanos = System.nanoTime() + timeoutMicros * 1000;
        Dispatcher dispatcher = new Dispatcher(configuration.deliverySettings());
        List<Event> events = new ArrayList<>();
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            endpoints.add(new ListedEndpoint(i, 0, 0, 1, ListedEndpoint.EndpointState.READY, 0, i / 2));
        }
        events.add(new Event.ListReceived(endpoints, true));
        for (int i = 1; i <= MAX_ITERATIONS && System.nanoTime() < deadlineNanos; i++) {
            if (i % ITERATIONS_PER_YIELD == 0) {
                pause.run();
            }
            events.add(new Event.RecordAccepted(i, i % configuration.deliverySettings().grades().size(), 0, i % 20, 3_000_000, 0,
                    i % 3, false, false, false));
            events.add(new Event.TimerExpired(0));
            List<Action> actions = dispatcher.handleEvents(i * 10_000L, events);
            events = new ArrayList<>();
            for (Action action : actions) {
                if (action instanceof Action.SendShot sendShot) {
                    Ending ending = i % 5 == 0 ? Ending.FULL : Ending.DONE;
                    events.add(new Event.ShotEnded(sendShot.id(), 0, sendShot.endpoint(), ending, 9_000, 0, false,
                            ending == Ending.DONE, NO_REPORT));
                }
            }
        }
    }

    /** Sends health requests to the node's own listener, which handles them like those of any client. */
    static void warmUpHttp(NodeConfiguration configuration, Reactor reactor, NodeClock clock, NodeLog log,
            InetSocketAddress listenAddress, long timeoutMicros) {
        BlockingQueue<Call.Result> results = new LinkedBlockingQueue<>();
        BlockingQueue<ConnectionPool.PooledConnection> releasedConnections = new LinkedBlockingQueue<>();
        ConnectionPool connectionPool = new ConnectionPool(reactor, configuration.limits(), new Counters(), log, clock::now,
                new HoldUpDetector(clock::now, Long.MAX_VALUE), releasedConnections::add);
        ConnectionPool.Peer peer = ConnectionPool.Peer.forOwnListener(listenAddress);
        Call call = new Call("GET", "/_health", new String[] {"Host", peer.hostHeader()}, new byte[0]);
        long deadlineNanos = System.nanoTime() + timeoutMicros * 1000;
        try {
            for (int i = 0; i < MAX_ITERATIONS && System.nanoTime() < deadlineNanos; i++) {
                ConnectionPool.PooledConnection connection = connectionPool.startCall(peer, call, clock.now(), results::add);
                if (connection == null || results.poll(timeoutMicros, TimeUnit.MICROSECONDS) == null) {
                    break;
                }
                connection = releasedConnections.poll(timeoutMicros, TimeUnit.MICROSECONDS);
                if (connection != null) {
                    connectionPool.release(connection, clock.now());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        connectionPool.removePeer(peer);
    }
}
