package org.marigoldturn.standins.platform;

/**
 * Clock of one incarnation of a target and the lease that its runs hold, which ends on that clock.
 *
 * <p>A lease is never shortened, and lasts at most {@link #MAX_HOLD_MILLIS} from the call that
 * extends it. Not thread safe.
 */
final class StandInLease {
    /** The platform's setting {@code Bounds.MaxHoldMs}. */
    static final long MAX_HOLD_MILLIS = 6_000;

    private static final long FIRST_CLOCK_MILLIS = 1_000;

    private final long mStartedAtMillis;
    private long mEndMillis;

    /**
     * Creates the clock and an expired lease.
     *
     * @param uptimeMillis time since the start of the incarnation
     */
    StandInLease(long uptimeMillis) {
        mStartedAtMillis = System.currentTimeMillis() - uptimeMillis;
    }

    /** Returns when the incarnation started, as Unix time. */
    long startedAtMillis() {
        return mStartedAtMillis;
    }

    /** Returns the time of the target's clock, which stands at 1 s when the target starts. */
    long clockMillis() {
        return System.currentTimeMillis() - mStartedAtMillis + FIRST_CLOCK_MILLIS;
    }

    /** Returns the Unix time at which the target's clock shows the given time. */
    long epochMillis(long clockMillis) {
        return clockMillis - FIRST_CLOCK_MILLIS + mStartedAtMillis;
    }

    void extend(long untilMillis) {
        mEndMillis = Math.max(mEndMillis, Math.min(untilMillis, clockMillis() + MAX_HOLD_MILLIS));
    }

    long endMillis() {
        return mEndMillis;
    }
}
