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

/** The list of endpoints as discovery told it: numbers for the module, addresses for the calls. */
public final class Catalogue {
    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Member> byName = new HashMap<>();
    private final Map<Long, Member> byNumber = new HashMap<>();
    private final Map<Integer, AtomicLong> destinations = new HashMap<>(); // and when one last told a wait
    private final Set<Member> gone = new LinkedHashSet<>(); // longest first
    private final List<ConnectionPool.Peer> left = new ArrayList<>();
    private long version;
    private long lastNumber = -1;

    /** One endpoint: its number is for this life of the node alone. */
    public static final class Member {
        private final String uid;
        private final long number;
        private ListedEndpoint listed;
        private ConnectionPool.Peer peer;
        private long goneAt;

        private Member(String uid, long number) {
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
            return listed.destination();
        }

        public int zone() {
            return listed.zone();
        }

        public ConnectionPool.Peer peer() {
            return peer;
        }
    }

    public Catalogue(List<String> zones, List<String> kinds) {
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
    }

    public long version() {
        return version;
    }

    public boolean knows(int destination) {
        return destinations.containsKey(destination);
    }

    public Member member(long number) {
        return byNumber.get(number);
    }

    public Member member(String uid) {
        return byName.get(uid);
    }

    /** Takes in an answer of discovery; entries that cannot be read are passed over and told in the list. */
    public Event.ListReceived take(Map<String, String> told, long now, List<String> unread) throws IOException {
        long rev;
        int count;
        try {
            rev = Long.parseLong(told.get("rev"));
            count = Integer.parseInt(told.getOrDefault("targets.count", "0"));
        } catch (NumberFormatException e) {
            throw new IOException("list without a version or a count");
        }
        List<ListedEndpoint> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            try {
                entries.add(entry(told, "targets." + i + ".", now, entries));
            } catch (IllegalArgumentException e) {
                unread.add("entry " + i + ": " + e.getMessage());
            }
        }
        version = rev;
        boolean whole = Boolean.parseBoolean(told.get("all"));
        if (whole) {
            Set<ListedEndpoint> listed = new HashSet<>(entries);
            byNumber.values().stream().filter(member -> !listed.contains(member.listed))
                    .forEach(member -> leave(member, now));
        }
        return new Event.ListReceived(entries, whole);
    }

    private void leave(Member member, long now) {
        if (gone.add(member)) {
            ListedEndpoint was = member.listed;
            member.goneAt = now;
            member.listed = new ListedEndpoint(was.endpoint(), was.zone(), was.kind(), was.rate(), EndpointState.GONE,
                    was.joined(), was.destination());
            left.add(member.peer);
        }
    }

    /** Who has left its address since the last call. */
    public List<ConnectionPool.Peer> left() {
        List<ConnectionPool.Peer> since = List.copyOf(left);
        left.clear();
        return since;
    }

    /**
     * Forgets who was gone before that time, and the longest gone of too many. Guards against lists that always bring
     * new endpoints; one that comes back later is a new one, and the module knows nothing of its past.
     */
    public void forget(long before, int atMost) {
        for (Iterator<Member> all = gone.iterator(); all.hasNext();) {
            Member member = all.next();
            if (member.goneAt >= before && gone.size() <= atMost) {
                return;
            }
            all.remove();
            byName.remove(member.uid, member);
            byNumber.remove(member.number);
        }
    }

    /** Takes in an answer as it came over the socket. */
    public Event.ListReceived take(byte[] json, long now, List<String> unread) throws IOException {
        return take(FlatJson.read(json), now, unread);
    }

    private ListedEndpoint entry(Map<String, String> told, String at, long now, List<ListedEndpoint> entries) {
        String uid = told.get(at + "uid");
        InetSocketAddress address = ConnectionPool.parseAddress(told.get(at + "endpoint"));
        EndpointState standing = switch (String.valueOf(told.get(at + "state"))) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("unknown state " + told.get(at + "state"));
        };
        Member known = uid == null ? null : byName.get(uid);
        String group = told.get(at + "pod_group");
        if (known != null && group != null && Integer.parseInt(group) != known.destination()) {
            leave(known, now); // its number stays with its old destination
            entries.add(known.listed);
            known = null;
        }
        if (uid == null || address == null && (known == null || standing == EndpointState.READY)) {
            throw new IllegalArgumentException("no uid or no address in numbers");
        }
        int destination = known != null ? known.destination() : Integer.parseInt(group);
        Member member = known != null ? known : new Member(uid, ++lastNumber);
        float rate = Float.parseFloat(told.getOrDefault(at + "capacity_hint", "0"));
        member.listed = new ListedEndpoint(member.number, Math.max(0, zones.indexOf(told.get(at + "az"))),
                Math.max(0, kinds.indexOf(told.get(at + "model"))), Float.isFinite(rate) ? rate : 0, standing,
                Long.parseLong(told.getOrDefault(at + "boot_ms", "0")) * 1000, destination);
        ConnectionPool.Peer was = member.peer;
        boolean moved = address != null && (was == null || !was.address().equals(address) || gone.contains(member));
        if (was != null && moved) {
            left.add(was);
        }
        AtomicLong toldAt = destinations.computeIfAbsent(destination, number -> new AtomicLong());
        member.peer = moved ? new ConnectionPool.Peer(address, toldAt) : was;
        gone.remove(member);
        if (standing == EndpointState.GONE) {
            leave(member, now);
        }
        byName.put(uid, member);
        byNumber.put(member.number, member);
        return member.listed;
    }
}
