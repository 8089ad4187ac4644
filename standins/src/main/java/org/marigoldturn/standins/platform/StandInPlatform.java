package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The users' platform in one process: metadata store, targets and the service for hosts.
 *
 * <p>The store can be silenced for all callers. Thread safe.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final long BEAT_MILLIS = 500;
    private static final long UPKEEP_MILLIS = 300;

    private final StandInStore mStore = new StandInStore();
    private final Map<String, StandInWorker> mWorkers = new ConcurrentHashMap<>();
    private final List<String> mUpkeeps = new ArrayList<>();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final StandInHttp mStoreHttp = new StandInHttp(this::handleStore);
    private final StandInHttp mHostsHttp = new StandInHttp(this::handleHosts);
    private final StandInAdvice mAdvice = new StandInAdvice();
    private volatile boolean mStoreSilent;
    private int mLives;

    /** Starts the services; no target runs yet. */
    public StandInPlatform() {
        mTimer.scheduleWithFixedDelay(
                () -> mStore.endLeasesBefore(nowMillis()), 50, 50, TimeUnit.MILLISECONDS);
        mTimer.scheduleWithFixedDelay(this::beat, 0, BEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the address of the store. */
    public String storeAddress() {
        return mStoreHttp.address();
    }

    /** Returns the address of the service for hosts. */
    public String hostsAddress() {
        return mHostsHttp.address();
    }

    /** Returns the service that gives tickets for steps. */
    public StandInAdvice advice() {
        return mAdvice;
    }

    /** Writes a text as the operator does. */
    public void put(String key, String text) {
        mStore.put(key, text);
    }

    /** Deletes a key as the operator does. */
    public void delete(String key) {
        mStore.delete(key);
    }

    /** Returns the text of a key; empty if there is none. */
    public String text(String key) {
        return mStore.text(key);
    }

    /** Drops the store's history, so that watches must read anew. */
    public void compact() {
        mStore.compact();
    }

    /** Leaves all calls to the store without an answer, or answers again. */
    public void silenceStore(boolean silent) {
        mStoreSilent = silent;
    }

    /** Starts a target whose tasks take the given time. */
    public synchronized String addTarget(String service, String hostId, long taskMillis) {
        String id = "i-" + (++mLives);
        StandInWorker worker = new StandInWorker(id, service, hostId, taskMillis);
        mWorkers.put(id, worker);
        mStore.put("servers/" + id, worker.entry("ready"));
        return id;
    }

    /** Ends a target at once; its entry stays for a while, as after a crash. */
    public void crashTarget(String id) {
        mWorkers.remove(id).close();
    }

    /** Lets a target carry out calls without answering them. */
    public void muteTarget(String id) {
        mWorkers.get(id).mute();
    }

    /** Returns the tasks that were started on one target. */
    public List<String> starts(String id) {
        return mWorkers.get(id).starts();
    }

    /** Returns all tasks that were started, over all targets alive. */
    public List<String> starts() {
        List<String> all = new ArrayList<>();
        mWorkers.values().forEach(worker -> all.addAll(worker.starts()));
        return all;
    }

    /** Returns the number of runs on all targets alive. */
    public int countRunning() {
        return mWorkers.values().stream().mapToInt(StandInWorker::countRunning).sum();
    }

    /** Returns the hosts whose upkeep has begun, in order. */
    public synchronized List<String> upkeeps() {
        return List.copyOf(mUpkeeps);
    }

    private void beat() {
        for (StandInWorker worker : mWorkers.values()) {
            mStore.put("servers/" + worker.id(), worker.entry("ready"));
        }
    }

    private StandInStore.Reply handleStore(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
            throws InterruptedException {
        while (mStoreSilent) {
            Thread.sleep(50);
        }
        String path = context.path();
        if (path.startsWith("/v1/kv-keep/")) {
            long id = Long.parseLong(path.substring("/v1/kv-keep/".length()));
            return StandInStore.Reply.of(mStore.keepLease(id, nowMillis()) ? 200 : 404);
        }
        if (path.startsWith("/v1/kv-lease-end/")) {
            long id = Long.parseLong(path.substring("/v1/kv-lease-end/".length()));
            return StandInStore.Reply.of(mStore.endLease(id) ? 200 : 404);
        }
        return switch (path) {
            case "/v1/kv-key" -> mStore.read(context.queryParam("Key"));
            case "/v1/kv-range" -> mStore.list(context.queryParam("Prefix"), after(context, ""));
            case "/v1/kv-watch" -> watch(context);
            case "/v1/kv-txn" -> mStore.commit(body);
            case "/v1/kv-lease" -> {
                long ttl = body.path("TtlMs").asLong();
                ObjectNode lease = StandInHttp.object().put("TtlMs", ttl);
                yield new StandInStore.Reply(
                        200, lease.put("Lease", mStore.grantLease(ttl, nowMillis())));
            }
            default -> StandInStore.Reply.of(404);
        };
    }

    private StandInStore.Reply watch(ServiceRequestContext context) throws InterruptedException {
        String prefix = context.queryParam("Prefix");
        long after = Long.parseLong(after(context, "0"));
        long until = nowMillis() + Long.parseLong(context.queryParam("WaitMs"));
        StandInStore.Reply reply = mStore.changes(prefix, after);
        while (reply.status() == 200 && reply.body().path("events").isEmpty()) {
            long left = until - nowMillis();
            if (left <= 0) {
                return reply;
            }
            mStore.await(reply.body().path("At").asLong(), left);
            reply = mStore.changes(prefix, after);
        }
        return reply;
    }

    private static String after(ServiceRequestContext context, String otherwise) {
        String after = context.queryParam("After");
        return after == null ? otherwise : after;
    }

    private StandInStore.Reply handleHosts(
            ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body) {
        return context.path().equals("/v1/machines") ? hosts() : upkeep(body);
    }

    private StandInStore.Reply hosts() {
        ObjectNode body = StandInHttp.object();
        var rows = body.putArray("Machines");
        for (StandInWorker worker : mWorkers.values()) {
            rows.addObject()
                    .put("Machine", worker.hostId())
                    .put("Pool", "service")
                    .put("State", "up")
                    .put("Id", worker.id());
        }
        return new StandInStore.Reply(200, body.putNull("NextToken"));
    }

    private synchronized StandInStore.Reply upkeep(JsonNode body) {
        String host = body.path("Machine").asText();
        if (mUpkeeps.contains(host)) {
            return StandInStore.Reply.of(200);
        }
        for (StandInWorker worker : mWorkers.values()) {
            if (worker.hostId().equals(host)) {
                mUpkeeps.add(host);
                mWorkers.remove(worker.id());
                mStore.delete("servers/" + worker.id());
                worker.close();
                mTimer.schedule(
                        () -> addTarget("service", host, 300),
                        UPKEEP_MILLIS,
                        TimeUnit.MILLISECONDS);
                return StandInStore.Reply.of(200);
            }
        }
        ObjectNode busy = StandInHttp.object().put("Reason", "busy");
        return new StandInStore.Reply(409, busy);
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mStoreSilent = false;
        mWorkers.values().forEach(StandInWorker::close);
        mStoreHttp.close();
        mHostsHttp.close();
        mAdvice.close();
    }
}
