package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.util.List;

import terndyke.node.http.Call;
import terndyke.node.http.ConnectionPool;
import terndyke.node.http.ClientRequest;

/** An event for the decision thread, posted by another thread. Times are on the node's clock, in whole microseconds. */
public sealed interface LoopEvent {

    /** A client handed in a record. */
    record RequestReceived(ClientRequest clientRequest) implements LoopEvent { }

    /** A client disconnected before it was answered. */
    record ClientDisconnected(ClientRequest clientRequest) implements LoopEvent { }

    /** The call of a shot completed. */
    record ShotCompleted(TrackedRecord trackedRecord, TrackedRecord.Shot shot, long endpointNumber, Call.Result result,
            long completedAt) implements LoopEvent { }

    /** The response that delivered a record may have been a copy of an earlier one, as another response followed it. */
    record DeliveryContradicted(TrackedRecord trackedRecord, TrackedRecord.Shot shot) implements LoopEvent { }

    /** A probe completed. */
    record ProbeCompleted(SendStage.PendingProbe pendingProbe, Call.Result result, long completedAt) implements LoopEvent { }

    /** A connection is available for another call. */
    record ConnectionReleased(ConnectionPool.PooledConnection connection) implements LoopEvent { }

    /** A call to discovery for the list was answered or failed. */
    record WatchCompleted(long callNumber, Call.Result result) implements LoopEvent { }

    /** A call with notices to the platform was answered or failed. */
    record NoticeCallCompleted(long callNumber, List<TrackedRecord> records, Call.Result result) implements LoopEvent { }

    /** The address of discovery, and with it of the platform, changed. */
    record DiscoveryAddressChanged(InetSocketAddress address) implements LoopEvent { }

    /** The node is asked to shut down. */
    record ShutdownRequested() implements LoopEvent { }
}
