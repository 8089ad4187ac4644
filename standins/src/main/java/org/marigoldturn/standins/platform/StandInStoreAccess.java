package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Serves the calls of the store's clients.
 *
 * <p>Gives each client an address of its own, so that the store can be made to leave the calls of
 * single clients without a response. It can also leave all calls without a response, or lose
 * certain writes. Thread safe.
 */
final class StandInStoreAccess {
    private final StandInStore mStore;
    private final Map<String, StandInHttp> mServers = new ConcurrentHashMap<>();
    private final Set<String> mUnavailableTo = ConcurrentHashMap.newKeySet();
    private final Set<String> mLostPrefixes = ConcurrentHashMap.newKeySet();
    private final Set<String> mLostWrites = ConcurrentHashMap.newKeySet();
    private volatile boolean mUnavailable;

    StandInStoreAccess(StandInStore store) {
        mStore = store;
    }

    String address(String client) {
        return mServers.computeIfAbsent(
                        client,
                        name ->
                                new StandInHttp(
                                        (context, request, body) -> handle(name, context, body)))
                .address();
    }

    /**
     * Sets whether calls of a client are left without a response; calls that it still waits for are
     * carried out when the store responds to it again.
     */
    void setUnavailable(String client, boolean unavailable) {
        if (unavailable) {
            mUnavailableTo.add(client);
        } else {
            mUnavailableTo.remove(client);
        }
    }

    /**
     * Sets whether all calls are left without a response; calls that wait are carried out when the
     * store responds again.
     */
    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /**
     * Leaves each transaction that writes a key with this prefix without an effect and without a
     * response.
     */
    void loseWrites(String keyPrefix) {
        mLostPrefixes.add(keyPrefix);
    }

    /** Carries out all further transactions; the lost ones stay without an effect. */
    void stopLosingWrites() {
        mLostPrefixes.clear();
    }

    /** Returns the keys of all writes that were lost. */
    Set<String> lostWrites() {
        return Set.copyOf(mLostWrites);
    }

    /** Returns the time of the store's clock, by which leases expire. */
    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private StandInStore.Response handle(
            String client, ServiceRequestContext context, JsonNode body)
            throws InterruptedException {
        while (mUnavailableTo.contains(client)) {
            if (context.isCancelled()) {
                return StandInStore.Response.of(503);
            }
            Thread.sleep(50);
        }
        while (mUnavailable) {
            Thread.sleep(50);
        }
        String path = context.path();
        if (path.startsWith("/v1/kv-keep/")) {
            long id = Long.parseLong(path.substring("/v1/kv-keep/".length()));
            return StandInStore.Response.of(mStore.renewLease(id, nowMillis()) ? 200 : 404);
        }
        if (path.startsWith("/v1/kv-lease-end/")) {
            long id = Long.parseLong(path.substring("/v1/kv-lease-end/".length()));
            return StandInStore.Response.of(mStore.endLease(id) ? 200 : 404);
        }
        return switch (path) {
            case "/v1/kv-key" -> mStore.read(context.queryParam("Key"));
            case "/v1/kv-range" -> mStore.list(context.queryParam("Prefix"), after(context, ""));
            case "/v1/kv-watch" -> watch(context);
            case "/v1/kv-txn" -> commit(body);
            case "/v1/kv-lease" -> {
                long ttl = body.path("TtlMs").asLong();
                ObjectNode lease = StandInHttp.object().put("TtlMs", ttl);
                yield new StandInStore.Response(
                        200, lease.put("Lease", mStore.grantLease(ttl, nowMillis())));
            }
            default -> StandInStore.Response.of(404);
        };
    }

    private StandInStore.Response commit(JsonNode body) throws InterruptedException {
        List<String> keys = new ArrayList<>();
        body.path("Writes").forEach(write -> keys.add(write.path("Key").asText()));
        if (keys.stream().noneMatch(key -> mLostPrefixes.stream().anyMatch(key::startsWith))) {
            return mStore.commit(body);
        }
        mLostWrites.addAll(keys);
        while (!mLostPrefixes.isEmpty()) {
            Thread.sleep(50);
        }
        return StandInStore.Response.of(503);
    }

    private StandInStore.Response watch(ServiceRequestContext context) throws InterruptedException {
        String prefix = context.queryParam("Prefix");
        long after = Long.parseLong(after(context, "0"));
        long untilMillis = nowMillis() + Long.parseLong(context.queryParam("WaitMs"));
        StandInStore.Response response = mStore.changes(prefix, after);
        while (response.status() == 200 && response.body().path("events").isEmpty()) {
            long remainingMillis = untilMillis - nowMillis();
            if (remainingMillis <= 0) {
                return response;
            }
            mStore.await(response.body().path("At").asLong(), remainingMillis);
            response = mStore.changes(prefix, after);
        }
        return response;
    }

    private static String after(ServiceRequestContext context, String defaultValue) {
        String after = context.queryParam("After");
        return after == null ? defaultValue : after;
    }

    /** Stops all servers; the future completes once they have stopped. */
    CompletableFuture<Void> stop() {
        mUnavailableTo.clear();
        mUnavailable = false;
        mLostPrefixes.clear();
        return CompletableFuture.allOf(
                mServers.values().stream()
                        .map(StandInHttp::stop)
                        .toArray(CompletableFuture[]::new));
    }
}
