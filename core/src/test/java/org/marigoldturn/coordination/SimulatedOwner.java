package org.marigoldturn.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/**
 * A simulated owner that follows its targets and grants leases as {@link OwnerRole} and {@link
 * TargetSession} do.
 */
final class SimulatedOwner {
    private static final long LEASE_MILLIS = new JobLimits(10_000, 1).leaseMillis();
    private static final long CLOCK_DRIFT_MILLIS = 100;
    private static final long POLL_INTERVAL_MILLIS = 300;
    private static final long FIRST_POLLS_MILLIS = 250;
    private static final TargetReport REPORT = new TargetReport(1, List.of(), List.of(), true);

    private final TakeoverSimulation mWorld;
    private final SimulatedDaemon mDaemon;
    private final long mTerm;
    private final TakeoverTimes mTimes;
    private final long mElectedMillis;
    private final OwnershipLease mLease = new OwnershipLease();
    private final JobScheduler mScheduler;
    private final List<TargetState> mTargets = new ArrayList<>();
    private final TargetMajority mMajority;
    private final EarlierTargetLeases mEarlierLeases;
    private final long[] mNextPollMillis = new long[TakeoverSimulation.TARGETS];
    private final long[] mTargetClockMillis = new long[TakeoverSimulation.TARGETS];
    private final long[] mClockReadMillis = new long[TakeoverSimulation.TARGETS];
    private final long mElectedEpochMillis;
    private OptionalLong mLostWithinMillis = OptionalLong.empty();
    private long mEarlierWithinMillis;
    private boolean mServing;

    SimulatedOwner(
            TakeoverSimulation world,
            SimulatedDaemon daemon,
            long term,
            TakeoverTimes times,
            long sentMillis,
            long sentEpochMillis) {
        mWorld = world;
        mDaemon = daemon;
        mTerm = term;
        mTimes = times;
        mElectedMillis = daemon.monotonicMillis();
        mElectedEpochMillis = world.mNowMillis;
        mLease.confirm(sentMillis, sentEpochMillis);
        long earlierEndMillis = TargetLeases.earlierEndMillis(times, LEASE_MILLIS, mElectedMillis);
        mScheduler =
                new JobScheduler(
                        new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                        term,
                        mElectedMillis,
                        earlierEndMillis - mElectedMillis,
                        earlierEndMillis - mElectedMillis);
        Optional<TakeoverSimulation.Note> noted =
                world.note().filter(note -> note.term() == term - 1);
        OptionalLong lostWithin =
                noted.map(TakeoverSimulation.Note::lostWithinMillis).orElse(OptionalLong.empty());
        long notedEndMillis =
                lostWithin.isPresent() ? times.endMillis(lostWithin.getAsLong()) : Long.MAX_VALUE;
        long beforeLastEndMillis =
                noted.filter(note -> note.earlierWithinMillis() > 0)
                        .map(note -> times.endMillis(note.earlierWithinMillis()))
                        .orElseGet(
                                () ->
                                        TargetLeases.beforeLastEndMillis(
                                                times, LEASE_MILLIS, mElectedMillis));
        for (int i = 0; i < TakeoverSimulation.TARGETS; i++) {
            long endMillis = i == 0 ? notedEndMillis : Long.MAX_VALUE;
            mTargets.add(mScheduler.restoreTarget(entry(i), endMillis, mElectedMillis));
            mNextPollMillis[i] = mElectedMillis + world.mRandom.nextInt(20) * 10;
        }
        mMajority = new TargetMajority(mScheduler::targets, mTargets::size);
        mEarlierLeases =
                new EarlierTargetLeases(
                        times,
                        LEASE_MILLIS,
                        mElectedMillis,
                        beforeLastEndMillis,
                        mTargets.size(),
                        mTargets.stream()
                                .map(t -> new EarlierTargetLeases.RecordedTarget(t, 0))
                                .toList());
    }

    long term() {
        return mTerm;
    }

    long electedEpochMillis() {
        return mElectedEpochMillis;
    }

    TakeoverTimes times() {
        return mTimes;
    }

    SimulatedDaemon daemon() {
        return mDaemon;
    }

    /** The store has confirmed the ownership now. */
    void confirm() {
        mLease.confirm(now(), mWorld.mNowMillis);
        updateOwnership();
    }

    /** Returns whether the lost target's runs are over but for a confirmation. */
    boolean lacksConfirmation() {
        return isOverAt(now()) && !countsAsOver();
    }

    /** Returns whether this owner starts the lost target's tasks elsewhere. */
    boolean countsAsOver() {
        return isOverAt(Math.min(now(), mLease.confirmedMillis()));
    }

    private boolean isOverAt(long timeMillis) {
        TargetState target = mTargets.get(0);
        if (target.isReachable()) {
            return false;
        }
        return target.leaseEndMillis() > 0
                ? timeMillis > target.leaseEndMillis()
                : timeMillis >= target.unknownRunsEndMillis();
    }

