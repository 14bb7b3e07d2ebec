package terndyke.node.stage;

import java.util.PriorityQueue;

/** What is to be done later on the decision thread, in order of time. */
public final class TimerQueue {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long nextSequence;

    private record Timer(long dueAt, long sequence, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    public void schedule(long time, Runnable work) {
        queue.add(new Timer(time, nextSequence++, work));
    }

    /** When the first one is due, or the given time where none is before it. */
    public long nextDueAt(long atLatest) {
        return queue.isEmpty() ? atLatest : Math.min(atLatest, queue.peek().dueAt());
    }

    /** Does all that is due. */
    public void runDue(long now) {
        while (!queue.isEmpty() && queue.peek().dueAt() <= now) {
            queue.poll().task().run();
        }
    }
}
