package org.marigoldturn.scheduling;

/**
 * Load and capacity of the targets of one service. Immutable.
 *
 * @param service name of the service
 * @param backlogCoreMillis backlog: estimated work that is running or waiting, in thousandths of a
 *     core-second
 * @param capacityMillicores processors of its usable targets and of hosts that are being moved to
 *     it, in thousandths of a core
 * @param lastRefusalMillis monotonic time of the last submission refused for overload
 * @param lacksHost whether a long-running job that was accepted some time ago still has a waiting
 *     task, so that the service needs another host
 * @param partialView whether targets have not been read yet, so that the backlog lacks the work of
 *     restored jobs
 */
public record ServiceLoad(
        String service,
        long backlogCoreMillis,
        long capacityMillicores,
        long lastRefusalMillis,
        boolean lacksHost,
        boolean partialView) {
    /** Creates the load of a service whose targets have all been read. */
    public ServiceLoad(
            String service,
            long backlogCoreMillis,
            long capacityMillicores,
            long lastRefusalMillis,
            boolean lacksHost) {
        this(service, backlogCoreMillis, capacityMillicores, lastRefusalMillis, lacksHost, false);
    }

    /** Returns the time that all processors together need for the backlog. */
    public long waitMillis() {
        return backlogCoreMillis * 1_000 / Math.max(1, capacityMillicores);
    }
}
