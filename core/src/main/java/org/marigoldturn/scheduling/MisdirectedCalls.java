package org.marigoldturn.scheduling;

import java.util.Optional;

/**
 * Tells what calls that were meant for an earlier incarnation of a target may have done to the
 * present one.
 *
 * <p>A call names the id of its target, which a restart in place keeps, and the new incarnation has
 * seen no fencing token. So it carries out a call that is delivered late or over a connection that
 * is opened again: it starts the run, or takes the lease, whose end on the clock of the earlier
 * incarnation is far ahead of its own. From its first response to a higher token on, it rejects
 * such calls. Confined to the control thread.
 */
final class MisdirectedCalls {
    private final Optional<TargetEntry> mEarlier;
    private final long mLongestLeaseMillis;
    private final boolean mFenced;
    private long mLeaseEndMillis;

    private MisdirectedCalls(
            Optional<TargetEntry> earlier,
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
        return new MisdirectedCalls(Optional.empty(), 0, true, Long.MIN_VALUE);
    }

    /**
     * Returns what calls for an earlier incarnation may do until the present one responds.
     *
     * @param longestLeaseMillis longest time that a target holds a lease after the call
     * @param sentUntilMillis monotonic time by which all such calls were sent
     */
    static MisdirectedCalls afterRestart(
            TargetEntry earlier, long longestLeaseMillis, long sentUntilMillis) {
        return new MisdirectedCalls(
                Optional.of(earlier),
                longestLeaseMillis,
                false,
                sentUntilMillis + longestLeaseMillis);
    }

    /**
     * Returns what calls may have done before an earlier owner recorded that the incarnation had
     * responded to it.
     *
     * @param leaseEndMillis monotonic time by which a lease of such a call has ended
     */
    static MisdirectedCalls beforeRecord(long leaseEndMillis) {
        return new MisdirectedCalls(Optional.empty(), 0, true, leaseEndMillis);
    }

    /** Returns whether an entry describes the earlier incarnation. */
    boolean wereMeantFor(TargetEntry entry) {
        return mEarlier.filter(earlier -> earlier.isSameIncarnation(entry)).isPresent();
    }

    /** Returns whether the earlier incarnation is known and its calls may still be carried out. */
    boolean mayArrive() {
        return mEarlier.isPresent();
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
            mLeaseEndMillis = nowMillis + mLongestLeaseMillis;
        }
    }
}
