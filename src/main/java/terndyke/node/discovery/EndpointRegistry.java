package terndyke.node.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.EndpointState;
import terndyke.node.FlatJson;
import terndyke.node.http.ConnectionPool;

/** The endpoints that discovery has listed: their numbers for the decision module and their addresses for the calls. */
public final class EndpointRegistry {
    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Endpoint> byUid = new HashMap<>();
    private final Map<Long, Endpoint> byNumber = new HashMap<>();
    private final Map<Integer, AtomicLong> lastRetryAfterByDestination = new HashMap<>(); // when Retry-After last came
    private final Set<Endpoint> goneEndpoints = new LinkedHashSet<>(); // the one gone longest comes first
    private final List<ConnectionPool.Peer> removedPeers = new ArrayList<>();
    private final List<ConnectionPool.Peer> drainingPeers = new ArrayList<>();
    private long version;
    private long lastNumber = -1;

    /** One endpoint. Its number is valid only within this process run. */
    public static final class Endpoint {
        private final String uid;
        private final long number;
        private ListEntry toldEntry; // as discovery told it last
        private ListedEndpoint listEntry;
        private ConnectionPool.Peer peer;
        private long goneAt;

        private Endpoint(String uid, long number) {
            this.uid = uid;
            this.number = number;
        }

        private boolean isToldAsPresent() {
            return toldEntry.state() != EndpointState.GONE;
        }

        public String uid() {
            return uid;
        }

        public long number() {
            return number;
        }

        public int destination() {
            return listEntry.destination();
        }

        public int zone() {
            return listEntry.zone();
        }

        public ConnectionPool.Peer peer() {
            return peer;
        }
    }

    public EndpointRegistry(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    /** The revision of the list applied last. */
    public long version() {
        return version;
    }

    /** True if an endpoint of the destination has been listed in this process run, even if all of them are gone by now. */
    public boolean hasDestination(int destination) {
        return lastRetryAfterByDestination.containsKey(destination);
    }

    /** The endpoint with that number, or null if there is none. */
    public Endpoint findEndpoint(long number) {
        return byNumber.get(number);
    }

    /** The endpoint with that uid, or null if there is none. */
    public Endpoint findEndpoint(String uid) {
        return byUid.get(uid);
    }

    /**
     * Applies a list from discovery, given as flat JSON. Entries that cannot be read are skipped, and a description of each
     * is added to the given list.
     */
    public Event.ListReceived update(Map<String, String> fields, long now, List<String> unreadableEntries) throws IOException {
        long revision = revisionOf(fields);
        int count;
        try {
            count = Integer.parseInt(fields.getOrDefault("targets.count", "0"));
        } catch (NumberFormatException e) {
            throw new IOException("the number of targets is not an integer");
        }
        if (revision < 0) {
            throw new IOException("rev is missing or not a whole number");
        }
        List<ListedEndpoint> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            try {
                entries.add(applyEntry(readEntry(fields, "targets." + i + "."), now, entries));
            } catch (IllegalArgumentException e) {
                unreadableEntries.add("entry " + i + ": " + e.getMessage());
            }
        }
        return finishUpdate(revision, isComplete(fields), entries, now);
    }

    /** The revision of a list, or -1 if it has none that can be read. */
    public static long revisionOf(Map<String, String> fields) {
        String revision = fields.get("rev");
        return revision == null || !revision.matches("\\d{1,18}") ? -1 : Long.parseLong(revision);
    }

    /** True for a whole list, false for changes. */
    static boolean isComplete(Map<String, String> fields) {
        return Boolean.parseBoolean(fields.get("all"));
    }

    /** The list applied last was only one to begin with: whatever discovery sends first replaces it, also with a lower revision. */
    public void forgetRevision() {
        version = 0;
    }

    /** Applies the list that the previous run had, whole, as if discovery had just sent it. */
    public Event.ListReceived restore(long revision, Collection<ListEntry> listEntries, long now) {
        List<ListedEndpoint> entries = new ArrayList<>(listEntries.size());
        for (ListEntry entry : listEntries) {
            entries.add(applyEntry(entry, now, entries));
        }
        return finishUpdate(revision, true, entries, now);
    }

