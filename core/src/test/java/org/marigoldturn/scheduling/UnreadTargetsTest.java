package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.entry;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;

import net.jqwik.api.Example;
import org.marigoldturn.jobs.JobProgress;

/** Guards against restored tasks that wait for targets on which they cannot run. */
class UnreadTargetsTest {
    private final SchedulerFixture mFixture = new SchedulerFixture(2);

    /** Guards against a wait for a target that is listed but was never used. */
    @Example
    void restoredTasksDoNotWaitForATargetThatNoOwnerHasUsed() {
        mFixture.mScheduler.setTargetRecordsComplete(true);
        restoreLongRunningJob();
        mFixture.mScheduler.onTargetListed(entry("unread", 1, 4_000), mFixture.mNowMillis);
        mFixture.addTarget("read", 4_000);
        assertThat(mFixture.starts()).hasSize(1);
    }

    /** Guards against a second run beside the one on a target that cannot be read. */
    @Example
    void restoredTasksWaitForARecordedTargetUntilItsLeaseIsOver() {
        mFixture.mScheduler.setTargetRecordsComplete(true);
        restoreLongRunningJob();
        mFixture.mScheduler.restoreTarget(entry("unread", 1, 4_000), mFixture.mNowMillis);
        mFixture.addTarget("read", 4_000);
        assertThat(mFixture.starts()).isEmpty();
        mFixture.mNowMillis += SchedulerFixture.LONGEST_LEASE_MILLIS;
        assertThat(mFixture.starts()).hasSize(1);
    }

    /** Guards against a second run of a task whose end the responding target still lists. */
    @Example
    void restoredTasksWaitForATargetWhoseFirstReportIsDue() {
        mFixture.mScheduler.setTargetRecordsComplete(true);
        restoreLongRunningJob();
        TargetState unread =
                mFixture.mScheduler.restoreTarget(entry("unread", 1, 4_000), mFixture.mNowMillis);
        mFixture.addTarget("read", 4_000);
        unread.setFirstReportDue(true);
        mFixture.mNowMillis += SchedulerFixture.LONGEST_LEASE_MILLIS;
        assertThat(mFixture.starts()).isEmpty();
        unread.setFirstReportDue(false);
        assertThat(mFixture.starts()).hasSize(1);
    }

    /** Guards against a wait for a target whose process has ended, with all runs there. */
    @Example
    void restoredTasksDoNotWaitForARecordedTargetThatHasEnded() {
        mFixture.mScheduler.setTargetRecordsComplete(true);
        restoreLongRunningJob();
        TargetState unread =
                mFixture.mScheduler.restoreTarget(entry("unread", 1, 4_000), mFixture.mNowMillis);
        mFixture.addTarget("read", 4_000);
        mFixture.mScheduler.onTargetEnded(unread, mFixture.mNowMillis);
        assertThat(mFixture.starts()).hasSize(1);
    }

    /** Guards against tasks that a newer owner has recorded as done on a target that then ended. */
    @Example
    void restoredTasksWaitForAConfirmationAfterAnUnreadTargetHasEnded() {
        mFixture.mScheduler.setTargetRecordsComplete(true);
        restoreLongRunningJob();
        TargetState unread =
                mFixture.mScheduler.restoreTarget(entry("unread", 1, 4_000), mFixture.mNowMillis);
        mFixture.addTarget("read", 4_000);
        mFixture.mScheduler.setOwnership(true, mFixture.mNowMillis - 1);
        mFixture.mScheduler.onTargetEnded(unread, mFixture.mNowMillis);
        assertThat(mFixture.starts()).isEmpty();
        assertThat(mFixture.mScheduler.lacksConfirmation(mFixture.mNowMillis)).isTrue();
        mFixture.mScheduler.setOwnership(true, mFixture.mNowMillis);
        assertThat(mFixture.starts()).hasSize(1);
    }

    private void restoreLongRunningJob() {
        mFixture.mScheduler.restore(
                job("j1", "account", longRunning(1, 1_000, 1)),
                JobProgress.NONE,
                mFixture.mNowMillis);
    }
}
