package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Keeps a record in the store of each target on which a task may run.
 *
 * <p>The platform's list drops a target that cannot reach the store, while its runs go on under
 * leases that the owner renews. A later owner finds such a target by its record. Invariant: while a
 * run can exist on a target, or an end that it has reported is not stored, the store holds its
 * record. A target that has not reported is not recorded, since a later owner would wait for its
 * response although nothing was started there. A later owner relies on this once the store holds
 * {@link StoreLayout#TARGETS_COMPLETE}; versions that recorded no targets may have run before.
 * Confined to the control thread.
 */
final class TargetRecords {
    private static final ByteString COMPLETE = ByteString.copyFromUtf8("complete");

    private final JobScheduler mScheduler;
    private final GroupCommit mCommits;
    private final long mTerm;
    private final Runnable mOnRecorded;
    private final Map<String, Recorded> mRecords = new HashMap<>();

    /** Records that may still be stored, with the number of the drop that deletes them. */
    private final Map<String, Long> mDropped = new HashMap<>();

    private long mDrops;
    private int mUnreadable;
    private boolean mComplete;

    /**
     * An incarnation whose record was written.
     *
     * @param misdirected what the record tells of a lease that was granted to an earlier
     *     incarnation
     * @param stored completes once the record is stored
     */
    private record Recorded(
            TargetEntry entry, MisdirectedLease misdirected, CompletableFuture<Void> stored) {}

    /**
     * Creates the keeper of one owner's records.
     *
     * @param term the owner's term
     * @param onRecorded to be run when tasks may start on one more target
     */
    TargetRecords(JobScheduler scheduler, GroupCommit commits, long term, Runnable onRecorded) {
        mTerm = term;
        mScheduler = scheduler;
        mCommits = commits;
        mOnRecorded = onRecorded;
    }

    /**
     * Adds the targets that earlier owners have recorded to the scheduler and returns them. Records
     * that cannot be read are logged and left; this owner then also waits for targets that are only
     * listed, as it does while the store does not tell that the records are complete.
     *
     * @param runsEnds when the runs of earlier owners have ended on targets that the last owner has
     *     not used
     */
    List<EarlierTargetLeases.RecordedTarget> restore(
            OwnerRecords records, UnreadTargetNote.RunsEnds runsEnds, long nowMillis) {
        records.targetsComplete()
                .ifPresent(value -> mCommits.recordRevision(value.key(), value.modRevision()));
        mComplete = records.targetsComplete().filter(v -> v.value().equals(COMPLETE)).isPresent();
        List<TargetRecordCodec.Decoded> decoded = new ArrayList<>();
        for (StoredValue record : records.targets()) {
            mCommits.recordRevision(record.key(), record.modRevision());
            try {
                decoded.add(TargetRecordCodec.decode(record));
            } catch (IllegalArgumentException e) {
                // Another writer's record must not keep the other targets from being restored.
                Logger.error(e, "owner: event=unreadable-target key={}", record.key());
                mUnreadable++;
            }
        }
        mScheduler.setTargetRecordsComplete(mComplete && mUnreadable == 0);
        List<EarlierTargetLeases.RecordedTarget> restored = new ArrayList<>();
        for (TargetRecordCodec.Decoded record : decoded) {
            TargetEntry entry = record.entry();
            mRecords.put(
                    entry.id(),
                    new Recorded(
                            entry, record.misdirected(), CompletableFuture.completedFuture(null)));
            TargetState target = restore(record, runsEnds, nowMillis);
            restored.add(new EarlierTargetLeases.RecordedTarget(target, record.term()));
        }
        return restored;
    }

    private TargetState restore(
            TargetRecordCodec.Decoded record, UnreadTargetNote.RunsEnds runsEnds, long nowMillis) {
        TargetEntry entry = record.entry();
        MisdirectedLease misdirected = record.misdirected();
        return misdirected.mayHold()
                ? mScheduler.restoreRestartedTarget(
                        entry, misdirected.earlier(), misdirected.millis(), nowMillis)
                : mScheduler.restoreTarget(entry, runsEnds.millis(entry), nowMillis);
    }

    /**
     * Tells later owners that each target on which a task may run has a record. To be called once
     * all runs of earlier owners are known.
     */
    void markComplete() {
        if (!mComplete) {
            mComplete = true;
            var unused = mCommits.put(StoreLayout.TARGETS_COMPLETE, COMPLETE);
        }
    }

    /** Writes the record of a target that has reported, unless there is one of this incarnation. */
    void add(TargetState target, long nowMillis) {
        boolean usable = target.isListed() || target.mayHoldMisdirectedLease(nowMillis);
        if (target.isRecorded() || !target.hasReported() || !usable) {
            return;
        }
        TargetEntry entry = target.entry();
        Recorded recorded = mRecords.get(entry.id());
        if (recorded == null || !recorded.entry().isSameIncarnation(entry)) {
            recorded = write(entry, misdirectedLease(target, nowMillis));
        }
        var unused = recorded.stored().thenRun(() -> onStored(target));
    }

    private Recorded write(TargetEntry entry, MisdirectedLease misdirected) {
        Recorded recorded =
                new Recorded(
                        entry,
                        misdirected,
                        mCommits.put(
                                StoreLayout.target(entry.id()),
                                TargetRecordCodec.encode(entry, misdirected, mTerm)));
        mRecords.put(entry.id(), recorded);
        return recorded;
    }

    private void onStored(TargetState target) {
        // The record may have been dropped before it was stored.
        if (!target.isRecorded() && mRecords.containsKey(target.entry().id())) {
            target.setRecorded(true);
            mOnRecorded.run();
        }
    }

    /**
     * Deletes the records of targets on which nothing can run and nothing will start: those that
     * the scheduler has dropped, and idle ones that the platform does not list. A target that ended
     * may be known again from a late change of its entry; it has not reported then. The record of
     * an incarnation stays while the next one may carry out its calls. Records tell while it is so
     * that a lease may hold that was granted to an earlier incarnation.
     */
    void update(long nowMillis) {
        Set<String> inUse = new HashSet<>();
        for (TargetState target : mScheduler.targets()) {
            if (isUnused(target, nowMillis)) {
                target.setRecorded(false);
            } else if (target.isRecorded()
                    || target.hasReported()
                    || target.mayTakeMisdirectedCalls(nowMillis)) {
                inUse.add(target.entry().id());
                updateMisdirected(target, nowMillis);
            }
        }
        for (String id : List.copyOf(mRecords.keySet())) {
            if (!inUse.contains(id)) {
                drop(id);
            }
        }
    }

    /**
     * Tells later owners that a target has restarted and may have carried out calls for its earlier
     * incarnation.
     *
     * @return a future that completes once the store tells that; the report of the next incarnation
     *     must not be used before
     */
    CompletableFuture<Void> markRestarted(TargetState next, long nowMillis) {
        Recorded recorded = mRecords.get(next.entry().id());
        if (recorded == null || !next.mayTakeMisdirectedCalls(nowMillis)) {
            return CompletableFuture.completedFuture(null);
        }
        boolean marked = recorded.misdirected().earlier().containsAll(next.earlierIncarnations());
        return marked
                ? recorded.stored()
                : write(recorded.entry(), misdirectedLease(next, nowMillis)).stored();
    }

    private void updateMisdirected(TargetState target, long nowMillis) {
        Recorded recorded = mRecords.get(target.entry().id());
        boolean isOver =
                recorded != null
                        && recorded.misdirected().mayHold()
                        && target.hasReported()
                        && recorded.entry().isSameIncarnation(target.entry())
                        && !target.mayHoldMisdirectedLease(nowMillis);
        if (isOver) {
            write(target.entry(), MisdirectedLease.NONE);
        }
    }

    private static MisdirectedLease misdirectedLease(TargetState target, long nowMillis) {
        return target.mayHoldMisdirectedLease(nowMillis)
                ? new MisdirectedLease(
                        target.misdirectedLeaseEndMillis() - nowMillis,
                        target.earlierIncarnations())
                : MisdirectedLease.NONE;
    }

    /** Returns how many records of targets the store may hold. */
    int count() {
        long droppedOnly =
                mDropped.keySet().stream().filter(id -> !mRecords.containsKey(id)).count();
        return mRecords.size() + (int) droppedOnly + mUnreadable;
    }

    /** Until the ends that the target has reported are stored, a later owner must find it. */
    private void drop(String id) {
        mRecords.remove(id);
        long drop = ++mDrops;
        mDropped.put(id, drop);
        var unused = mCommits.flush().thenRun(() -> deleteUnlessAddedAgain(id, drop));
    }

    private static boolean isUnused(TargetState target, long nowMillis) {
        return !target.isListed()
                && target.hasReported()
                && target.isIdle()
                && !target.mayHoldMisdirectedLease(nowMillis);
    }

    private void deleteUnlessAddedAgain(String id, long drop) {
        if (!mRecords.containsKey(id)) {
            var unused =
                    mCommits.delete(StoreLayout.target(id))
                            .thenRun(() -> mDropped.remove(id, drop));
        }
    }
}
