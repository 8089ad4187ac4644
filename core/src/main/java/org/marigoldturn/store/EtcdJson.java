package org.marigoldturn.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Converts transactions to etcd's v3 JSON mapping, and results and values from it. */
final class EtcdJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EtcdJson() {}

    static ObjectNode encode(Transaction transaction) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode compares = body.putArray("compare");
        for (Compare compare : transaction.compares()) {
            compares.add(encode(compare));
        }
        encode(body.putArray("success"), transaction.onSuccess());
        encode(body.putArray("failure"), transaction.onFailure());
        return body;
    }

    static TransactionResult decodeResult(JsonNode body) {
        List<List<StoredValue>> reads = new ArrayList<>();
        for (JsonNode response : body.path("responses")) {
            JsonNode range = response.path("response_range");
            if (range.isMissingNode()) {
                continue;
            }
            List<StoredValue> values = new ArrayList<>();
            for (JsonNode kv : range.path("kvs")) {
                values.add(decodeValue(kv));
            }
            reads.add(List.copyOf(values));
        }
        long revision = body.path("header").path("revision").asLong();
        return new TransactionResult(body.path("succeeded").asBoolean(false), revision, reads);
    }

    static StoredValue decodeValue(JsonNode kv) {
        byte[] key = Base64.getDecoder().decode(kv.path("key").asText());
        byte[] value = Base64.getDecoder().decode(kv.path("value").asText());
        return new StoredValue(
                new String(key, StandardCharsets.UTF_8),
                ByteString.copyFrom(value),
                kv.path("create_revision").asLong(),
                kv.path("mod_revision").asLong());
    }

    static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static ObjectNode encode(Compare compare) {
        ObjectNode node = JSON.createObjectNode();
        node.put("key", base64(compare.key()));
        node.put("target", "MOD");
        node.put("result", "EQUAL");
        node.put("mod_revision", Long.toString(compare.modRevision()));
        return node;
    }

    private static void encode(ArrayNode array, List<Operation> operations) {
        for (Operation operation : operations) {
            array.add(encode(operation));
        }
    }

    private static ObjectNode encode(Operation operation) {
        ObjectNode node = JSON.createObjectNode();
        if (operation instanceof Operation.Read read) {
            node.putObject("request_range").put("key", base64(read.key()));
        } else if (operation instanceof Operation.ReadPrefix read) {
            node.putObject("request_range")
                    .put("key", base64(read.prefix()))
                    .put("range_end", rangeEnd(read.prefix()));
        } else if (operation instanceof Operation.Put put) {
            ObjectNode body = node.putObject("request_put");
            body.put("key", base64(put.key()));
            body.put("value", Base64.getEncoder().encodeToString(put.value().toByteArray()));
            if (put.leaseId() != Operation.NO_LEASE) {
                body.put("lease", Long.toString(put.leaseId()));
            }
        } else if (operation instanceof Operation.Delete delete) {
            node.putObject("request_delete_range").put("key", base64(delete.key()));
        }
        return node;
    }

    /** Returns the smallest key after all keys with the prefix, as etcd's range_end expects it. */
    private static String rangeEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        end[end.length - 1]++;
        return Base64.getEncoder().encodeToString(end);
    }
}
