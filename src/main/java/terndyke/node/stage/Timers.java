package terndyke.node.stage;

import java.util.PriorityQueue;

/** What is to be done later on the decision thread, in order of time. */
public final class Timers {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long sequence;

    private record Timer(long at, long sequence, Runnable work) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    public void at(long time, Runnable work) {
        queue.add(new Timer(time, sequence++, work));
    }

    /** When the first one is due, or the given time where none is before it. */
    public long first(long atLatest) {
        return queue.isEmpty() ? atLatest : Math.min(atLatest, queue.peek().at());
    }

    /** Does all that is due. */
    public void run(long now) {
        while (!queue.isEmpty() && queue.peek().at() <= now) {
            queue.poll().work().run();
        }
    }
}
