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
import terndyke.lab.referee.EventLog;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.ObservedEvent.EventType;
import terndyke.lab.wire.RawHttpConnection;
import terndyke.lab.wire.RawHttpMessage;
import terndyke.lab.wire.SocketReactor;
import terndyke.lab.wire.TaskScheduler;

/**
 * The local agent of one node: it answers the node's watch with the list that it knows, and receives the notices. Changes
 * at discovery reach it after a delay, in order.
 */
public final class DiscoveryAgent {
    static final String ACTIVE = "active";
    static final String LEAVING = "leaving";
    static final String LEFT = "left";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final Pattern WATCH_PARAMETER = Pattern.compile("[?&](after|wait_ms)=(\\d{1,15})");
    private static final byte[] EMPTY_BODY = new byte[0];

    private final int node;
    private static final long OLD_ADDRESS_GRACE_MICROS = 1_500_000; // connections to a left address are reset after this time

    private final SocketReactor reactor;
    private InetSocketAddress address;
    private ListenerEndpoint listener;
    private final Set<NodeConnection> connections = new HashSet<>();
    private final EventLog eventLog;
    private final TaskScheduler scheduler;
    private final long propagationDelayMicros;
    private final Map<String, DiscoveryRegistry.Entry> entries = new LinkedHashMap<>();
    /** Removed receivers, reported to watches that ask for changes after an older revision. */
    private final Map<String, DiscoveryRegistry.Entry> removedEntries = new LinkedHashMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final List<Failure> activeFailures = new ArrayList<>();
    private long revision;
    private long lastUpdateDueMicros;

    /** A watch that waits for a change after a revision. */
    private record PendingWatch(NodeConnection connection, long afterRevision, long deadlineMicros) { }

    DiscoveryAgent(int node, InetSocketAddress address, SocketReactor net, EventLog logbook, TaskScheduler ticker, long delay)
            throws IOException {
        this.node = node;
        this.reactor = net;
        this.address = address;
        this.eventLog = logbook;
        this.scheduler = ticker;
        this.propagationDelayMicros = delay;
        listener = net.listen(address, NodeConnection::new);
    }

    public synchronized InetSocketAddress address() {
        return address;
    }

    /** Moves to another address. The old one accepts no new connections, and those still open are reset after a grace time. */
    public void moveToNewAddress() throws IOException {
        InetSocketAddress next = SocketReactor.findFreeAddress(address().getAddress().getHostAddress());
        ListenerEndpoint opened = reactor.listen(next, NodeConnection::new);
        List<NodeConnection> left;
        synchronized (this) {
            listener.close(CloseMode.IMMEDIATE);
            listener = opened;
            address = next;
            left = List.copyOf(connections);
        }
        scheduler.schedule(TaskScheduler.nowMicros() + OLD_ADDRESS_GRACE_MICROS, () -> left.forEach(RawHttpConnection::reset));
    }

    /** Schedules a change at discovery to be applied here after the delay, never before an earlier change. */
    synchronized void scheduleUpdate(DiscoveryRegistry.Entry entry) {
        double later = activeFailures.stream().filter(failure -> failure.kind() == Kind.LIST_LATE)
                .mapToDouble(Failure::amount).sum();
        lastUpdateDueMicros = Math.max(lastUpdateDueMicros,
                TaskScheduler.nowMicros() + propagationDelayMicros + Math.round(later * 1e6));
        scheduler.schedule(lastUpdateDueMicros, () -> applyUpdate(entry));
    }

    synchronized void applyUpdate(DiscoveryRegistry.Entry entry) {
        revision = Math.max(revision, entry.revision());
        if (entry.state().equals(LEFT)) {
            entries.remove(entry.uid());
            removedEntries.put(entry.uid(), entry);
        } else {
            entries.put(entry.uid(), entry);
        }
        if (!hasFailure(Kind.LIST_SILENT)) {
            eventLog.add(ObservedEvent.ofListEntry(TaskScheduler.nowMicros(), EventType.AGENT_HAS, node, entry.uid(),
                    stateCode(entry)));
        }
        answerPendingWatches();
    }

    private static int stateCode(DiscoveryRegistry.Entry entry) {
        return entry.state().equals(ACTIVE) ? 1 : entry.state().equals(LEAVING) ? 2 : 0;
    }

    synchronized void beginFailure(Failure failure) {
        activeFailures.add(failure);
    }

    synchronized void endFailure(Failure failure) {
        activeFailures.remove(failure);
        if (!hasFailure(Kind.LIST_SILENT)) {
            entries.values().forEach(entry -> eventLog.add(ObservedEvent.ofListEntry(TaskScheduler.nowMicros(),
                    EventType.AGENT_HAS, node, entry.uid(), stateCode(entry))));
            answerPendingWatches();
        }
    }

    private boolean hasFailure(Kind kind) {
        return activeFailures.stream().anyMatch(failure -> failure.kind() == kind);
    }

    /** The complete list in discovery's JSON format, as a node's configuration contains it. */
    public synchronized String fullListJson() {
        return listJson(entries.values(), true);
    }

