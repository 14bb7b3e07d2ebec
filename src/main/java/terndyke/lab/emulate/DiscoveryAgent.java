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

    DiscoveryAgent(int node, InetSocketAddress address, SocketReactor reactor, EventLog eventLog, TaskScheduler scheduler,
            long propagationDelayMicros) throws IOException {
        this.node = node;
        this.reactor = reactor;
        this.address = address;
        this.eventLog = eventLog;
        this.scheduler = scheduler;
        this.propagationDelayMicros = propagationDelayMicros;
        listener = reactor.listen(address, NodeConnection::new);
    }

    public synchronized InetSocketAddress address() {
        return address;
    }

    /** Moves to another address. The old one accepts no new connections, and those still open are reset after a grace time. */
    public void moveToNewAddress() throws IOException {
        InetSocketAddress newAddress = SocketReactor.findFreeAddress(address().getAddress().getHostAddress());
        ListenerEndpoint newListener = reactor.listen(newAddress, NodeConnection::new);
        List<NodeConnection> openConnections;
        synchronized (this) {
            listener.close(CloseMode.IMMEDIATE);
            listener = newListener;
            address = newAddress;
            openConnections = List.copyOf(connections);
        }
        scheduler.schedule(TaskScheduler.nowMicros() + OLD_ADDRESS_GRACE_MICROS,
                () -> openConnections.forEach(RawHttpConnection::reset));
    }

    /** Schedules a change at discovery to be applied here after the delay, never before an earlier change. */
    synchronized void scheduleUpdate(DiscoveryRegistry.Entry entry) {
        double extraDelaySeconds = activeFailures.stream().filter(failure -> failure.kind() == Kind.LIST_LATE)
                .mapToDouble(Failure::amount).sum();
        lastUpdateDueMicros = Math.max(lastUpdateDueMicros,
                TaskScheduler.nowMicros() + propagationDelayMicros + Math.round(extraDelaySeconds * 1e6));
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

    private String listJson(Collection<DiscoveryRegistry.Entry> listed, boolean complete) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON_FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("rev", revision);
            json.writeBooleanField("all", complete);
            json.writeArrayFieldStart("targets");
            for (DiscoveryRegistry.Entry entry : listed) {
                InetSocketAddress endpointAddress = entry.host().address(node);
                json.writeStartObject();
                json.writeStringField("uid", entry.uid());
                json.writeStringField("endpoint",
                        endpointAddress.getAddress().getHostAddress() + ":" + endpointAddress.getPort());
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

    private synchronized void handleWatch(NodeConnection connection, String target) {
        long afterRevision = -1;
        long waitMicros = 0;
        for (Matcher parameter = WATCH_PARAMETER.matcher(target); parameter.find();) {
            if (parameter.group(1).equals("after")) {
                afterRevision = Long.parseLong(parameter.group(2));
            } else {
                waitMicros = Math.min(60_000, Long.parseLong(parameter.group(2))) * 1000;
            }
        }
        PendingWatch watch = new PendingWatch(connection, afterRevision, TaskScheduler.nowMicros() + waitMicros);
        pendingWatches.add(watch);
        answerPendingWatches();
        if (pendingWatches.contains(watch)) {
            scheduler.schedule(watch.deadlineMicros, this::answerPendingWatches);
        }
    }

    private synchronized void answerPendingWatches() {
        if (hasFailure(Kind.LIST_SILENT)) {
            return;
        }
        long now = TaskScheduler.nowMicros();
        pendingWatches.removeIf(watch -> {
            boolean complete = watch.afterRevision < 0 || watch.afterRevision > revision;
            if (!complete && watch.afterRevision == revision && now < watch.deadlineMicros) {
                return false;
            }
            List<DiscoveryRegistry.Entry> changed = new ArrayList<>();
            for (Map<String, DiscoveryRegistry.Entry> source : complete ? List.of(entries) : List.of(entries, removedEntries)) {
                source.values().stream().filter(entry -> complete || entry.revision() > watch.afterRevision)
                        .forEach(changed::add);
            }
            if (hasFailure(Kind.LIST_SPOILT)) {
                watch.connection.sendResponse(200, "{\"rev\":" + revision + ",\"all\":tr");
                return true;
            }
            watch.connection.sendResponse(200, listJson(changed, complete));
            changed.forEach(entry -> eventLog.add(
                    ObservedEvent.ofListEntry(now, EventType.TOLD, node, entry.uid(), stateCode(entry))));
            return true;
        });
    }

    private synchronized void handleNotices(NodeConnection connection, byte[] body) {
        List<ObservedEvent> notices = new ArrayList<>();
        try {
            for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
                if (!line.isBlank()) {
                    JsonNode notice = JSON.readTree(line);
                    String result = notice.path("result").asText();
                    if (!notice.path("ref").isTextual() || !result.equals("dead") && !result.equals("bounced")) {
                        throw new IOException("invalid notice");
                    }
                    notices.add(new ObservedEvent(TaskScheduler.nowMicros(), EventType.NOTICE, node,
                            notice.path("ref").asText(), 0, null, 0, 0, 0, notice.path("wait_ms").asLong() * 1000, 0,
                            result, null));
                }
            }
        } catch (IOException e) {
            connection.sendResponse(400, "");
            return;
        }
        if (hasFailure(Kind.NOTICES_REFUSED)) {
            notices.forEach(event -> eventLog.add(new ObservedEvent(event.at(), EventType.NOTICE_REFUSED, node,
                    event.id(), 0, null, 0, 0, 500, 0, 0, event.note(), null)));
            connection.sendResponse(500, "");
            return;
        }
        notices.forEach(eventLog::add);
        connection.sendResponse(204, "");
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
        protected void onMalformedInput(String reason) {
            sendBadRequestAndClose();
        }

        @Override
        protected void onClosed() {
            synchronized (DiscoveryAgent.this) {
                connections.remove(this);
                pendingWatches.removeIf(watch -> watch.connection == this);
            }
        }
    }
}
