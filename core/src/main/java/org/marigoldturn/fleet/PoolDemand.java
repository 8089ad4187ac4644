package org.marigoldturn.fleet;

/**
 * Demand of one pool, summed over all daemons.
 *
 * @param runningSlots requests that run
 * @param queuedSlots requests that wait for a slot
 * @param sinceMillis wall-clock time since which the demand has been above the pool's capacity, or
 *     since which it has not, whichever holds now
 */
public record PoolDemand(String pool, int runningSlots, int queuedSlots, long sinceMillis) {
    /** Returns the number of slots that the pool could use now. */
    public int demandSlots() {
        return runningSlots + queuedSlots;
    }
}
