package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Content of the stand-in for the platform's metadata store: items, leases and the history of
 * changes. Thread safe.
 */
final class StandInStore {
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<ObjectNode> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mLastLease;
    private long mOldestKnownRevision = 100;

    /** One stored value, the revisions of its last change and its creation, and its lease or 0. */
    private record Item(String value, long rev, long created, long lease) {}

    /** One lease; it expires at a time of the monotonic clock. */
    private record Lease(long ttlMillis, long expiresAtMillis) {}

    /** HTTP response of any stand-in of this package. */
    record Response(int status, ObjectNode body) {
        static Response of(int status) {
            return new Response(status, StandInHttp.object());
        }
    }

    synchronized Response read(String key) {
        Item item = mItems.get(key);
        if (item == null) {
            return Response.of(404);
        }
        return new Response(200, toJson(key, item).put("At", mRevision));
    }

    synchronized Response list(String prefix, String after) {
        ObjectNode body = StandInHttp.object().put("At", mRevision).put("HasMore", false);
        ArrayNode items = body.putArray("items");
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix).entrySet()) {
            boolean inRange =
                    entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0;
            if (inRange && items.size() == 500) {
                body.put("HasMore", true);
            } else if (inRange) {
                items.add(toJson(entry.getKey(), entry.getValue()));
            }
        }
        return new Response(200, body);
    }

    /**
     * Returns the changes after a revision, possibly none; status 410 if older history was dropped.
     */
    synchronized Response changes(String prefix, long after) {
        if (after < mOldestKnownRevision) {
            return Response.of(410);
        }
        ObjectNode body = StandInHttp.object().put("At", mRevision);
        ArrayNode events = body.putArray("events");
        for (ObjectNode change : mHistory) {
            if (change.path("Rev").asLong() > after
                    && change.path("Key").asText().startsWith(prefix)) {
                events.add(change.deepCopy());
            }
        }
        return new Response(200, body);
    }

    /** Drops the history of changes. */
    synchronized void compact() {
        mHistory.clear();
        mOldestKnownRevision = mRevision;
    }

    synchronized Response commit(JsonNode body) {
        ArrayNode current = StandInHttp.JSON.createArrayNode();
        boolean matches = true;
        for (JsonNode expected : body.path("ExpectedRev")) {
            String key = expected.path("Key").asText();
            Item item = mItems.get(key);
            matches &= expected.path("Rev").asLong() == (item == null ? 0 : item.rev());
            if (item != null) {
                current.add(toJson(key, item));
            }
        }
        int entries =
                body.path("ExpectedRev").size()
                        + body.path("Writes").size()
                        + body.path("Remove").size();
        if (entries > 32) {
            return Response.of(400);
        }
        if (!matches) {
            ObjectNode response = StandInHttp.object();
            response.set("items", current);
            return new Response(412, response);
        }
        for (JsonNode write : body.path("Writes")) {
            long lease = write.path("Lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return Response.of(404);
            }
        }
        mRevision++;
        for (JsonNode write : body.path("Writes")) {
            put(
                    write.path("Key").asText(),
                    write.path("Value").asText(),
                    write.path("Lease").asLong());
        }
        body.path("Remove").forEach(key -> remove(key.asText()));
        notifyAll();
        return new Response(200, StandInHttp.object().put("Rev", mRevision));
    }

    /** Writes a text as the operator or a target would. */
    synchronized void put(String key, String text) {
        put(key, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes bytes as any writer would. */
    synchronized void put(String key, byte[] value) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(value), 0);
        notifyAll();
    }

    /** Deletes a key as the operator would. */
    synchronized void delete(String key) {
        mRevision++;
        remove(key);
        notifyAll();
    }

    /** Returns the text of a key, or an empty one. */
    synchronized String text(String key) {
        Item item = mItems.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    /** Waits until there may be a change after the revision, at most for the given time. */
    synchronized void await(long after, long waitMillis) throws InterruptedException {
        if (mRevision <= after) {
            wait(Math.max(1, waitMillis));
        }
    }

    synchronized long grantLease(long ttlMillis, long nowMillis) {
        mLeases.put(++mLastLease, new Lease(ttlMillis, nowMillis + ttlMillis));
        return mLastLease;
    }

    synchronized boolean renewLease(long id, long nowMillis) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return false;
        }
        mLeases.put(id, new Lease(lease.ttlMillis(), nowMillis + lease.ttlMillis()));
        return true;
    }

    synchronized boolean endLease(long id) {
        if (mLeases.remove(id) == null) {
            return false;
        }
        mRevision++;
        Set<String> keys = new HashSet<>();
        mItems.forEach(
                (key, item) -> {
                    if (item.lease() == id) {
                        keys.add(key);
                    }
                });
        keys.forEach(this::remove);
        notifyAll();
        return true;
    }

    synchronized void expireLeases(long nowMillis) {
        for (Map.Entry<Long, Lease> lease : Map.copyOf(mLeases).entrySet()) {
            if (lease.getValue().expiresAtMillis() <= nowMillis) {
                endLease(lease.getKey());
            }
        }
    }

    private void put(String key, String value, long lease) {
        Item old = mItems.get(key);
        Item item = new Item(value, mRevision, old == null ? mRevision : old.created(), lease);
        mItems.put(key, item);
        mHistory.add(toJson(key, item));
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(
                    StandInHttp.object()
                            .put("Key", key)
                            .put("Rev", mRevision)
                            .put("Deleted", true));
        }
    }

    private static ObjectNode toJson(String key, Item item) {
        return StandInHttp.object()
                .put("Key", key)
                .put("Value", item.value())
                .put("Rev", item.rev())
                .put("Created", item.created())
                .put("Lease", item.lease());
    }
}
