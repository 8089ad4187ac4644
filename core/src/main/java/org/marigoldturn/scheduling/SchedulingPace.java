package org.marigoldturn.scheduling;

/**
 * Decides when the next scheduling pass may begin.
 *
 * <p>It answers loads in which hundreds of ends and responses a second each ask for a pass, and a
 * backlog makes each pass longer: without it the passes take the control thread from the renewals
 * of leases just when it has most to do. The first pass after a quiet time begins at once. Confined
 * to the control thread; times are monotonic.
 */
public final class SchedulingPace {
    /** Shortest time from the beginning of a pass to that of the next one. */
    static final long MIN_INTERVAL_MILLIS = 10;

    /** After a pass, the thread is left to other work for this many times its duration. */
    static final long PAUSE_PER_DURATION = 3;

    /** Longest pause after a pass that took unusually long, for instance in a frozen process. */
    static final long MAX_PAUSE_MILLIS = 100;

    private long mNextMillis = Long.MIN_VALUE / 2;

    /** Returns how long the next pass has to wait; 0 if it may begin now. */
    public long delayMillis(long nowMillis) {
        return Math.max(0, mNextMillis - nowMillis);
    }

    /** Records a pass. */
    public void onPass(long beganMillis, long endedMillis) {
        long pauseMillis =
                Math.min(MAX_PAUSE_MILLIS, (endedMillis - beganMillis) * PAUSE_PER_DURATION);
        mNextMillis = Math.max(beganMillis + MIN_INTERVAL_MILLIS, endedMillis + pauseMillis);
    }
}
