package terndyke.lab.run;

import java.io.IOException;
import java.net.InetSocketAddress;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import terndyke.lab.emulate.DiscoveryAgent;
import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.RepeatSemantics;
import terndyke.lab.plan.Experiment.Grade;
import terndyke.lab.plan.Experiment.Tenant;
import terndyke.lab.wire.SocketReactor;

/** Converts an experiment to the configuration file of a node, in the platform's format. */
public final class NodeConfigurationWriter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private NodeConfigurationWriter() { }

    /** The configuration of a node that the user starts next to an emulator; its listen address is a free one. */
    public static String toJson(Experiment experiment, int node, DiscoveryAgent agent) throws IOException {
        return toJson(experiment, node, experiment.seed() * 1000 + node,
                SocketReactor.findFreeAddress("127.0." + (10 + node) + ".3"),
                agent.address(), agent.fullListJson());
    }

    static String toJson(Experiment experiment, int node, long seed, InetSocketAddress listen, InetSocketAddress agent,
            String knownEndpoints) {
        ObjectNode configuration = JSON.createObjectNode();
        configuration.put("name", "n" + node);
        configuration.put("listen", formatAddress(listen));
        configuration.put("discovery", formatAddress(agent));
        configuration.put("seed", Long.toHexString(seed));
        configuration.putObject("limits").put("cores", experiment.nodes().cores()).put("memory_mb", experiment.nodes().memoryMb())
                .put("sockets", experiment.nodes().sockets()).put("disk_mb", experiment.nodes().diskMb());
        try {
            configuration.set("known", JSON.readTree(knownEndpoints));
            configuration.set("settings", createSettings(experiment, node));
            return JSON.writeValueAsString(configuration);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static ObjectNode createSettings(Experiment experiment, int node) {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("balancers", experiment.nodes().count()).put("rank", node).put("zone", node % experiment.halls().size())
                .put("discovery", "push").put("weightSource", "rough").put("resolution", 0.005).put("overShareWorth", 0.1);
        experiment.halls().forEach(settings.putArray("dcs")::add);
        ArrayNode kinds = settings.putArray("kinds");
        ObjectNode familyInfo = settings.putObject("familyInfo");
        familyInfo.put("callsOut", experiment.nodes().slots()).put("late", "even");
        ArrayNode kindApart = familyInfo.putArray("kindApart");
        ArrayNode perCall = familyInfo.putArray("perCall");
        boolean reports = false;
        java.util.Set<String> seenKinds = new java.util.HashSet<>();
        for (Experiment.DestinationGroup group : experiment.destinations()) {
            reports |= group.reports();
            if (!seenKinds.add(group.kind())) {
                continue;
            }
            kinds.add(group.kind());
            kindApart.add(group.apart());
            perCall.add(1);
        }
        settings.putObject("ceilings").put("maxOpen", experiment.nodes().held()).put("maxAttempts", 8)
                .put("secondCopies", experiment.nodes().copies()).put("cancelling", true).put("probes", true)
                .put("retryAfter", true).put("maxRetryAfter", 2.0)
                .put("connectTimeout", experiment.nodes().connectTimeout().seconds()).put("connIdle", 15.0);
        ObjectNode report = settings.putObject("report");
        report.put("how", reports ? "inline" : "off");
        ArrayNode fields = report.putArray("fields");
        if (reports) {
            fields.add("x0").add("x1");
        }
        double overloadMultiple = experiment.destinations().stream().mapToDouble(group -> group.cold().fallMultiple())
                .min().orElse(2);
        double overloadSeconds = experiment.destinations().stream().mapToDouble(group -> group.cold().fallWithin().seconds())
                .min().orElse(2);
        double coldShare = experiment.destinations().stream().mapToDouble(group -> group.cold().share()).min().orElse(0.2);
        double slowStartSeconds = experiment.destinations().stream()
                .mapToDouble(group -> group.cold().warm().seconds()).max().orElse(11);
        settings.putObject("obligations").put("stopSendingWithin", 2.0).put("fallMultiple", overloadMultiple)
                .put("overloadFor", overloadSeconds).put("coldShare", coldShare).put("cold", slowStartSeconds)
                .put("keyQuiet", 0.1).put("answerSlack", 0.02);
        ArrayNode tenants = settings.putArray("tenants");
        for (Tenant tenant : experiment.tenants()) {
            tenants.addObject().put("name", tenant.name()).put("quotaPerS", tenant.quota()).put("share", tenant.share());
        }
        ArrayNode grades = settings.putArray("classes");
        for (Grade grade : experiment.grades()) {
            ObjectNode gradeJson = grades.addObject().put("name", grade.name()).put("target", grade.target().seconds())
                    .put("deadline", grade.abandon().seconds()).put("semantics", grade.effect().settingsValue())
                    .put("points", grade.worth()).put("lateShare", grade.lateWorth()).put("serialByKey", grade.inOrder());
            if (grade.effect() == RepeatSemantics.DEDUPLICATED) {
                gradeJson.put("group", grade.everywhere() ? "all" : "zone").put("memorySpan", grade.window().seconds());
            }
        }
        return settings;
    }
}
