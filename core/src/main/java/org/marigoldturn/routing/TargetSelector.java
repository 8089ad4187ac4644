package org.marigoldturn.routing;

import java.util.Optional;
import java.util.Set;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.settings.HostSettings;

/** Selects the host of an attempt. Thread safe. */
public interface TargetSelector {
    /**
     * What is asked of the host.
     *
     * @param excludedHosts hosts of earlier attempts
     * @param idempotent whether the request may serve as a trial of an ejected host
     * @param connectionShare if above 0, each request needs its own connection, and this daemon may
     *     open the host's connections divided by this number, at least one
     */
    record Query(
            ResourceNeeds needs,
            Set<String> excludedHosts,
            boolean idempotent,
            int connectionShare) {}

    /**
     * The selected host; its slot right is taken.
     *
     * @param trial whether the request is the trial of an ejected host
     * @param reason why this host was selected, for the log
     */
    record Selection(HostSettings host, boolean trial, String reason) {}

    /** Selects a host and takes a slot right on it, or returns empty if no host is free. */
    Optional<Selection> select(PoolHosts pool, Query query, long nowMillis, long nowNanos);

    /** Returns whether some host would be eligible if its slots were free. */
    boolean hasEligible(PoolHosts pool, Query query, long nowNanos);
}
