package terndyke.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import terndyke.adapter.TermsReader;
import terndyke.adapter.WireException;
import terndyke.api.DeliverySettings;
import terndyke.node.http.Calls;

/** What a node is told at its start: who and where it is, what it may use, and the delivery terms. */
public record Charter(String name, InetSocketAddress listen, InetSocketAddress discovery, Path folder, Limits limits,
        Map<String, String> known, DeliverySettings terms, List<String> grades, List<String> tenants, List<String> zones,
        List<String> kinds, List<String> reportFields) {

    /** Where the program was told to look; what is null is taken from the file. */
    public record Place(String file, String name, String listen, String discovery, String folder) { }

    /** Reads a node's configuration; an IOException says in one line what is wrong with it. */
    public static Charter read(Place place) throws IOException {
        if (place.file() == null) {
            throw new IOException("no configuration file is named");
        }
        if (place.folder() == null) {
            throw new IOException("no folder for what must last is named");
        }
        try {
            return read(Files.readAllBytes(Path.of(place.file())), place);
        } catch (IOException e) {
            throw new IOException("configuration " + place.file() + " cannot be read: " + e.getMessage(), e);
        }
    }

    static Charter read(byte[] json, Place place) throws IOException {
        try {
            return read(FlatJson.read(json), place);
        } catch (WireException | IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Charter read(Map<String, String> told, Place place) throws IOException, WireException {
        Map<String, String> settings = FlatJson.below("settings", told);
        settings.computeIfPresent("familyInfo.perCall", (key, each) -> each.replaceAll("\\d+", "1")); // one a call
        String seed = told.getOrDefault("seed", "0");
        DeliverySettings terms = TermsReader.read(Long.parseUnsignedLong(seed, 16), settings, true);
        Limits limits = Limits.shareOut((int) number(told, "limits.memory_mb", 192),
                (int) number(told, "limits.sockets", 1024), number(told, "limits.disk_mb", 3), terms.slots(),
                terms.maxPendingRecords(), micros(settings, "ceilings.connectTimeout", 1), terms.idleConnectionTimeout());
        return new Charter(place.name() != null ? place.name() : told.getOrDefault("name", "node"),
                address(place.listen() != null ? place.listen() : told.get("listen"), "listen"),
                address(place.discovery() != null ? place.discovery()
                        : told.getOrDefault("discovery", System.getenv("NODE_DISCOVERY")), "discovery"),
                Path.of(place.folder()), limits, FlatJson.below("known", told), terms, names(settings, "classes"),
                names(settings, "tenants"), list(settings, "dcs"), list(settings, "kinds"),
                list(settings, "report.fields"));
    }

    /** The same with another address of discovery, which is all that a running node takes up anew. */
    Charter movedTo(InetSocketAddress address) {
        return new Charter(name, listen, address, folder, limits, known, terms, grades, tenants, zones, kinds,
                reportFields);
    }

    private static InetSocketAddress address(String text, String what) throws IOException {
        InetSocketAddress address = Calls.address(text);
        if (address == null) {
            throw new IOException("the " + what + " address cannot be read: " + text);
        }
        return address;
    }

    private static double number(Map<String, String> values, String key, double absent) {
        String value = values.get(key);
        return value == null ? absent : Double.parseDouble(value);
    }

    private static long micros(Map<String, String> values, String key, double absent) {
        return Math.round(number(values, key, absent) * 1e6);
    }

    private static List<String> names(Map<String, String> settings, String of) {
        List<String> names = new ArrayList<>();
        int count = (int) number(settings, of + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(settings.getOrDefault(of + "." + i + ".name", Integer.toString(i)));
        }
        return List.copyOf(names);
    }

    private static List<String> list(Map<String, String> settings, String key) {
        String value = settings.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }
}
