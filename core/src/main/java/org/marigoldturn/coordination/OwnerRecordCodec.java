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

    /**
     * Returns the record of a term that a daemon takes.
     *
     * @param earlierOwnersActMillis for how long after the takeover earlier owners may act
     */
    static OwnerRecord create(DaemonIdentity owner, long term, long earlierOwnersActMillis) {
        return builder(owner, term, earlierOwnersActMillis).build();
    }

    /**
     * Returns the record of a term whose owner has given up the ownership by itself.
     *
     * @param earlierOwnersActMillis for how long after that earlier owners may act
     */
    static OwnerRecord createLeft(DaemonIdentity owner, long term, long earlierOwnersActMillis) {
        return builder(owner, term, earlierOwnersActMillis).setLeft(true).build();
    }

    private static OwnerRecord.Builder builder(
            DaemonIdentity owner, long term, long earlierOwnersActMillis) {
        return OwnerRecord.newBuilder()
                .setTerm(term)
                .setOwnerId(owner.id())
                .setZone(owner.zone())
                .setAddress(owner.address())
                .setPeerPort(owner.peerPort())
                .setEarlierOwnersActMillis(earlierOwnersActMillis);
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
