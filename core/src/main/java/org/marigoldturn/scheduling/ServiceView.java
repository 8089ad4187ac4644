package org.marigoldturn.scheduling;

import java.util.List;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * What an owner knows of the targets of a service. Immutable.
 *
 * <p>After a change of the owner, targets that have not been read yet count with their capacity.
 * What runs there is unknown, so that it is neither free room nor backlog.
 *
 * @param usable targets on which tasks may start now
 * @param unread targets that are expected to report to this owner
 * @param incoming capacity that is being moved to the service
 */
record ServiceView(List<TargetState> usable, List<TargetState> unread, ResourceAmounts incoming) {
    ServiceView {
        usable = List.copyOf(usable);
        unread = List.copyOf(unread);
    }

    /** Returns whether the view lacks targets, so that the work of restored jobs may run there. */
    boolean isPartial() {
        return !unread.isEmpty();
    }

    boolean hasTargets() {
        return !usable.isEmpty() || !unread.isEmpty();
    }

    /** Returns the capacity of the usable and the unread targets and of what is being moved. */
    ResourceAmounts capacity() {
        return incoming.plus(sum(usable)).plus(sum(unread));
    }

    ResourceAmounts usableCapacity() {
        return sum(usable);
    }

    /** Returns whether the total capacity of one of the targets suffices for a task. */
    boolean hasTargetFor(ResourceAmounts task) {
        return usable.stream().anyMatch(t -> task.fitsInto(t.entry().capacity()))
                || unread.stream().anyMatch(t -> task.fitsInto(t.entry().capacity()));
    }

    long freeMillicores() {
        return usable.stream().mapToLong(t -> Math.max(0, t.free().cpuMillicores())).sum();
    }

    private static ResourceAmounts sum(List<TargetState> targets) {
        ResourceAmounts capacity = ResourceAmounts.NONE;
        for (TargetState target : targets) {
            capacity = capacity.plus(target.entry().capacity());
        }
        return capacity;
    }
}
