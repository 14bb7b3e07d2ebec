package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.util.List;

import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;

/** What the I/O thread tells the decision thread. Times are on the node's clock, in whole microseconds. */
public sealed interface LoopEvent {

    /** A client hands a record in. */
    record RequestReceived(ClientRequest clientRequest) implements LoopEvent { }

    /** A client left before it had its answer. */
    record ClientDisconnected(ClientRequest clientRequest) implements LoopEvent { }

    /** A call for a record came to an end. */
    record ShotCompleted(TrackedRecord trackedRecord, TrackedRecord.Shot shot, long endpointNumber, Call.Result result, long completedAt) implements LoopEvent { }

    /** A probe came to an end. */
    record ProbeCompleted(SendStage.PendingProbe pendingProbe, Call.Result result, long completedAt) implements LoopEvent { }

    /** A connection is free for another call. */
    record ConnectionReleased(ConnectionPool.PooledConnection connection) implements LoopEvent { }

    /** A watch was answered, or broke. */
    record WatchCompleted(long callNumber, Call.Result result) implements LoopEvent { }

    /** The platform answered notices, or did not. */
    record NoticeCallCompleted(long callNumber, List<TrackedRecord> records, Call.Result result) implements LoopEvent { }

    /** Discovery, and with it the platform, has another address. */
    record DiscoveryAddressChanged(InetSocketAddress address) implements LoopEvent { }

    /** The node is to go. */
    record ShutdownRequested() implements LoopEvent { }
}
