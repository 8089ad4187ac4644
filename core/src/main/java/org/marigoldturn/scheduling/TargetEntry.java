package org.marigoldturn.scheduling;

import java.util.Set;
import org.marigoldturn.jobs.Room;

/**
 * What a target reports about itself in the platform's list. Immutable.
 *
 * @param id identifies the target; kept over a restart in place
 * @param startedEpochMillis start of the target's present life; tells it from an earlier one
 * @param hostId host on which it runs; empty if not reported
 * @param service service whose tasks it runs
 * @param address IP address and port of its interface
 * @param zone availability zone
 * @param rack rack of its host; empty if not reported
 * @param labels all labels, also kind and rack
 * @param capacity room for tasks
 * @param draining whether it is about to leave
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
        Room capacity,
        boolean draining) {
    public TargetEntry {
        labels = Set.copyOf(labels);
        if (id.isEmpty() || address.isEmpty()) {
            throw new IllegalArgumentException(
                    "target without id or address: '" + id + "', '" + address + "'");
        }
    }

    /** Returns whether both entries describe one life of one target. */
    public boolean isSameLife(TargetEntry other) {
        return id.equals(other.id)
                && startedEpochMillis == other.startedEpochMillis
                && address.equals(other.address)
                && service.equals(other.service);
    }
}
