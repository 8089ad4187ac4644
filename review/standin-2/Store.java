import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. Thread safe. */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private record Item(String key, String value, long rev, long created, long lease) {}

    private record Event(String key, long rev, Item item) {}

    private static final class Lease {
        private long mTtlMillis;
        private long mEndMillis;
    }

    private final Http mHttp;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRev = 1;
    private long mLastLease;

    Store(String ip) throws IOException {
        mHttp = new Http(ip, this::handle);
        Thread expiry =
                new Thread(
                        () -> {
                            while (true) {
                                expire();
                                Case.sleep(20);
                            }
                        });
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return mHttp.address();
    }

    /** Writes a value as the operator or a worker does. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0, ++mRev);
        notifyAll();
    }

    synchronized String text(String key) {
        Item item = mItems.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized int count(String prefix) {
        return (int) mItems.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private void write(String key, String value, long lease, long rev) {
        Item old = mItems.get(key);
        Item item = new Item(key, value, rev, old == null ? rev : old.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(key, rev, item));
    }

    private void remove(String key, long rev) {
        if (mItems.remove(key) != null) {
            mEvents.add(new Event(key, rev, null));
        }
    }

    private synchronized void expire() {
        long now = Case.millis();
        for (long id : List.copyOf(mLeases.keySet())) {
            if (mLeases.get(id).mEndMillis <= now) {
                endLease(id);
            }
        }
    }

    private void endLease(long id) {
        mLeases.remove(id);
        List<String> keys =
                mItems.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
        if (!keys.isEmpty()) {
            long rev = ++mRev;
            keys.forEach(key -> remove(key, rev));
            notifyAll();
        }
    }

    private synchronized Http.Response handle(Http.Request request) throws InterruptedException {
        String path = request.path();
        if (path.equals("/v1/kv-key")) {
            Item item = mItems.get(request.query().get("Key"));
            return item == null
                    ? new Http.Response(404, Json.of("At", mRev))
                    : new Http.Response(200, row(item, true));
        }
        if (path.equals("/v1/kv-range")) {
            return range(request.query().get("Prefix"), request.query().getOrDefault("After", ""));
        }
        if (path.equals("/v1/kv-watch")) {
            return watch(request.query().get("Prefix"), request.number("After"), request.number("WaitMs"));
        }
        if (path.equals("/v1/kv-txn")) {
            return commit(request.body());
        }
        if (path.equals("/v1/kv-lease")) {
            Lease lease = new Lease();
            lease.mTtlMillis = Json.number(request.body(), "TtlMs");
            lease.mEndMillis = Case.millis() + lease.mTtlMillis;
            mLeases.put(++mLastLease, lease);
            return new Http.Response(200, Json.of("Lease", mLastLease, "TtlMs", lease.mTtlMillis));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return new Http.Response(404, Json.of());
        }
        if (path.startsWith("/v1/kv-keep/")) {
            lease.mEndMillis = Case.millis() + lease.mTtlMillis;
        } else {
            endLease(id);
        }
        return new Http.Response(200, Json.of("TtlMs", lease.mTtlMillis));
    }

    private Map<String, Object> row(Item item, boolean at) {
        Map<String, Object> row =
                Json.of(
                        "Key", item.key(),
                        "Value", item.value(),
                        "Rev", item.rev(),
                        "Created", item.created(),
                        "Lease", item.lease());
        if (at) {
            row.put("At", mRev);
        }
        return row;
    }

    private Http.Response range(String prefix, String after) {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long bytes = 0;
        for (Item item : mItems.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) <= 0 && !after.isEmpty()) {
                continue;
            }
            if (items.size() >= PAGE_ITEMS || bytes > 1_000_000) {
                more = true;
                break;
            }
            items.add(row(item, false));
            bytes += item.value().length();
        }
        return new Http.Response(200, Json.of("items", items, "HasMore", more, "At", mRev));
    }

    private Http.Response watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = Case.millis() + waitMillis;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = mEvents.size() - 1; i >= 0 && mEvents.get(i).rev() > after; i--) {
                Event event = mEvents.get(i);
                if (event.key().startsWith(prefix)) {
                    events.add(
                            0,
                            event.item() == null
                                    ? Json.of("Key", event.key(), "Rev", event.rev(), "Deleted", true)
                                    : row(event.item(), false));
                }
            }
            long left = end - Case.millis();
            if (!events.isEmpty() || left <= 0) {
                return new Http.Response(200, Json.of("events", events, "At", mRev));
            }
            wait(left);
        }
    }

    private Http.Response commit(Map<String, Object> body) {
        List<Object> expected = Json.list(body.get("ExpectedRev"));
        List<Object> writes = Json.list(body.get("Writes"));
        List<Object> removed = Json.list(body.get("Remove"));
        if (expected.size() + writes.size() + removed.size() > 32) {
            return new Http.Response(400, Json.of());
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object row : expected) {
            String key = Json.text(Json.asObject(row), "Key");
            Item item = mItems.get(key);
            holds &= Json.number(Json.asObject(row), "Rev") == (item == null ? 0 : item.rev());
            if (item != null) {
                current.add(row(item, false));
            }
        }
        if (!holds) {
            return new Http.Response(412, Json.of("items", current));
        }
        for (Object row : writes) {
            Map<String, Object> write = Json.asObject(row);
            long lease = Json.number(write, "Lease");
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new Http.Response(404, Json.of());
            }
            String key = Json.text(write, "Key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return new Http.Response(403, Json.of());
            }
            if (Base64.getDecoder().decode(Json.text(write, "Value")).length > 1_048_576) {
                return new Http.Response(400, Json.of());
            }
        }
        long rev = ++mRev;
        for (Object row : writes) {
            Map<String, Object> write = Json.asObject(row);
            write(Json.text(write, "Key"), Json.text(write, "Value"), Json.number(write, "Lease"), rev);
        }
        removed.forEach(key -> remove((String) key, rev));
        notifyAll();
        return new Http.Response(200, Json.of("Rev", rev));
    }
}
