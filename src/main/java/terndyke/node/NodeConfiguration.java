package terndyke.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
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
    private static final String KNOWN_ENDPOINTS_FIELD = "known";
    private static final long MAX_READ_RETRY_MICROS = 5_000_000; // the system may have no descriptor for a while

    /**
     * Values given on the command line or in the environment. They override the configuration file; null means not given.
     */
    public record StartupOptions(String configurationFile, String name, String listenAddress, String discoveryAddress,
            String stateDirectory) { }

    /** Reads a node's configuration; the IOException says in one line what is wrong with it. */
    public static NodeConfiguration read(StartupOptions options) throws IOException {
        return read(options, "");
    }

    /** The same for a running node, which has its list from discovery: without the known endpoints, which may be thousands. */
    static NodeConfiguration readWithoutKnownEndpoints(StartupOptions options) throws IOException {
        return read(options, KNOWN_ENDPOINTS_FIELD);
    }

    private static NodeConfiguration read(StartupOptions options, String skippedField) throws IOException {
        if (options.configurationFile() == null) {
            throw new IOException("no configuration file given");
        }
        if (options.stateDirectory() == null) {
            throw new IOException("no state directory given");
        }
        String failure = "cannot read configuration " + options.configurationFile();
        byte[] json = new TransientErrorRetry(text -> { }, MAX_READ_RETRY_MICROS).run(failure, () -> readFile(options.configurationFile()));
        try {
            return read(json, options, skippedField);
        } catch (IOException e) {
            throw new IOException(failure + ": " + e.getMessage(), e);
        }
    }

    private static byte[] readFile(String name) throws IOException {
        Path path = Path.of(name);
        if (Files.isDirectory(path)) {
            throw new NoSuchFileException(name, null, "is a directory");
        }
        return Files.readAllBytes(path);
    }

    static NodeConfiguration read(byte[] json, StartupOptions options) throws IOException {
        return read(json, options, "");
    }

    private static NodeConfiguration read(byte[] json, StartupOptions options, String skippedField) throws IOException {
        try {
            return read(FlatJson.readWithout(skippedField, json), options);
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static NodeConfiguration read(Map<String, String> values, StartupOptions options)
            throws IOException, InvalidInputException {
        Map<String, String> settings = FlatJson.subtree("settings", values);
        // this node sends one record per call
        settings.computeIfPresent("familyInfo.perCall", (key, perCall) -> perCall.replaceAll("\\d+", "1"));
        String seed = values.getOrDefault("seed", "0");
        DeliverySettings deliverySettings = DeliverySettingsReader.read(Long.parseUnsignedLong(seed, 16), settings, true);
        Limits limits = Limits.fromResources((int) readNumber(values, "limits.memory_mb", 192),
                (int) readNumber(values, "limits.sockets", 1024), readNumber(values, "limits.disk_mb", 3),
                deliverySettings.slots(), deliverySettings.maxPendingRecords(),
                readSecondsAsMicros(settings, "ceilings.connectTimeout", 1),
                deliverySettings.idleConnectionTimeout());
        return new NodeConfiguration(options.name() != null ? options.name() : values.getOrDefault("name", "node"),
                parseAddress(options.listenAddress() != null ? options.listenAddress() : values.get("listen"), "listen"),
                parseAddress(options.discoveryAddress() != null ? options.discoveryAddress()
                        : values.getOrDefault("discovery", System.getenv("NODE_DISCOVERY")), "discovery"),
                Path.of(options.stateDirectory()), limits, FlatJson.subtree(KNOWN_ENDPOINTS_FIELD, values), deliverySettings,
                readNames(settings, "classes"),
                readNames(settings, "tenants"), readList(settings, "dcs"), readList(settings, "kinds"),
                readList(settings, "report.fields"));
    }

    /** A copy with another address of discovery, the only value that a running node reloads. */
    NodeConfiguration withDiscoveryAddress(InetSocketAddress address) {
        return new NodeConfiguration(name, listenAddress, address, stateDirectory, limits, knownEndpoints, deliverySettings,
                gradeNames, tenantNames, zoneNames, endpointKinds, reportFields);
    }

    /** A copy without the known endpoints, which are of use at the start alone. */
    NodeConfiguration withoutKnownEndpoints() {
        return new NodeConfiguration(name, listenAddress, discoveryAddress, stateDirectory, limits, Map.of(), deliverySettings,
                gradeNames, tenantNames, zoneNames, endpointKinds, reportFields);
    }

    private static InetSocketAddress parseAddress(String text, String fieldName) throws IOException {
        InetSocketAddress address = ConnectionPool.parseAddress(text);
        if (address == null) {
            throw new IOException("invalid " + fieldName + " address: " + text);
        }
        return address;
    }

    private static double readNumber(Map<String, String> values, String key, double defaultValue) {
        String value = values.get(key);
        return value == null ? defaultValue : Double.parseDouble(value);
    }

    private static long readSecondsAsMicros(Map<String, String> values, String key, double defaultValue) {
        return Math.round(readNumber(values, key, defaultValue) * 1e6);
    }

    private static List<String> readNames(Map<String, String> settings, String key) {
        List<String> names = new ArrayList<>();
        int count = (int) readNumber(settings, key + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(settings.getOrDefault(key + "." + i + ".name", Integer.toString(i)));
        }
        return List.copyOf(names);
    }

    private static List<String> readList(Map<String, String> settings, String key) {
        String value = settings.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }
}
