package terndyke.lab.wire;

import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;

/** One thread that runs what is due; times are microseconds of System.nanoTime. */
public final class TaskScheduler implements AutoCloseable {
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile RuntimeException firstFailure;
    private long lastSequence;

    private record ScheduledTask(long dueMicros, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueMicros != other.dueMicros ? Long.compare(dueMicros, other.dueMicros) : Long.compare(sequence, other.sequence);
        }
    }

    public TaskScheduler(String name) {
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    public static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Runs this at that time, or at once where it is over. */
    public void schedule(long micros, Runnable work) {
        boolean first;
        synchronized (queue) {
            ScheduledTask due = new ScheduledTask(micros, ++lastSequence, work);
            queue.add(due);
            first = queue.peek() == due;
        }
        if (first) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (!closed) {
            ScheduledTask due;
            long now = nowMicros();
            long wait = 1_000_000;
            synchronized (queue) {
                due = queue.peek();
                if (due != null && due.dueMicros <= now) {
                    queue.poll();
                } else {
                    wait = due == null ? wait : due.dueMicros - now;
                    due = null;
                }
            }
            if (due == null) {
                LockSupport.parkNanos(wait * 1000);
                continue;
            }
            try {
                due.task.run();
            } catch (RuntimeException e) {
                firstFailure = firstFailure != null ? firstFailure : e; // the rest goes on, but the run is worth nothing
            }
        }
    }

    /** What went wrong first in the work it ran; null where nothing did. */
    public RuntimeException firstFailure() {
        return firstFailure;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
