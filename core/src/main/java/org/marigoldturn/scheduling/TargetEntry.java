package org.marigoldturn.scheduling;

import java.util.Set;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Entry of a target in the platform's list of targets, which the target itself maintains.
 * Immutable.
 *
 * @param id id of the target; kept over a restart in place
 * @param startedEpochMillis wall-clock start of the target's current incarnation; distinguishes it
 *     from earlier ones
 * @param hostId host on which it runs; empty if not reported
 * @param service service whose tasks it runs
 * @param address IP address and port of its interface
 * @param zone availability zone
 * @param rack rack of its host; empty if not reported
 * @param labels all labels, including kind and rack
 * @param capacity resources for tasks
 * @param draining whether it is about to shut down and takes no new tasks
 */
public record TargetEntry(
        String id,
        long startedEpochMillis,
        String hostId,
        String service,
        String address,
        String zone,
        String rack,
        Set<String> labels,
        ResourceAmounts capacity,
        boolean draining) {
    /**
     * Largest amount of a resource, in its unit; the placement of tasks relies on it, and sums over
     * all targets cannot overflow.
     */
    public static final long MAX_CAPACITY = (1L << 30) - 1;

    public TargetEntry {
        labels = Set.copyOf(labels);
        if (id.isEmpty() || address.isEmpty()) {
            throw new IllegalArgumentException(
                    "target entry needs an id and an address: id='"
                            + id
                            + "' address='"
                            + address
                            + "'");
        }
        checkCapacity(capacity.cpuMillicores());
        checkCapacity(capacity.memoryMegabytes());
        checkCapacity(capacity.accelerators());
    }

    private static void checkCapacity(long amount) {
        if (amount < 0 || amount > MAX_CAPACITY) {
            throw new IllegalArgumentException(
                    "a target's capacity must be from 0 to "
                            + MAX_CAPACITY
                            + " of each resource, but is "
                            + amount);
        }
    }

    /** Returns whether both entries describe the same incarnation of the same target. */
    public boolean isSameIncarnation(TargetEntry other) {
        return id.equals(other.id)
                && startedEpochMillis == other.startedEpochMillis
                && address.equals(other.address)
                && service.equals(other.service);
    }

    /** Returns the entry of an incarnation of which only the start is known. */
    TargetEntry startedAt(long epochMillis) {
        return new TargetEntry(
                id, epochMillis, hostId, service, address, zone, rack, labels, capacity, draining);
    }
}
