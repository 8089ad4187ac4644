package org.marigoldturn.coordination;

import java.util.Collection;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.marigoldturn.scheduling.TargetState;

/**
 * Tells until when one owner may grant leases to targets. Confined to the control thread.
 *
 * @see TargetLeases
 */
final class LeaseGrants {
    private final OwnerContext mContext;
    private final TargetMajority mMajority;

    /**
     * Creates the grants of one owner.
     *
     * @param targets returns the known targets
     * @param recordCount returns how many records of targets the store may hold
     */
    LeaseGrants(
            OwnerContext context,
            Supplier<Collection<TargetState>> targets,
            IntSupplier recordCount) {
        mContext = context;
        mMajority = new TargetMajority(targets, recordCount);
    }

    /**
     * Records a response of a target.
     *
     * @param pollSentMillis monotonic time at which the poll was sent
     */
    void onResponse(TargetState target, long pollSentMillis) {
        mMajority.onResponse(target, pollSentMillis);
    }

    /** Returns the monotonic time at which a lease ends that is granted now; now if none can be. */
    long endMillis(long nowMillis) {
        if (!mContext.ownershipLease().mayRenew(nowMillis, mContext.clocks().epoch())) {
            return nowMillis;
        }
        OwnershipLease ownership = mContext.ownershipLease();
        long suspendedMillis = ownership.suspendedMillis(nowMillis, mContext.clocks().epoch());
        return TargetLeases.endMillis(
                nowMillis,
                mContext.limits().leaseMillis(),
                ownership.confirmedMillis() - suspendedMillis,
                () -> mMajority.respondedSinceMillis(nowMillis) - suspendedMillis);
    }

    /** Returns whether tasks may be started: leases are long enough to be renewed in time. */
    boolean mayStart(long nowMillis) {
        return mayAct(nowMillis)
                && endMillis(nowMillis) >= nowMillis + TargetLeases.SHORTEST_MILLIS;
    }

    private boolean mayAct(long nowMillis) {
        return mContext.ownershipLease().mayAct(nowMillis, mContext.clocks().epoch());
    }
}
