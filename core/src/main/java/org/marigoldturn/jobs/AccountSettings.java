package org.marigoldturn.jobs;

import java.util.Set;

/**
 * Rules of one client account. Immutable.
 *
 * @param name name of the account
 * @param keys keys that its calls may carry; never logged
 * @param weight its share when all is full
 * @param limit what it may have running; a part of 0 is no limit
 */
public record AccountSettings(String name, Set<String> keys, double weight, Room limit) {
    public AccountSettings {
        keys = Set.copyOf(keys);
    }

    /** Returns whether the account may have {@code running} running. */
    public boolean allows(Room running) {
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