    private Event.ListReceived finishUpdate(long revision, boolean complete, List<ListedEndpoint> entries, long now) {
        version = revision;
        if (complete) {
            Set<ListedEndpoint> listed = new HashSet<>(entries);
            byNumber.values().stream().filter(endpoint -> !listed.contains(endpoint.listEntry))
                    .forEach(endpoint -> markLeft(endpoint, now));
        }
        resolveSharedAddresses(entries, now);
        return new Event.ListReceived(entries, complete);
    }

    /** What discovery has told of the endpoints in a list that has been applied, in the order of the list. */
    public List<ListEntry> describeEntries(Event.ListReceived list) {
        return list.entries().stream().map(entry -> byNumber.get(entry.endpoint()).toldEntry.withState(entry.state())).toList();
    }

    /**
     * One process listens at an address: where a list has several endpoints at one, only those that started last are there. The others are
     * taken for gone, although discovery has not said so yet, for as long as it tells of the one that started after them.
     */
    private void resolveSharedAddresses(List<ListedEndpoint> entries, long now) {
        Map<String, Long> latestBoots = new HashMap<>();
        for (Endpoint endpoint : byNumber.values()) {
            if (endpoint.isToldAsPresent()) {
                latestBoots.merge(endpoint.toldEntry.address(), endpoint.toldEntry.bootMillis(), Math::max);
            }
        }
        for (Endpoint endpoint : byNumber.values()) {
            boolean replaced = endpoint.isToldAsPresent()
                    && endpoint.toldEntry.bootMillis() < latestBoots.get(endpoint.toldEntry.address());
            boolean gone = goneEndpoints.contains(endpoint);
            if (replaced && !gone) {
                markGone(endpoint, now);
                entries.add(endpoint.listEntry);
            } else if (!replaced && gone && endpoint.isToldAsPresent()) {
                entries.add(applyEntry(endpoint.toldEntry, now, entries));
            }
        }
    }

    /** Discovery has said that an endpoint is not there any more. */
    private void markLeft(Endpoint endpoint, long now) {
        endpoint.toldEntry = endpoint.toldEntry.withState(EndpointState.GONE);
        markGone(endpoint, now);
    }

    private void markGone(Endpoint endpoint, long now) {
        if (goneEndpoints.add(endpoint)) {
            ListedEndpoint previousEntry = endpoint.listEntry;
            endpoint.goneAt = now;
            endpoint.listEntry = new ListedEndpoint(previousEntry.endpoint(), previousEntry.zone(), previousEntry.kind(),
                    previousEntry.rate(), EndpointState.GONE, previousEntry.joined(), previousEntry.destination());
            removedPeers.add(endpoint.peer);
        }
    }

    /** Returns and clears the peers whose endpoints went or moved to another address since the last call. */
    public List<ConnectionPool.Peer> pollRemovedPeers() {
        List<ConnectionPool.Peer> removed = List.copyOf(removedPeers);
        removedPeers.clear();
        return removed;
    }

    /** Returns and clears the peers whose endpoints were listed as draining since the last call. */
    public List<ConnectionPool.Peer> pollDrainingPeers() {
        List<ConnectionPool.Peer> draining = List.copyOf(drainingPeers);
        drainingPeers.clear();
        return draining;
    }

    /**
     * Evicts the endpoints that went before the given time and, above the given count, those gone longest. Guards
     * against unbounded growth when lists always bring new endpoints. An evicted endpoint that is listed again counts as
     * new, and the decision module knows nothing of its past.
     */
    public void evictGone(long goneBefore, int maxCount) {
        for (Iterator<Endpoint> iterator = goneEndpoints.iterator(); iterator.hasNext();) {
            Endpoint endpoint = iterator.next();
            if (endpoint.goneAt >= goneBefore && goneEndpoints.size() <= maxCount) {
                return;
            }
            iterator.remove();
            byUid.remove(endpoint.uid, endpoint);
            byNumber.remove(endpoint.number);
        }
    }

