package terndyke.lab.plan;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An experiment as described by a file: nodes, clients, receivers, and what fails when. Omitted fields have the defaults
 * listed in docs/lab/README.md. Nodes never read this file; their configuration is generated from it.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Experiment(String name, String about, Long seed, TimeSpan length, TimeSpan settle, TimeSpan late,
        NodeSettings nodes, List<Grade> grades, List<Tenant> tenants, List<String> halls, List<DestinationGroup> destinations,
        LoadProfile load, ClientSettings clients, ListSettings list, List<Failure> failures) {

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

    /** The resource limits and settings of the nodes. */
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

    /** What may be done with a record once it may have been executed. */
    public enum RepeatSemantics {
        @JsonProperty("idempotent") IDEMPOTENT("retryable"),
        @JsonProperty("deduplicated") DEDUPLICATED("dedup"),
        @JsonProperty("unrepeatable") UNREPEATABLE("fragile");

        private final String settingsValue;

        RepeatSemantics(String settingsValue) {
            this.settingsValue = settingsValue;
        }

        /** The value that a node's settings use for it. */
        public String settingsValue() {
            return settingsValue;
        }
    }

    /** A service grade: its repeat semantics, times, payoff, and its share of the clients' records. */
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

    /** A tenant: its share of the records, and its quota of records per second over all nodes that count at full worth. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Tenant(String name, Double share, Double quota) {
        public Tenant {
            share = orDefault(share, 1.0);
            quota = orDefault(quota, 1e6);
        }
    }

    /** A group of identical destinations. Destinations are numbered consecutively through all groups. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record DestinationGroup(String kind, Integer count, Integer receivers, Boolean apart, Integer places,
            Integer queue, ServiceTimeDistribution service, RateLimit limit, Integer connections, TimeSpan handshake,
            SlowStart cold, Boolean reports, Double share) {
        public DestinationGroup {
            count = orDefault(count, 1);
            receivers = orDefault(receivers, 2);
            apart = orDefault(apart, false);
            places = orDefault(places, 8);
            queue = orDefault(queue, 32);
            service = orDefault(service, new ServiceTimeDistribution(null, null, null, null));
            connections = orDefault(connections, 128);
            handshake = orDefault(handshake, TimeSpan.ZERO);
            cold = orDefault(cold, new SlowStart(null, null, null, null));
            reports = orDefault(reports, false);
            share = orDefault(share, 1.0);
        }
    }

    /** The distribution of a call's service time at a healthy receiver. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ServiceTimeDistribution(Shape shape, TimeSpan mean, Double spread, List<TimeSpan> sample) {
        /** The type of distribution; SAMPLE draws from the given values. */
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

    /**
     * The limit on the calls of all nodes together: a rate with a burst, or a count per time span. The share tellsWait of
     * the rejections carries a Retry-After.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record RateLimit(Double rate, Double burst, Integer count, TimeSpan span, Double tellsWait,
            @JsonProperty("wait") TimeSpan retryAfter) {
        public RateLimit {
            tellsWait = orDefault(tellsWait, 0.0);
            retryAfter = orDefault(retryAfter, TimeSpan.of("500ms"));
        }
    }

    /**
     * The slow start of a receiver after an outage: its initial share of concurrent places, the time until it has all of
     * them, and the load (a multiple of its capacity, within a time span) that makes it fail again.
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record SlowStart(Double share, TimeSpan warm, Double fallMultiple, TimeSpan fallWithin) {
        public SlowStart {
            share = orDefault(share, 0.3);
            warm = orDefault(warm, TimeSpan.of("6s"));
            fallMultiple = orDefault(fallMultiple, 2.0);
            fallWithin = orDefault(fallWithin, TimeSpan.of("2s"));
        }
    }

    /** The offered load: records per second over all nodes, varying over the run by a shape, or a recorded trace. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record LoadProfile(Shape shape, Double rate, Double peak, TimeSpan from, TimeSpan until, Integer clump, Integer keys,
            Integer bytes, String trace) {
        /** How the rate varies over the run. */
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

    /** The clients' behaviour: how long they wait for an answer, and how often they retry a refused or unanswered record. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ClientSettings(TimeSpan patience, Integer tries, Integer connections, TimeSpan again) {
        public ClientSettings {
            patience = orDefault(patience, TimeSpan.of("400ms"));
            tries = orDefault(tries, 3);
            connections = orDefault(connections, 200);
            again = orDefault(again, TimeSpan.of("200ms"));
        }
    }

    /** The delay until a change of the list of endpoints reaches a node's discovery agent. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record ListSettings(TimeSpan delay) {
        public ListSettings {
            delay = orDefault(delay, TimeSpan.of("300ms"));
        }
    }

    public int destinationCount() {
        return destinations.stream().mapToInt(DestinationGroup::count).sum();
    }

    /** The same experiment with another seed. */
    public Experiment withSeed(long otherSeed) {
        return with(name, about, otherSeed, length, failures);
    }

    /** The same experiment with other failures. */
    public Experiment withFailures(List<Failure> otherFailures) {
        return with(name, about, seed, length, otherFailures);
    }

    /** The same experiment with another length. Failures that would begin after its end remain listed but never happen. */
    public Experiment withLength(TimeSpan otherLength) {
        return with(name, about, seed, otherLength, failures);
    }

    Experiment with(String otherName, String otherAbout, long otherSeed, TimeSpan otherLength, List<Failure> otherFailures) {
        return new Experiment(otherName, otherAbout, otherSeed, otherLength, settle, late, nodes, grades, tenants, halls,
                destinations, load, clients, list, otherFailures);
    }

    /** Inconsistencies that the schema cannot express: error messages by the field's path in the file; empty if none. */
    public Map<String, String> findInconsistencies() {
        Map<String, String> errors = new java.util.LinkedHashMap<>();
        for (int i = 0; i < grades.size(); i++) {
            Grade grade = grades.get(i);
            if (grade.target.compareTo(grade.abandon) > 0) {
                errors.put("/grades/" + i + "/target", "target " + grade.target + " is after abandon " + grade.abandon);
            }
            if (grade.window.micros() == 0 && grade.effect == RepeatSemantics.DEDUPLICATED) {
                errors.put("/grades/" + i + "/window", "a deduplicated grade needs a window above 0s");
            }
        }
        for (int i = 0; i < destinations.size(); i++) {
            RateLimit limit = destinations.get(i).limit;
            if (limit != null && (limit.rate == null) == (limit.count == null)) {
                errors.put("/destinations/" + i + "/limit", "a limit needs either rate, or count with span");
            } else if (limit != null && limit.count != null && limit.span == null) {
                errors.put("/destinations/" + i + "/limit", "count needs span");
            }
            ServiceTimeDistribution service = destinations.get(i).service;
            if (service.shape == ServiceTimeDistribution.Shape.SAMPLE && (service.sample == null || service.sample.isEmpty())) {
                errors.put("/destinations/" + i + "/service", "shape sample needs a non-empty sample");
            }
        }
        for (int i = 1; i < destinations.size(); i++) {
            DestinationGroup group = destinations.get(i);
            if (destinations.subList(0, i).stream().anyMatch(other -> other.kind.equals(group.kind)
                    && !other.apart.equals(group.apart))) {
                errors.put("/destinations/" + i + "/apart", "the entries of kind " + group.kind + " differ in apart");
            }
        }
        for (int i = 0; i < failures.size(); i++) {
            failures.get(i).findInconsistencies(this, "/failures/" + i, errors);
        }
        if (load.trace == null && grades.stream().noneMatch(grade -> grade.share > 0)) {
            errors.put("/grades", "no grade has a share above 0");
        }
        return errors;
    }

    static <T> T orDefault(T value, T defaultValue) {
        return value != null ? value : defaultValue;
    }
}
