package terndyke.lab.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import terndyke.lab.run.Subject;
import terndyke.lab.wire.Link;
import terndyke.lab.wire.Message;
import terndyke.lab.wire.Net;
import terndyke.lab.wire.Ticker;

/**
 * A plain node that keeps the rules, or breaks just one of them on purpose: the referee has to be able to fail. It keeps
 * no journal, copies nothing and learns nothing; it is no yardstick for how well a node decides.
 */
public final class StandInNode implements Subject {
    /** What it does wrong. */
    public enum Fault {
        NONE,
        /** Rule 1: every tenth record without a key is forgotten once its client has its 202. */
        LOSES,
        /** Rule 2: what ended in an error is sent again, whatever its effect. */
        REPEATS,
        /** Rule 3: states in the list are passed over. */
        IGNORES_DRAINS,
        /** Rule 4: it goes back to a receiver that failed with all that it holds. */
        PUSHES,
        /** Rule 5: records of a key go as they come. */
        DISORDERS,
        /** Rule 6: told waits are passed over. */
        IGNORES_WAITS
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] NOTHING = new byte[0];
    private static final long REST = 250_000;
    private static final long CALL = 1_500_000;
    private static final long WARM = 4_000_000;

    private final InetSocketAddress listen;
    private final Net net;
    private final Fault fault;
    private final Ticker ticker = new Ticker("terndyke-lab-stand-in");
    private final InetSocketAddress agent;
    private final boolean[] inOrder;
    private final String[] semantics;
    private final List<String> grades = new ArrayList<>();
    private final int slots;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, Long> rests = new HashMap<>();
    private final Map<String, ArrayDeque<Owed>> keys = new HashMap<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<ListenerEndpoint> listeners = new ArrayList<>();
    private long rev;
    private long taken;
    private int out;
    private boolean going;

    private static final class Endpoint {
        String uid;
        InetSocketAddress address;
        String hall;
        int destination;
        boolean active;
        long restUntil;
        long failedAt = Long.MIN_VALUE / 2;
    }

    private static final class Owed {
        String id;
        String key;
        String mark;
        int grade;
        int destination;
        long ends;
        byte[] body;
        boolean mayHaveRun;
        String hall;
        int turn;
    }

    /** @param file a node's configuration in the platform's form */
    public StandInNode(InetSocketAddress listen, Net net, String file, Fault fault) throws IOException {
        this.listen = listen;
        this.net = net;
        this.fault = fault;
        JsonNode told = JSON.readTree(file);
        agent = address(told.path("discovery").asText());
        JsonNode classes = told.path("settings").path("classes");
        inOrder = new boolean[classes.size()];
        semantics = new String[classes.size()];
        for (int i = 0; i < inOrder.length; i++) {
            grades.add(classes.get(i).path("name").asText());
            inOrder[i] = classes.get(i).path("serialByKey").asBoolean();
            semantics[i] = classes.get(i).path("semantics").asText();
        }
        slots = told.path("settings").path("familyInfo").path("callsOut").asInt();
        list(told.path("known"));
    }

    private static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    private synchronized void list(JsonNode told) throws IOException {
        rev = told.path("rev").asLong();
        for (JsonNode one : told.path("targets")) {
            Endpoint endpoint = endpoints.computeIfAbsent(one.path("uid").asText(), uid -> new Endpoint());
            endpoint.uid = one.path("uid").asText();
            endpoint.address = address(one.path("endpoint").asText());
            endpoint.hall = one.path("az").asText();
            endpoint.destination = one.path("pod_group").asInt();
            endpoint.active = one.path("state").asText().equals("active") || fault == Fault.IGNORES_DRAINS;
        }
    }

    @Override
    public InetSocketAddress listen() {
        return listen;
    }

    @Override
    public void start() throws IOException {
        listeners.add(net.listen(listen, Client::new));
        watch();
    }

    private void watch() {
        net.connect(agent, CALL, Watch::new, () -> ticker.at(Ticker.now() + REST, this::watch));
    }

    @Override
    public boolean awaitReady(long patienceMillis) {
        return true;
    }

