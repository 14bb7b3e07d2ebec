package terndyke.lab.referee;

import java.util.ArrayList;
import java.util.List;

import terndyke.lab.plan.Experiment.Effect;

/** All that was seen of one record under one id. A time of -1: has not happened. */
public final class Story {
    final Handed handed;
    final List<Sight> seen = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    long answeredAt = -1;
    int answer;
    long leftAt = -1; // the client waited no longer, or its connection broke
    long deliveredAt = -1;
    long noticeAt = -1;
    long refusedNoticeAt = -1; // when one first came that the platform did not take
    String notice;
    boolean foreign; // somebody else used its id

    /** One call of a record, as its receiver saw it. */
    static final class Call {
        final Sight sight;
        long answeredAt = -1;
        int status;
        long endedAt = -1;

        Call(Sight sight) {
            this.sight = sight;
        }

        /** Whether the node can know by then that this call never ran. */
        boolean neverRan(long at) {
            return answeredAt >= 0 && answeredAt <= at && (status == 429 || status == 503 || status == 504 || status == 410);
        }

        /** Whether it has neither an answer nor a broken connection. */
        boolean out() {
            return answeredAt < 0 && endedAt < 0;
        }
    }

    Story(Handed handed) {
        this.handed = handed;
    }

    public Handed handed() {
        return handed;
    }

    /** Whether the node took it on, and its client has heard so. */
    public boolean taken() {
        return answeredAt >= 0 && (answer == 202 || answer == 200);
    }

    boolean refused() {
        return answeredAt >= 0 && !taken();
    }

    /** Whether nothing is owed for it any more. */
    boolean over() {
        return deliveredAt >= 0 || noticeAt >= 0 || refused() || leftAt >= 0 && !taken();
    }

    public long deliveredAt() {
        return deliveredAt;
    }

    public String notice() {
        return notice;
    }

    public long noticeAt() {
        return noticeAt;
    }

    public long deadline() {
        return handed.sent() + handed.timeout();
    }

    boolean mayHaveRun(long at) {
        return calls.stream().anyMatch(call -> !call.neverRan(at));
    }

    /** Whether the record may be refused at that time without a rule broken. */
    boolean mayBounce(Rules.Grade grade, long at) {
        return grade.effect() == Effect.IDEMPOTENT || !mayHaveRun(at)
                || grade.effect() == Effect.DEDUPLICATED && grade.everywhere();
    }

    List<String> timeline() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("record %s (message %d), grade %d, key %s, destination %d, due %.3f s, ends %.3f s",
                handed.id(), handed.message(), handed.grade(), handed.key(), handed.destination(), handed.due() / 1e6,
                deadline() / 1e6));
        seen.forEach(sight -> lines.add(sight.toString()));
        return lines;
    }
}
