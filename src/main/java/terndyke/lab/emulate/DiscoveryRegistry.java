package terndyke.lab.emulate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's own list: what changes when. It tells its agents, each of which learns it later. */
final class DiscoveryRegistry {
    /** One state of one receiver; addresses differ by node and are the agent's to fill in. */
    record Entry(long revision, String uid, ReceiverHost host, String kind, String state, long bootMillis, double capacityHint) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private long revision;

    synchronized void subscribe(DiscoveryAgent agent) {
        agents.add(agent);
        entries.values().forEach(agent::applyUpdate);
    }

    /** A receiver's state is another one from now on. */
    synchronized void publishState(String uid, ReceiverHost host, String kind, double hint, String state, long bootMillis) {
        Entry entry = new Entry(++revision, uid, host, kind, state, bootMillis, hint);
        if (state.equals(DiscoveryAgent.LEFT)) {
            entries.remove(uid);
        } else {
            entries.put(uid, entry);
        }
        agents.forEach(agent -> agent.scheduleUpdate(entry));
    }
}
