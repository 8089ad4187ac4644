package org.marigoldturn.coordination;

import java.util.Set;
import org.marigoldturn.scheduling.EarlierIncarnations;

/**
 * What a record tells of a lease that a target may hold because of a call that was meant for an
 * earlier incarnation. Immutable.
 *
 * @param millis for how long after a takeover the lease may hold; 0 if there is none
 * @param earlier the earlier incarnations
 */
record MisdirectedLease(long millis, EarlierIncarnations earlier) {
    static final MisdirectedLease NONE =
            new MisdirectedLease(0, new EarlierIncarnations(Set.of(), Set.of()));

    MisdirectedLease {
        if (millis < 0) {
            throw new IllegalArgumentException(
                    "a lease cannot last for a negative time, but is " + millis + " ms");
        }
    }

    boolean mayHold() {
        return millis > 0;
    }
}
