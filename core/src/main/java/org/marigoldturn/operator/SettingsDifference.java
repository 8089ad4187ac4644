package org.marigoldturn.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import org.marigoldturn.settings.FleetSettings;

/**
 * One difference between two versions of the settings.
 *
 * @param path path of the field or entry
 * @param before value as JSON, empty if the entry is new
 * @param after value as JSON, empty if the entry is removed
 */
public record SettingsDifference(String path, String before, String after) {
    /** Returns all differences, sorted by path. */
    static List<SettingsDifference> between(FleetSettings before, FleetSettings after) {
        List<SettingsDifference> differences = new ArrayList<>();
        collect(
                "",
                Responses.JSON.valueToTree(before),
                Responses.JSON.valueToTree(after),
                differences);
        return differences;
    }

    private static void collect(
            String path, JsonNode before, JsonNode after, List<SettingsDifference> differences) {
        if (before != null && before.equals(after)) {
            return;
        }
        if (before == null || after == null || !before.isObject() || !after.isObject()) {
            differences.add(new SettingsDifference(path, text(before), text(after)));
            return;
        }
        TreeSet<String> fields = new TreeSet<>();
        for (JsonNode node : List.of(before, after)) {
            for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
                fields.add(names.next());
            }
        }
        for (String field : fields) {
            String child = path.isEmpty() ? field : path + "/" + field;
            collect(child, before.get(field), after.get(field), differences);
        }
    }

    private static String text(JsonNode node) {
        return node == null ? "" : node.toString();
    }
}