    private String listJson(Collection<DiscoveryRegistry.Entry> some, boolean all) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON_FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("rev", revision);
            json.writeBooleanField("all", all);
            json.writeArrayFieldStart("targets");
            for (DiscoveryRegistry.Entry entry : some) {
                InetSocketAddress at = entry.host().address(node);
                json.writeStartObject();
                json.writeStringField("uid", entry.uid());
                json.writeStringField("endpoint", at.getAddress().getHostAddress() + ":" + at.getPort());
                json.writeStringField("az", entry.host().hallName());
                json.writeStringField("model", entry.kind());
                json.writeNumberField("pod_group", entry.host().destination());
                json.writeStringField("state", entry.state());
                json.writeNumberField("capacity_hint", entry.capacityHint());
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

    private synchronized void handleWatch(NodeConnection side, String target) {
        long after = -1;
        long wait = 0;
        for (Matcher number = WATCH_PARAMETER.matcher(target); number.find();) {
            if (number.group(1).equals("after")) {
                after = Long.parseLong(number.group(2));
            } else {
                wait = Math.min(60_000, Long.parseLong(number.group(2))) * 1000;
            }
        }
        PendingWatch watcher = new PendingWatch(side, after, TaskScheduler.nowMicros() + wait);
        pendingWatches.add(watcher);
        answerPendingWatches();
        if (pendingWatches.contains(watcher)) {
            scheduler.schedule(watcher.deadlineMicros, this::answerPendingWatches);
        }
    }

    private synchronized void answerPendingWatches() {
        if (hasFailure(Kind.LIST_SILENT)) {
            return;
        }
        long now = TaskScheduler.nowMicros();
        pendingWatches.removeIf(watcher -> {
            boolean whole = watcher.afterRevision < 0 || watcher.afterRevision > revision;
            if (!whole && watcher.afterRevision == revision && now < watcher.deadlineMicros) {
                return false;
            }
            List<DiscoveryRegistry.Entry> some = new ArrayList<>();
            for (Map<String, DiscoveryRegistry.Entry> each : whole ? List.of(entries) : List.of(entries, removedEntries)) {
                each.values().stream().filter(entry -> whole || entry.revision() > watcher.afterRevision).forEach(some::add);
            }
            if (hasFailure(Kind.LIST_SPOILT)) {
                watcher.connection.sendResponse(200, "{\"rev\":" + revision + ",\"all\":tr");
                return true;
            }
            watcher.connection.sendResponse(200, listJson(some, whole));
            some.forEach(entry -> eventLog.add(
                    ObservedEvent.ofListEntry(now, EventType.TOLD, node, entry.uid(), stateCode(entry))));
            return true;
        });
    }

    private synchronized void handleNotices(NodeConnection side, byte[] body) {
        List<ObservedEvent> read = new ArrayList<>();
        try {
            for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
                if (!line.isBlank()) {
                    JsonNode notice = JSON.readTree(line);
                    String result = notice.path("result").asText();
                    if (!notice.path("ref").isTextual() || !result.equals("dead") && !result.equals("bounced")) {
                        throw new IOException("invalid notice");
                    }
                    read.add(new ObservedEvent(TaskScheduler.nowMicros(), EventType.NOTICE, node, notice.path("ref").asText(), 0,
                            null, 0, 0, 0, notice.path("wait_ms").asLong() * 1000, 0, result, null));
                }
            }
        } catch (IOException e) {
            side.sendResponse(400, "");
            return;
        }
        if (hasFailure(Kind.NOTICES_REFUSED)) {
            read.forEach(sight -> eventLog.add(new ObservedEvent(sight.at(), EventType.NOTICE_REFUSED, node, sight.id(), 0, null,
                    0, 0, 500, 0, 0, sight.note(), null)));
            side.sendResponse(500, "");
            return;
        }
        read.forEach(eventLog::add);
        side.sendResponse(204, "");
    }

    /** A connection from the node to its agent. */
    private final class NodeConnection extends RawHttpConnection {
        NodeConnection(IOSession session) {
            super(session);
        }

        @Override
        protected void onOpen() {
            synchronized (DiscoveryAgent.this) {
                connections.add(this);
            }
        }

        void sendResponse(int status, String body) {
            write(status == 204 ? "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII)
                    : RawHttpMessage.encode("HTTP/1.1 " + status + " -", "", body.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        protected void onMessage(RawHttpMessage message) {
            if (message.method().equals("GET") && message.target().startsWith("/catalog/members")) {
                handleWatch(this, message.target());
            } else if (message.method().equals("POST") && message.target().equals("/v2/finals")) {
                handleNotices(this, message.body());
            } else {
                write(RawHttpMessage.encode("HTTP/1.1 404 -", "", EMPTY_BODY));
            }
        }

        @Override
        protected void onMalformedInput(String why) {
            sendBadRequestAndClose();
        }

        @Override
        protected void onClosed() {
            synchronized (DiscoveryAgent.this) {
                connections.remove(this);
                pendingWatches.removeIf(watcher -> watcher.connection == this);
            }
        }
    }
}
