package org.marigoldturn.coordination;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.PrefixMirror;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.UnusableEntries;

/**
 * Finds the targets of one owner, in the platform's list and in the records of earlier owners, and
 * opens a session with each. Confined to the control thread.
 *
 * @see TargetRecords
 */
final class TargetList implements PrefixMirror.Listener {
    /**
     * The list of targets in the store changes with each heartbeat of each target; the pause
     * between watches combines several changes.
     */
    private static final PrefixMirror.Options MIRROR = new PrefixMirror.Options(1_500, 250, 500);

    private final OwnerContext mContext;
    private final JobScheduler mScheduler;
    private final TargetSessions mSessions;
    private final TargetRecords mRecords;
    private final RunLog mRunLog;
    private final Listener mListener;
    private final UnusableEntries mUnusableEntries;
    private final PrefixMirror mMirror;

    /** Is notified of changes of the targets. */
    interface Listener {
        /** An entry is about to be applied. */
        void beforeTargetChange();

        /** All entries of the platform's list at the last call to the store were applied. */
        void onTargetsUpToDate();

        /** The record of one more target is stored. */
        void onTargetRecorded();
    }

    TargetList(
            OwnerContext context,
            JobScheduler scheduler,
            TargetSessions sessions,
            GroupCommit commits,
            RunLog runLog,
            Listener listener) {
        mContext = context;
        mScheduler = scheduler;
        mSessions = sessions;
        mRunLog = runLog;
        mRecords =
                new TargetRecords(scheduler, commits, context.term(), listener::onTargetRecorded);
        mListener = listener;
        mUnusableEntries =
                new UnusableEntries(
                        "target", context.metrics().counter("entries.unusable.targets"));
        mMirror =
                new PrefixMirror(
                        context.store(),
                        context.formats().targetPrefix(),
                        MIRROR,
                        this,
                        context.control(),
                        (delay, task) -> context.control().after("target watch", delay, task),
                        context.clocks().monotonicMillis());
    }

    /** Adds the recorded targets and returns them. */
    List<EarlierTargetLeases.RecordedTarget> restore(
            OwnerRecords records, UnreadTargetNote.RunsEnds runsEnds) {
        List<EarlierTargetLeases.RecordedTarget> restored =
                mRecords.restore(records, runsEnds, mContext.clocks().now());
        restored.forEach(recorded -> mSessions.open(recorded.target()));
        return restored;
    }

    /** Starts to follow the platform's list. */
    void start() {
        mMirror.start();
    }

    /** Returns how many records of targets the store may hold. */
    int countRecords() {
        return mRecords.count();
    }

    void close() {
        mMirror.close();
        mUnusableEntries.clear();
    }

    /** Records a target that has reported, so that tasks may start there. */
    void onReport(TargetState target) {
        mRecords.add(target, mContext.clocks().now());
    }

    /** Tells later owners that all targets that may be in use are recorded, once that is so. */
    void markRecordsComplete(long nowMillis) {
        if (mScheduler.targetsWithUnknownRuns(nowMillis).isEmpty()) {
            mRecords.markComplete();
        }
    }

    /** Opens a session with the next incarnation of a target, which responds in its place. */
    void onRestarted(TargetState target, long startedEpochMillis, long nowMillis) {
        TargetState next = mScheduler.onTargetRestarted(target, startedEpochMillis, nowMillis);
        mRunLog.logEndedRuns(mScheduler.takeEndedRuns(), nowMillis);
        var unused = markRestarted(next, nowMillis);
        mSessions.open(next);
    }

    /**
     * Tells later owners that a target has restarted, if it has.
     *
     * @return a future that completes when the first report of the next incarnation may be used
     */
    CompletableFuture<Void> markRestarted(TargetState next, long nowMillis) {
        return mRecords.markRestarted(next, nowMillis);
    }

    /**
     * Ends the sessions of targets that the scheduler has dropped, and updates the records of the
     * others.
     */
    void updateRecords(long nowMillis) {
        mSessions.retain(mScheduler.targets());
        mRecords.update(nowMillis);
    }

    @Override
    public void onValue(StoredValue value) {
        Either<PlatformFormats.Unusable, TargetEntry> entry = mContext.formats().target(value);
        if (entry.isLeft()) {
            // What is known of the target stays in use: another writer may have left the entry.
            mUnusableEntries.add(value, entry.getLeft().reason(), mContext.clocks().now());
            return;
        }
        mUnusableEntries.remove(value.key());
        mListener.beforeTargetChange();
        long now = mContext.clocks().now();
        TargetState target = mScheduler.onTargetListed(entry.get(), now);
        mRunLog.logEndedRuns(mScheduler.takeEndedRuns(), now);
        mRecords.add(target, now);
        var unused = markRestarted(target, now);
        mSessions.open(target);
    }

    @Override
    public void onRemoved(String key) {
        mUnusableEntries.remove(key);
        mScheduler.onTargetUnlisted(mContext.formats().targetId(key));
    }

    @Override
    public void onUpToDate() {
        mListener.onTargetsUpToDate();
    }

    @Override
    public void onInterrupted(Throwable cause) {
        // The mirror logs this; targets that respond stay in use.
    }
}
