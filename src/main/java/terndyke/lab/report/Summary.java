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

    public Summary(ExperimentResult experimentResult) {
        this.experimentResult = experimentResult;
        experiment = experimentResult.experiment();
        for (RecordHistory history : experimentResult.histories()) {
            HandedInRecord handed = history.handedInRecord();
            if (handed.extra()) {
                continue;
            }
            recordsByMessage.putIfAbsent(handed.message(), handed);
            if (!history.isAccepted()) {
                continue;
            }
            acceptedMessages.add(handed.message());
            if (history.deliveredAtMicros() >= 0) {
                deliveredAtMicrosByMessage.merge(handed.message(), history.deliveredAtMicros(), Math::min);
                deliveredFromDue.recordValue(clampLatency(history.deliveredAtMicros() - handed.due()));
                deliveredFromSent.recordValue(clampLatency(history.deliveredAtMicros() - handed.sent()));
            } else if (history.noticeResult() != null) {
                noticeResultsByMessage.put(handed.message(), history.noticeResult());
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
    static double payoffShare(Grade grade, long delayMicros) {
        if (delayMicros <= grade.target().micros()) {
            return 1;
        }
        double late = (delayMicros - grade.target().micros()) / Math.max(1.0, grade.abandon().micros() - grade.target().micros());
        return late > 1 ? 0 : 1 - (1 - grade.lateWorth()) * late;
    }

    /** The delivered payoff as a share of the offered payoff; records that were never handed in count as offered. */
    public double goodput() {
        return goodput(-1);
    }

    private double goodput(int onlyGrade) {
        double offered = 0;
        double delivered = 0;
        for (Map.Entry<Integer, HandedInRecord> entry : recordsByMessage.entrySet()) {
            Grade grade = experiment.grades().get(entry.getValue().grade());
            if (onlyGrade < 0 || onlyGrade == entry.getValue().grade()) {
                offered += grade.worth();
                Long deliveredAt = deliveredAtMicrosByMessage.get(entry.getKey());
                delivered += deliveredAt == null ? 0 : grade.worth() * payoffShare(grade, deliveredAt - entry.getValue().due());
            }
        }
        return offered > 0 ? delivered / offered : experimentResult.offeredCount() == 0 || onlyGrade >= 0 ? 1 : 0;
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
        for (Map.Entry<Integer, Long> entry : deliveredAtMicrosByMessage.entrySet()) {
            HandedInRecord handed = recordsByMessage.get(entry.getKey());
            inTarget += entry.getValue() - handed.due() <= experiment.grades().get(handed.grade()).target().micros() ? 1 : 0;
        }
        Map<String, Integer> endCounts = new TreeMap<>();
        noticeResultsByMessage.values().forEach(result -> endCounts.merge(result, 1, Integer::sum));
        int[] handInCounts = experimentResult.handInCounts();
        json.putObject("messages").put("handedIn", handInCounts[0]).put("taken", acceptedMessages.size())
                .put("done", deliveredAtMicrosByMessage.size())
                .put("doneInTarget", inTarget).put("bounced", endCounts.getOrDefault("bounced", 0))
                .put("terminated", endCounts.getOrDefault("dead", 0)).put("refusedForGood", handInCounts[2])
                .put("failedAtDoor", handInCounts[3])
                .put("unanswered", handInCounts[4]);
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
        for (ObservedEvent event : experimentResult.events()) {
            String name = switch (event.what()) {
                case CALL -> "came";
                case CALL_ANSWERED -> "answered" + event.status();
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
        experimentResult.events().stream().filter(event -> event.what() == EventType.CALL).forEach(event -> halls
                .computeIfAbsent(event.id(), id -> new HashSet<>()).add(event.hall()));
        int[] crossed = new int[experiment.grades().size()];
        for (RecordHistory history : experimentResult.histories()) {
            crossed[history.handedInRecord().grade()] +=
                    halls.getOrDefault(history.handedInRecord().id(), Set.of()).size() > 1 ? 1 : 0;
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
        Map<String, Long> notifiedAtMicros = new HashMap<>();
        Map<String, Long> lastShotDelays = new HashMap<>();
        for (ObservedEvent event : experimentResult.events()) {
            String nodeAndReceiver = event.node() + "/" + event.uid();
            if (event.what() == EventType.TOLD && event.status() == 2) {
                notifiedAtMicros.putIfAbsent(nodeAndReceiver, event.at());
            } else if (event.what() == EventType.CALL && notifiedAtMicros.containsKey(nodeAndReceiver)) {
                lastShotDelays.put(nodeAndReceiver, Math.max(1, event.began() - notifiedAtMicros.get(nodeAndReceiver)));
            }
        }
        notifiedAtMicros.keySet().forEach(nodeAndReceiver -> histogram.recordValue(
                clampLatency(lastShotDelays.getOrDefault(nodeAndReceiver, 1L))));
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

    private static double round(double value) {
        return Math.round(value * 1e3) / 1e3;
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
        for (String key : List.of("acceptedFromDue", "deliveredFromDue")) {
            JsonNode latency = json.path("latencyMs").path(key);
            lines.add(String.format("%s: p50 %.1f ms, p99 %.1f ms, max %.1f ms", key, latency.path("p50").asDouble(),
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
