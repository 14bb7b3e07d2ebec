package terndyke.lab.wire;

import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;

/** One thread that runs what is due; times are microseconds of System.nanoTime. */
public final class Ticker implements AutoCloseable {
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile RuntimeException failure;
    private long numbers;

    private record Due(long at, long number, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    public Ticker(String name) {
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    public static long now() {
        return System.nanoTime() / 1000;
    }

    /** Runs this at that time, or at once where it is over. */
    public void at(long micros, Runnable work) {
        boolean first;
        synchronized (queue) {
            Due due = new Due(micros, ++numbers, work);
            queue.add(due);
            first = queue.peek() == due;
        }
        if (first) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (!closed) {
            Due due;
            long now = now();
            long wait = 1_000_000;
            synchronized (queue) {
                due = queue.peek();
                if (due != null && due.at <= now) {
                    queue.poll();
                } else {
                    wait = due == null ? wait : due.at - now;
                    due = null;
                }
            }
            if (due == null) {
                LockSupport.parkNanos(wait * 1000);
                continue;
            }
            try {
                due.work.run();
            } catch (RuntimeException e) {
                failure = failure != null ? failure : e; // the rest goes on, but the run is worth nothing
            }
        }
    }

    /** What went wrong first in the work it ran; null where nothing did. */
    public RuntimeException failure() {
        return failure;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
