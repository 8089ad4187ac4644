package org.marigoldturn.store;

import java.util.Objects;
import java.util.Set;

/**
 * One read of the host list.
 *
 * @param instance instance of the list that the caller's copy is from; empty asks for all entries
 * @param sinceRevision revision of the caller's copy; ignored without an instance
 * @param usageOf hosts whose usage reports are asked for
 */
public record HostListQuery(String instance, long sinceRevision, Set<String> usageOf) {
    public HostListQuery {
        Objects.requireNonNull(instance, "instance");
        if (sinceRevision < 0) {
            throw new IllegalArgumentException("negative revision: " + sinceRevision);
        }
        usageOf = Set.copyOf(usageOf);
    }

    /** Returns whether all entries are asked for. */
    public boolean isComplete() {
        return instance.isEmpty();
    }
}
