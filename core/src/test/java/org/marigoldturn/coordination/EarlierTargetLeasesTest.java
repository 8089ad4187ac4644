package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/** Guards against a wait that is shortened while an earlier owner may still grant leases. */
class EarlierTargetLeasesTest {
    private static final long ELECTED = 100_000;
    private static final long LEASE = 4_000;
    private static final TakeoverTimes TIMES =
            new TakeoverTimes(
                    ELECTED,
                    60_000,
                    OwnershipLease.GRACE_MILLIS,
                    -60_000,
                    OwnershipLease.LEASE_MILLIS,
                    1);

    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                    2,
                    ELECTED,
                    0,
                    0);
    private final List<TargetState> mRecorded = new ArrayList<>();
    private final List<Long> mTerms = new ArrayList<>();
    private long mBeforeLastEndMillis = ELECTED;

    @Example
    void theWaitIsShortenedOnceMostRecordedTargetsHaveResponded() {
        EarlierTargetLeases leases = restore(4, 4);
        respond(0);
        respond(1);
        assertThat(leases.endMillis(target -> false, ELECTED + 100)).isEmpty();
        respond(2);
        assertThat(leases.endMillis(target -> false, ELECTED + 200))
                .hasValue(TargetLeases.lastOwnersEndMillis(TIMES, LEASE, ELECTED, ELECTED + 200));
    }

    /** Guards against a wait that begins anew with each response. */
    @Example
    void theWaitIsShortenedOnlyOnce() {
        EarlierTargetLeases leases = restore(3, 3);
        respond(0);
        respond(1);
        assertThat(leases.endMillis(target -> false, ELECTED + 100)).isPresent();
        respond(2);
        assertThat(leases.endMillis(target -> false, ELECTED + 900)).isEmpty();
    }

    @Example
    void targetsThatHaveEndedRespondToNoOwner() {
        EarlierTargetLeases leases = restore(3, 3);
        respond(0);
        assertThat(leases.endMillis(target -> false, ELECTED + 100)).isEmpty();
        assertThat(leases.endMillis(mRecorded.get(1)::equals, ELECTED + 100)).isPresent();
    }

    /** Guards against a majority that leaves out targets whose records cannot be read. */
    @Example
    void unreadableRecordsCountForTheMajority() {
        EarlierTargetLeases leases = restore(6, 3);
        respond(0);
        respond(1);
        respond(2);
        assertThat(leases.endMillis(target -> false, ELECTED + 100)).isEmpty();
    }

    /** Guards against a majority of targets that the earlier owner does not count. */
    @Example
    void targetsThatWereNotRecordedAreNotCounted() {
        EarlierTargetLeases leases = restore(3, 3);
        respond(0);
        TargetState listed = mScheduler.onTargetListed(entry("listed"), ELECTED);
        respond(listed);
        assertThat(leases.endMillis(target -> false, ELECTED + 100)).isEmpty();
    }

    @Example
    void withoutRecordsTheWaitIsNotShortened() {
        assertThat(restore(0, 0).endMillis(target -> true, ELECTED + 100)).isEmpty();
    }

    /** Guards against a majority of records that an owner before the last one does not know. */
    @Example
    void eachOwnerIsWaitedForUntilMostOfTheTargetsThatItKnowsRespond() {
        mBeforeLastEndMillis = ELECTED + 7_000;
        for (long term : new long[] {3, 3, 3, 5, 5, 5, 5}) {
            mRecorded.add(mScheduler.restoreTarget(entry("t" + mRecorded.size()), ELECTED));
            mTerms.add(term);
        }
        EarlierTargetLeases leases = restore(7, 0);
        for (int target : new int[] {0, 3, 4, 5}) {
            respond(target);
        }
        assertThat(leases.endMillis(target -> false, ELECTED + 100)).hasValue(ELECTED + 7_000);
        respond(1);
        assertThat(leases.endMillis(target -> false, ELECTED + 200))
                .hasValue(TargetLeases.lastOwnersEndMillis(TIMES, LEASE, ELECTED, ELECTED + 200));
    }

    private EarlierTargetLeases restore(int records, int readable) {
        for (int i = 0; i < readable; i++) {
            mRecorded.add(mScheduler.restoreTarget(entry("t" + i), ELECTED));
            mTerms.add(1L);
        }
        List<EarlierTargetLeases.RecordedTarget> recorded = new ArrayList<>();
        for (int i = 0; i < mRecorded.size(); i++) {
            recorded.add(new EarlierTargetLeases.RecordedTarget(mRecorded.get(i), mTerms.get(i)));
        }
        return new EarlierTargetLeases(
                TIMES, LEASE, ELECTED, mBeforeLastEndMillis, records, recorded);
    }

    private void respond(int target) {
        respond(mRecorded.get(target));
    }

    private void respond(TargetState target) {
        TargetReport report = new TargetReport(1, List.of(), List.of(), true);
        mScheduler.onReport(target, report, ELECTED + 50, ELECTED + 60, 0);
    }

    private static TargetEntry entry(String id) {
        return new TargetEntry(
                id, 1, "h-" + id, "s", "a:1", "z", "r", Set.of(), ResourceAmounts.NONE, false);
    }
}
