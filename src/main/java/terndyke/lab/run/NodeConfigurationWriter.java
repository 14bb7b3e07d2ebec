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
    public static String toJson(Experiment day, int node, DiscoveryAgent agent) throws IOException {
        return toJson(day, node, day.seed() * 1000 + node, SocketReactor.findFreeAddress("127.0." + (10 + node) + ".3"),
                agent.address(), agent.fullListJson());
    }

    static String toJson(Experiment day, int node, long seed, InetSocketAddress listen, InetSocketAddress agent, String known) {
        ObjectNode file = JSON.createObjectNode();
        file.put("name", "n" + node);
        file.put("listen", formatAddress(listen));
        file.put("discovery", formatAddress(agent));
        file.put("seed", Long.toHexString(seed));
        file.putObject("limits").put("cores", day.nodes().cores()).put("memory_mb", day.nodes().memoryMb())
                .put("sockets", day.nodes().sockets()).put("disk_mb", day.nodes().diskMb());
        try {
            file.set("known", JSON.readTree(known));
            file.set("settings", createSettings(day, node));
            return JSON.writeValueAsString(file);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static ObjectNode createSettings(Experiment day, int node) {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("balancers", day.nodes().count()).put("rank", node).put("zone", node % day.halls().size())
                .put("discovery", "push").put("weightSource", "rough").put("resolution", 0.005).put("overShareWorth", 0.1);
        day.halls().forEach(settings.putArray("dcs")::add);
        ArrayNode kinds = settings.putArray("kinds");
        ObjectNode family = settings.putObject("familyInfo");
        family.put("callsOut", day.nodes().slots()).put("late", "even");
        ArrayNode apart = family.putArray("kindApart");
        ArrayNode perCall = family.putArray("perCall");
        boolean reports = false;
        java.util.Set<String> named = new java.util.HashSet<>();
        for (Experiment.DestinationGroup some : day.destinations()) {
            reports |= some.reports();
            if (!named.add(some.kind())) {
                continue;
            }
            kinds.add(some.kind());
            apart.add(some.apart());
            perCall.add(1);
        }
        settings.putObject("ceilings").put("maxOpen", day.nodes().held()).put("maxAttempts", 8)
                .put("secondCopies", day.nodes().copies()).put("cancelling", true).put("probes", true)
                .put("retryAfter", true).put("maxRetryAfter", 2.0)
                .put("connectTimeout", day.nodes().connectTimeout().seconds()).put("connIdle", 15.0);
        ObjectNode report = settings.putObject("report");
        report.put("how", reports ? "inline" : "off");
        ArrayNode fields = report.putArray("fields");
        if (reports) {
            fields.add("x0").add("x1");
        }
        double multiple = day.destinations().stream().mapToDouble(some -> some.cold().fallMultiple()).min().orElse(2);
        double within = day.destinations().stream().mapToDouble(some -> some.cold().fallWithin().seconds()).min().orElse(2);
        double coldShare = day.destinations().stream().mapToDouble(some -> some.cold().share()).min().orElse(0.2);
        double warm = day.destinations().stream().mapToDouble(some -> some.cold().warm().seconds()).max().orElse(11);
        settings.putObject("obligations").put("stopSendingWithin", 2.0).put("fallMultiple", multiple)
                .put("overloadFor", within).put("coldShare", coldShare).put("cold", warm)
                .put("keyQuiet", 0.1).put("answerSlack", 0.02);
        ArrayNode tenants = settings.putArray("tenants");
        for (Tenant tenant : day.tenants()) {
            tenants.addObject().put("name", tenant.name()).put("quotaPerS", tenant.quota()).put("share", tenant.share());
        }
        ArrayNode grades = settings.putArray("classes");
        for (Grade grade : day.grades()) {
            ObjectNode one = grades.addObject().put("name", grade.name()).put("target", grade.target().seconds())
                    .put("deadline", grade.abandon().seconds()).put("semantics", grade.effect().settingsValue())
                    .put("points", grade.worth()).put("lateShare", grade.lateWorth()).put("serialByKey", grade.inOrder());
            if (grade.effect() == RepeatSemantics.DEDUPLICATED) {
                one.put("group", grade.everywhere() ? "all" : "zone").put("memorySpan", grade.window().seconds());
            }
        }
        return settings;
    }
}
