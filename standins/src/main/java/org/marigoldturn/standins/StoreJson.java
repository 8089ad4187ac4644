package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Converts keys and entries from and to the JSON form of etcd. Stateless. */
final class StoreJson {
    private StoreJson() {}

    /** Returns whether a branch of a transaction puts or deletes keys. */
    static boolean writes(JsonNode branch) {
        for (JsonNode operation : branch) {
            if (operation.has("request_put") || operation.has("request_delete_range")) {
                return true;
            }
        }
        return false;
    }

    static void write(ObjectNode node, String key, StoreState.Entry entry) {
        node.put("key", Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8)));
        node.put("value", Base64.getEncoder().encodeToString(entry.value()));
        node.put("create_revision", Long.toString(entry.createRevision()));
        node.put("mod_revision", Long.toString(entry.modRevision()));
    }

    static String key(JsonNode node) {
        return new String(Base64.getDecoder().decode(node.asText()), StandardCharsets.UTF_8);
    }
}
