package terndyke.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import terndyke.adapter.DeliverySettingsReader;
import terndyke.adapter.InvalidInputException;
import terndyke.api.DeliverySettings;
import terndyke.node.http.ConnectionPool;

/** The configuration of a node: its name, addresses and state directory, its limits, and the delivery settings. */
public record NodeConfiguration(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress,
        Path stateDirectory, Limits limits, Map<String, String> knownEndpoints, DeliverySettings deliverySettings,
        List<String> gradeNames, List<String> tenantNames, List<String> zoneNames, List<String> endpointKinds,
        List<String> reportFields) {

    /**
     * Values given on the command line or in the environment. They override the configuration file; null means not given.
     */
    public record StartupOptions(String configurationFile, String name, String listenAddress, String discoveryAddress,
            String stateDirectory) { }

    /** Reads a node's configuration; the IOException says in one line what is wrong with it. */
    public static NodeConfiguration read(StartupOptions place) throws IOException {
        if (place.configurationFile() == null) {
            throw new IOException("no configuration file given");
        }
        if (place.stateDirectory() == null) {
            throw new IOException("no state directory given");
        }
        try {
            return read(Files.readAllBytes(Path.of(place.configurationFile())), place);
        } catch (IOException e) {
            throw new IOException("cannot read configuration " + place.configurationFile() + ": " + e.getMessage(), e);
        }
    }

    static NodeConfiguration read(byte[] json, StartupOptions place) throws IOException {
        try {
            return read(FlatJson.read(json), place);
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static NodeConfiguration read(Map<String, String> told, StartupOptions place)
            throws IOException, InvalidInputException {
        Map<String, String> settings = FlatJson.subtree("settings", told);
        // this node sends one record per call
        settings.computeIfPresent("familyInfo.perCall", (key, each) -> each.replaceAll("\\d+", "1"));
        String seed = told.getOrDefault("seed", "0");
        DeliverySettings terms = DeliverySettingsReader.read(Long.parseUnsignedLong(seed, 16), settings, true);
        Limits limits = Limits.fromResources((int) readNumber(told, "limits.memory_mb", 192),
                (int) readNumber(told, "limits.sockets", 1024), readNumber(told, "limits.disk_mb", 3), terms.slots(),
                terms.maxPendingRecords(), readSecondsAsMicros(settings, "ceilings.connectTimeout", 1),
                terms.idleConnectionTimeout());
        return new NodeConfiguration(place.name() != null ? place.name() : told.getOrDefault("name", "node"),
                parseAddress(place.listenAddress() != null ? place.listenAddress() : told.get("listen"), "listen"),
                parseAddress(place.discoveryAddress() != null ? place.discoveryAddress()
                        : told.getOrDefault("discovery", System.getenv("NODE_DISCOVERY")), "discovery"),
                Path.of(place.stateDirectory()), limits, FlatJson.subtree("known", told), terms, readNames(settings, "classes"),
                readNames(settings, "tenants"), readList(settings, "dcs"), readList(settings, "kinds"),
                readList(settings, "report.fields"));
    }

    /** A copy with another address of discovery, the only value that a running node reloads. */
    NodeConfiguration withDiscoveryAddress(InetSocketAddress address) {
        return new NodeConfiguration(name, listenAddress, address, stateDirectory, limits, knownEndpoints, deliverySettings,
                gradeNames, tenantNames, zoneNames, endpointKinds, reportFields);
    }

    private static InetSocketAddress parseAddress(String text, String what) throws IOException {
        InetSocketAddress address = ConnectionPool.parseAddress(text);
        if (address == null) {
            throw new IOException("invalid " + what + " address: " + text);
        }
        return address;
    }

    private static double readNumber(Map<String, String> values, String key, double absent) {
        String value = values.get(key);
        return value == null ? absent : Double.parseDouble(value);
    }

    private static long readSecondsAsMicros(Map<String, String> values, String key, double absent) {
        return Math.round(readNumber(values, key, absent) * 1e6);
    }

    private static List<String> readNames(Map<String, String> settings, String of) {
        List<String> names = new ArrayList<>();
        int count = (int) readNumber(settings, of + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(settings.getOrDefault(of + "." + i + ".name", Integer.toString(i)));
        }
        return List.copyOf(names);
    }

    private static List<String> readList(Map<String, String> settings, String key) {
        String value = settings.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }
}
