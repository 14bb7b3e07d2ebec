package terndyke.lab.model;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import terndyke.lab.plan.Experiment.Destinations;

/** One destination: its receivers, the limit they share, and what each hall remembers of carried-out marks. */
public final class Site {
    final int number;
    final Destinations told;
    final long window;
    private final Allowance shared;
    private final Map<Integer, Map<String, Long>> memories = new HashMap<>();

    /** @param window how long a hall drops repeats of a mark, in microseconds */
    public Site(int number, Destinations told, long window) {
        this.number = number;
        this.told = told;
        this.window = window;
        shared = new Allowance(told.limit());
    }

    public int number() {
        return number;
    }

    Allowance allowance() {
        return told.apart() ? new Allowance(told.limit()) : shared;
    }

    /** Whether that hall has carried this mark out within the window; if not it is remembered from now on. */
    boolean repeats(int hall, String mark, long now) {
        Map<String, Long> memory = memories.computeIfAbsent(hall, some -> new LinkedHashMap<>());
        for (Iterator<Long> oldest = memory.values().iterator(); oldest.hasNext() && oldest.next() < now - window;) {
            oldest.remove();
        }
        return mark != null && memory.putIfAbsent(mark, now) != null;
    }

    /** What a hall remembers is gone. */
    public void forget(int hall) {
        memories.remove(hall);
    }
}
