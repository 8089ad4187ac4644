package org.marigoldturn.shares;

import java.util.OptionalInt;

/** Provides the current entitlements of this daemon. Thread safe. */
@FunctionalInterface
public interface EntitlementSource {
    /**
     * Returns how many requests of the team this daemon should run in the pool while the pool is
     * full, or empty if no entitlement is known.
     */
    OptionalInt entitlement(String pool, String team);
}
