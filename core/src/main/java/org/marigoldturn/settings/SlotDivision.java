package org.marigoldturn.settings;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Division of the slots of all hosts among daemons. Immutable.
 *
 * <p>The slots of a host are divided among the members of the version that adds the host: earlier
 * members may have shut down, and nobody could use rights assigned to them. The epoch of a division
 * is the version that created it, so that no epoch is used twice for a host.
 *
 * @param epochs epoch of the division of each host, by host name
 * @param daemons daemons among which the slots of an epoch are divided by rendezvous hashing
 */
public record SlotDivision(Map<String, Long> epochs, Map<Long, List<String>> daemons) {
    /** The division of a fleet without hosts or without members. */
    public static final SlotDivision EMPTY = new SlotDivision(Map.of(), Map.of());

    public SlotDivision {
        epochs = Collections.unmodifiableMap(new TreeMap<>(epochs));
        Map<Long, List<String>> copy = new TreeMap<>();
        daemons.forEach((epoch, ids) -> copy.put(epoch, List.copyOf(ids)));
        daemons = Collections.unmodifiableMap(copy);
        Set<Long> used = new TreeSet<>(epochs.values());
        if (!daemons.keySet().equals(used)) {
            throw new IllegalArgumentException(
                    "daemons must be listed for the slot epochs of the hosts, "
                            + used
                            + ", not for "
                            + daemons.keySet());
        }
    }

    /** Returns the epoch of the division of the host, 0 if its slots are not divided. */
    public long epoch(String host) {
        return epochs.getOrDefault(host, 0L);
    }

    /** Returns the daemons among which the slots of the host are divided. */
    public List<String> daemons(String host) {
        return daemons.getOrDefault(epoch(host), List.of());
    }

    /**
     * Returns the division after a change of hosts or members: divides the slots of added hosts
     * among the members and drops removed hosts.
     */
    SlotDivision withHosts(Set<String> hosts, List<String> members, long newVersion) {
        Map<String, Long> next = new HashMap<>(epochs);
        next.keySet().retainAll(hosts);
        Set<String> added = new TreeSet<>(hosts);
        added.removeAll(next.keySet());
        if (members.isEmpty() || added.isEmpty()) {
            return create(next, daemons);
        }
        return reassigned(next, added, members, newVersion);
    }

    /**
     * Returns the division after the slots of the given hosts are divided again.
     *
     * @param members daemons that receive the slots
     * @param newVersion version that the change produces
     */
    public SlotDivision reassign(Collection<String> hosts, List<String> members, long newVersion) {
        return reassigned(epochs, hosts, members, newVersion);
    }

    private SlotDivision reassigned(
            Map<String, Long> old, Collection<String> hosts, List<String> members, long epoch) {
        Map<String, Long> next = new HashMap<>(old);
        hosts.forEach(host -> next.put(host, epoch));
        Map<Long, List<String>> daemonsByEpoch = new HashMap<>(daemons);
        daemonsByEpoch.put(epoch, members);
        return create(next, daemonsByEpoch);
    }

    private static SlotDivision create(Map<String, Long> epochs, Map<Long, List<String>> daemons) {
        Map<Long, List<String>> used = new HashMap<>(daemons);
        used.keySet().retainAll(epochs.values());
        return new SlotDivision(epochs, used);
    }
}
