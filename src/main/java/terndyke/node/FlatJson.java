package terndyke.node;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Flattens a JSON object into paths and scalar values. An array of scalars becomes one value joined by commas; an array
 * with nested elements has its elements under their index and its length under PATH.count.
 */
public final class FlatJson {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private final Map<String, String> values = new LinkedHashMap<>();

    private final String skippedName;

    private FlatJson(String skippedName) {
        this.skippedName = skippedName;
    }

    /** Returns the values by path, such as known.targets.0.uid; the IOException says what cannot be parsed. */
    public static Map<String, String> read(byte[] json) throws IOException {
        return readWithout("", json);
    }

    /** The same without the top-level field of the given name, however large, which takes no memory. */
    static Map<String, String> readWithout(String skippedName, byte[] json) throws IOException {
        FlatJson flat = new FlatJson(skippedName);
        try (JsonParser parser = JSON_FACTORY.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            flat.readObject(parser, "");
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the JSON object");
            }
        }
        return flat.values;
    }

    /** Returns the values below a path, with that path removed from their keys. */
    public static Map<String, String> subtree(String path, Map<String, String> values) {
        Map<String, String> result = new LinkedHashMap<>();
        values.forEach((key, value) -> {
            if (key.startsWith(path + ".")) {
                result.put(key.substring(path.length() + 1), value);
            }
        });
        return result;
    }

    private void readObject(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            if (path.isEmpty() && name.equals(skippedName)) {
                parser.skipChildren();
            } else {
                readValue(parser, path.isEmpty() ? name : path + "." + name);
            }
        }
    }

    private void readValue(JsonParser parser, String path) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readArray(parser, path);
            case VALUE_NULL -> { }
            default -> values.put(path, parser.getText());
        }
    }

    private void readArray(JsonParser parser, String path) throws IOException {
        StringBuilder joined = new StringBuilder();
        int count = 0;
        boolean nested = false;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isStructStart()) {
                nested = true;
                readValue(parser, path + "." + count);
            } else {
                joined.append(count > 0 ? "," : "").append(parser.getText());
            }
            count++;
        }
        if (nested || count == 0) {
            values.put(path + ".count", Integer.toString(count));
        }
        if (!nested) {
            values.put(path, joined.toString());
        }
    }
}
