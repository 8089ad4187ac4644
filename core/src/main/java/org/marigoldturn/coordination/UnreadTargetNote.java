package org.marigoldturn.coordination;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.marigoldturn.jobs.wire.UnreadTargetsRecord;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Tells the next owner which targets this owner has not used, and for how long runs of earlier
 * owners may exist there, so that the wait for their leases does not begin anew with each owner.
 *
 * <p>Invariants: the note in the store under this owner's term names no target to which this owner
 * has granted a lease; only the note of the last term is used, since the owner of a term without a
 * note may have granted leases to any target. Confined to the control thread.
 *
 * @see TakeoverTimes
 */
final class UnreadTargetNote {
    private final long mTerm;
    private final TakeoverTimes mTimes;
    private final GroupCommit mCommits;
    private final Map<Incarnation, Long> mNotedRunsEndMillis = new HashMap<>();
    private final Set<Incarnation> mRemoved = new HashSet<>();
    private long mEarlierLeasesEndWithinMillis;

    private record Incarnation(String targetId, long startedEpochMillis) {
        static Incarnation of(TargetEntry entry) {
            return new Incarnation(entry.id(), entry.startedEpochMillis());
        }
    }

    /** Monotonic times, by target, by which all runs of earlier owners have ended there. */
    static final class RunsEnds {
        private final Map<Incarnation, Long> mMillis = new HashMap<>();
        private OptionalLong mBeforeLastMillis = OptionalLong.empty();

        /**
         * Returns the time by which the leases of owners before the last one have ended; empty if
         * the last owner did not tell it.
         */
        OptionalLong beforeLastMillis() {
            return mBeforeLastMillis;
        }

        boolean has(TargetEntry entry) {
            return mMillis.containsKey(Incarnation.of(entry));
        }

        /** Returns the time for a target; {@link Long#MAX_VALUE} if the last owner noted none. */
        long millis(TargetEntry entry) {
            return mMillis.getOrDefault(Incarnation.of(entry), Long.MAX_VALUE);
        }
    }

    UnreadTargetNote(long term, TakeoverTimes times, GroupCommit commits) {
        mTerm = term;
        mTimes = times;
        mCommits = commits;
    }

    /** Returns what the last owner has noted. */
    RunsEnds restore(Optional<StoredValue> stored) {
        RunsEnds ends = new RunsEnds();
        if (stored.isEmpty()) {
            return ends;
        }
        StoredValue value = stored.get();
        mCommits.recordRevision(value.key(), value.modRevision());
        try {
            UnreadTargetsRecord note = UnreadTargetsRecord.parseFrom(value.value());
            if (note.getTerm() == mTerm - 1) {
                note.getTargetsList().forEach(target -> restore(target, ends));
                if (note.getEarlierLeasesEndWithinMillis() > 0) {
                    ends.mBeforeLastMillis =
                            OptionalLong.of(
                                    mTimes.endMillis(note.getEarlierLeasesEndWithinMillis()));
                }
            }
        } catch (InvalidProtocolBufferException e) {
            Logger.error(e, "owner: event=unreadable-note key={}", value.key());
        }
        return ends;
    }

    private void restore(UnreadTargetsRecord.Target target, RunsEnds ends) {
        ends.mMillis.put(
                new Incarnation(target.getId(), target.getStartedEpochMillis()),
                mTimes.endMillis(target.getRunsEndWithinMillis()));
    }

    /**
     * Notes by when the leases of earlier owners have ended, and the recorded ones of the targets
     * that this owner has not read.
     */
    void write(List<TargetState> unread, long earlierLeasesEndMillis) {
        mEarlierLeasesEndWithinMillis =
                Math.max(1, mTimes.sinceTakeoverMillis(earlierLeasesEndMillis));
        write(unread);
        put();
    }

    /** Notes the recorded ones of the targets that this owner has not read. */
    void write(List<TargetState> unread) {
        write(unread, TargetState::unknownRunsEndMillis);
    }

    /**
     * Notes the recorded ones of the targets that this owner does not reach any more; it must grant
     * them no further lease.
     */
    void writeLost(List<TargetState> lost) {
        write(lost, TargetState::leaseEndMillis);
    }

    private void write(List<TargetState> targets, ToLongFunction<TargetState> runsEndMillis) {
        List<TargetState> recorded = targets.stream().filter(TargetState::isRecorded).toList();
        for (TargetState target : recorded) {
            mNotedRunsEndMillis.put(
                    Incarnation.of(target.entry()), runsEndMillis.applyAsLong(target));
        }
        if (!recorded.isEmpty()) {
            put();
        }
    }

    /**
     * Removes a target that has responded from the note.
     *
     * @return a future that completes once the store does not hold it under this owner's term
     */
    CompletableFuture<Void> remove(TargetEntry entry) {
        Incarnation incarnation = Incarnation.of(entry);
        if (mNotedRunsEndMillis.remove(incarnation) != null) {
            mRemoved.add(incarnation);
            put();
        }
        return mRemoved.contains(incarnation)
                ? mCommits.whenStored(StoreLayout.UNREAD_TARGETS)
                : CompletableFuture.completedFuture(null);
    }

    private void put() {
        UnreadTargetsRecord.Builder note =
                UnreadTargetsRecord.newBuilder()
                        .setTerm(mTerm)
                        .setEarlierLeasesEndWithinMillis(mEarlierLeasesEndWithinMillis);
        mNotedRunsEndMillis.forEach(
                (incarnation, runsEndMillis) ->
                        note.addTargets(
                                UnreadTargetsRecord.Target.newBuilder()
                                        .setId(incarnation.targetId())
                                        .setStartedEpochMillis(incarnation.startedEpochMillis())
                                        .setRunsEndWithinMillis(
                                                mTimes.sinceTakeoverMillis(runsEndMillis))));
        var unused = mCommits.put(StoreLayout.UNREAD_TARGETS, note.build().toByteString());
    }
}
