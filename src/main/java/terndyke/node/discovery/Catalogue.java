package terndyke.node.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.Standing;
import terndyke.node.FlatJson;
import terndyke.node.http.Calls;

/** The list of endpoints as discovery told it: numbers for the module, addresses for the calls. */
public final class Catalogue {
    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Member> byName = new HashMap<>();
    private final List<Member> byNumber = new ArrayList<>();
    private final Map<Integer, Integer> destinations = new HashMap<>();
    private final List<InetSocketAddress> left = new ArrayList<>();
    private long version;

    /** One endpoint: its number is for this life of the node alone. */
    public static final class Member {
        private final String uid;
        private final long number;
        private ListedEndpoint listed;
        private InetSocketAddress address;

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

        public InetSocketAddress address() {
            return address;
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
        return number >= 0 && number < byNumber.size() ? byNumber.get((int) number) : null;
    }

    public Member member(String uid) {
        return byName.get(uid);
    }

    /** Takes in an answer of discovery; entries that cannot be read are passed over and told in the list. */
    public Event.ListTold take(Map<String, String> told, List<String> unread) throws IOException {
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
                entries.add(entry(told, "targets." + i + ".", entries));
            } catch (IllegalArgumentException e) {
                unread.add("entry " + i + ": " + e.getMessage());
            }
        }
        version = rev;
        return new Event.ListTold(entries, Boolean.parseBoolean(told.get("all")));
    }

    private void leave(Member member, List<ListedEndpoint> entries) {
        ListedEndpoint was = member.listed;
        member.listed = new ListedEndpoint(was.endpoint(), was.zone(), was.kind(), was.rate(), Standing.GONE,
                was.joined(), was.destination());
        entries.add(member.listed);
        left.add(member.address);
    }

    /** The addresses that endpoints have left since the last call. */
    public List<InetSocketAddress> left() {
        List<InetSocketAddress> since = List.copyOf(left);
        left.clear();
        return since;
    }

    /** Takes in an answer as it came over the socket. */
    public Event.ListTold take(byte[] json, List<String> unread) throws IOException {
        return take(FlatJson.read(json), unread);
    }

    private ListedEndpoint entry(Map<String, String> told, String at, List<ListedEndpoint> entries) {
        String uid = told.get(at + "uid");
        InetSocketAddress address = Calls.address(told.get(at + "endpoint"));
        Standing standing = switch (String.valueOf(told.get(at + "state"))) {
            case "active" -> Standing.READY;
            case "leaving" -> Standing.DRAINING;
            case "left" -> Standing.GONE;
            default -> throw new IllegalArgumentException("unknown state " + told.get(at + "state"));
        };
        Member known = uid == null ? null : byName.get(uid);
        String group = told.get(at + "pod_group");
        if (known != null && group != null && Integer.parseInt(group) != known.destination()) {
            leave(known, entries); // its number stays with its old destination
            known = null;
        }
        if (uid == null || address == null && (known == null || standing == Standing.READY)) {
            throw new IllegalArgumentException("no uid or no address in numbers");
        }
        int destination = known != null ? known.destination() : Integer.parseInt(group);
        Member member = known != null ? known : new Member(uid, byNumber.size());
        float rate = Float.parseFloat(told.getOrDefault(at + "capacity_hint", "0"));
        member.listed = new ListedEndpoint(member.number, Math.max(0, zones.indexOf(told.get(at + "az"))),
                Math.max(0, kinds.indexOf(told.get(at + "model"))), Float.isFinite(rate) ? rate : 0, standing,
                Long.parseLong(told.getOrDefault(at + "boot_ms", "0")) * 1000, destination);
        if (member.address != null && (standing == Standing.GONE || !member.address.equals(address))) {
            left.add(member.address);
        }
        member.address = address != null ? address : member.address;
        if (known == null) {
            byName.put(uid, member);
            byNumber.add(member);
            destinations.merge(destination, 1, Integer::sum);
        }
        return member.listed;
    }
}
