package org.marigoldturn.fleet;

/**
 * Demand of one pool, summed over all daemons.
 *
 * @param runningSlots requests that run
 * @param queuedSlots requests that wait for a slot
 * @param sinceMillis wall-clock time at which the demand last rose above the pool's capacity or
 *     fell back to it
 */
public record PoolDemand(String pool, int runningSlots, int queuedSlots, long sinceMillis) {
    /** Returns the number of slots that the pool could use now. */
    public int demandSlots() {
        return runningSlots + queuedSlots;
    }
}
