package terndyke.node.http;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;

/**
 * Bounds the memory that messages take together on all connections until they are processed. Each connection has an
 * {@link Account} for the message that is being read on it; complete messages that wait to be processed hold a
 * {@link Reservation}. If accounts grow past the capacity, those that have held the most for the longest are evicted. Accounts
 * belong to the I/O thread; reservations may be released by any thread.
 */
final class MemoryBudget {
    private static final int SMALL_MESSAGE_RESERVE_DIVISOR = 4; // the part of the capacity that only small messages may use
    private static final int SMALL_MESSAGE_BYTES = 8 << 10;

    private final long capacityBytes;
    private final LongSupplier clock;
    private final Counters counters;
    private final Counter usedCounter;
    private final Counter evictionCounter;
    private final Set<Account> evictableAccounts = new LinkedHashSet<>(); // those that hold something
    private long usedBytes;

    /**
     * Creates a budget of the given size. The clock is in microseconds. One counter tells how many bytes are in use, the other
     * how many accounts have been evicted.
     */
    MemoryBudget(long capacityBytes, LongSupplier clock, Counters counters, Counter usedCounter, Counter evictionCounter) {
        this.capacityBytes = capacityBytes;
        this.clock = clock;
        this.counters = counters;
        this.usedCounter = usedCounter;
        this.evictionCounter = evictionCounter;
    }

    /**
     * Opens an account for the messages that are read on one connection. The evictor must drop what has been read; it runs on
     * the I/O thread, possibly within {@link Account#resize}.
     */
    Account openAccount(Runnable evictor) {
        return new Account(evictor);
    }

    /** Opens an account that counts towards the total and is never evicted. */
    Account openProtectedAccount() {
        return new Account(null);
    }

    /**
     * Reserves memory for a complete message; returns null if there is not enough even after evictions. A part of the capacity
     * is left to small messages, so that many large ones cannot keep them out.
     */
    Reservation reserve(long bytes) {
        long limit = bytes <= SMALL_MESSAGE_BYTES ? capacityBytes
                : capacityBytes - capacityBytes / SMALL_MESSAGE_RESERVE_DIVISOR;
        evictUntilUsedAtMost(limit - bytes);
        return tryReserve(bytes, limit) ? new Reservation(bytes) : null;
    }

    private synchronized boolean tryReserve(long bytes, long limit) {
        if (usedBytes + bytes > limit) {
            return false;
        }
        addUsed(bytes);
        return true;
    }

    synchronized long usedBytes() {
        return usedBytes;
    }

    private synchronized void addUsed(long bytes) {
        usedBytes += bytes;
        counters.add(usedCounter, bytes);
    }

    private void evictUntilUsedAtMost(long maxUsedBytes) {
        while (usedBytes() > maxUsedBytes && !evictableAccounts.isEmpty()) {
            Account victim = findLargestForLongest();
            victim.setHeld(0);
            counters.add(evictionCounter);
            victim.evictor.run();
        }
    }

    /** The account with the largest product of the bytes it holds and the time for which it has held any. */
    private Account findLargestForLongest() {
        long now = clock.getAsLong();
        Account largest = null;
        double largestCost = -1;
        for (Account account : evictableAccounts) {
            double cost = (double) account.heldBytes * (now - account.heldSince + 1);
            if (cost > largestCost) {
                largest = account;
                largestCost = cost;
            }
        }
        return largest;
    }

    /** What one connection holds for the message that is being read on it. */
    final class Account {
        private final Runnable evictor;
        private long heldBytes;
        private long heldSince;

        private Account(Runnable evictor) {
            this.evictor = evictor;
        }

        /** Changes what the account holds; may evict accounts, this one included, which then holds nothing. */
        void resize(long bytes) {
            boolean grows = bytes > heldBytes;
            setHeld(bytes);
            if (grows) {
                evictUntilUsedAtMost(capacityBytes);
            }
        }

        private void setHeld(long bytes) {
            if (heldBytes == 0) {
                heldSince = clock.getAsLong();
            }
            addUsed(bytes - heldBytes);
            heldBytes = bytes;
            if (bytes == 0) {
                evictableAccounts.remove(this);
            } else if (evictor != null) {
                evictableAccounts.add(this);
            }
        }
    }

    /** Memory reserved for one complete message. */
    final class Reservation implements AutoCloseable {
        private final long bytes;
        private boolean released;

        private Reservation(long bytes) {
            this.bytes = bytes;
        }

        /** Gives the memory back; may be called more than once and by any thread. */
        @Override
        public void close() {
            synchronized (MemoryBudget.this) {
                if (!released) {
                    released = true;
                    addUsed(-bytes);
                }
            }
        }
    }
}
