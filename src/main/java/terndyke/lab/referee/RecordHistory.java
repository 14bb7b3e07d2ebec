package terndyke.lab.referee;

import java.util.ArrayList;
import java.util.List;

import terndyke.lab.plan.Experiment.RepeatSemantics;

/** Everything that was observed of one record under one id. A time of -1 means that the event has not happened. */
public final class RecordHistory {
    final HandedInRecord handedInRecord;
    final List<ObservedEvent> events = new ArrayList<>();
    final List<ObservedCall> calls = new ArrayList<>();
    long respondedAtMicros = -1;
    int responseStatus;
    long clientLeftAtMicros = -1; // the client gave up waiting, or its connection broke
    long deliveredAtMicros = -1;
    long noticeAtMicros = -1;
    long firstRefusedNoticeAtMicros = -1; // the first notice that the platform refused
    String noticeResult;
    boolean foreignRequestSeen; // another client used the same id

    /** One call of a record, as observed at its receiver. */
    static final class ObservedCall {
        final ObservedEvent event;
        long respondedAtMicros = -1;
        int responseStatus;
        long endedAtMicros = -1;

        ObservedCall(ObservedEvent event) {
            this.event = event;
        }

        /** Whether the node can know at that time that this call was never executed, because its status says so. */
        boolean isKnownNotExecuted(long at) {
            return respondedAtMicros >= 0 && respondedAtMicros <= at
                    && (responseStatus == 429 || responseStatus == 503 || responseStatus == 504 || responseStatus == 410);
        }

        /** Whether the call is still in progress: neither answered nor ended with its connection. */
        boolean isInProgress() {
            return respondedAtMicros < 0 && endedAtMicros < 0;
        }
    }

    RecordHistory(HandedInRecord handedInRecord) {
        this.handedInRecord = handedInRecord;
    }

    public HandedInRecord handedInRecord() {
        return handedInRecord;
    }

    /** Whether the node accepted the record and its client received that answer. */
    public boolean isAccepted() {
        return respondedAtMicros >= 0 && (responseStatus == 202 || responseStatus == 200);
    }

    boolean isRefused() {
        return respondedAtMicros >= 0 && !isAccepted();
    }

    /** Whether the record has ended: delivered, reported in a notice, refused, or abandoned by its client before acceptance. */
    boolean hasEnded() {
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

    /** Whether the record may be refused at that time without a breach of rule 2. */
    boolean mayBeRefused(RuleParameters.Grade grade, long at) {
        return grade.repeatSemantics() == RepeatSemantics.IDEMPOTENT || !mayHaveExecuted(at)
                || grade.repeatSemantics() == RepeatSemantics.DEDUPLICATED && grade.deduplicatedAcrossHalls();
    }

    List<String> timeline() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("record %s (message %d), grade %d, key %s, destination %d, due %.3f s, deadline %.3f s",
                handedInRecord.id(), handedInRecord.message(), handedInRecord.grade(), handedInRecord.key(),
                handedInRecord.destination(), handedInRecord.due() / 1e6, deadlineMicros() / 1e6));
        events.forEach(event -> lines.add(event.toString()));
        return lines;
    }
}
