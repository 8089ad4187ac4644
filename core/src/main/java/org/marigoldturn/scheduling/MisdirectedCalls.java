package org.marigoldturn.scheduling;

/**
 * Tells what calls that were meant for an earlier incarnation of a target may have done to the
 * present one.
 *
 * <p>A call names the id of its target, which a restart in place keeps, and the new incarnation has
 * seen no fencing token. So it carries out a call that is delivered late or over a connection that
 * is opened again: it starts the run, or takes the lease, whose end on the clock of the earlier
 * incarnation is far ahead of its own. From its first response to a higher token on, it rejects
 * such calls. Until then a call counts as delayed for no longer than the longest lease lasts.
 * Confined to the control thread.
 */
final class MisdirectedCalls {
    private final EarlierIncarnations mEarlier;
    private final long mLongestLeaseMillis;
    private boolean mFenced;
    private long mLeaseEndMillis;

    private MisdirectedCalls(
            EarlierIncarnations earlier,
            long longestLeaseMillis,
            boolean fenced,
            long leaseEndMillis) {
        mEarlier = earlier;
        mLongestLeaseMillis = longestLeaseMillis;
        mFenced = fenced;
        mLeaseEndMillis = leaseEndMillis;
    }

    /** Returns that no earlier incarnation is known. */
    static MisdirectedCalls none() {
        return new MisdirectedCalls(EarlierIncarnations.NONE, 0, true, Long.MIN_VALUE);
    }

    /**
     * Returns what calls for the given incarnation and those before it may do to the next one.
     *
     * @param longestLeaseMillis longest time that a target holds a lease after the call
     * @param sentUntilMillis monotonic time by which all such calls were sent
     */
    static MisdirectedCalls afterRestart(
            TargetState earlier, long longestLeaseMillis, long sentUntilMillis) {
        return new MisdirectedCalls(
                earlier.misdirected().mEarlier.plus(earlier.entry()),
                longestLeaseMillis,
                false,
                sentUntilMillis + 2 * longestLeaseMillis);
    }

    /**
     * Returns what such calls may have done as far as a record of an earlier owner tells.
     *
     * @param leaseEndMillis monotonic time by which a lease of such a call has ended
     */
    static MisdirectedCalls recorded(EarlierIncarnations earlier, long leaseEndMillis) {
        return new MisdirectedCalls(earlier, 0, true, leaseEndMillis);
    }

    /** Returns the earlier incarnations that are known. */
    EarlierIncarnations earlier() {
        return mEarlier;
    }

    /** Returns whether an entry describes an earlier incarnation. */
    boolean isEarlierIncarnation(TargetEntry entry) {
        return mEarlier.startsEpochMillis().contains(entry.startedEpochMillis());
    }

    /** Returns whether such calls may still be carried out at the given monotonic time. */
    boolean mayArriveAt(long timeMillis) {
        return !mFenced && mayHoldLeaseAt(timeMillis);
    }

    /** Returns whether a lease of such a call may hold at the given monotonic time or later. */
    boolean mayHoldLeaseAt(long timeMillis) {
        return timeMillis < mLeaseEndMillis;
    }

    /** Returns the monotonic time by which a lease of such a call has ended. */
    long leaseEndMillis() {
        return mLeaseEndMillis;
    }

    /** Records that the target has responded for the first time, and rejects such calls now. */
    void onFirstResponse(long nowMillis) {
        if (!mFenced) {
            mFenced = true;
            mLeaseEndMillis = nowMillis + mLongestLeaseMillis;
        }
    }
}
