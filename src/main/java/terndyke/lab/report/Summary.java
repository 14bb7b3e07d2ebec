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
import terndyke.lab.referee.HandedInRecord;
import terndyke.lab.referee.ObservedEvent;
import terndyke.lab.referee.ObservedEvent.EventType;
import terndyke.lab.referee.RecordHistory;
import terndyke.lab.run.ExperimentResult;
import terndyke.lab.run.ResourceSampler;

/**
 * Computes the figures of a run. Times in the summary are milliseconds unless a name says otherwise; payoff is given as a
 * share of the offered payoff.
 */
public final class Summary {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};
    private static final long MAX_LATENCY_MICROS = 600_000_000L;

    private final ExperimentResult experimentResult;
    private final Experiment experiment;
    // A message that is handed in again has several ids; the figures count messages.
    /** When the first record of each message was delivered. */
    private final Map<Integer, Long> deliveredAtMicrosByMessage = new HashMap<>();
    /** The notice result (dead or bounced) of messages with an undelivered record. */
    private final Map<Integer, String> noticeResultsByMessage = new HashMap<>();
    private final Set<Integer> acceptedMessages = new HashSet<>();
    private final Map<Integer, HandedInRecord> recordsByMessage = new TreeMap<>();
    private final Histogram deliveredFromDue = new Histogram(1, MAX_LATENCY_MICROS, 3);
    private final Histogram deliveredFromSent = new Histogram(1, MAX_LATENCY_MICROS, 3);

    public Summary(ExperimentResult outcome) {
        this.experimentResult = outcome;
        experiment = outcome.experiment();
        for (RecordHistory story : outcome.histories()) {
            HandedInRecord handed = story.handedInRecord();
            if (handed.extra()) {
                continue;
            }
            recordsByMessage.putIfAbsent(handed.message(), handed);
            if (!story.isAccepted()) {
                continue;
            }
            acceptedMessages.add(handed.message());
            if (story.deliveredAtMicros() >= 0) {
                deliveredAtMicrosByMessage.merge(handed.message(), story.deliveredAtMicros(), Math::min);
                deliveredFromDue.recordValue(clampLatency(story.deliveredAtMicros() - handed.due()));
                deliveredFromSent.recordValue(clampLatency(story.deliveredAtMicros() - handed.sent()));
            } else if (story.noticeResult() != null) {
                noticeResultsByMessage.put(handed.message(), story.noticeResult());
            }
        }
    }

    private static long clampLatency(long micros) {
        return Math.max(1, Math.min(MAX_LATENCY_MICROS, micros));
    }

    Map<Integer, Long> deliveredAtMicrosByMessage() {
        return deliveredAtMicrosByMessage;
    }

    Map<Integer, HandedInRecord> recordsByMessage() {
        return recordsByMessage;
    }

    Map<Integer, String> noticeResultsByMessage() {
        return noticeResultsByMessage;
    }

    /** The payoff of a record delivered the given time (microseconds) after it was due, as a share of its grade's worth. */
    static double payoffShare(Grade grade, long after) {
        if (after <= grade.target().micros()) {
            return 1;
        }
        double late = (after - grade.target().micros()) / Math.max(1.0, grade.abandon().micros() - grade.target().micros());
        return late > 1 ? 0 : 1 - (1 - grade.lateWorth()) * late;
    }

    /** The delivered payoff as a share of the offered payoff; records that were never handed in count as offered. */
    public double goodput() {
        return goodput(-1);
    }

    private double goodput(int only) {
        double offered = 0;
        double got = 0;
        for (Map.Entry<Integer, HandedInRecord> one : recordsByMessage.entrySet()) {
            Grade grade = experiment.grades().get(one.getValue().grade());
            if (only < 0 || only == one.getValue().grade()) {
                offered += grade.worth();
                Long at = deliveredAtMicrosByMessage.get(one.getKey());
                got += at == null ? 0 : grade.worth() * payoffShare(grade, at - one.getValue().due());
            }
        }
        return offered > 0 ? got / offered : experimentResult.offeredCount() == 0 || only >= 0 ? 1 : 0;
    }

    /** The content of summary.json. */
    public ObjectNode toJson() {
        ObjectNode json = JSON.createObjectNode();
        json.put("name", experiment.name()).put("seed", experiment.seed()).put("build", experimentResult.build())
                .put("seconds", round(experimentResult.seconds())).put("status", experimentResult.status())
                .put("void", experimentResult.voidedBecause());
        json.put("nodes", experiment.nodes().count()).put("receivers", experimentResult.receiverCount())
                .put("offered", experimentResult.offeredCount()).put("goodput", round(goodput()));
        int inTarget = 0;
        for (Map.Entry<Integer, Long> one : deliveredAtMicrosByMessage.entrySet()) {
            HandedInRecord handed = recordsByMessage.get(one.getKey());
            inTarget += one.getValue() - handed.due() <= experiment.grades().get(handed.grade()).target().micros() ? 1 : 0;
        }
        Map<String, Integer> ends = new TreeMap<>();
        noticeResultsByMessage.values().forEach(result -> ends.merge(result, 1, Integer::sum));
        int[] doors = experimentResult.handInCounts();
        json.putObject("messages").put("handedIn", doors[0]).put("taken", acceptedMessages.size())
                .put("done", deliveredAtMicrosByMessage.size())
                .put("doneInTarget", inTarget).put("bounced", ends.getOrDefault("bounced", 0))
                .put("terminated", ends.getOrDefault("dead", 0)).put("refusedForGood", doors[2]).put("failedAtDoor", doors[3])
                .put("unanswered", doors[4]);
        addBreachCounts(json.putObject("rules"));
        ArrayNode breaches = json.putArray("breaches");
        experimentResult.breaches().stream().limit(50).forEach(breach -> breaches.addObject().put("rule", breach.rule())
                .put("atSeconds", round(breach.atMicros() / 1e6)).put("id", breach.id()).put("why", breach.reason()));
        ObjectNode latency = json.putObject("latencyMs");
        latency.set("acceptedFromDue", toPercentilesJson(experimentResult.acceptedFromDue()));
        latency.set("acceptedFromSent", toPercentilesJson(experimentResult.acceptedFromSent()));
        latency.set("deliveredFromDue", toPercentilesJson(deliveredFromDue));
        latency.set("deliveredFromSent", toPercentilesJson(deliveredFromSent));
        json.set("toolLatenessMs", toPercentilesJson(experimentResult.toolLateness()));
        json.set("drainToLastShotMs", toPercentilesJson(drainToLastShotTimes()));
        ObjectNode grades = json.putObject("grades");
        for (int i = 0; i < experiment.grades().size(); i++) {
            int grade = i;
            long offered = recordsByMessage.values().stream().filter(handed -> handed.grade() == grade).count();
            long done = deliveredAtMicrosByMessage.keySet().stream()
                    .filter(message -> recordsByMessage.get(message).grade() == grade).count();
            grades.putObject(experiment.grades().get(i).name()).put("offered", offered).put("done", done)
                    .put("goodput", round(goodput(i)));
        }
        addCallCounts(json.putObject("calls"));
        addHallCrossings(json.putObject("crossings"));
        addNodeMaxima(json.putArray("machines"));
        return json;
    }

    private void addBreachCounts(ObjectNode json) {
        for (int rule = 1; rule <= 6; rule++) {
            int number = rule;
            json.put(Integer.toString(rule),
                    experimentResult.breaches().stream().filter(breach -> breach.rule() == number).count());
        }
    }

    private void addCallCounts(ObjectNode json) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (ObservedEvent sight : experimentResult.events()) {
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

    /** Counts, by grade, the records whose calls went to more than one hall. */
    private void addHallCrossings(ObjectNode json) {
        Map<String, Set<Integer>> halls = new HashMap<>();
        experimentResult.events().stream().filter(sight -> sight.what() == EventType.CALL).forEach(sight -> halls
                .computeIfAbsent(sight.id(), id -> new HashSet<>()).add(sight.hall()));
        int[] crossed = new int[experiment.grades().size()];
        for (RecordHistory story : experimentResult.histories()) {
            crossed[story.handedInRecord().grade()] +=
                    halls.getOrDefault(story.handedInRecord().id(), Set.of()).size() > 1 ? 1 : 0;
        }
        for (int i = 0; i < crossed.length; i++) {
            json.put(experiment.grades().get(i).name(), crossed[i]);
        }
    }

    private void addNodeMaxima(ArrayNode json) {
        for (int node = 0; node < experiment.nodes().count(); node++) {
            double memory = 0;
            double cores = 0;
            int descriptors = 0;
            for (ResourceSampler.Sample sample : experimentResult.samples()) {
                memory = Math.max(memory, sample.memoryMb()[node]);
                cores = Math.max(cores, sample.cores()[node]);
                descriptors = Math.max(descriptors, sample.fileDescriptors()[node]);
            }
            json.addObject().put("node", node).put("mostMemoryMb", round(memory)).put("mostCores", round(cores))
                    .put("mostDescriptors", descriptors);
        }
    }

    /** For each node and draining receiver, the time from the node's notification of the drain to its last new shot there. */
    private Histogram drainToLastShotTimes() {
        Histogram histogram = new Histogram(1, MAX_LATENCY_MICROS, 3);
        Map<String, Long> since = new HashMap<>();
        Map<String, Long> last = new HashMap<>();
        for (ObservedEvent sight : experimentResult.events()) {
            String whom = sight.node() + "/" + sight.uid();
            if (sight.what() == EventType.TOLD && sight.status() == 2) {
                since.putIfAbsent(whom, sight.at());
            } else if (sight.what() == EventType.CALL && since.containsKey(whom)) {
                last.put(whom, Math.max(1, sight.began() - since.get(whom)));
            }
        }
        since.keySet().forEach(whom -> histogram.recordValue(clampLatency(last.getOrDefault(whom, 1L))));
        return histogram;
    }

    static ObjectNode toPercentilesJson(Histogram histogram) {
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

    /** The summary as text for the console. */
    static String describe(JsonNode json, List<Breach> breaches) {
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
