package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Set;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.wire.TargetRecord;
import org.marigoldturn.scheduling.EarlierIncarnations;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.store.StoredValue;

/** Creates and reads the records of targets. Stateless and thread safe. */
final class TargetRecordCodec {
    private TargetRecordCodec() {}

    /**
     * What a record tells.
     *
     * @param entry the recorded entry, as one that is not draining
     * @param misdirected lease that was granted to an earlier incarnation
     * @param term term of the owner that wrote the record; 0 if it does not tell
     */
    record Decoded(TargetEntry entry, MisdirectedLease misdirected, long term) {}

    /** Returns the record of a target; see {@link Decoded} for the parameters. */
    static ByteString encode(TargetEntry entry, MisdirectedLease misdirected, long term) {
        return TargetRecord.newBuilder()
                .setTerm(term)
                .setMisdirectedLeaseMillis(misdirected.millis())
                .addAllEarlierStartsEpochMillis(misdirected.earlier().startsEpochMillis())
                .addAllEarlierServices(misdirected.earlier().services())
                .setId(entry.id())
                .setStartedEpochMillis(entry.startedEpochMillis())
                .setHostId(entry.hostId())
                .setService(entry.service())
                .setAddress(entry.address())
                .setZone(entry.zone())
                .setRack(entry.rack())
                .addAllLabels(entry.labels())
                .setCpuMillicores(entry.capacity().cpuMillicores())
                .setMemoryMegabytes(entry.capacity().memoryMegabytes())
                .setAccelerators(entry.capacity().accelerators())
                .build()
                .toByteString();
    }

    /**
     * Reads a record.
     *
     * @throws IllegalArgumentException if no daemon can have written the record
     */
    static Decoded decode(StoredValue value) {
        TargetRecord record = parse(value);
        if (!StoreLayout.target(record.getId()).equals(value.key())) {
            throw new IllegalArgumentException(
                    "the record " + value.key() + " is of the other target " + record.getId());
        }
        return new Decoded(
                entry(record),
                new MisdirectedLease(
                        record.getMisdirectedLeaseMillis(),
                        new EarlierIncarnations(
                                Set.copyOf(record.getEarlierStartsEpochMillisList()),
                                Set.copyOf(record.getEarlierServicesList()))),
                record.getTerm());
    }

    private static TargetEntry entry(TargetRecord record) {
        return new TargetEntry(
                record.getId(),
                record.getStartedEpochMillis(),
                record.getHostId(),
                record.getService(),
                record.getAddress(),
                record.getZone(),
                record.getRack(),
                Set.copyOf(record.getLabelsList()),
                new ResourceAmounts(
                        record.getCpuMillicores(),
                        record.getMemoryMegabytes(),
                        record.getAccelerators()),
                false);
    }

    private static TargetRecord parse(StoredValue value) {
        try {
            return TargetRecord.parseFrom(value.value());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the record " + value.key() + " is unreadable", e);
        }
    }
}