    /** Follows the targets; returns whether no target has seen a newer owner. */
    boolean step() {
        updateOwnership();
        if (!mServing && now() >= mElectedMillis + FIRST_POLLS_MILLIS) {
            mServing = true;
            noteUnreadTarget();
        }
        for (int i = 0; i < mTargets.size(); i++) {
            if (now() >= mNextPollMillis[i]) {
                mNextPollMillis[i] = now() + POLL_INTERVAL_MILLIS;
                if (!poll(i)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean poll(int index) {
        TargetState target = mTargets.get(index);
        SimulatedTargetLease simulated = mWorld.mTargets[index];
        long lease = target.isReachable() ? grantLease(index) : 0;
        if (!mDaemon.reaches(index)) {
            simulated.pollWithoutResponse(mTerm, lease);
            target.setReachable(false);
            return true;
        }
        if (!simulated.poll(mTerm, lease)) {
            return false;
        }
        boolean first = !target.hasReported();
        if (first && index == 0 && mLostWithinMillis.isPresent() && !removeNote()) {
            return true;
        }
        mTargetClockMillis[index] = simulated.clockMillis(mWorld.mNowMillis);
        mClockReadMillis[index] = now();
        if (first) {
            target.keepEarlierLease(now(), TargetLeases.LONGEST_UNBOUNDED_MILLIS);
        }
        target.setReachable(true);
        mScheduler.onReport(target, REPORT, now(), now(), mWorld.mNowMillis);
        mMajority.onResponse(target, now());
        shortenEarlierLeases();
        return true;
    }

    private long grantLease(int index) {
        long now = now();
        long suspendedMillis = mLease.suspendedMillis(now, mWorld.mNowMillis);
        long endMillis =
                mLease.mayRenew(now, mWorld.mNowMillis)
                        ? TargetLeases.endMillis(
                                now,
                                LEASE_MILLIS,
                                mLease.confirmedMillis() - suspendedMillis,
                                () -> mMajority.respondedSinceMillis(now) - suspendedMillis)
                        : now;
        if (endMillis < now + TargetLeases.SHORTEST_MILLIS) {
            return 0;
        }
        long lengthMillis = endMillis - mClockReadMillis[index];
        mTargets.get(index)
                .extendLease(mClockReadMillis[index] + (long) Math.ceil(lengthMillis / 0.98));
        return mTargetClockMillis[index] + lengthMillis;
    }

    private void shortenEarlierLeases() {
        OptionalLong end = mEarlierLeases.endMillis(target -> false, now());
        if (end.isPresent()) {
            mScheduler.shortenEarlierLeases(end.getAsLong());
            if (canWrite()) {
                mEarlierWithinMillis = Math.max(1, mTimes.sinceTakeoverMillis(end.getAsLong()));
                writeNote();
                if (mServing) {
                    noteUnreadTarget();
                }
            }
        }
    }

    private void noteUnreadTarget() {
        if (mTargets.get(0).mayHaveUnknownRuns() && canWrite()) {
            noteLost(mTargets.get(0).unknownRunsEndMillis());
        }
    }

    /** Tells the next owner when the lease ends of the target that is not reached any more. */
    void noteLostTarget() {
        TargetState target = mTargets.get(0);
        if (mServing && target.hasReported() && !target.isReachable() && canWrite()) {
            noteLost(target.leaseEndMillis());
        }
    }

    private void noteLost(long runsEndMillis) {
        mLostWithinMillis = OptionalLong.of(mTimes.sinceTakeoverMillis(runsEndMillis));
        writeNote();
    }

    private void writeNote() {
        mWorld.writeNote(
                new TakeoverSimulation.Note(mTerm, mLostWithinMillis, mEarlierWithinMillis));
    }

    private boolean removeNote() {
        if (!canWrite()) {
            return false;
        }
        mLostWithinMillis = OptionalLong.empty();
        writeNote();
        return true;
    }

    private boolean canWrite() {
        long suspendedMillis = (mWorld.mNowMillis - mElectedEpochMillis) - (now() - mElectedMillis);
        return mDaemon.reachesStore()
                && mWorld.isNewest(mTerm)
                && suspendedMillis <= CLOCK_DRIFT_MILLIS;
    }

    private void updateOwnership() {
        boolean certain = mLease.isCertain(now(), mWorld.mNowMillis);
        mScheduler.setOwnership(certain, mLease.confirmedMillis());
    }

    private long now() {
        return mDaemon.monotonicMillis();
    }

    private static TargetEntry entry(int index) {
        return new TargetEntry(
                "t" + index,
                1,
                "h" + index,
                "s",
                "a:" + index,
                "z",
                "r",
                Set.of(),
                ResourceAmounts.NONE,
                false);
    }
}
