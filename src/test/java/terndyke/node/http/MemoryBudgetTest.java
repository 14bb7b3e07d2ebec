package terndyke.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.node.Counters;
import terndyke.node.Counters.Counter;

/** Evictions and reservations of a budget of 100,000 bytes, with a clock set by the test. */
class MemoryBudgetTest {
    private final Counters counters = new Counters();
    private final List<String> evicted = new ArrayList<>();
    private long now = 1_000_000;
    private final MemoryBudget budget = new MemoryBudget(100_000, () -> now, counters, Counter.REQUEST_MEMORY_BYTES,
            Counter.REQUESTS_EVICTED);

    private MemoryBudget.Account openAccount(String name) {
        return budget.openAccount(() -> evicted.add(name));
    }

    /** Guards against a client that sends slowly and much, and displaces others that send as much within a moment. */
    @Test
    void theAccountThatHoldsMostForLongestIsEvicted() {
        MemoryBudget.Account slow = openAccount("slow");
        MemoryBudget.Account small = openAccount("small");
        slow.resize(30_000);
        small.resize(300);
        now += 1_000_000;
        MemoryBudget.Account fast = openAccount("fast");
        fast.resize(60_000);
        now += 1_000;
        fast.resize(70_000);
        assertEquals(List.of("slow"), evicted);
        assertEquals(70_300, budget.usedBytes());
        assertEquals(70_300, counters.get(Counter.REQUEST_MEMORY_BYTES));
    }

    @Test
    void anAccountThatIsLargerThanTheBudgetIsEvictedItself() {
        MemoryBudget.Account account = openAccount("large");
        account.resize(100_001);
        assertEquals(List.of("large"), evicted);
        assertEquals(0, budget.usedBytes());
    }

    @Test
    void aProtectedAccountCountsAndIsNotEvicted() {
        budget.openProtectedAccount().resize(90_000);
        MemoryBudget.Account other = openAccount("other");
        other.resize(20_000);
        assertEquals(List.of("other"), evicted);
        assertEquals(90_000, budget.usedBytes());
    }

    /** Guards against large messages that leave no memory for small ones. */
    @Test
    void aPartOfTheBudgetIsLeftToSmallMessages() {
        MemoryBudget.Reservation large = budget.reserve(70_000);
        assertNotNull(large);
        assertNull(budget.reserve(10_000));
        MemoryBudget.Reservation small = budget.reserve(8_000);
        assertNotNull(small);
        small.close();
        large.close();
        large.close();
        assertEquals(0, budget.usedBytes(), "each reservation is released once");
    }

    @Test
    void aCompleteMessageDisplacesIncompleteOnes() {
        openAccount("incomplete").resize(90_000);
        assertNotNull(budget.reserve(20_000));
        assertEquals(List.of("incomplete"), evicted);
    }
}
