package terndyke.lab.emulate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's own list: what changes when. It tells its agents, each of which learns it later. */
final class Roster {
    /** One state of one receiver; addresses differ by node and are the agent's to fill in. */
    record Entry(long rev, String uid, Host host, String kind, String state, long bootMillis, double hint) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Agent> agents = new ArrayList<>();
    private long rev;

    synchronized void tell(Agent agent) {
        agents.add(agent);
        entries.values().forEach(agent::has);
    }

    /** A receiver's state is another one from now on. */
    synchronized void change(String uid, Host host, String kind, double hint, String state, long bootMillis) {
        Entry entry = new Entry(++rev, uid, host, kind, state, bootMillis, hint);
        if (state.equals(Agent.LEFT)) {
            entries.remove(uid);
        } else {
            entries.put(uid, entry);
        }
        agents.forEach(agent -> agent.learn(entry));
    }
}
