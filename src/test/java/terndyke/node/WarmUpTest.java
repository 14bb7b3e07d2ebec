package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;

import org.junit.jupiter.api.Test;

/** Guards against a warm-up that keeps a core busy without a pause while many nodes start on it. */
class WarmUpTest {

    @Test
    void warmUpYieldsRepeatedlyHoweverLongItTakes() throws IOException {
        int[] yieldCount = new int[1];
        WarmUp.warmUpDispatcher(
                NodeConfigurationTest.read(NodeConfigurationTest.configurationJson(NodeConfigurationTest.SETTINGS)),
                60_000_000, () -> yieldCount[0]++);
        assertTrue(yieldCount[0] >= 20, "yielded " + yieldCount[0] + " times");
    }
}
