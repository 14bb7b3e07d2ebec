package terndyke.node.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import terndyke.api.Ending;
import terndyke.node.http.Calls;
import terndyke.node.http.Handover;
import terndyke.node.journal.Entry;

/** A record that the node has taken on, from the taking until nothing needs it any more. */
public final class Owed {
    Entry.Taken taken; // without its body once the record has its end
    final boolean again;
    final boolean fromDeadNode;
    final List<Shot> shots = new ArrayList<>(2);
    Handover.Answer answer; // until the client has its answer
    Entry.End end;
    long wait;
    long endedAt; // since when its notice is owed in this life
    boolean told; // nothing is owed any more

    /** One shot; ending is null while it is out. */
    static final class Shot {
        final int number;
        final long target; // the endpoint's number in this life, or -1
        final String endpoint;
        final int zone;
        final long firedAt;
        Ending ending;
        Calls.Line line;

        Shot(int number, long target, String endpoint, int zone, long firedAt) {
            this.number = number;
            this.target = target;
            this.endpoint = endpoint;
            this.zone = zone;
            this.firedAt = firedAt;
        }
    }

    Owed(Entry.Taken taken, boolean again, boolean fromDeadNode, Handover.Answer answer) {
        this.taken = taken;
        this.again = again;
        this.fromDeadNode = fromDeadNode;
        this.answer = answer;
    }

    /** Whether this is that very record: an id alone does not say so. Of one that is over, the body is gone. */
    boolean holds(Handover handover) {
        return taken.grade() == handover.grade() && taken.tenant() == handover.tenant() && taken.key() == handover.key()
                && taken.destination() == handover.destination() && (!open()
                || Objects.equals(taken.mark(), handover.mark()) && Arrays.equals(taken.body(), handover.body()));
    }

    void dropBody() {
        taken = new Entry.Taken(taken.number(), taken.id(), taken.grade(), taken.tenant(), taken.key(),
                taken.destination(), null, taken.takenAt(), taken.abandonAt(), new byte[0]);
    }

    /** True while the journal must hold the record's body: it may have to be shot again. */
    boolean open() {
        return end == null;
    }
}
