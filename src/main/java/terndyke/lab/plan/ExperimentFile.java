package terndyke.lab.plan;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;

/** Reads and writes experiments as YAML. A file with errors is rejected, and all of its errors are reported at once. */
public final class ExperimentFile {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectMapper YAML = new ObjectMapper(
            new YAMLFactory().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES));

    private static final JsonNode SCHEMA = loadSchema();
    private static final Schema VALIDATOR = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(SCHEMA);

    private ExperimentFile() { }

    public static Experiment read(Path file) throws UserInputException {
        return read(file, Map.of());
    }

    /** Reads a file and overrides some of its fields, given by paths such as nodes.slots or failures.0.at. */
    public static Experiment read(Path file, Map<String, String> overrides) throws UserInputException {
        try {
            return read(file.toString(), Files.readString(file), overrides);
        } catch (IOException e) {
            throw new UserInputException(file + ": cannot read the file: " + e.getMessage());
        }
    }

    /** Reads an experiment from YAML text; each error message starts with the given name. */
    public static Experiment read(String name, String text) throws UserInputException {
        return read(name, text, Map.of());
    }

    private static Experiment read(String name, String text, Map<String, String> overrides) throws UserInputException {
        Map<String, JsonLocation> locations = new HashMap<>();
        JsonNode tree;
        try (JsonParser parser = YAML.getFactory().createParser(text)) {
            if (parser.nextToken() == null) {
                throw new UserInputException(name + ": the file is empty");
            }
            tree = parseTree(parser, "", locations);
        } catch (JsonProcessingException e) {
            throw new UserInputException(name + ":" + (e.getLocation() == null ? 0 : e.getLocation().getLineNr())
                    + ": invalid YAML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new UserInputException(name + ": " + e.getMessage());
        }
        for (Map.Entry<String, String> entry : overrides.entrySet()) {
            setField(tree, entry.getKey(), entry.getValue());
        }
        Map<Integer, List<String>> errors = new TreeMap<>();
        for (Error error : VALIDATOR.validate(tree)) {
            String instancePath = error.getInstanceLocation().toString();
            String field = error.getProperty() != null ? instancePath + "/" + error.getProperty() : instancePath;
            addError(errors, name, locations, field, describeError(error, tree.at(instancePath)));
        }
        Experiment experiment = null;
        if (errors.isEmpty()) {
            try {
                experiment = JSON.treeToValue(tree, Experiment.class);
                for (Map.Entry<String, String> entry : experiment.findInconsistencies().entrySet()) {
                    addError(errors, name, locations, entry.getKey(), entry.getValue());
                }
            } catch (JsonProcessingException | IllegalArgumentException e) {
                addError(errors, name, locations, "", e.getMessage());
            }
        }
        if (!errors.isEmpty()) {
            throw new UserInputException(errors.values().stream().flatMap(List::stream).toList());
        }
        return experiment;
    }

    /** The value of the named field; adds an empty object if the field is absent. */
    private static JsonNode getOrCreateObject(ObjectNode object, String name) {
        return object.has(name) ? object.get(name) : object.putObject(name);
    }

    private static void setField(JsonNode tree, String path, String value) throws UserInputException {
        String[] parts = path.split("\\.");
        JsonNode node = tree;
        try {
            JsonNode newValue = YAML.readTree(value);
            for (int i = 0; i < parts.length - 1; i++) {
                node = node instanceof ObjectNode object ? getOrCreateObject(object, parts[i])
                        : node.path(Integer.parseInt(parts[i]));
            }
            if (node instanceof ObjectNode object) {
                object.set(parts[parts.length - 1], newValue);
            } else if (node instanceof ArrayNode array) {
                array.set(Integer.parseInt(parts[parts.length - 1]), newValue);
            } else {
                throw new UserInputException("--set " + path + ": no such field");
            }
        } catch (IOException | RuntimeException e) {
            throw new UserInputException("--set " + path + "=" + value + ": " + e.getMessage());
        }
    }

    public static String toYaml(Experiment experiment) {
        try {
            return YAML.writeValueAsString(experiment);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    public static JsonNode jsonSchema() {
        return SCHEMA;
    }

    private static JsonNode loadSchema() {
        try (InputStream in = ExperimentFile.class.getResourceAsStream("/terndyke/lab/experiment.schema.json")) {
            return JSON.readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String describeError(Error error, JsonNode value) {
        return switch (error.getKeyword()) {
            case "additionalProperties", "unevaluatedProperties" -> "unknown field" + suggestNearestName(error);
            case "required" -> "is missing";
            case "type" -> "found " + value.getNodeType().name().toLowerCase(java.util.Locale.ROOT) + " " + abbreviate(value)
                    + ", allowed: " + error.getSchemaNode().asText();
            case "enum" -> "found " + abbreviate(value) + ", allowed: " + abbreviate(error.getSchemaNode());
            case "pattern" -> "found " + abbreviate(value) + ", allowed: a time such as 250ms, 1.5s or 2m";
            default -> "found " + abbreviate(value) + ": " + error.getMessage();
        };
    }

    /** A hint with the known field name most similar to an unknown one; empty if none is similar. */
    private static String suggestNearestName(Error error) {
        String best = null;
        int distance = 4;
        for (String name : knownFieldNames()) {
            int candidateDistance = editDistance(name, error.getProperty());
            if (candidateDistance < distance) {
                distance = candidateDistance;
                best = name;
            }
        }
        return best == null ? "" : "; nearest known: " + best;
    }

    private static List<String> knownFieldNames() {
        List<String> names = new ArrayList<>();
        SCHEMA.findValues("properties").forEach(each -> each.fieldNames().forEachRemaining(names::add));
        return names;
    }

    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }

    private static String abbreviate(JsonNode node) {
        String text = node.toString();
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    private static void addError(Map<Integer, List<String>> errors, String name, Map<String, JsonLocation> locations,
            String field, String message) {
        String ancestor = field;
        while (!locations.containsKey(ancestor) && ancestor.contains("/")) {
            ancestor = ancestor.substring(0, ancestor.lastIndexOf('/'));
        }
        JsonLocation location = locations.get(ancestor);
        int line = location == null ? 1 : location.getLineNr();
        errors.computeIfAbsent(line, number -> new ArrayList<>()).add(name + ":" + line + ": "
                + (field.isEmpty() ? "the file" : field.substring(1).replace('/', '.')) + ": " + message);
    }

    private static JsonNode parseTree(JsonParser parser, String path, Map<String, JsonLocation> locations) throws IOException {
        locations.putIfAbsent(path, parser.currentTokenLocation());
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = JsonNodeFactory.instance.objectNode();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    locations.put(path + "/" + name, parser.currentTokenLocation());
                    parser.nextToken();
                    object.set(name, parseTree(parser, path + "/" + name, locations));
                }
                return object;
            }
            case START_ARRAY -> {
                ArrayNode array = JsonNodeFactory.instance.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(parseTree(parser, path + "/" + array.size(), locations));
                }
                return array;
            }
            case VALUE_NUMBER_INT -> {
                return JsonNodeFactory.instance.numberNode(parser.getLongValue());
            }
            case VALUE_NUMBER_FLOAT -> {
                return JsonNodeFactory.instance.numberNode(parser.getDoubleValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return JsonNodeFactory.instance.booleanNode(parser.getBooleanValue());
            }
            case VALUE_NULL -> {
                return JsonNodeFactory.instance.nullNode();
            }
            default -> {
                return JsonNodeFactory.instance.textNode(parser.getText());
            }
        }
    }
}
