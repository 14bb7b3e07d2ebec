package terndyke.lab.referee;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import terndyke.lab.referee.Sight.What;

/** Collects sights from all threads. Times become those since the day's start. */
public final class Logbook {
    private final List<Sight> sights = new ArrayList<>(1 << 14);
    private final Set<String> owed = new HashSet<>(); // told that they are taken, without an end so far
    private final Set<String> ended = new HashSet<>();
    private volatile long start;

    public void startAt(long micros) {
        start = micros;
    }

    public long start() {
        return start;
    }

    /** Takes in a sight whose time, like those it holds, is by the clock of the machine. */
    public void add(Sight sight) {
        Sight moved = new Sight(sight.at() - start, sight.what(), sight.node(), sight.id(), sight.call(), sight.uid(),
                sight.destination(), sight.hall(), sight.status(), sight.toldWait(),
                sight.began() == 0 ? 0 : sight.began() - start, sight.note(), since(sight.handed()));
        synchronized (sights) {
            sights.add(moved);
            boolean taken = sight.what() == What.ANSWERED && (sight.status() == 202 || sight.status() == 200);
            if (sight.what() == What.NOTICE || sight.what() == What.CALL_ANSWERED && sight.status() == 200) {
                ended.add(sight.id());
                owed.remove(sight.id());
            } else if (taken && !ended.contains(sight.id())) {
                owed.add(sight.id());
            }
        }
    }

    /** Whether no record that was taken on is without its end. */
    public boolean allEnded() {
        synchronized (sights) {
            return owed.isEmpty();
        }
    }

    private Handed since(Handed told) {
        return told == null ? null : new Handed(told.id(), told.message(), told.node(), told.grade(), told.tenant(),
                told.key(), told.destination(), told.mark(), told.due() - start, told.sent() - start, told.timeout(),
                told.bytes(), told.extra());
    }

    /** All of them by time; what was seen together stays in the order of its coming. */
    public List<Sight> all() {
        synchronized (sights) {
            List<Sight> sorted = new ArrayList<>(sights);
            sorted.sort(Comparator.comparingLong(Sight::at));
            return sorted;
        }
    }
}
