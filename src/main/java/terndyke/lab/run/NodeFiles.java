package terndyke.lab.run;

import java.io.IOException;

import terndyke.lab.emulate.Agent;
import terndyke.lab.plan.Experiment;
import terndyke.lab.wire.Net;

/** Configurations for nodes that somebody else starts beside an emulator. */
public final class NodeFiles {
    private NodeFiles() { }

    public static String of(Experiment day, int node, Agent agent) throws IOException {
        return NodeFile.of(day, node, day.seed() * 1000 + node, Net.free("127.0." + (10 + node) + ".3"), agent.address(),
                agent.whole());
    }
}
