package org.marigoldturn.shares;

import java.util.Collection;
import java.util.Optional;
import org.marigoldturn.hashing.RendezvousHash;

/** Choice of the coordinator of a resource among the members that answer. */
public final class Coordinators {
    private Coordinators() {}

    /**
     * Returns the coordinator of a team or pool, or empty if no member answers.
     *
     * @param answering ids of the members that answer, including this daemon
     */
    public static Optional<String> of(String resource, Collection<String> answering) {
        return RendezvousHash.owner("coordinator/" + resource, answering);
    }
}
