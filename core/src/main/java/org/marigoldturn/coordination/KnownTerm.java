package org.marigoldturn.coordination;

import java.util.Optional;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.StoredValue;

/**
 * What a daemon knows of the newest term: its record, and since when it has known them. Confined to
 * the control thread; times are monotonic.
 */
final class KnownTerm {
    private StoredValue mStored;
    private Optional<OwnerRecord> mOwner = Optional.empty();
    private long mStoredSinceMillis;
    private long mTermSinceMillis;

    /** Uses a newer record and returns it; empty if no daemon can have written it. */
    Optional<OwnerRecord> update(StoredValue value, long nowMillis) {
        Optional<OwnerRecord> owner = OwnerRecordCodec.parse(value);
        if (!owner.map(OwnerRecord::getTerm).equals(mOwner.map(OwnerRecord::getTerm))) {
            mTermSinceMillis = nowMillis;
        }
        mStored = value;
        mStoredSinceMillis = nowMillis;
        mOwner = owner;
        return owner;
    }

    /** Returns the record; empty if there is none or it cannot be used. */
    Optional<OwnerRecord> owner() {
        return mOwner;
    }

    /** Returns the revision of the record, or {@link Compare#ABSENT}. */
    long revision() {
        return mStored == null ? Compare.ABSENT : mStored.modRevision();
    }

    /**
     * Returns the highest term that can have been used. Each term took at least one revision, so
     * the revision of a damaged record is no lower than the term that it replaced.
     */
    long heldTerm() {
        return mOwner.map(OwnerRecord::getTerm).orElse(mStored == null ? 0 : revision());
    }

    /**
     * Returns what is known of the time of earlier owners.
     *
     * @param leaseExpired whether the live record is gone, which ends with the owner's lease
     * @param endedBeforeMillis how long ago the last owner's process has ended, at least; 0 if that
     *     is not known
     */
    TakeoverTimes times(boolean leaseExpired, long endedBeforeMillis, long nowMillis) {
        long recordKnownMillis = nowMillis - mStoredSinceMillis;
        long actMillis =
                EarlierOwners.actMillis(
                        mOwner, recordKnownMillis, leaseExpired || endedBeforeMillis > 0);
        return new TakeoverTimes(
                nowMillis,
                mOwner.isEmpty() ? 0 : nowMillis - mTermSinceMillis,
                actMillis,
                EarlierOwners.actBeforeLastMillis(mOwner, recordKnownMillis),
                EarlierOwners.confirmedBeforeMillis(mOwner, leaseExpired, endedBeforeMillis),
                mStored == null
                        ? EarlierOwners.LEAST_MILLIS
                        : EarlierOwners.unboundedLeasesMillis(
                                mOwner, recordKnownMillis, actMillis));
    }
}
