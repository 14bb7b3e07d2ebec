package terndyke.lab.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import terndyke.lab.plan.Experiment;
import terndyke.lab.plan.Experiment.Grade;
import terndyke.lab.referee.Breach;
import terndyke.lab.referee.Handed;
import terndyke.lab.referee.Sight;
import terndyke.lab.referee.Sight.What;
import terndyke.lab.referee.Story;
import terndyke.lab.run.Outcome;
import terndyke.lab.run.Sampler;

/** A day in figures. Times in milliseconds unless a name says otherwise; worth as a share of what was offered. */
public final class Summary {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};
    private static final long MOST = 600_000_000L;

    private final Outcome outcome;
    private final Experiment day;
    /** By message: when the first of its ids was delivered; whether any was told dead or bounced; taken at all. */
    private final Map<Integer, Long> delivered = new HashMap<>();
    private final Map<Integer, String> told = new HashMap<>();
    private final Set<Integer> taken = new HashSet<>();
    private final Map<Integer, Handed> messages = new TreeMap<>();
    private final Histogram deliveredFromDue = new Histogram(1, MOST, 3);
    private final Histogram deliveredFromSent = new Histogram(1, MOST, 3);

    public Summary(Outcome outcome) {
        this.outcome = outcome;
        day = outcome.day();
        for (Story story : outcome.stories()) {
            Handed handed = story.handed();
            if (handed.extra()) {
                continue;
            }
            messages.putIfAbsent(handed.message(), handed);
            if (!story.taken()) {
                continue;
            }
            taken.add(handed.message());
            if (story.deliveredAt() >= 0) {
                delivered.merge(handed.message(), story.deliveredAt(), Math::min);
                deliveredFromDue.recordValue(clamp(story.deliveredAt() - handed.due()));
                deliveredFromSent.recordValue(clamp(story.deliveredAt() - handed.sent()));
            } else if (story.notice() != null) {
                told.put(handed.message(), story.notice());
            }
        }
    }

    private static long clamp(long micros) {
        return Math.max(1, Math.min(MOST, micros));
    }

    Map<Integer, Long> delivered() {
        return delivered;
    }

    Map<Integer, Handed> messages() {
        return messages;
    }

    Map<Integer, String> told() {
        return told;
    }

    /** What a record is worth that is delivered after so long, as a share of its grade's worth. */
    static double worth(Grade grade, long after) {
        if (after <= grade.target().micros()) {
            return 1;
        }
        double late = (after - grade.target().micros()) / Math.max(1.0, grade.abandon().micros() - grade.target().micros());
        return late > 1 ? 0 : 1 - (1 - grade.lateWorth()) * late;
    }

    /** The share of the offered worth that was delivered; records that were never handed in are offered too. */
    public double goodput() {
        return goodput(-1);
    }

    private double goodput(int only) {
        double offered = 0;
        double got = 0;
        for (Map.Entry<Integer, Handed> one : messages.entrySet()) {
            Grade grade = day.grades().get(one.getValue().grade());
            if (only < 0 || only == one.getValue().grade()) {
                offered += grade.worth();
                Long at = delivered.get(one.getKey());
                got += at == null ? 0 : grade.worth() * worth(grade, at - one.getValue().due());
            }
        }
        return offered > 0 ? got / offered : outcome.offered() == 0 || only >= 0 ? 1 : 0;
    }

    public ObjectNode json() {
        ObjectNode json = JSON.createObjectNode();
        json.put("name", day.name()).put("seed", day.seed()).put("build", outcome.build())
                .put("seconds", round(outcome.seconds())).put("status", outcome.status()).put("void", outcome.voided());
        json.put("nodes", day.nodes().count()).put("receivers", outcome.receivers()).put("offered", outcome.offered())
                .put("goodput", round(goodput()));
        int inTarget = 0;
        for (Map.Entry<Integer, Long> one : delivered.entrySet()) {
            Handed handed = messages.get(one.getKey());
            inTarget += one.getValue() - handed.due() <= day.grades().get(handed.grade()).target().micros() ? 1 : 0;
        }
        Map<String, Integer> ends = new TreeMap<>();
        told.values().forEach(result -> ends.merge(result, 1, Integer::sum));
        int[] doors = outcome.atTheDoors();
        json.putObject("messages").put("handedIn", doors[0]).put("taken", taken.size()).put("done", delivered.size())
                .put("doneInTarget", inTarget).put("bounced", ends.getOrDefault("bounced", 0))
                .put("terminated", ends.getOrDefault("dead", 0)).put("refusedForGood", doors[2]).put("failedAtDoor", doors[3])
                .put("unanswered", doors[4]);
        rules(json.putObject("rules"));
        ArrayNode breaches = json.putArray("breaches");
        outcome.breaches().stream().limit(50).forEach(breach -> breaches.addObject().put("rule", breach.rule())
                .put("atSeconds", round(breach.at() / 1e6)).put("id", breach.id()).put("why", breach.why()));
        ObjectNode latency = json.putObject("latencyMs");
        latency.set("acceptedFromDue", percentiles(outcome.acceptedFromDue()));
        latency.set("acceptedFromSent", percentiles(outcome.acceptedFromSent()));
        latency.set("deliveredFromDue", percentiles(deliveredFromDue));
        latency.set("deliveredFromSent", percentiles(deliveredFromSent));
        json.set("toolLatenessMs", percentiles(outcome.lateness()));
        json.set("drainToLastShotMs", percentiles(drains()));
        ObjectNode grades = json.putObject("grades");
        for (int i = 0; i < day.grades().size(); i++) {
            int grade = i;
            long offered = messages.values().stream().filter(handed -> handed.grade() == grade).count();
            long done = delivered.keySet().stream().filter(message -> messages.get(message).grade() == grade).count();
            grades.putObject(day.grades().get(i).name()).put("offered", offered).put("done", done)
                    .put("goodput", round(goodput(i)));
        }
        calls(json.putObject("calls"));
        crossings(json.putObject("crossings"));
        machines(json.putArray("machines"));
        return json;
    }

    private void rules(ObjectNode json) {
        for (int rule = 1; rule <= 6; rule++) {
            int number = rule;
            json.put(Integer.toString(rule), outcome.breaches().stream().filter(breach -> breach.rule() == number).count());
        }
    }

    private void calls(ObjectNode json) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (Sight sight : outcome.sights()) {
            String name = switch (sight.what()) {
                case CALL -> "came";
                case CALL_ANSWERED -> "answered" + sight.status();
                case CALL_ENDED -> "cutShort";
                case RAN -> "ran";
                case DROPPED -> "droppedAsRepeats";
                case FELL -> "receiversPushedOver";
                default -> null;
            };
            if (name != null) {
                counts.merge(name, 1, Integer::sum);
            }
        }
        counts.forEach(json::put);
    }

    /** Records whose calls went to more than one hall, by grade. */
    private void crossings(ObjectNode json) {
        Map<String, Set<Integer>> halls = new HashMap<>();
        outcome.sights().stream().filter(sight -> sight.what() == What.CALL).forEach(sight -> halls
                .computeIfAbsent(sight.id(), id -> new HashSet<>()).add(sight.hall()));
        int[] crossed = new int[day.grades().size()];
        for (Story story : outcome.stories()) {
            crossed[story.handed().grade()] += halls.getOrDefault(story.handed().id(), Set.of()).size() > 1 ? 1 : 0;
        }
        for (int i = 0; i < crossed.length; i++) {
            json.put(day.grades().get(i).name(), crossed[i]);
        }
    }

    private void machines(ArrayNode json) {
        for (int node = 0; node < day.nodes().count(); node++) {
            double memory = 0;
            double cores = 0;
            int descriptors = 0;
            for (Sampler.Sample sample : outcome.samples()) {
                memory = Math.max(memory, sample.memoryMb()[node]);
                cores = Math.max(cores, sample.cores()[node]);
                descriptors = Math.max(descriptors, sample.descriptors()[node]);
            }
            json.addObject().put("node", node).put("mostMemoryMb", round(memory)).put("mostCores", round(cores))
                    .put("mostDescriptors", descriptors);
        }
    }

    /** From a drain's telling to the last new shot at that receiver, for each node and drain. */
    private Histogram drains() {
        Histogram histogram = new Histogram(1, MOST, 3);
        Map<String, Long> since = new HashMap<>();
        Map<String, Long> last = new HashMap<>();
        for (Sight sight : outcome.sights()) {
            String whom = sight.node() + "/" + sight.uid();
            if (sight.what() == What.TOLD && sight.status() == 2) {
                since.putIfAbsent(whom, sight.at());
            } else if (sight.what() == What.CALL && since.containsKey(whom)) {
                last.put(whom, Math.max(1, sight.began() - since.get(whom)));
            }
        }
        since.keySet().forEach(whom -> histogram.recordValue(clamp(last.getOrDefault(whom, 1L))));
        return histogram;
    }

    static ObjectNode percentiles(Histogram histogram) {
        ObjectNode json = JSON.createObjectNode().put("count", histogram.getTotalCount());
        if (histogram.getTotalCount() > 0) {
            for (double percentile : PERCENTILES) {
                json.put("p" + Double.toString(percentile).replaceAll("\\.0$|\\.", ""),
                        round(histogram.getValueAtPercentile(percentile) / 1e3));
            }
            json.put("max", round(histogram.getMaxValue() / 1e3));
        }
        return json;
    }

    private static double round(double figure) {
        return Math.round(figure * 1e3) / 1e3;
    }

    /** What a person reads first. */
    static String words(JsonNode json, List<Breach> breaches) {
        List<String> lines = new ArrayList<>();
        JsonNode messages = json.path("messages");
        lines.add(String.format("%s, seed %d: goodput %.3f, %d offered, %d done (%d in target), %d bounced, %d terminated, "
                + "%d refused for good, %d unanswered", json.path("name").asText(), json.path("seed").asLong(),
                json.path("goodput").asDouble(), json.path("offered").asInt(), messages.path("done").asInt(),
                messages.path("doneInTarget").asInt(), messages.path("bounced").asInt(),
                messages.path("terminated").asInt(), messages.path("refusedForGood").asInt(),
                messages.path("unanswered").asInt()));
        for (String which : List.of("acceptedFromDue", "deliveredFromDue")) {
            JsonNode latency = json.path("latencyMs").path(which);
            lines.add(String.format("%s: p50 %.1f ms, p99 %.1f ms, max %.1f ms", which, latency.path("p50").asDouble(),
                    latency.path("p99").asDouble(), latency.path("max").asDouble()));
        }
        if (!json.path("void").isNull()) {
            lines.add("void: " + json.path("void").asText());
        }
        lines.add(breaches.isEmpty() ? "all six rules kept" : breaches.size() + " breaches");
        breaches.stream().limit(5).forEach(breach -> lines.add(breach.toString()));
        return String.join(System.lineSeparator(), lines);
    }
}
