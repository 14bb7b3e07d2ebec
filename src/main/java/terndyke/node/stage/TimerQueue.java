package terndyke.node.stage;

import java.util.PriorityQueue;

/** Tasks that the decision thread runs at a later time, ordered by due time and then by the order of scheduling. */
public final class TimerQueue {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long nextSequence;

    private record Timer(long dueAt, long sequence, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    public void schedule(long dueAt, Runnable task) {
        queue.add(new Timer(dueAt, nextSequence++, task));
    }

    /** The due time of the first task, or the given time if that is earlier. */
    public long nextDueAt(long atLatest) {
        return queue.isEmpty() ? atLatest : Math.min(atLatest, queue.peek().dueAt());
    }

    /** Runs all tasks that are due. */
    public void runDue(long now) {
        while (!queue.isEmpty() && queue.peek().dueAt() <= now) {
            queue.poll().task().run();
        }
    }
}
