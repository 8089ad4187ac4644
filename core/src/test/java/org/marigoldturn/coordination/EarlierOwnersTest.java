package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.wire.OwnerRecord;

/**
 * Guards against an owner that starts tasks while an earlier owner may still renew their leases.
 */
class EarlierOwnersTest {
    private static final long GRACE = OwnershipLease.GRACE_MILLIS;
    private static final long LONGEST = OwnershipLease.LONGEST_ACT_MILLIS;

    @Example
    void anOwnerWhoseLeaseHasEndedActsForItsGrace() {
        assertThat(EarlierOwners.actMillis(record(GRACE), 0, true)).isEqualTo(GRACE);
        assertThat(EarlierOwners.certainMillis(GRACE)).isZero();
    }

    @Example
    void anOwnerWhoseLeaseHasNotEndedMayHaveBeenConfirmedJustBefore() {
        assertThat(EarlierOwners.actMillis(record(GRACE), 60_000, false)).isEqualTo(LONGEST);
        assertThat(EarlierOwners.certainMillis(LONGEST)).isEqualTo(OwnershipLease.LEASE_MILLIS);
    }

    @Example
    void theTimeOfOwnersBeforeTheLastOneCountsFromTheRecord() {
        assertThat(EarlierOwners.actMillis(record(LONGEST), 1_000, true))
                .isEqualTo(LONGEST - 1_000);
        assertThat(EarlierOwners.actMillis(record(LONGEST), 60_000, true)).isEqualTo(GRACE);
    }

    @Example
    void aRecordThatDoesNotTellTheTimeCountsAsTheLongestOne() {
        assertThat(EarlierOwners.actMillis(record(0), 0, true)).isEqualTo(LONGEST);
        assertThat(EarlierOwners.actMillis(record(Long.MAX_VALUE), 0, true)).isEqualTo(LONGEST);
        assertThat(EarlierOwners.actMillis(record(-1), 0, true)).isEqualTo(LONGEST);
        assertThat(EarlierOwners.actMillis(Optional.empty(), 0, true)).isEqualTo(LONGEST);
    }

    /** Guards against a wait for an owner that has told that it acts no more. */
    @Example
    void anOwnerThatHasLeftActsNoMore() {
        OwnerRecord left =
                OwnerRecord.newBuilder().setEarlierOwnersActMillis(1_500).setLeft(true).build();
        assertThat(EarlierOwners.actMillis(Optional.of(left), 0, true)).isEqualTo(1_500);
        assertThat(EarlierOwners.actMillis(Optional.of(left), 1_000, true)).isEqualTo(500);
        assertThat(EarlierOwners.actMillis(Optional.of(left), 60_000, true)).isEqualTo(1);
        assertThat(EarlierOwners.certainMillis(1)).isZero();
        assertThat(EarlierOwners.remainingMillis(GRACE, 1_000)).isEqualTo(GRACE - 1_000);
        assertThat(EarlierOwners.remainingMillis(GRACE, 60_000)).isEqualTo(1);
    }

    private static Optional<OwnerRecord> record(long actMillis) {
        return Optional.of(OwnerRecord.newBuilder().setEarlierOwnersActMillis(actMillis).build());
    }
}
