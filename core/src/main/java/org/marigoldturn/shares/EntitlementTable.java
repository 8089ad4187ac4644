package org.marigoldturn.shares;

import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.marigoldturn.peer.wire.Entitlement;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.rights.ResourceNames;

/**
 * Stores the entitlements of this daemon by pool, as received from the coordinators.
 *
 * <p>Only the control thread writes; any thread may read. The entitlements of a pool are replaced
 * as a whole.
 */
public final class EntitlementTable implements EntitlementSource {
    /**
     * Three times the interval at which coordinators repeat entitlements, so that two may be lost.
     */
    public static final long VALIDITY_MILLIS = 30_000;

    private record PoolEntitlements(Map<String, Integer> running, long receivedAtMillis) {}

    private final Map<String, PoolEntitlements> mPools = new ConcurrentHashMap<>();

    @Override
    public OptionalInt entitlement(String pool, String team) {
        PoolEntitlements entitlements = mPools.get(ResourceNames.pool(pool));
        Integer running = entitlements == null ? null : entitlements.running().get(team);
        return running == null ? OptionalInt.empty() : OptionalInt.of(running);
    }

    /** Replaces the entitlements of a pool. An empty list means that the pool is not full. */
    public void onEntitlements(Entitlements entitlements, long nowMillis) {
        Map<String, Integer> running = new TreeMap<>();
        for (Entitlement entitlement : entitlements.getEntitlementsList()) {
            running.put(entitlement.getTeam(), entitlement.getRunning());
        }
        mPools.put(entitlements.getResource(), new PoolEntitlements(running, nowMillis));
    }

    /** Drops entitlements that no coordinator has repeated; to be called every few seconds. */
    public void expire(long nowMillis) {
        mPools.values().removeIf(e -> nowMillis - e.receivedAtMillis() > VALIDITY_MILLIS);
    }
}
