package org.marigoldturn.store;

import java.util.Objects;
import java.util.Set;

/**
 * Parameters of one read of the host list.
 *
 * @param instance instance of the list that the caller's copy is from; empty to request all entries
 * @param sinceRevision revision of the caller's copy; ignored without an instance
 * @param usageHosts hosts whose usage reports are requested
 */
public record HostListQuery(String instance, long sinceRevision, Set<String> usageHosts) {
    public HostListQuery {
        Objects.requireNonNull(instance, "instance");
        if (sinceRevision < 0) {
            throw new IllegalArgumentException(
                    "sinceRevision must not be negative, not " + sinceRevision);
        }
        usageHosts = Set.copyOf(usageHosts);
    }

    /** Returns whether all entries are requested. */
    public boolean isComplete() {
        return instance.isEmpty();
    }
}
