package org.marigoldturn.coordination;

/**
 * What a takeover knows of the time of earlier owners. Immutable.
 *
 * @param takeoverMillis monotonic time at which the takeover was sent to the store
 * @param lastTermKnownMillis for how long this daemon had known the last term at that time
 * @param earlierOwnersActMillis for how long after the takeover earlier owners may act
 * @param beforeLastActMillis for how long after the takeover owners before the last one may act;
 *     not positive if they act no more
 * @param confirmedBeforeMillis how long before the takeover the store confirmed the last owner
 *     last, at least
 * @param unboundedLeasesMillis for how long after the takeover leases may exist that owners of
 *     earlier versions have granted
 */
record TakeoverTimes(
        long takeoverMillis,
        long lastTermKnownMillis,
        long earlierOwnersActMillis,
        long beforeLastActMillis,
        long confirmedBeforeMillis,
        long unboundedLeasesMillis) {
    /** Returns for how long after the takeover a time is; negative if it was before. */
    long sinceTakeoverMillis(long timeMillis) {
        return timeMillis - takeoverMillis;
    }

    /**
     * Returns the latest monotonic time of this daemon that is meant by a time after the last
     * owner's takeover. The last takeover was carried out before its term was known here.
     */
    long endMillis(long sinceLastTakeoverMillis) {
        return takeoverMillis + Math.max(0, sinceLastTakeoverMillis - lastTermKnownMillis);
    }
}
