package org.marigoldturn.scheduling;

/**
 * How loaded the targets of one service are. Immutable.
 *
 * @param service name of the service
 * @param aheadCoreMillis estimated work that runs or waits, in thousandths of a core-second
 * @param capacityMillicores processors of its targets and of hosts on their way
 * @param lastRefusalMillis monotonic time of the last refusal for overload
 * @param lacksHost whether a lasting task waits that no present target can take
 */
public record ServiceLoad(
        String service,
        long aheadCoreMillis,
        long capacityMillicores,
        long lastRefusalMillis,
        boolean lacksHost) {
    /** Returns the time in which all processors do the work that is there. */
    public long waitMillis() {
        return aheadCoreMillis * 1_000 / Math.max(1, capacityMillicores);
    }
}
