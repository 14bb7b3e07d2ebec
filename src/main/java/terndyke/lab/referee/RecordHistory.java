package terndyke.lab.referee;

import java.util.ArrayList;
import java.util.List;

import terndyke.lab.plan.Experiment.RepeatSemantics;

/** All that was seen of one record under one id. A time of -1: has not happened. */
public final class RecordHistory {
    final HandedInRecord handedInRecord;
    final List<ObservedEvent> events = new ArrayList<>();
    final List<ObservedCall> calls = new ArrayList<>();
    long respondedAtMicros = -1;
    int responseStatus;
    long clientLeftAtMicros = -1; // the client waited no longer, or its connection broke
    long deliveredAtMicros = -1;
    long noticeAtMicros = -1;
    long firstRefusedNoticeAtMicros = -1; // when one first came that the platform did not take
    String noticeResult;
    boolean foreignRequestSeen; // somebody else used its id

    /** One call of a record, as its receiver saw it. */
    static final class ObservedCall {
        final ObservedEvent event;
        long respondedAtMicros = -1;
        int responseStatus;
        long endedAtMicros = -1;

        ObservedCall(ObservedEvent sight) {
            this.event = sight;
        }

        /** Whether the node can know by then that this call never ran. */
        boolean isKnownNotExecuted(long at) {
            return respondedAtMicros >= 0 && respondedAtMicros <= at && (responseStatus == 429 || responseStatus == 503 || responseStatus == 504 || responseStatus == 410);
        }

        /** Whether it has neither an answer nor a broken connection. */
        boolean isOut() {
            return respondedAtMicros < 0 && endedAtMicros < 0;
        }
    }

    RecordHistory(HandedInRecord handed) {
        this.handedInRecord = handed;
    }

    public HandedInRecord handedInRecord() {
        return handedInRecord;
    }

    /** Whether the node took it on, and its client has heard so. */
    public boolean isAccepted() {
        return respondedAtMicros >= 0 && (responseStatus == 202 || responseStatus == 200);
    }

    boolean isRefused() {
        return respondedAtMicros >= 0 && !isAccepted();
    }

    /** Whether nothing is owed for it any more. */
    boolean isOver() {
        return deliveredAtMicros >= 0 || noticeAtMicros >= 0 || isRefused() || clientLeftAtMicros >= 0 && !isAccepted();
    }

    public long deliveredAtMicros() {
        return deliveredAtMicros;
    }

    public String noticeResult() {
        return noticeResult;
    }

    public long noticeAtMicros() {
        return noticeAtMicros;
    }

    public long deadlineMicros() {
        return handedInRecord.sent() + handedInRecord.timeout();
    }

    boolean mayHaveExecuted(long at) {
        return calls.stream().anyMatch(call -> !call.isKnownNotExecuted(at));
    }

    /** Whether the record may be refused at that time without a rule broken. */
    boolean mayBeRefused(RuleParameters.Grade grade, long at) {
        return grade.repeatSemantics() == RepeatSemantics.IDEMPOTENT || !mayHaveExecuted(at)
                || grade.repeatSemantics() == RepeatSemantics.DEDUPLICATED && grade.deduplicatedAcrossHalls();
    }

    List<String> timeline() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("record %s (message %d), grade %d, key %s, destination %d, due %.3f s, ends %.3f s",
                handedInRecord.id(), handedInRecord.message(), handedInRecord.grade(), handedInRecord.key(), handedInRecord.destination(), handedInRecord.due() / 1e6,
                deadlineMicros() / 1e6));
        events.forEach(sight -> lines.add(sight.toString()));
        return lines;
    }
}
