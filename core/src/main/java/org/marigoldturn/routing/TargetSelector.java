package org.marigoldturn.routing;

import java.util.Optional;
import java.util.Set;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.settings.HostSettings;

/** Selects the host of an attempt. Thread safe. */
public interface TargetSelector {
    /**
     * Requirements of the request on its host.
     *
     * @param excludedHosts hosts of earlier attempts
     * @param idempotent whether the request may serve as a trial of an ejected host
     * @param connectionShare if above 0, each request needs its own connection, and this daemon may
     *     open at most the host's number of connections divided by this value, but at least one
     */
    record Query(
            ResourceNeeds needs,
            Set<String> excludedHosts,
            boolean idempotent,
            int connectionShare) {}

    /**
     * The selected host, of which a slot right has been acquired.
     *
     * @param trial whether the request is the trial of an ejected host
     * @param reason why this host was selected, for the log
     */
    record Selection(HostSettings host, boolean trial, String reason) {}

    /** Selects a host and acquires one of its slot rights; empty if no eligible host is free. */
    Optional<Selection> select(PoolHosts pool, Query query, long nowMillis, long nowNanos);

    /**
     * Returns whether some host fits the query, is not leaving and is not out of use, regardless of
     * free slots. A host whose trial is due does not count.
     */
    boolean hasEligible(PoolHosts pool, Query query, long nowNanos);
}
