package terndyke.node.stage;

import java.net.InetSocketAddress;
import java.util.List;

import terndyke.node.http.Call;
import terndyke.node.http.Calls;
import terndyke.node.http.Handover;

/** What the I/O thread tells the decision thread. Times are on the node's clock, in whole microseconds. */
public sealed interface Word {

    /** A client hands a record in. */
    record Handed(Handover handover) implements Word { }

    /** A client left before it had its answer. */
    record Left(Handover handover) implements Word { }

    /** A call for a record came to an end. */
    record ShotOver(Owed owed, Owed.Shot shot, long endpoint, Call.Result result, long at) implements Word { }

    /** A probe came to an end. */
    record ProbeOver(Send.Probing probing, Call.Result result, long at) implements Word { }

    /** A connection is free for another call. */
    record LineFree(Calls.Line line) implements Word { }

    /** A watch was answered, or broke. */
    record Watched(long round, Call.Result result) implements Word { }

    /** The platform answered notices, or did not. */
    record Noticed(long round, List<Owed> told, Call.Result result) implements Word { }

    /** Discovery, and with it the platform, has another address. */
    record Moved(InetSocketAddress address) implements Word { }

    /** The node is to go. */
    record Leave() implements Word { }
}
