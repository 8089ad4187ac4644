package org.marigoldturn.coordination;

/**
 * Tracks whether an owner may still rely on its ownership lease.
 *
 * <p>The owner holds a lease in the store. Once that lease may have expired, another daemon may
 * have taken over and renewed the leases of targets, so the owner can no longer conclude that the
 * lease of an unresponsive target has expired. For a bounded time the owner continues with work
 * that the targets' fencing makes safe, since the store may be unavailable to all daemons; a new
 * owner waits for that time before it gives up on targets that have not reported to it. The time
 * since the last renewal is the longer one of two clocks, since the monotonic clock stands still
 * while a host is suspended. Confined to the control thread.
 */
final class OwnershipLease {
    /** Length of the owner's lease in the store. */
    static final long LEASE_MILLIS = 2_500;

    /**
     * An owner that cannot reach the store continues to act for this time after its lease may have
     * expired. Running tasks continue for about 10 s, as long as most targets respond to the owner
     * ({@link TargetLeases}).
     */
    static final long GRACE_MILLIS = 4_000;

    /** Longest time for which an owner acts after a confirmation. */
    static final long LONGEST_ACT_MILLIS = LEASE_MILLIS + GRACE_MILLIS;

    /**
     * Time for which an owner that acts no more still renews leases of targets, as long as most of
     * them respond to it.
     */
    static final long RENEWAL_GRACE_MILLIS = 2_000;

    private long mConfirmedMillis = Long.MIN_VALUE / 2;
    private long mConfirmedEpochMillis = Long.MIN_VALUE / 2;

    /** Records a renewal that the store has confirmed, with the times at which it was sent. */
    void confirm(long sentMillis, long sentEpochMillis) {
        mConfirmedMillis = Math.max(mConfirmedMillis, sentMillis);
        mConfirmedEpochMillis = Math.max(mConfirmedEpochMillis, sentEpochMillis);
    }

    /** Returns the monotonic time at which the last confirmed renewal was sent. */
    long confirmedMillis() {
        return mConfirmedMillis;
    }

    /** Returns whether no other daemon can be the owner. */
    boolean isCertain(long nowMillis, long epochMillis) {
        return unconfirmedMillis(nowMillis, epochMillis) < LEASE_MILLIS;
    }

    /** Returns whether leases of targets may be renewed. */
    boolean mayRenew(long nowMillis, long epochMillis) {
        return unconfirmedMillis(nowMillis, epochMillis)
                < LONGEST_ACT_MILLIS + RENEWAL_GRACE_MILLIS;
    }

    /** Returns whether tasks may be started. */
    boolean mayAct(long nowMillis, long epochMillis) {
        return unconfirmedMillis(nowMillis, epochMillis) < LONGEST_ACT_MILLIS;
    }

    /**
     * Returns for how much longer than the monotonic clock shows the last confirmation is past,
     * since the host was suspended.
     */
    long suspendedMillis(long nowMillis, long epochMillis) {
        return unconfirmedMillis(nowMillis, epochMillis) - (nowMillis - mConfirmedMillis);
    }

    private long unconfirmedMillis(long nowMillis, long epochMillis) {
        return Math.max(nowMillis - mConfirmedMillis, epochMillis - mConfirmedEpochMillis);
    }
}
