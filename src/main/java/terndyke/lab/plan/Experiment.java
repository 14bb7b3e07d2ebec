package terndyke.lab.plan;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One day of the laboratory, as a file tells it: nodes, clients, receivers and what fails when. What is left out has
 * the value that docs/lab/README.md tells. Nothing here is read by a node; the settings a node gets are made from it.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Experiment(String name, String about, Long seed, TimeSpan length, TimeSpan settle, TimeSpan late, NodeSettings nodes,
        List<Grade> grades, List<Tenant> tenants, List<String> halls, List<DestinationGroup> destinations, LoadProfile load,
        ClientSettings clients, ListSettings list, List<Failure> failures) {

    public Experiment {
        seed = orDefault(seed, 1L);
        length = orDefault(length, TimeSpan.of("10s"));
        settle = orDefault(settle, TimeSpan.of("1s"));
        late = orDefault(late, TimeSpan.of("50ms"));
        nodes = orDefault(nodes, new NodeSettings(null, null, null, null, null, null, null, null, null));
        tenants = tenants == null || tenants.isEmpty() ? List.of(new Tenant("acme", 1.0, null)) : List.copyOf(tenants);
        halls = halls == null || halls.isEmpty() ? List.of("east", "west") : List.copyOf(halls);
        grades = List.copyOf(orDefault(grades, List.of()));
        destinations = List.copyOf(orDefault(destinations, List.of()));
        load = orDefault(load, new LoadProfile(null, null, null, null, null, null, null, null, null));
        clients = orDefault(clients, new ClientSettings(null, null, null, null));
        list = orDefault(list, new ListSettings(null));
        failures = List.copyOf(orDefault(failures, List.of()));
    }

    /** What a node is granted and told. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record NodeSettings(Integer count, Double cores, Integer memoryMb, Integer sockets, Double diskMb, Integer slots,
            Integer held, Boolean copies, TimeSpan connectTimeout) {
        public NodeSettings {
            count = orDefault(count, 2);
            cores = orDefault(cores, 1.0);
            memoryMb = orDefault(memoryMb, 192);
            sockets = orDefault(sockets, 1024);
            diskMb = orDefault(diskMb, 3.0);
            slots = orDefault(slots, 33);
            held = orDefault(held, 468);
            copies = orDefault(copies, true);
            connectTimeout = orDefault(connectTimeout, TimeSpan.of("1500ms"));
        }
    }

    /** What may be done with a record once it may have taken effect. */
    public enum RepeatSemantics {
        @JsonProperty("idempotent") IDEMPOTENT("retryable"),
        @JsonProperty("deduplicated") DEDUPLICATED("dedup"),
        @JsonProperty("unrepeatable") UNREPEATABLE("fragile");

        private final String settingsValue;

        RepeatSemantics(String told) {
            this.settingsValue = told;
        }

        /** The word for it in a node's settings. */
        public String settingsValue() {
            return settingsValue;
        }
    }

    /** A service grade: its effect, times, worth, and the share of the clients' records that are of it. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Grade(String name, RepeatSemantics effect, TimeSpan target, TimeSpan abandon, Double worth, Double lateWorth,
            Double share, Boolean inOrder, Boolean everywhere, TimeSpan window) {
        public Grade {
            worth = orDefault(worth, 1.0);
            lateWorth = orDefault(lateWorth, 0.0);
            share = orDefault(share, 1.0);
            inOrder = orDefault(inOrder, false);
            everywhere = orDefault(everywhere, false);
            window = orDefault(window, TimeSpan.of("5s"));
        }
    }

    /** A tenant: its part of the records, and records a second over all nodes that count in full. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Tenant(String name, Double share, Double quota) {
        public Tenant {
            share = orDefault(share, 1.0);
            quota = orDefault(quota, 1e6);
        }
    }

    /** Destinations that are alike: the numbers run on from one entry to the next. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record DestinationGroup(String kind, Integer count, Integer receivers, Boolean apart, Integer places,
            Integer queue, ServiceTimeDistribution service, RateLimit limit, Integer connections, TimeSpan handshake, ColdStart cold, Boolean reports,
            Double share) {
        public DestinationGroup {
            count = orDefault(count, 1);
            receivers = orDefault(receivers, 2);
            apart = orDefault(apart, false);
            places = orDefault(places, 8);
            queue = orDefault(queue, 32);
            service = orDefault(service, new ServiceTimeDistribution(null, null, null, null));
            connections = orDefault(connections, 128);
            handshake = orDefault(handshake, TimeSpan.ZERO);
            cold = orDefault(cold, new ColdStart(null, null, null, null));
            reports = orDefault(reports, false);
            share = orDefault(share, 1.0);
        }
    }

    /** How long a call's work takes at a receiver that is well. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ServiceTimeDistribution(Shape shape, TimeSpan mean, Double spread, List<TimeSpan> sample) {
        /** The distribution, or a sample that is drawn from. */
        public enum Shape {
            @JsonProperty("fixed") FIXED, @JsonProperty("exponential") EXPONENTIAL, @JsonProperty("shifted") SHIFTED,
            @JsonProperty("lognormal") LOGNORMAL, @JsonProperty("sample") SAMPLE
        }

        public ServiceTimeDistribution {
            shape = orDefault(shape, Shape.SHIFTED);
            mean = orDefault(mean, TimeSpan.of("20ms"));
            spread = orDefault(spread, 0.5);
        }
    }

    /** Calls that all nodes together may make: a rate with a burst, or a count in a span. Waits are told on a share. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record RateLimit(Double rate, Double burst, Integer count, TimeSpan span, Double tellsWait,
            @JsonProperty("wait") TimeSpan toldWait) {
        public RateLimit {
            tellsWait = orDefault(tellsWait, 0.0);
            toldWait = orDefault(toldWait, TimeSpan.of("500ms"));
        }
    }

    /** A receiver that comes back: the share of its places it has at first, and what pushes it over. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ColdStart(Double share, TimeSpan warm, Double fallMultiple, TimeSpan fallWithin) {
        public ColdStart {
            share = orDefault(share, 0.3);
            warm = orDefault(warm, TimeSpan.of("6s"));
            fallMultiple = orDefault(fallMultiple, 2.0);
            fallWithin = orDefault(fallWithin, TimeSpan.of("2s"));
        }
    }

    /** What comes in: records a second over all nodes, as a shape over the day, or a recorded trace. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record LoadProfile(Shape shape, Double rate, Double peak, TimeSpan from, TimeSpan until, Integer clump, Integer keys,
            Integer bytes, String trace) {
        /** The schedule over the day. */
        public enum Shape {
            @JsonProperty("constant") CONSTANT, @JsonProperty("poisson") POISSON, @JsonProperty("ramp") RAMP,
            @JsonProperty("surge") SURGE, @JsonProperty("wave") WAVE, @JsonProperty("clumps") CLUMPS
        }

        public LoadProfile {
            shape = orDefault(shape, Shape.POISSON);
            rate = orDefault(rate, 60.0);
            peak = orDefault(peak, rate);
            clump = orDefault(clump, 20);
            keys = orDefault(keys, 200);
            bytes = orDefault(bytes, 200);
        }
    }

    /** How clients behave: the wait for an answer, and how often a refused or unanswered record is handed in again. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ClientSettings(TimeSpan patience, Integer tries, Integer connections, TimeSpan again) {
        public ClientSettings {
            patience = orDefault(patience, TimeSpan.of("400ms"));
            tries = orDefault(tries, 3);
            connections = orDefault(connections, 200);
            again = orDefault(again, TimeSpan.of("200ms"));
        }
    }

    /** How late a change of the list reaches a node's agent. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ListSettings(TimeSpan delay) {
        public ListSettings {
            delay = orDefault(delay, TimeSpan.of("300ms"));
        }
    }

    public int destinationCount() {
        return destinations.stream().mapToInt(DestinationGroup::count).sum();
    }

    /** The same day from another seed. */
    public Experiment withSeed(long other) {
        return with(name, about, other, length, failures);
    }

    /** The same day with other failures. */
    public Experiment withFailures(List<Failure> others) {
        return with(name, about, seed, length, others);
    }

    /** The same day, longer or shorter; what would begin after its end stays in the file and never happens. */
    public Experiment withLength(TimeSpan other) {
        return with(name, about, seed, other, failures);
    }

    Experiment with(String otherName, String otherAbout, long otherSeed, TimeSpan otherLength, List<Failure> others) {
        return new Experiment(otherName, otherAbout, otherSeed, otherLength, settle, late, nodes, grades, tenants, halls,
                destinations, load, clients, list, others);
    }

    /** What a file tells beyond its fields' forms; empty where it holds together. By the field's place in the file. */
    public Map<String, String> findInconsistencies() {
        Map<String, String> found = new java.util.LinkedHashMap<>();
        for (int i = 0; i < grades.size(); i++) {
            Grade grade = grades.get(i);
            if (grade.target.compareTo(grade.abandon) > 0) {
                found.put("/grades/" + i + "/target", "target " + grade.target + " is after abandon " + grade.abandon);
            }
            if (grade.window.micros() == 0 && grade.effect == RepeatSemantics.DEDUPLICATED) {
                found.put("/grades/" + i + "/window", "a deduplicated grade needs a window above 0s");
            }
        }
        for (int i = 0; i < destinations.size(); i++) {
            RateLimit limit = destinations.get(i).limit;
            if (limit != null && (limit.rate == null) == (limit.count == null)) {
                found.put("/destinations/" + i + "/limit", "a limit has either rate or count with span");
            } else if (limit != null && limit.count != null && limit.span == null) {
                found.put("/destinations/" + i + "/limit", "a count needs its span");
            }
            ServiceTimeDistribution service = destinations.get(i).service;
            if (service.shape == ServiceTimeDistribution.Shape.SAMPLE && (service.sample == null || service.sample.isEmpty())) {
                found.put("/destinations/" + i + "/service", "shape sample needs a sample that is not empty");
            }
        }
        for (int i = 1; i < destinations.size(); i++) {
            DestinationGroup one = destinations.get(i);
            if (destinations.subList(0, i).stream().anyMatch(before -> before.kind.equals(one.kind)
                    && !before.apart.equals(one.apart))) {
                found.put("/destinations/" + i + "/apart", "kind " + one.kind + " is apart in one entry and not in another");
            }
        }
        for (int i = 0; i < failures.size(); i++) {
            failures.get(i).findInconsistencies(this, "/failures/" + i, found);
        }
        if (load.trace == null && grades.stream().noneMatch(grade -> grade.share > 0)) {
            found.put("/grades", "no grade has a share of the records");
        }
        return found;
    }

    static <T> T orDefault(T told, T absent) {
        return told != null ? told : absent;
    }
}
