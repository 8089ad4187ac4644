package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private final TreeMap<String, Map<String, Object>> mItems = new TreeMap<>();
    private final List<Map<String, Object>> mHistory = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 1;
    private long mLastLease;
    private boolean mDown;
    private final Http mHttp;

    Store() throws Exception {
        mHttp = new Http(this::handle);
    }

    String address() {
        return mHttp.address();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** While the store is down it answers nothing and carries nothing out; leases expire. */
    synchronized void setDown(boolean down) {
        mDown = down;
        notifyAll();
    }

    synchronized void expireLeases() {
        for (Map.Entry<Long, long[]> lease : Map.copyOf(mLeases).entrySet()) {
            if (lease.getValue()[1] <= now()) {
                endLease(lease.getKey());
            }
        }
    }

    synchronized void put(String key, String text) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        mRevision++;
        drop(key);
        notifyAll();
    }

    synchronized String text(String key) {
        Map<String, Object> item = mItems.get(key);
        return item == null
                ? ""
                : new String(
                        Base64.getDecoder().decode((String) item.get("Value")),
                        StandardCharsets.UTF_8);
    }

    private void put(String key, String value, long lease) {
        Map<String, Object> old = mItems.get(key);
        Map<String, Object> item =
                Json.of(
                        "Key",
                        key,
                        "Value",
                        value,
                        "Rev",
                        mRevision,
                        "Created",
                        old == null ? mRevision : old.get("Created"),
                        "Lease",
                        lease);
        mItems.put(key, item);
        mHistory.add(item);
    }

    private void drop(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(Json.of("Key", key, "Rev", mRevision, "Deleted", true));
        }
    }

    private boolean endLease(long id) {
        if (mLeases.remove(id) == null) {
            return false;
        }
        mRevision++;
        List<String> keys = new ArrayList<>();
        mItems.forEach(
                (key, item) -> {
                    if ((Long) item.get("Lease") == id) {
                        keys.add(key);
                    }
                });
        keys.forEach(this::drop);
        notifyAll();
        return true;
    }

    private synchronized Http.Response handle(Http.Call call) throws InterruptedException {
        if (mDown) {
            while (mDown) {
                wait(1_000);
            }
            return Http.Response.none();
        }
        Http.Response response = respond(call);
        return mDown ? Http.Response.none() : response;
    }

    private Http.Response respond(Http.Call call) throws InterruptedException {
        String path = call.path();
        Map<String, String> query = call.query();
        if (path.equals("/v1/kv-key")) {
            Map<String, Object> item = mItems.get(query.get("Key"));
            if (item == null) {
                return new Http.Response(404, Json.of("At", mRevision));
            }
            Map<String, Object> body = new LinkedHashMap<>(item);
            body.put("At", mRevision);
            return new Http.Response(200, body);
        }
        if (path.equals("/v1/kv-range")) {
            List<Object> items = new ArrayList<>();
            boolean more = false;
            String after = query.getOrDefault("After", "");
            for (Map.Entry<String, Map<String, Object>> entry : mItems.entrySet()) {
                String key = entry.getKey();
                if (key.startsWith(query.get("Prefix")) && key.compareTo(after) > 0) {
                    if (items.size() == 500) {
                        more = true;
                        break;
                    }
                    items.add(entry.getValue());
                }
            }
            return new Http.Response(
                    200, Json.of("items", items, "HasMore", more, "At", mRevision));
        }
        if (path.equals("/v1/kv-watch")) {
            return watch(
                    query.get("Prefix"),
                    Long.parseLong(query.get("After")),
                    now() + Long.parseLong(query.getOrDefault("WaitMs", "0")));
        }
        if (path.equals("/v1/kv-txn")) {
            return commit(call.body());
        }
        if (path.equals("/v1/kv-lease")) {
            long ttl = Math.max(1_000, Json.number(call.body(), "TtlMs"));
            mLeases.put(++mLastLease, new long[] {ttl, now() + ttl});
            return new Http.Response(200, Json.of("Lease", mLastLease, "TtlMs", ttl));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/v1/kv-keep/")) {
            long[] lease = mLeases.get(id);
            if (lease == null || lease[1] <= now()) {
                return new Http.Response(404, Json.of());
            }
            lease[1] = now() + lease[0];
            return new Http.Response(200, Json.of("TtlMs", lease[0]));
        }
        return new Http.Response(endLease(id) ? 200 : 404, Json.of());
    }

    private Http.Response watch(String prefix, long after, long until)
            throws InterruptedException {
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = mHistory.size() - 1; i >= 0; i--) {
                Map<String, Object> event = mHistory.get(i);
                if ((Long) event.get("Rev") <= after) {
                    break;
                }
                if (((String) event.get("Key")).startsWith(prefix)) {
                    events.add(0, event);
                }
            }
            long left = until - now();
            if (!events.isEmpty() || left <= 0 || mDown) {
                return new Http.Response(200, Json.of("events", events, "At", mRevision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Response commit(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean matches = true;
        for (Object row : Json.list(body, "ExpectedRev")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Map<String, Object> item = mItems.get(Json.text(expected, "Key"));
            matches &= Json.number(expected, "Rev") == (item == null ? 0 : (Long) item.get("Rev"));
            if (item != null) {
                current.add(item);
            }
        }
        if (!matches) {
            return new Http.Response(412, Json.of("items", current));
        }
        for (Object row : Json.list(body, "Writes")) {
            long lease = Json.number((Map<String, Object>) row, "Lease");
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new Http.Response(404, Json.of());
            }
        }
        mRevision++;
        for (Object row : Json.list(body, "Writes")) {
            Map<String, Object> write = (Map<String, Object>) row;
            put(Json.text(write, "Key"), Json.text(write, "Value"), Json.number(write, "Lease"));
        }
        Json.list(body, "Remove").forEach(key -> drop((String) key));
        notifyAll();
        return new Http.Response(200, Json.of("Rev", mRevision));
    }
}
