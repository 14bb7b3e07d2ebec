package terndyke.lab.wire;

import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;

/** Runs tasks at given times, in one thread. Times are microseconds of System.nanoTime. */
public final class TaskScheduler implements AutoCloseable {
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile RuntimeException firstFailure;
    private long lastSequence;

    /** A task and its due time; tasks that are due at the same time run in the order in which they were scheduled. */
    private record ScheduledTask(long dueMicros, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueMicros != other.dueMicros ? Long.compare(dueMicros, other.dueMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    public TaskScheduler(String name) {
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The current time on the clock of all scheduled times, in microseconds of System.nanoTime. */
    public static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Runs a task at the given time, or at once if that time has passed. */
    public void schedule(long dueMicros, Runnable task) {
        boolean isFirst;
        synchronized (queue) {
            ScheduledTask scheduledTask = new ScheduledTask(dueMicros, ++lastSequence, task);
            queue.add(scheduledTask);
            isFirst = queue.peek() == scheduledTask;
        }
        if (isFirst) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (!closed) {
            ScheduledTask scheduledTask;
            long now = nowMicros();
            long waitMicros = 1_000_000;
            synchronized (queue) {
                scheduledTask = queue.peek();
                if (scheduledTask != null && scheduledTask.dueMicros <= now) {
                    queue.poll();
                } else {
                    waitMicros = scheduledTask == null ? waitMicros : scheduledTask.dueMicros - now;
                    scheduledTask = null;
                }
            }
            if (scheduledTask == null) {
                LockSupport.parkNanos(waitMicros * 1000);
                continue;
            }
            try {
                scheduledTask.task.run();
            } catch (RuntimeException e) {
                firstFailure = firstFailure != null ? firstFailure : e; // other tasks go on, but the run is void
            }
        }
    }

    /** The first exception that a task threw; null if none did. */
    public RuntimeException firstFailure() {
        return firstFailure;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
