package terndyke.lab.emulate;

import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import terndyke.lab.plan.Failure;
import terndyke.lab.plan.Failure.Kind;
import terndyke.lab.referee.Logbook;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Sight.What;
import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.Ticker;

/**
 * The agent beside one node: it answers the watch with what has reached it, and takes the notices. What discovery
 * changes reaches it after a delay, in order.
 */
public final class Agent {
    static final String ACTIVE = "active";
    static final String LEAVING = "leaving";
    static final String LEFT = "left";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final Pattern NUMBER = Pattern.compile("[?&](after|wait_ms)=(\\d{1,15})");
    private static final byte[] NOTHING = new byte[0];

    private final int node;
    private static final long LINGERS = 1_500_000; // at an address that it has left, for those who are connected

    private final Net net;
    private InetSocketAddress address;
    private ListenerEndpoint listener;
    private final Set<Side> sides = new HashSet<>();
    private final Logbook logbook;
    private final Ticker ticker;
    private final long delay;
    private final Map<String, Roster.Entry> entries = new LinkedHashMap<>();
    private final Map<String, Roster.Entry> left = new LinkedHashMap<>(); // gone, for those whose version is older
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<Failure> wrong = new ArrayList<>();
    private long rev;
    private long lastDue;

    /** A watch that waits for something newer than a version. */
    private record Watcher(Side side, long after, long until) { }

    Agent(int node, InetSocketAddress address, Net net, Logbook logbook, Ticker ticker, long delay) throws IOException {
        this.node = node;
        this.net = net;
        this.address = address;
        this.logbook = logbook;
        this.ticker = ticker;
        this.delay = delay;
        listener = net.listen(address, Side::new);
    }

    public synchronized InetSocketAddress address() {
        return address;
    }

    /** Moves to another address: nobody new is served at the old one, and who is connected there not for long. */
    public void move() throws IOException {
        InetSocketAddress next = Net.free(address().getAddress().getHostAddress());
        ListenerEndpoint opened = net.listen(next, Side::new);
        List<Side> left;
        synchronized (this) {
            listener.close(CloseMode.IMMEDIATE);
            listener = opened;
            address = next;
            left = List.copyOf(sides);
        }
        ticker.at(Ticker.now() + LINGERS, () -> left.forEach(Link::reset));
    }

    /** Something changed at discovery; it is heard here after the delay, never before what changed earlier. */
    synchronized void learn(Roster.Entry entry) {
        double later = wrong.stream().filter(failure -> failure.kind() == Kind.LIST_LATE).mapToDouble(Failure::amount).sum();
        lastDue = Math.max(lastDue, Ticker.now() + delay + Math.round(later * 1e6));
        ticker.at(lastDue, () -> has(entry));
    }

    synchronized void has(Roster.Entry entry) {
        rev = Math.max(rev, entry.rev());
        if (entry.state().equals(LEFT)) {
            entries.remove(entry.uid());
            left.put(entry.uid(), entry);
        } else {
            entries.put(entry.uid(), entry);
        }
        if (!is(Kind.LIST_SILENT)) {
            logbook.add(Sight.listed(Ticker.now(), What.AGENT_HAS, node, entry.uid(), code(entry)));
        }
        answerWatchers();
    }

    private static int code(Roster.Entry entry) {
        return entry.state().equals(ACTIVE) ? 1 : entry.state().equals(LEAVING) ? 2 : 0;
    }

    synchronized void begin(Failure failure) {
        wrong.add(failure);
    }

    synchronized void end(Failure failure) {
        wrong.remove(failure);
        if (!is(Kind.LIST_SILENT)) {
            entries.values().forEach(entry -> logbook.add(
                    Sight.listed(Ticker.now(), What.AGENT_HAS, node, entry.uid(), code(entry))));
            answerWatchers();
        }
    }

    private boolean is(Kind kind) {
        return wrong.stream().anyMatch(failure -> failure.kind() == kind);
    }

    /** The whole list in discovery's form, as a node's configuration holds it. */
    public synchronized String whole() {
        return list(entries.values(), true);
    }