    /** Applies a list from discovery, given as the body of its response. */
    public Event.ListReceived update(byte[] json, long now, List<String> unreadableEntries) throws IOException {
        return update(FlatJson.read(json), now, unreadableEntries);
    }

    private ListEntry readEntry(Map<String, String> fields, String prefix) {
        String uid = fields.get(prefix + "uid");
        String address = fields.get(prefix + "endpoint");
        EndpointState state = switch (String.valueOf(fields.get(prefix + "state"))) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("unknown state " + fields.get(prefix + "state"));
        };
        Endpoint knownEndpoint = uid == null ? null : byUid.get(uid);
        String podGroup = fields.get(prefix + "pod_group");
        int destination = podGroup == null && knownEndpoint != null ? knownEndpoint.destination() : Integer.parseInt(podGroup);
        boolean addressNeeded = knownEndpoint == null || destination != knownEndpoint.destination() || state == EndpointState.READY;
        if (uid == null || addressNeeded && ConnectionPool.parseAddress(address) == null) {
            throw new IllegalArgumentException("uid is missing, or endpoint is not a numeric address with a port");
        }
        float rate = Float.parseFloat(fields.getOrDefault(prefix + "capacity_hint", "0"));
        return new ListEntry(uid, address, nameOf(fields.get(prefix + "az"), zones), nameOf(fields.get(prefix + "model"), kinds),
                Float.isFinite(rate) ? rate : 0, state, Long.parseLong(fields.getOrDefault(prefix + "boot_ms", "0")), destination);
    }

    /** The name as the settings have it, the first one where they lack it. */
    private static String nameOf(String name, List<String> names) {
        return names.isEmpty() ? "" : names.get(Math.max(0, names.indexOf(name)));
    }

    private ListedEndpoint applyEntry(ListEntry entry, long now, List<ListedEndpoint> entries) {
        Endpoint knownEndpoint = byUid.get(entry.uid());
        if (knownEndpoint != null && entry.destination() != knownEndpoint.destination()) {
            markLeft(knownEndpoint, now); // the number stays with the old destination, and the entry gets a new one
            entries.add(knownEndpoint.listEntry);
            knownEndpoint = null;
        }
        Endpoint endpoint = knownEndpoint != null ? knownEndpoint : new Endpoint(entry.uid(), ++lastNumber);
        InetSocketAddress address = ConnectionPool.parseAddress(entry.address());
        ListEntry previousEntry = endpoint.toldEntry;
        endpoint.toldEntry = address == null ? entry.withAddress(previousEntry.address()) : entry;
        boolean sameProcess = previousEntry != null && endpoint.toldEntry.isSameProcess(previousEntry);
        endpoint.listEntry = new ListedEndpoint(endpoint.number, Math.max(0, zones.indexOf(entry.zone())),
                Math.max(0, kinds.indexOf(entry.kind())), entry.rate(), entry.state(), entry.bootMillis() * 1000,
                entry.destination());
        ConnectionPool.Peer previousPeer = endpoint.peer;
        boolean peerChanged = address != null && (!sameProcess || goneEndpoints.contains(endpoint));
        if (previousPeer != null && peerChanged) {
            removedPeers.add(previousPeer);
        }
        AtomicLong lastRetryAfter = lastRetryAfterByDestination.computeIfAbsent(entry.destination(), number -> new AtomicLong());
        endpoint.peer = peerChanged ? new ConnectionPool.Peer(address, lastRetryAfter) : previousPeer;
        goneEndpoints.remove(endpoint);
        if (entry.state() == EndpointState.GONE) {
            markLeft(endpoint, now);
        } else if (entry.state() == EndpointState.DRAINING) {
            drainingPeers.add(endpoint.peer);
        }
        byUid.put(entry.uid(), endpoint);
        byNumber.put(endpoint.number, endpoint);
        return endpoint.listEntry;
    }
}
