package org.marigoldturn.store;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * An answer of the host list.
 *
 * @param instance identity of the list; another one starts its own sequence of revisions
 * @param since revision to which the changes apply; empty if the answer holds all entries
 * @param revision revision of the list after the changes
 * @param counts number of hosts in each state at this revision
 * @param changed state of each host that is new or has changed, or of all hosts
 * @param removed hosts that are no longer listed
 * @param usage usage reports of the hosts that were asked for and are listed
 */
public record HostListAnswer(
        String instance,
        OptionalLong since,
        long revision,
        Map<HostPresence, Integer> counts,
        Map<String, HostPresence> changed,
        Set<String> removed,
        List<HostUsage> usage) {
    public HostListAnswer {
        if (instance.isEmpty()) {
            throw new IllegalArgumentException("host list without instance");
        }
        Objects.requireNonNull(since, "since");
        if (revision < 0 || revision < since.orElse(0)) {
            throw new IllegalArgumentException(
                    "revision " + revision + " of the host list is before " + since);
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
