package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Formats the problem details that a daemon returns as readable lines. */
final class ProblemText {
    private ProblemText() {}

    /**
     * Returns one line for each error, or the detail if there is none, and one for each exceeded
     * budget.
     *
     * @param file name of the file that contains the errors, empty if there is no file
     */
    static String of(JsonNode problem, String file) {
        List<String> lines = new ArrayList<>();
        for (JsonNode error : problem.path("errors")) {
            int line = error.path("line").asInt();
            StringBuilder description = new StringBuilder(file);
            if (!file.isEmpty() && line > 0) {
                description.append(':').append(line);
            }
            for (String part : List.of(error.path("path").asText(), text(error))) {
                if (!part.isEmpty()) {
                    description.append(description.isEmpty() ? "" : ": ").append(part);
                }
            }
            lines.add(description.toString());
        }
        if (lines.isEmpty()) {
            lines.add(problem.path("detail").asText("the daemon gave no reason"));
        }
        for (JsonNode shortfall : problem.path("shortfalls")) {
            lines.add(
                    "  service %s: %d slots absent of %d allowed"
                            .formatted(
                                    shortfall.path("service").asText(),
                                    shortfall.path("absentSlots").asInt(),
                                    shortfall.path("allowedSlots").asInt()));
        }
        return String.join("\n", lines);
    }

    private static String text(JsonNode error) {
        return error.path("message").asText();
    }
}
