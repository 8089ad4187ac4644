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
import org.marigoldturn.scheduling.TargetState;

/** Guards against leases that count on targets to which a newer owner does not need to talk. */
class TargetMajorityTest {
    private final List<TargetState> mTargets = new ArrayList<>();
    private int mRecords;
    private long mNowMillis = 10_000;
    private final TargetMajority mMajority = new TargetMajority(() -> mTargets, () -> mRecords);

    @Example
    void mostTargetsHaveRespondedSinceTheOldestResponseOfThem() {
        addTargets(5);
        mMajority.onResponse(mTargets.get(0), 1_000);
        mMajority.onResponse(mTargets.get(1), 3_000);
        assertThat(respondedSinceMillis()).isNegative();
        mMajority.onResponse(mTargets.get(2), 2_000);
        assertThat(respondedSinceMillis()).isEqualTo(1_000);
        mMajority.onResponse(mTargets.get(3), 2_500);
        assertThat(respondedSinceMillis()).isEqualTo(2_000);
    }

    @Example
    void halfOfTheTargetsAreNotMostOfThem() {
        addTargets(4);
        mMajority.onResponse(mTargets.get(0), 1_000);
        mMajority.onResponse(mTargets.get(1), 1_000);
        assertThat(respondedSinceMillis()).isNegative();
        mMajority.onResponse(mTargets.get(2), 1_000);
        assertThat(respondedSinceMillis()).isEqualTo(1_000);
    }

    @Example
    void aLateResponseToAnEarlierPollDoesNotCountAsALaterOne() {
        addTargets(1);
        mMajority.onResponse(mTargets.get(0), 2_000);
        mMajority.onResponse(mTargets.get(0), 1_000);
        assertThat(respondedSinceMillis()).isEqualTo(2_000);
    }

    /** Guards against a majority among fewer targets than a newer owner finds records of. */
    @Example
    void recordsThatMayBeStoredCountForTheMajority() {
        addTargets(3);
        mTargets.forEach(target -> mMajority.onResponse(target, 1_000));
        mRecords = 6;
        assertThat(respondedSinceMillis()).isNegative();
        mRecords = 5;
        assertThat(respondedSinceMillis()).isEqualTo(1_000);
    }

    /** Guards against a majority of targets whose records a newer owner does not find. */
    @Example
    void targetsWithoutARecordAreNotCounted() {
        addTargets(3);
        mTargets.forEach(target -> mMajority.onResponse(target, 1_000));
        mTargets.get(0).setRecorded(false);
        mTargets.get(1).setRecorded(false);
        assertThat(respondedSinceMillis()).isNegative();
    }

    @Example
    void targetsThatAreNotKnownAnyMoreAreNotCounted() {
        addTargets(3);
        mTargets.forEach(target -> mMajority.onResponse(target, 1_000));
        List<TargetState> ended = List.copyOf(mTargets.subList(0, 2));
        mTargets.removeAll(ended);
        assertThat(respondedSinceMillis()).isNegative();
        mTargets.addAll(ended);
        assertThat(respondedSinceMillis()).isNegative();
    }

    @Example
    void noTargetsAreNotMostOfThem() {
        assertThat(respondedSinceMillis()).isNegative();
    }

    /** Each call is at a later time, since the result is kept for a while. */
    private long respondedSinceMillis() {
        mNowMillis += 1_000;
        return mMajority.respondedSinceMillis(mNowMillis);
    }

    private void addTargets(int count) {
        JobScheduler scheduler =
                new JobScheduler(
                        new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()), 1, 0, 0, 0);
        for (int i = 0; i < count; i++) {
            mTargets.add(scheduler.restoreTarget(entry("t" + i), 0));
        }
        mRecords = count;
    }

    private static TargetEntry entry(String id) {
        return new TargetEntry(
                id, 1, "h-" + id, "s", "a:1", "z", "r", Set.of(), ResourceAmounts.NONE, false);
    }
}
