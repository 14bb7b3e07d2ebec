package terndyke.lab.emulate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's own list of receivers. It passes each change to the agents, which apply it after a delay. */
final class DiscoveryRegistry {
    /** The state of one receiver at one revision. Addresses differ by node and are filled in by the agent. */
    record Entry(long revision, String uid, ReceiverHost host, String kind, String state, long bootMillis,
            double capacityHint) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private long revision;

    /** Adds an agent. It gets the current entries at once and later changes after its delay. */
    synchronized void subscribe(DiscoveryAgent agent) {
        agents.add(agent);
        entries.values().forEach(agent::applyUpdate);
    }

    /** Publishes a new state of a receiver. */
    synchronized void publishState(String uid, ReceiverHost host, String kind, double capacityHint, String state,
            long bootMillis) {
        Entry entry = new Entry(++revision, uid, host, kind, state, bootMillis, capacityHint);
        if (state.equals(DiscoveryAgent.LEFT)) {
            entries.remove(uid);
        } else {
            entries.put(uid, entry);
        }
        agents.forEach(agent -> agent.scheduleUpdate(entry));
    }
}