    private String list(Collection<Roster.Entry> some, boolean all) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("rev", rev);
            json.writeBooleanField("all", all);
            json.writeArrayFieldStart("targets");
            for (Roster.Entry entry : some) {
                InetSocketAddress at = entry.host().address(node);
                json.writeStartObject();
                json.writeStringField("uid", entry.uid());
                json.writeStringField("endpoint", at.getAddress().getHostAddress() + ":" + at.getPort());
                json.writeStringField("az", entry.host().hallName());
                json.writeStringField("model", entry.kind());
                json.writeNumberField("pod_group", entry.host().destination());
                json.writeStringField("state", entry.state());
                json.writeNumberField("capacity_hint", entry.hint());
                json.writeNumberField("boot_ms", entry.bootMillis());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text.toString();
    }

    private synchronized void watch(Side side, String target) {
        long after = -1;
        long wait = 0;
        for (Matcher number = NUMBER.matcher(target); number.find();) {
            if (number.group(1).equals("after")) {
                after = Long.parseLong(number.group(2));
            } else {
                wait = Math.min(60_000, Long.parseLong(number.group(2))) * 1000;
            }
        }
        Watcher watcher = new Watcher(side, after, Ticker.now() + wait);
        watchers.add(watcher);
        answerWatchers();
        if (watchers.contains(watcher)) {
            ticker.at(watcher.until, this::answerWatchers);
        }
    }

    private synchronized void answerWatchers() {
        if (is(Kind.LIST_SILENT)) {
            return;
        }
        long now = Ticker.now();
        watchers.removeIf(watcher -> {
            boolean whole = watcher.after < 0 || watcher.after > rev;
            if (!whole && watcher.after == rev && now < watcher.until) {
                return false;
            }
            List<Roster.Entry> some = new ArrayList<>();
            for (Map<String, Roster.Entry> each : whole ? List.of(entries) : List.of(entries, left)) {
                each.values().stream().filter(entry -> whole || entry.rev() > watcher.after).forEach(some::add);
            }
            if (is(Kind.LIST_SPOILT)) {
                watcher.side.answer(200, "{\"rev\":" + rev + ",\"all\":tr");
                return true;
            }
            watcher.side.answer(200, list(some, whole));
            some.forEach(entry -> logbook.add(Sight.listed(now, What.TOLD, node, entry.uid(), code(entry))));
            return true;
        });
    }

    private synchronized void finals(Side side, byte[] body) {
        List<Sight> read = new ArrayList<>();
        try {
            for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
                if (!line.isBlank()) {
                    JsonNode notice = JSON.readTree(line);
                    String result = notice.path("result").asText();
                    if (!notice.path("ref").isTextual() || !result.equals("dead") && !result.equals("bounced")) {
                        throw new IOException("no notice");
                    }
                    read.add(new Sight(Ticker.now(), What.NOTICE, node, notice.path("ref").asText(), 0, null, 0, 0, 0,
                            notice.path("wait_ms").asLong() * 1000, 0, result, null));
                }
            }
        } catch (IOException e) {
            side.answer(400, "");
            return;
        }
        if (is(Kind.NOTICES_REFUSED)) {
            read.forEach(sight -> logbook.add(new Sight(sight.at(), What.NOTICE_REFUSED, node, sight.id(), 0, null, 0, 0, 500, 0,
                    0, sight.note(), null)));
            side.answer(500, "");
            return;
        }
        read.forEach(logbook::add);
        side.answer(204, "");
    }

    /** A connection of the node to its agent. */
    private final class Side extends Link {
        Side(IOSession session) {
            super(session);
        }

        @Override
        protected void opened() {
            synchronized (Agent.this) {
                sides.add(this);
            }
        }

        void answer(int status, String body) {
            write(status == 204 ? "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII)
                    : Message.bytes("HTTP/1.1 " + status + " -", "", body.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        protected void came(Message message) {
            if (message.method().equals("GET") && message.target().startsWith("/catalog/members")) {
                watch(this, message.target());
            } else if (message.method().equals("POST") && message.target().equals("/v2/finals")) {
                finals(this, message.body());
            } else {
                write(Message.bytes("HTTP/1.1 404 -", "", NOTHING));
            }
        }

        @Override
        protected void unreadable(String why) {
            turnDown();
        }

        @Override
        protected void ended() {
            synchronized (Agent.this) {
                sides.remove(this);
                watchers.removeIf(watcher -> watcher.side == this);
            }
        }
    }
}
