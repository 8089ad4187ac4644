package org.marigoldturn.entry;

import java.util.concurrent.TimeUnit;

/**
 * Decides when queued requests must not wait any longer for a confirmation of the settings.
 *
 * <p>A pause of this daemon ends a confirmation, which usually returns with the next replies, so a
 * short lapse refuses nothing. Thread safe; the present time is an argument.
 */
final class ConfirmationLapse {
    /** Two attempts of a confirmation, which are made every 500 ms. */
    static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private boolean mLapsed;
    private long mSinceNanos;
    private long mCheckedNanos;

    /**
     * Returns whether the confirmation has been missing for at least the grace time. Checks are
     * made only while requests wait, so a lapse that was not checked for that time counts as new.
     */
    synchronized boolean lasts(boolean confirmed, long nowNanos) {
        boolean goesOn = mLapsed && nowNanos - mCheckedNanos <= GRACE_NANOS;
        mCheckedNanos = nowNanos;
        mLapsed = !confirmed;
        if (!goesOn) {
            mSinceNanos = nowNanos;
        }
        return mLapsed && nowNanos - mSinceNanos >= GRACE_NANOS;
    }
}
