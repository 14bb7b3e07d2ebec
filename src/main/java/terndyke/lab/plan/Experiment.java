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
public record Experiment(String name, String about, Long seed, Span length, Span settle, Span late, Nodes nodes,
        List<Grade> grades, List<Tenant> tenants, List<String> halls, List<Destinations> destinations, Load load,
        Clients clients, Listing list, List<Failure> failures) {

    public Experiment {
        seed = or(seed, 1L);
        length = or(length, Span.of("10s"));
        settle = or(settle, Span.of("1s"));
        late = or(late, Span.of("50ms"));
        nodes = or(nodes, new Nodes(null, null, null, null, null, null, null, null, null));
        tenants = tenants == null || tenants.isEmpty() ? List.of(new Tenant("acme", 1.0, null)) : List.copyOf(tenants);
        halls = halls == null || halls.isEmpty() ? List.of("east", "west") : List.copyOf(halls);
        grades = List.copyOf(or(grades, List.of()));
        destinations = List.copyOf(or(destinations, List.of()));
        load = or(load, new Load(null, null, null, null, null, null, null, null, null));
        clients = or(clients, new Clients(null, null, null, null));
        list = or(list, new Listing(null));
        failures = List.copyOf(or(failures, List.of()));
    }

    /** What a node is granted and told. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Nodes(Integer count, Double cores, Integer memoryMb, Integer sockets, Double diskMb, Integer slots,
            Integer held, Boolean copies, Span connectTimeout) {
        public Nodes {
            count = or(count, 2);
            cores = or(cores, 1.0);
            memoryMb = or(memoryMb, 192);
            sockets = or(sockets, 1024);
            diskMb = or(diskMb, 3.0);
            slots = or(slots, 33);
            held = or(held, 468);
            copies = or(copies, true);
            connectTimeout = or(connectTimeout, Span.of("1500ms"));
        }
    }

    /** What may be done with a record once it may have taken effect. */
    public enum Effect {
        @JsonProperty("idempotent") IDEMPOTENT("retryable"),
        @JsonProperty("deduplicated") DEDUPLICATED("dedup"),
        @JsonProperty("unrepeatable") UNREPEATABLE("fragile");

        private final String told;

        Effect(String told) {
            this.told = told;
        }

        /** The word for it in a node's settings. */
        public String told() {
            return told;
        }
    }

    /** A service grade: its effect, times, worth, and the share of the clients' records that are of it. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Grade(String name, Effect effect, Span target, Span abandon, Double worth, Double lateWorth,
            Double share, Boolean inOrder, Boolean everywhere, Span window) {
        public Grade {
            worth = or(worth, 1.0);
            lateWorth = or(lateWorth, 0.0);
            share = or(share, 1.0);
            inOrder = or(inOrder, false);
            everywhere = or(everywhere, false);
            window = or(window, Span.of("5s"));
        }
    }

    /** A tenant: its part of the records, and records a second over all nodes that count in full. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Tenant(String name, Double share, Double quota) {
        public Tenant {
            share = or(share, 1.0);
            quota = or(quota, 1e6);
        }
    }

    /** Destinations that are alike: the numbers run on from one entry to the next. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Destinations(String kind, Integer count, Integer receivers, Boolean apart, Integer places,
            Integer queue, Service service, Limit limit, Integer connections, Span handshake, Cold cold, Boolean reports,
            Double share) {
        public Destinations {
            count = or(count, 1);
            receivers = or(receivers, 2);
            apart = or(apart, false);
            places = or(places, 8);
            queue = or(queue, 32);
            service = or(service, new Service(null, null, null, null));
            connections = or(connections, 128);
            handshake = or(handshake, Span.ZERO);
            cold = or(cold, new Cold(null, null, null, null));
            reports = or(reports, false);
            share = or(share, 1.0);
        }
    }

    /** How long a call's work takes at a receiver that is well. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Service(Shape shape, Span mean, Double spread, List<Span> sample) {
        /** The distribution, or a sample that is drawn from. */
        public enum Shape {
            @JsonProperty("fixed") FIXED, @JsonProperty("exponential") EXPONENTIAL, @JsonProperty("shifted") SHIFTED,
            @JsonProperty("lognormal") LOGNORMAL, @JsonProperty("sample") SAMPLE
        }

        public Service {
            shape = or(shape, Shape.SHIFTED);
            mean = or(mean, Span.of("20ms"));
            spread = or(spread, 0.5);
        }
    }

    /** Calls that all nodes together may make: a rate with a burst, or a count in a span. Waits are told on a share. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Limit(Double rate, Double burst, Integer count, Span span, Double tellsWait,
            @JsonProperty("wait") Span toldWait) {
        public Limit {
            tellsWait = or(tellsWait, 0.0);
            toldWait = or(toldWait, Span.of("500ms"));
        }
    }

    /** A receiver that comes back: the share of its places it has at first, and what pushes it over. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Cold(Double share, Span warm, Double fallMultiple, Span fallWithin) {
        public Cold {
            share = or(share, 0.3);
            warm = or(warm, Span.of("6s"));
            fallMultiple = or(fallMultiple, 2.0);
            fallWithin = or(fallWithin, Span.of("2s"));
        }
    }

    /** What comes in: records a second over all nodes, as a shape over the day, or a recorded trace. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Load(Shape shape, Double rate, Double peak, Span from, Span until, Integer clump, Integer keys,
            Integer bytes, String trace) {
        /** The schedule over the day. */
        public enum Shape {
            @JsonProperty("constant") CONSTANT, @JsonProperty("poisson") POISSON, @JsonProperty("ramp") RAMP,
            @JsonProperty("surge") SURGE, @JsonProperty("wave") WAVE, @JsonProperty("clumps") CLUMPS
        }

        public Load {
            shape = or(shape, Shape.POISSON);
            rate = or(rate, 60.0);
            peak = or(peak, rate);
            clump = or(clump, 20);
            keys = or(keys, 200);
            bytes = or(bytes, 200);
        }
    }

    /** How clients behave: the wait for an answer, and how often a refused or unanswered record is handed in again. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Clients(Span patience, Integer tries, Integer connections, Span again) {
        public Clients {
            patience = or(patience, Span.of("400ms"));
            tries = or(tries, 3);
            connections = or(connections, 200);
            again = or(again, Span.of("200ms"));
        }
    }

    /** How late a change of the list reaches a node's agent. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Listing(Span delay) {
        public Listing {
            delay = or(delay, Span.of("300ms"));
        }
    }

    public int destinationCount() {
        return destinations.stream().mapToInt(Destinations::count).sum();
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
    public Experiment withLength(Span other) {
        return with(name, about, seed, other, failures);
    }

    Experiment with(String otherName, String otherAbout, long otherSeed, Span otherLength, List<Failure> others) {
        return new Experiment(otherName, otherAbout, otherSeed, otherLength, settle, late, nodes, grades, tenants, halls,
                destinations, load, clients, list, others);
    }

    /** What a file tells beyond its fields' forms; empty where it holds together. By the field's place in the file. */
    public Map<String, String> contradictions() {
        Map<String, String> found = new java.util.LinkedHashMap<>();
        for (int i = 0; i < grades.size(); i++) {
            Grade grade = grades.get(i);
            if (grade.target.compareTo(grade.abandon) > 0) {
                found.put("/grades/" + i + "/target", "target " + grade.target + " is after abandon " + grade.abandon);
            }
            if (grade.window.micros() == 0 && grade.effect == Effect.DEDUPLICATED) {
                found.put("/grades/" + i + "/window", "a deduplicated grade needs a window above 0s");
            }
        }
        for (int i = 0; i < destinations.size(); i++) {
            Limit limit = destinations.get(i).limit;
            if (limit != null && (limit.rate == null) == (limit.count == null)) {
                found.put("/destinations/" + i + "/limit", "a limit has either rate or count with span");
            } else if (limit != null && limit.count != null && limit.span == null) {
                found.put("/destinations/" + i + "/limit", "a count needs its span");
            }
            Service service = destinations.get(i).service;
            if (service.shape == Service.Shape.SAMPLE && (service.sample == null || service.sample.isEmpty())) {
                found.put("/destinations/" + i + "/service", "shape sample needs a sample that is not empty");
            }
        }
        for (int i = 1; i < destinations.size(); i++) {
            Destinations one = destinations.get(i);
            if (destinations.subList(0, i).stream().anyMatch(before -> before.kind.equals(one.kind)
                    && !before.apart.equals(one.apart))) {
                found.put("/destinations/" + i + "/apart", "kind " + one.kind + " is apart in one entry and not in another");
            }
        }
        for (int i = 0; i < failures.size(); i++) {
            failures.get(i).contradictions(this, "/failures/" + i, found);
        }
        if (load.trace == null && grades.stream().noneMatch(grade -> grade.share > 0)) {
            found.put("/grades", "no grade has a share of the records");
        }
        return found;
    }

    static <T> T or(T told, T absent) {
        return told != null ? told : absent;
    }
}
