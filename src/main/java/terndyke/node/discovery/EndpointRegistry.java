package terndyke.node.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
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
    private long version;
    private long lastNumber = -1;

    /** One endpoint. Its number is valid only within this process run. */
    public static final class Endpoint {
        private final String uid;
        private final long number;
        private ListedEndpoint listEntry;
        private ConnectionPool.Peer peer;
        private long goneAt;

        private Endpoint(String uid, long number) {
            this.uid = uid;
            this.number = number;
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
    public Event.ListReceived update(Map<String, String> told, long now, List<String> unread) throws IOException {
        long rev;
        int count;
        try {
            rev = Long.parseLong(told.get("rev"));
            count = Integer.parseInt(told.getOrDefault("targets.count", "0"));
        } catch (NumberFormatException e) {
            throw new IOException("rev or targets.count is missing or not a number");
        }
        List<ListedEndpoint> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            try {
                entries.add(applyEntry(told, "targets." + i + ".", now, entries));
            } catch (IllegalArgumentException e) {
                unread.add("entry " + i + ": " + e.getMessage());
            }
        }
        version = rev;
        boolean whole = Boolean.parseBoolean(told.get("all"));
        if (whole) {
            Set<ListedEndpoint> listed = new HashSet<>(entries);
            byNumber.values().stream().filter(member -> !listed.contains(member.listEntry))
                    .forEach(member -> markGone(member, now));
        }
        return new Event.ListReceived(entries, whole);
    }

    private void markGone(Endpoint member, long now) {
        if (goneEndpoints.add(member)) {
            ListedEndpoint was = member.listEntry;
            member.goneAt = now;
            member.listEntry = new ListedEndpoint(was.endpoint(), was.zone(), was.kind(), was.rate(), EndpointState.GONE,
                    was.joined(), was.destination());
            removedPeers.add(member.peer);
        }
    }

    /** Returns and clears the peers whose endpoints went or moved to another address since the last call. */
    public List<ConnectionPool.Peer> pollRemovedPeers() {
        List<ConnectionPool.Peer> since = List.copyOf(removedPeers);
        removedPeers.clear();
        return since;
    }

    /**
     * Evicts the endpoints that went before the given time and, above the given count, those gone longest. Guards
     * against unbounded growth when lists always bring new endpoints. An evicted endpoint that is listed again counts as
     * new, and the decision module knows nothing of its past.
     */
    public void evictGone(long before, int atMost) {
        for (Iterator<Endpoint> all = goneEndpoints.iterator(); all.hasNext();) {
            Endpoint member = all.next();
            if (member.goneAt >= before && goneEndpoints.size() <= atMost) {
                return;
            }
            all.remove();
            byUid.remove(member.uid, member);
            byNumber.remove(member.number);
        }
    }

    /** Applies a list from discovery, given as the body of its response. */
    public Event.ListReceived update(byte[] json, long now, List<String> unread) throws IOException {
        return update(FlatJson.read(json), now, unread);
    }

    private ListedEndpoint applyEntry(Map<String, String> told, String at, long now, List<ListedEndpoint> entries) {
        String uid = told.get(at + "uid");
        InetSocketAddress address = ConnectionPool.parseAddress(told.get(at + "endpoint"));
        EndpointState standing = switch (String.valueOf(told.get(at + "state"))) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("unknown state " + told.get(at + "state"));
        };
        Endpoint known = uid == null ? null : byUid.get(uid);
        String group = told.get(at + "pod_group");
        if (known != null && group != null && Integer.parseInt(group) != known.destination()) {
            markGone(known, now); // the number stays with the old destination, and the entry gets a new one
            entries.add(known.listEntry);
            known = null;
        }
        if (uid == null || address == null && (known == null || standing == EndpointState.READY)) {
            throw new IllegalArgumentException("uid is missing, or endpoint is not a numeric address with a port");
        }
        int destination = known != null ? known.destination() : Integer.parseInt(group);
        Endpoint member = known != null ? known : new Endpoint(uid, ++lastNumber);
        float rate = Float.parseFloat(told.getOrDefault(at + "capacity_hint", "0"));
        member.listEntry = new ListedEndpoint(member.number, Math.max(0, zones.indexOf(told.get(at + "az"))),
                Math.max(0, kinds.indexOf(told.get(at + "model"))), Float.isFinite(rate) ? rate : 0, standing,
                Long.parseLong(told.getOrDefault(at + "boot_ms", "0")) * 1000, destination);
        ConnectionPool.Peer was = member.peer;
        boolean moved = address != null && (was == null || !was.address().equals(address) || goneEndpoints.contains(member));
        if (was != null && moved) {
            removedPeers.add(was);
        }
        AtomicLong toldAt = lastRetryAfterByDestination.computeIfAbsent(destination, number -> new AtomicLong());
        member.peer = moved ? new ConnectionPool.Peer(address, toldAt) : was;
        goneEndpoints.remove(member);
        if (standing == EndpointState.GONE) {
            markGone(member, now);
        }
        byUid.put(uid, member);
        byNumber.put(member.number, member);
        return member.listEntry;
    }
}