    @Override
    public void signal(String name) {
        if (name.equals("TERM") || name.equals("KILL")) {
            destroy();
        }
    }

    @Override
    public boolean awaitEnd(long patienceMillis) throws InterruptedException {
        return ended.await(patienceMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean running() {
        return ended.getCount() > 0;
    }

    @Override
    public long pid() {
        return 0;
    }

    @Override
    public void reconfigure() { }

    @Override
    public void fillDisk(boolean full) { }

    @Override
    public synchronized void destroy() {
        going = true;
        listeners.forEach(listener -> listener.close(CloseMode.IMMEDIATE));
        ticker.close();
        ended.countDown();
    }

    private void taken(Owed owed) {
        taken++;
        if (fault == Fault.LOSES && taken % 10 == 0 && owed.key == null) {
            return;
        }
        if (inOrder[owed.grade] && owed.key != null && fault != Fault.DISORDERS) {
            ArrayDeque<Owed> waiting = keys.get(owed.key);
            if (waiting != null) {
                waiting.add(owed);
                return;
            }
            keys.put(owed.key, new ArrayDeque<>());
        }
        go(owed);
    }

    /** Sends a record if it may be sent now, or says when to come again. */
    private synchronized void go(Owed owed) {
        long now = Ticker.now();
        if (going) {
            return;
        }
        if (now > owed.ends - 60_000 || owed.mayHaveRun && semantics[owed.grade].equals("fragile") && fault != Fault.REPEATS) {
            end(owed, "dead");
            return;
        }
        Endpoint endpoint = pick(owed, now);
        if (endpoint == null || out >= slots) {
            ticker.at(now + 20_000, () -> go(owed));
            return;
        }
        out++;
        pace(endpoint, now);
        net.connect(endpoint.address, 500_000, session -> new Shot(session, owed, endpoint), () -> {
            synchronized (this) {
                out--;
                rest(endpoint, Ticker.now());
                ticker.at(Ticker.now() + 50_000, () -> go(owed));
            }
        });
    }

    private void rest(Endpoint endpoint, long now) {
        endpoint.restUntil = now + REST;
        endpoint.failedAt = now;
    }

    /** After a failure a receiver gets a call now and then until it has warmed up. */
    private void pace(Endpoint endpoint, long now) {
        if (now < endpoint.failedAt + WARM && fault != Fault.PUSHES) {
            endpoint.restUntil = now + REST;
        }
    }

    private Endpoint pick(Owed owed, long now) {
        if (rests.getOrDefault(owed.destination, 0L) > now && fault != Fault.IGNORES_WAITS) {
            return null;
        }
        List<Endpoint> open = endpoints.values().stream().filter(endpoint -> endpoint.destination == owed.destination
                && endpoint.active && endpoint.restUntil <= now
                && (!owed.mayHaveRun || !semantics[owed.grade].equals("dedup") || endpoint.hall.equals(owed.hall))).toList();
        return open.isEmpty() ? null : open.get(Math.floorMod(owed.turn++, open.size()));
    }

    private void end(Owed owed, String result) {
        net.connect(agent, CALL, session -> new Notice(session, owed, result),
                () -> ticker.at(Ticker.now() + REST, () -> end(owed, result)));
    }

    private synchronized void over(Owed owed, boolean quiet) {
        if (owed.key == null || !inOrder[owed.grade] || fault == Fault.DISORDERS) {
            return;
        }
        Owed next = keys.get(owed.key).poll();
        if (next == null) {
            keys.remove(owed.key);
        } else {
            ticker.at(Ticker.now() + (quiet ? 200_000 : 0), () -> go(next));
        }
    }

    /** A client's connection. */
    private final class Client extends Link {
        Client(IOSession session) {
            super(session);
        }

        @Override
        protected void came(Message message) {
            int grade = grades.indexOf(message.target().substring(1));
            String destination = message.field("x-consignee");
            if (grade < 0 || destination == null) {
                write(Message.bytes("HTTP/1.1 400 -", "", NOTHING));
                return;
            }
            Owed owed = new Owed();
            owed.id = message.field("request-id");
            String cookie = message.field("cookie");
            owed.key = cookie == null ? null : cookie.substring(cookie.indexOf('=') + 1);
            owed.mark = message.field("idempotency-key");
            owed.grade = grade;
            owed.destination = Integer.parseInt(destination.substring(destination.indexOf('=') + 1));
            owed.ends = Ticker.now() + Long.parseLong(message.field("request-timeout-ms")) * 1000;
            owed.body = message.body();
            write(Message.bytes("HTTP/1.1 202 -", "", NOTHING));
            synchronized (StandInNode.this) {
                taken(owed);
            }
        }
    }

    /** One call on a connection of its own. */
    private final class Shot extends Link {
        private final Owed owed;
        private final Endpoint endpoint;
        private boolean answered;

        Shot(IOSession session, Owed owed, Endpoint endpoint) {
            super(session);
            this.owed = owed;
            this.endpoint = endpoint;
        }

        @Override
        protected void opened() {
            synchronized (StandInNode.this) {
                boolean waits = rests.getOrDefault(owed.destination, 0L) > Ticker.now() && fault != Fault.IGNORES_WAITS;
                if (waits || !endpoint.active) { // told while the connection came up
                    answered = true;
                    out--;
                    ticker.at(Ticker.now() + 20_000, () -> go(owed));
                    reset();
                    return;
                }
            }
            String mark = owed.mark == null ? "" : "Idempotency-Key: " + owed.mark + "\r\n";
            write(Message.bytes("POST /events HTTP/1.1", "Host: x\r\nRequest-Id: " + owed.id + "\r\n" + mark
                    + "Request-Timeout-Ms: 1500\r\n", owed.body));
            ticker.at(Ticker.now() + CALL, this::reset);
        }

        @Override
        protected void came(Message message) {
            synchronized (StandInNode.this) {
                if (answered) {
                    return;
                }
                answered = true;
                out--;
                long now = Ticker.now();
                switch (message.status()) {
                    case 200 -> over(owed, false);
                    case 429, 503 -> {
                        String told = message.field("retry-after");
                        if (told != null) {
                            rests.merge(owed.destination, now + Math.round(Double.parseDouble(told) * 1e6) + 20_000,
                                    Math::max);
                        } else {
                            rest(endpoint, now);
                        }
                        ticker.at(now + 50_000, () -> go(owed));
                    }
                    default -> failed();
                }
            }
            reset();
        }

        private void failed() {
            owed.mayHaveRun = true;
            owed.hall = endpoint.hall;
            rest(endpoint, Ticker.now());
            ticker.at(Ticker.now() + 150_000, () -> go(owed));
        }

        @Override
        protected void ended() {
            synchronized (StandInNode.this) {
                if (!answered) {
                    answered = true;
                    out--;
                    failed();
                }
            }
        }
    }

    /** A notice on a connection of its own. */
    private final class Notice extends Link {
        private final Owed owed;
        private final String result;
        private boolean told;

        Notice(IOSession session, Owed owed, String result) {
            super(session);
            this.owed = owed;
            this.result = result;
        }

        @Override
        protected void opened() {
            write(Message.bytes("POST /v2/finals HTTP/1.1", "Host: x\r\n", String.format(Locale.ROOT,
                    "{\"ref\":\"%s\",\"result\":\"%s\"}%n", owed.id, result).getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        protected void came(Message message) {
            told = message.status() == 204;
            reset();
            if (told) {
                over(owed, owed.mayHaveRun);
            }
        }

        @Override
        protected void ended() {
            if (!told) {
                ticker.at(Ticker.now() + REST, () -> end(owed, result));
            }
        }
    }

    /** The watch on discovery. */
    private final class Watch extends Link {
        Watch(IOSession session) {
            super(session);
        }

        @Override
        protected void opened() {
            write(("GET /catalog/members?after=" + rev + "&wait_ms=20000 HTTP/1.1\r\nHost: x\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        protected void came(Message message) {
            try {
                list(JSON.readTree(message.body()));
            } catch (IOException e) {
                reset();
                return;
            }
            opened();
        }

        @Override
        protected void ended() {
            if (!going) {
                ticker.at(Ticker.now() + REST, StandInNode.this::watch);
            }
        }
    }
}
