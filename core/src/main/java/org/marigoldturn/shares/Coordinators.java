package org.marigoldturn.shares;

import java.util.Collection;
import java.util.Optional;
import org.marigoldturn.hashing.RendezvousHash;

/** Chooses the coordinator of a resource among the members that respond. */
public final class Coordinators {
    private Coordinators() {}

    /**
     * Returns the coordinator of a team or pool, or empty if no member responds.
     *
     * @param responding ids of the members that respond, including this daemon
     */
    public static Optional<String> of(String resource, Collection<String> responding) {
        return RendezvousHash.owner("coordinator/" + resource, responding);
    }
}
