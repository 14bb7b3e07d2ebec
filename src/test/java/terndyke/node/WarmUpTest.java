package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;

import org.junit.jupiter.api.Test;

/** Guards against a warm-up that keeps a core busy without a pause while many nodes start on it. */
class WarmUpTest {

    @Test
    void warmUpYieldsRepeatedlyHoweverLongItTakes() throws IOException {
        int[] gaveWay = new int[1];
        WarmUp.warmUpDispatcher(
                NodeConfigurationTest.read(NodeConfigurationTest.configurationJson(NodeConfigurationTest.SETTINGS)),
                60_000_000, () -> gaveWay[0]++);
        assertTrue(gaveWay[0] >= 20, "yielded " + gaveWay[0] + " times");
    }
}
