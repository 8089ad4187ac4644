package org.marigoldturn.entry;

import java.util.concurrent.TimeUnit;

/**
 * Decides when queued requests are refused because the settings of this daemon are not confirmed.
 *
 * <p>A confirmation expires when this daemon pauses, and is usually renewed with the next replies.
 * Requests are therefore refused only if it has been missing for {@link #GRACE_NANOS}. Thread safe;
 * the current monotonic time is an argument.
 */
final class ConfirmationTimeout {
    /** Allows two attempts to renew the confirmation, which are made every 500 ms. */
    static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private boolean mMissing;
    private long mMissingSinceNanos;
    private long mCheckedNanos;

    /**
     * Returns whether the confirmation has been missing for at least the grace time.
     *
     * <p>Checks are made only while requests are queued. If the last check is longer ago than the
     * grace time, the measured time starts again from zero.
     */
    synchronized boolean hasElapsed(boolean confirmed, long nowNanos) {
        boolean continues = mMissing && nowNanos - mCheckedNanos <= GRACE_NANOS;
        mCheckedNanos = nowNanos;
        mMissing = !confirmed;
        if (!continues) {
            mMissingSinceNanos = nowNanos;
        }
        return mMissing && nowNanos - mMissingSinceNanos >= GRACE_NANOS;
    }
}
