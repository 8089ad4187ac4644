package org.marigoldturn.coordination;

/**
 * How certain an owner can be that it still is the owner.
 *
 * <p>Its claim is a lease in the store. Once the lease may have ended, another daemon may have
 * taken over and renewed the leases of targets, so a target's silence proves nothing any more. For
 * some time the owner goes on with work that the targets' tokens make safe, since the store may be
 * away for all daemons; a new owner waits for that time before it gives up on targets that it
 * cannot read. Both clocks count: the steady one stands still while a host is suspended. Confined
 * to the control thread.
 */
final class Tenure {
    /** Length of the owner's lease in the store. */
    static final long LEASE_MILLIS = 2_500;

    /** An owner without the store acts on for this time; with targets' leases it spans 8 s. */
    static final long ACT_ON_MILLIS = 4_000;

    private long mConfirmedMillis = Long.MIN_VALUE / 2;
    private long mConfirmedEpochMillis = Long.MIN_VALUE / 2;

    /** Records a renewal that the store has confirmed, with the times at which it was sent. */
    void confirm(long sentMillis, long sentEpochMillis) {
        mConfirmedMillis = sentMillis;
        mConfirmedEpochMillis = sentEpochMillis;
    }

    /** Returns whether nobody else can be the owner. */
    boolean isCertain(long nowMillis, long epochMillis) {
        return unconfirmedMillis(nowMillis, epochMillis) < LEASE_MILLIS;
    }

    /** Returns whether tasks may be started and leases of targets be renewed. */
    boolean mayAct(long nowMillis, long epochMillis) {
        return unconfirmedMillis(nowMillis, epochMillis) < LEASE_MILLIS + ACT_ON_MILLIS;
    }

    private long unconfirmedMillis(long nowMillis, long epochMillis) {
        return Math.max(nowMillis - mConfirmedMillis, epochMillis - mConfirmedEpochMillis);
    }
}
