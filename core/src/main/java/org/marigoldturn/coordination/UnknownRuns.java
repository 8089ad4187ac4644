package org.marigoldturn.coordination;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Bounds the time for which runs of earlier owners may exist on targets that this owner has not
 * read, and tells the next owner what is left of it.
 *
 * <p>Invariant: no time is passed on that the monotonic clock measures too short because the host
 * was suspended since the takeover. Confined to the control thread.
 *
 * @see TargetLeases
 * @see UnreadTargetNote
 */
final class UnknownRuns {
    /** The wall clock and the monotonic clock of a host that is not suspended differ by less. */
    private static final long CLOCK_DRIFT_MILLIS = 100;

    private final OwnerContext mContext;
    private final UnreadTargetNote mNote;
    private final long mElectedMillis;
    private final long mElectedEpochMillis;
    private JobScheduler mScheduler;
    private EarlierTargetLeases mEarlierLeases;
    private boolean mServing;

    /** Creates the bounds of one owner that has just learnt of its takeover. */
    UnknownRuns(OwnerContext context, GroupCommit commits) {
        mContext = context;
        mNote = new UnreadTargetNote(context.term(), context.times(), commits);
        mElectedMillis = context.clocks().now();
        mElectedEpochMillis = context.clocks().epoch();
    }

    /** Returns the monotonic time at which this owner learnt of its takeover. */
    long electedMillis() {
        return mElectedMillis;
    }

    /**
     * Returns the time after the takeover after which all leases of earlier owners have ended,
     * whatever targets respond.
     */
    long longestMillis() {
        return TargetLeases.earlierEndMillis(
                        mContext.times(), mContext.limits().leaseMillis(), mElectedMillis)
                - mElectedMillis;
    }

    /** Restores the recorded targets with what the last owner has noted of them. */
    void restore(JobScheduler scheduler, TargetList targets, OwnerRecords records) {
        mScheduler = scheduler;
        UnreadTargetNote.RunsEnds noted = mNote.restore(records.unreadTargets());
        List<EarlierTargetLeases.RecordedTarget> recorded = targets.restore(records, noted);
        // The next owner needs the note of the last one if this one is replaced before it serves.
        mNote.write(
                recorded.stream()
                        .map(EarlierTargetLeases.RecordedTarget::target)
                        .filter(target -> noted.has(target.entry()))
                        .toList());
        long leaseMillis = mContext.limits().leaseMillis();
        long beforeLastEndMillis =
                noted.beforeLastMillis()
                        .orElse(
                                TargetLeases.beforeLastEndMillis(
                                        mContext.times(), leaseMillis, mElectedMillis));
        mEarlierLeases =
                new EarlierTargetLeases(
                        mContext.times(),
                        leaseMillis,
                        mElectedMillis,
                        beforeLastEndMillis,
                        records.targets().size(),
                        recorded);
    }

    /** Notes the targets that have not been read when this owner begins to serve. */
    void onServing() {
        mServing = true;
        mNote.write(unread());
    }

    /**
     * Removes a target that has responded for the first time from the note.
     *
     * @return a future that completes when its report may be processed
     */
    CompletableFuture<Void> onFirstResponse(TargetEntry entry) {
        return mNote.remove(entry);
    }

    /** Shortens the wait once most recorded targets have reported to this owner or have ended. */
    void onTargetKnown() {
        OptionalLong end =
                mEarlierLeases.endMillis(
                        target -> !mScheduler.isKnown(target), mContext.clocks().now());
        if (end.isEmpty()) {
            return;
        }
        Logger.info(
                "owner: event=most-targets-read term={} earlierLeasesEndInMillis={}",
                mContext.term(),
                end.getAsLong() - mContext.clocks().now());
        mScheduler.shortenEarlierLeases(end.getAsLong());
        if (!wasSuspended()) {
            // Targets that are noted wait for a write before they are used.
            mNote.write(mServing ? unread() : List.of(), end.getAsLong());
        }
    }

    /**
     * Notes when the leases end that this owner has granted to targets that it does not reach any
     * more, and gives these targets up.
     */
    void noteLostTargets(TargetSessions sessions) {
        if (!mServing) {
            return;
        }
        List<TargetState> lost =
                mScheduler.targets().stream()
                        .filter(target -> target.hasReported() && !target.isReachable())
                        .toList();
        lost.forEach(sessions::giveUp);
        if (!wasSuspended()) {
            mNote.writeLost(lost);
        }
    }

    private List<TargetState> unread() {
        return mScheduler.targetsWithUnknownRuns(mContext.clocks().now());
    }

    private boolean wasSuspended() {
        long monotonicMillis = mContext.clocks().now() - mElectedMillis;
        long epochMillis = mContext.clocks().epoch() - mElectedEpochMillis;
        return epochMillis - monotonicMillis > CLOCK_DRIFT_MILLIS;
    }
}
