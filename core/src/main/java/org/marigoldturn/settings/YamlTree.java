package org.marigoldturn.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Parses a YAML document into nodes with line numbers.
 *
 * <p>Scalars keep their text, so that a hash of digits is not converted to a number. Duplicate
 * keys, aliases and further documents are reported as errors. Confined to one thread.
 */
final class YamlTree {
    /** A node with its line number, counted from 1. */
    sealed interface Node {
        int line();
    }

    /** A text, number or boolean as written; {@code text} is null for an empty value. */
    record Scalar(int line, String text) implements Node {}

    /** A sequence. */
    record Sequence(int line, List<Node> values) implements Node {}

    /** A mapping in the order of the document. */
    record Mapping(int line, Map<String, Node> values) implements Node {}

    /** Above the library's default of 3 MB; 1,700 hosts take about 0.5 MB. */
    private static final int MAX_CHARACTERS = 16 << 20;

    /** Far above the 5 levels that settings have. */
    private static final int MAX_DEPTH = 20;

    private final List<SettingsError> mErrors;
    private final YAMLParser mParser;

    private YamlTree(YAMLParser parser, List<SettingsError> errors) {
        mParser = parser;
        mErrors = errors;
    }

    /** Parses a document; adds its errors to {@code errors} and returns what could be parsed. */
    static Mapping read(String yaml, List<SettingsError> errors) {
        Mapping emptyMapping = new Mapping(1, Map.of());
        try (YAMLParser parser = factory().createParser(yaml)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                return emptyMapping;
            }
            YamlTree tree = new YamlTree(parser, errors);
            Node root = tree.node("", 0);
            if (parser.nextToken() != null) {
                errors.add(
                        new SettingsError("", tree.line(), "expected one document, found another"));
            }
            if (root instanceof Mapping mapping) {
                return mapping;
            }
            errors.add(new SettingsError("", root.line(), "expected a mapping"));
            return emptyMapping;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
            errors.add(new SettingsError("", line, "expected valid YAML: " + firstLine(e)));
        } catch (IOException | RuntimeException e) {
            // The library throws several types of unchecked exceptions for malformed input.
            errors.add(new SettingsError("", 0, "expected valid YAML: " + firstLine(e)));
        }
        return emptyMapping;
    }

    private static YAMLFactory factory() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_CHARACTERS);
        return YAMLFactory.builder().loaderOptions(options).build();
    }

    private static String firstLine(Exception e) {
        String message = e instanceof JsonProcessingException p ? p.getOriginalMessage() : null;
        return String.valueOf(message == null ? e.getMessage() : message)
                .lines()
                .findFirst()
                .orElse("unreadable");
    }

    private int line() {
        return Math.max(1, mParser.currentTokenLocation().getLineNr());
    }

    private Node node(String path, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("at most " + MAX_DEPTH + " levels, found more at line " + line());
        }
        JsonToken token = mParser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return mapping(path, depth);
        }
        if (token == JsonToken.START_ARRAY) {
            return sequence(path, depth);
        }
        if (mParser.isCurrentAlias()) {
            mErrors.add(new SettingsError(path, line(), "expected a value, found an alias"));
        }
        return new Scalar(line(), token == JsonToken.VALUE_NULL ? null : mParser.getText());
    }

    private Mapping mapping(String path, int depth) throws IOException {
        int line = line();
        Map<String, Node> values = new LinkedHashMap<>();
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String key = mParser.currentName();
            int keyLine = line();
            String keyPath = path.isEmpty() ? key : path + "/" + key;
            mParser.nextToken();
            Node value = node(keyPath, depth + 1);
            if (values.putIfAbsent(key, value) != null) {
                mErrors.add(
                        new SettingsError(
                                keyPath,
                                keyLine,
                                "expected unique keys, found \"" + key + "\" more than once"));
            }
        }
        return new Mapping(line, values);
    }

    private Sequence sequence(String path, int depth) throws IOException {
        int line = line();
        List<Node> values = new ArrayList<>();
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            if (mParser.currentToken() == null) {
                throw new IOException("sequence without an end at line " + line);
            }
            values.add(node(path + "/" + values.size(), depth + 1));
        }
        return new Sequence(line, values);
    }
}
