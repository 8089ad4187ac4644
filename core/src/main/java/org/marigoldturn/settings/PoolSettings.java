package org.marigoldturn.settings;

/**
 * Settings of a pool of hosts.
 *
 * @param spare whether other pools may borrow its hosts
 */
public record PoolSettings(String name, boolean spare) {
    public PoolSettings {
        Names.require("pool", name);
    }
}
