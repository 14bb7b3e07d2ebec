package terndyke.decision;

import terndyke.api.Ending;

/** One call on an endpoint: a slot, and one fate for all records that it carries. */
final class Call {
    final Route route;
    final long firedAt;
    int records;
    int out;
    boolean known;

    Call(Route route, long firedAt) {
        this.route = route;
        this.firedAt = firedAt;
    }

    /** One shot for a record, as part of a call. */
    static final class Shot {
        final Call call;
        Ending ending;
        boolean recalled;

        Shot(Call call) {
            this.call = call;
        }

        boolean mayHaveRun() {
            return ending == null || !ending.provesNotRun();
        }
    }
}
