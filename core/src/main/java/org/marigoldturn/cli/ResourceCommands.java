package org.marigoldturn.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

/** Builds the commands that list, show, set and delete settings entries of one kind. */
final class ResourceCommands {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String mWord;
    private final String mPath;
    private final String mExampleFields;
    private final String[] mColumns;

    /**
     * @param word first word of the commands, such as {@code pool}
     * @param exampleFields fields in the example of the command {@code set}
     * @param columns fields that the command {@code list} prints
     */
    ResourceCommands(String word, String exampleFields, String... columns) {
        mWord = word;
        mPath = "/v1/" + word + "s";
        mExampleFields = exampleFields;
        mColumns = columns;
    }

    /** Returns these commands, followed by further ones for the same kind of entry. */
    List<Command> all(Command... further) {
        return Stream.concat(Stream.of(list(), show(), set(), delete()), Stream.of(further))
                .toList();
    }

    private Command list() {
        return new Command(
                mWord + " list",
                List.of(),
                List.of(),
                "lists all " + mWord + "s",
                "marigoldturn " + mWord + " list --json",
                call -> call.printRows(call.client().get(mPath), mColumns));
    }

    private Command show() {
        return new Command(
                mWord + " show",
                List.of("NAME"),
                List.of(),
                "shows one " + mWord,
                "marigoldturn " + mWord + " show a",
                call -> call.printDocument(call.client().get(entry(call))));
    }

    private Command set() {
        return new Command(
                mWord + " set",
                List.of("NAME", "FIELD=VALUE..."),
                List.of(),
                "creates a " + mWord + " or changes its fields",
                "marigoldturn " + mWord + " set a " + mExampleFields,
                this::runSet);
    }

    private Command delete() {
        return new Command(
                mWord + " delete",
                List.of("NAME"),
                List.of(),
                "deletes a " + mWord,
                "marigoldturn " + mWord + " delete a --yes",
                call -> {
                    call.confirm("Delete " + mWord + " " + call.argument(0) + "?");
                    return call.change(HttpMethod.DELETE, entry(call));
                });
    }

    private String entry(Invocation call) {
        return mPath + "/" + call.pathArgument(0);
    }

    /** Changes the entry only if the settings still have the version that was read with it. */
    private ExitCode runSet(Invocation call) {
        OperatorClient client = call.client();
        JsonNode state = client.get("/v1/settings");
        JsonNode existing = state.path("settings").path(mWord + "s").path(call.argument(0));
        ObjectNode entry = existing instanceof ObjectNode object ? object : JSON.createObjectNode();
        merge(entry, call.argumentsFrom(1));
        byte[] body = entry.toString().getBytes(StandardCharsets.UTF_8);
        return call.printChange(
                client.sendIfVersion(
                        HttpMethod.PUT, entry(call), body, state.path("version").asLong()));
    }

    /** Sets fields given as {@code name=value}; a dot separates the names of nested fields. */
    static void merge(ObjectNode target, List<String> assignments) {
        for (String assignment : assignments) {
            int equals = assignment.indexOf('=');
            if (equals < 1) {
                throw new CommandException(
                        ExitCode.USAGE, "expected FIELD=VALUE, not \"" + assignment + "\"");
            }
            String[] names = assignment.substring(0, equals).split("\\.", -1);
            ObjectNode node = target;
            for (int i = 0; i < names.length - 1; i++) {
                node =
                        node.get(names[i]) instanceof ObjectNode child
                                ? child
                                : node.putObject(names[i]);
            }
            node.set(names[names.length - 1], value(assignment.substring(equals + 1)));
        }
    }

    /** Parses a value as JSON (such as a number or boolean); anything else is a string. */
    private static JsonNode value(String text) {
        try {
            JsonNode parsed = JSON.readTree(text);
            return parsed.isMissingNode() ? JSON.getNodeFactory().textNode(text) : parsed;
        } catch (JsonProcessingException e) {
            return JSON.getNodeFactory().textNode(text);
        }
    }
}
