package org.marigoldturn.coordination;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.util.NetUtil;
import java.util.Optional;
import org.marigoldturn.jobs.wire.OwnerRecord;
import org.marigoldturn.store.StoredValue;

/**
 * Creates and reads the record of a term. Any writer may have damaged it in the store. Stateless
 * and thread safe.
 */
final class OwnerRecordCodec {
    private static final int MAX_PORT = 65_535;

    private OwnerRecordCodec() {}

    /** Returns the record of a term that a daemon takes. */
    static OwnerRecord create(DaemonIdentity owner, long term, TakeoverTimes times) {
        return builder(owner, term, times.earlierOwnersActMillis(), times.unboundedLeasesMillis())
                .build();
    }

    /**
     * Returns the record of a term whose owner ends its lease in the store by itself.
     *
     * @param times what the owner's takeover knew of the time of earlier owners
     * @param sinceMillis time since that takeover
     * @param actsNoMore whether nothing that the owner has ordered can begin later, apart from
     *     starts
     */
    static OwnerRecord createRevoked(
            DaemonIdentity owner,
            long term,
            TakeoverTimes times,
            long sinceMillis,
            boolean actsNoMore) {
        return builder(
                        owner,
                        term,
                        EarlierOwners.remainingMillis(times.earlierOwnersActMillis(), sinceMillis),
                        EarlierOwners.remainingMillis(times.unboundedLeasesMillis(), sinceMillis))
                .setLeft(actsNoMore)
                .setLeaseRevoked(true)
                .build();
    }

    private static OwnerRecord.Builder builder(
            DaemonIdentity owner,
            long term,
            long earlierOwnersActMillis,
            long unboundedLeasesMillis) {
        return OwnerRecord.newBuilder()
                .setTerm(term)
                .setOwnerId(owner.id())
                .setZone(owner.zone())
                .setAddress(owner.address())
                .setPeerPort(owner.peerPort())
                .setEarlierOwnersActMillis(earlierOwnersActMillis)
                .setUnboundedLeasesWithinMillis(unboundedLeasesMillis);
    }

    /** Returns the record; empty if no daemon can have written it. */
    static Optional<OwnerRecord> parse(StoredValue value) {
        try {
            return Optional.of(OwnerRecord.parseFrom(value.value()))
                    .filter(record -> isPlausible(record, value.modRevision()));
        } catch (InvalidProtocolBufferException e) {
            // The election logs a record that cannot be used, whatever is wrong with it.
            return Optional.empty();
        }
    }

    /** Each term took at least one revision, so none is above the revision of its record. */
    private static boolean isPlausible(OwnerRecord record, long revision) {
        return record.getTerm() > 0
                && record.getTerm() <= revision
                && !record.getOwnerId().isEmpty()
                && canBeCalled(record);
    }

    private static boolean canBeCalled(OwnerRecord record) {
        String address = record.getAddress();
        boolean validAddress =
                address.isEmpty()
                        || NetUtil.isValidIpV4Address(address)
                        || NetUtil.isValidIpV6Address(address);
        return validAddress && record.getPeerPort() >= 0 && record.getPeerPort() <= MAX_PORT;
    }
}
