package org.marigoldturn.jobs;

import java.util.Set;

/**
 * Settings of one client account. Immutable.
 *
 * @param name name of the account
 * @param keys API keys that authenticate its calls; never logged
 * @param weight relative share of the capacity when demand exceeds it, and the number of jobs a
 *     second that the account is entitled to; 0 if not configured
 * @param limit limit on the resources that its running tasks request; 0 means no limit on a
 *     resource
 */
public record AccountSettings(String name, Set<String> keys, double weight, ResourceAmounts limit) {
    public AccountSettings {
        keys = Set.copyOf(keys);
    }

    /** Returns whether tasks that request {@code running} in total are within the limit. */
    public boolean allows(ResourceAmounts running) {
        return within(running.cpuMillicores(), limit.cpuMillicores())
                && within(running.memoryMegabytes(), limit.memoryMegabytes())
                && within(running.accelerators(), limit.accelerators());
    }

    private static boolean within(long running, long limit) {
        return limit == 0 || running <= limit;
    }

    /** Omits the keys, which must not appear in logs. */
    @Override
    public String toString() {
        return "AccountSettings[name=" + name + ", weight=" + weight + ", limit=" + limit + "]";
    }
}
