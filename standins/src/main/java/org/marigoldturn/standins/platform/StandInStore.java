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

/** Content of the metadata store: items, leases and the history of changes. Thread safe. */
final class StandInStore {
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<ObjectNode> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mLastLease;
    private long mOldestKnownRevision = 100;

    /** One item. */
    private record Item(String value, long rev, long created, long lease) {}

    /** One lease; its end is a monotonic time. */
    private record Lease(long ttlMillis, long endMillis) {}

    /** An answer of the store. */
    record Reply(int status, ObjectNode body) {
        static Reply of(int status) {
            return new Reply(status, StandInHttp.object());
        }
    }

    synchronized Reply read(String key) {
        Item item = mItems.get(key);
        if (item == null) {
            return Reply.of(404);
        }
        return new Reply(200, row(key, item).put("At", mRevision));
    }

    synchronized Reply list(String prefix, String after) {
        ObjectNode body = StandInHttp.object().put("At", mRevision).put("HasMore", false);
        ArrayNode items = body.putArray("items");
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix).entrySet()) {
            boolean wanted =
                    entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0;
            if (wanted && items.size() == 500) {
                body.put("HasMore", true);
            } else if (wanted) {
                items.add(row(entry.getKey(), entry.getValue()));
            }
        }
        return new Reply(200, body);
    }

    /** Returns the changes since a revision, or an empty list of events if there are none. */
    synchronized Reply changes(String prefix, long after) {
        if (after < mOldestKnownRevision) {
            return Reply.of(410);
        }
        ObjectNode body = StandInHttp.object().put("At", mRevision);
        ArrayNode events = body.putArray("events");
        for (ObjectNode change : mHistory) {
            if (change.path("Rev").asLong() > after
                    && change.path("Key").asText().startsWith(prefix)) {
                events.add(change.deepCopy());
            }
        }
        return new Reply(200, body);
    }

    /** Forgets the history. */
    synchronized void compact() {
        mHistory.clear();
        mOldestKnownRevision = mRevision;
    }

    synchronized Reply commit(JsonNode body) {
        ArrayNode current = StandInHttp.JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode row : body.path("ExpectedRev")) {
            String key = row.path("Key").asText();
            Item item = mItems.get(key);
            holds &= row.path("Rev").asLong() == (item == null ? 0 : item.rev());
            if (item != null) {
                current.add(row(key, item));
            }
        }
        int entries =
                body.path("ExpectedRev").size()
                        + body.path("Writes").size()
                        + body.path("Remove").size();
        if (entries > 32) {
            return Reply.of(400);
        }
        if (!holds) {
            ObjectNode reply = StandInHttp.object();
            reply.set("items", current);
            return new Reply(412, reply);
        }
        for (JsonNode write : body.path("Writes")) {
            long lease = write.path("Lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return Reply.of(404);
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
        return new Reply(200, StandInHttp.object().put("Rev", mRevision));
    }

    /** Writes a text as the operator or a target would. */
    synchronized void put(String key, String text) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
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

    /** Waits until a change after the revision may be there, or the time is over. */
    synchronized void await(long after, long waitMillis) throws InterruptedException {
        if (mRevision <= after) {
            wait(Math.max(1, waitMillis));
        }
    }

    synchronized long grantLease(long ttlMillis, long nowMillis) {
        mLeases.put(++mLastLease, new Lease(ttlMillis, nowMillis + ttlMillis));
        return mLastLease;
    }

    synchronized boolean keepLease(long id, long nowMillis) {
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

    synchronized void endLeasesBefore(long nowMillis) {
        for (Map.Entry<Long, Lease> lease : Map.copyOf(mLeases).entrySet()) {
            if (lease.getValue().endMillis() <= nowMillis) {
                endLease(lease.getKey());
            }
        }
    }

    private void put(String key, String value, long lease) {
        Item old = mItems.get(key);
        Item item = new Item(value, mRevision, old == null ? mRevision : old.created(), lease);
        mItems.put(key, item);
        mHistory.add(row(key, item));
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

    private static ObjectNode row(String key, Item item) {
        return StandInHttp.object()
                .put("Key", key)
                .put("Value", item.value())
                .put("Rev", item.rev())
                .put("Created", item.created())
                .put("Lease", item.lease());
    }
}
