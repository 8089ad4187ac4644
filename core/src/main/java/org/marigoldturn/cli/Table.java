package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints JSON objects as a table with aligned columns. */
final class Table {
    private Table() {}

    /** Prints the given fields of each row, with a heading line. */
    static void print(PrintStream out, JsonNode rows, String... fields) {
        List<List<String>> lines = new ArrayList<>();
        List<String> heading = new ArrayList<>();
        for (String field : fields) {
            heading.add(field.toUpperCase(Locale.ROOT));
        }
        lines.add(heading);
        for (JsonNode row : rows) {
            List<String> line = new ArrayList<>();
            for (String field : fields) {
                JsonNode value = row.path(field);
                line.add(value.isValueNode() ? value.asText() : value.toString());
            }
            lines.add(line);
        }
        for (List<String> line : lines) {
            out.println(format(line, lines));
        }
    }

    private static String format(List<String> line, List<List<String>> lines) {
        StringBuilder text = new StringBuilder();
        for (int column = 0; column < line.size(); column++) {
            int index = column;
            int width = lines.stream().mapToInt(l -> l.get(index).length()).max().orElse(0);
            text.append(line.get(column)).append(" ".repeat(width - line.get(column).length()));
            text.append("  ");
        }
        return text.toString().stripTrailing();
    }
}
