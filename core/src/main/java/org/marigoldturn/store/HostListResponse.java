package org.marigoldturn.store;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A response of the host list, with all entries or only the changes since a revision.
 *
 * @param instance identity of the list; each instance has its own sequence of revisions
 * @param since revision to which the changes apply; empty if the response holds all entries
 * @param revision revision of the list after the changes
 * @param counts number of hosts in each state at this revision
 * @param changed state of each host that is new or has changed, or of all hosts
 * @param removed hosts that are no longer listed
 * @param usage usage reports of the requested hosts, as far as they are listed
 */
public record HostListResponse(
        String instance,
        OptionalLong since,
        long revision,
        Map<HostPresence, Integer> counts,
        Map<String, HostPresence> changed,
        Set<String> removed,
        List<HostUsage> usage) {
    public HostListResponse {
        if (instance.isEmpty()) {
            throw new IllegalArgumentException("instance of the host list must not be empty");
        }
        Objects.requireNonNull(since, "since");
        if (revision < 0 || revision < since.orElse(0)) {
            throw new IllegalArgumentException(
                    "revision of the host list must be at least "
                            + since.orElse(0)
                            + ", not "
                            + revision);
        }
        Map<HostPresence, Integer> allCounts = new EnumMap<>(HostPresence.class);
        for (HostPresence presence : HostPresence.values()) {
            allCounts.put(presence, counts.getOrDefault(presence, 0));
        }
        counts = Map.copyOf(allCounts);
        changed = Map.copyOf(changed);
        removed = Set.copyOf(removed);
        usage = List.copyOf(usage);
    }
}
