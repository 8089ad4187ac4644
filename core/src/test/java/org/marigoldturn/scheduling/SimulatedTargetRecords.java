package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Keeps one owner's records of targets in the store, as the real owner does. */
final class SimulatedTargetRecords {
    private final ScheduleSimulation mSimulation;
    private final JobScheduler mScheduler;
    private final long mTerm;
    private final Map<String, Stored> mRecords = new HashMap<>();

    /**
     * A record.
     *
     * @param misdirected whether the target may hold a lease for an earlier incarnation
     */
    record Stored(TargetEntry entry, boolean misdirected) {}

    SimulatedTargetRecords(ScheduleSimulation simulation, JobScheduler scheduler) {
        mSimulation = simulation;
        mScheduler = scheduler;
        mTerm = simulation.term();
    }

    /** Adds the recorded targets to the scheduler and returns them. */
    List<TargetState> restore() {
        mRecords.putAll(mSimulation.storedTargets());
        return mRecords.values().stream()
                .map(
                        stored ->
                                mScheduler.restoreTarget(
                                        stored.entry(),
                                        Long.MAX_VALUE,
                                        stored.misdirected(),
                                        mSimulation.nowMillis()))
                .toList();
    }

    /** Writes the record of a target that has reported, unless there is one. */
    void add(TargetState target) {
        boolean misdirected = target.mayHoldMisdirectedLease(mSimulation.nowMillis());
        boolean usable = target.isListed() || misdirected;
        if (target.isRecorded() || !target.hasReported() || !usable) {
            return;
        }
        TargetEntry entry = target.entry();
        Stored stored = mRecords.get(entry.id());
        boolean hasRecord = stored != null && stored.entry().isSameIncarnation(entry);
        if (hasRecord || write(new Stored(entry, misdirected))) {
            target.setRecorded(true);
        }
    }

    private boolean write(Stored stored) {
        if (!mSimulation.storeTarget(mTerm, stored)) {
            return false;
        }
        mRecords.put(stored.entry().id(), stored);
        return true;
    }

    /** Deletes the records of targets on which nothing can run, and updates the others. */
    void update() {
        Set<String> inUse = new HashSet<>();
        for (TargetState target : mScheduler.targets()) {
            if (isUnused(target)) {
                target.setRecorded(false);
            } else if (target.isRecorded()
                    || target.hasReported()
                    || target.mayTakeMisdirectedCalls()) {
                inUse.add(target.entry().id());
                updateMisdirected(target);
            }
        }
        mRecords.keySet().retainAll(inUse);
        mSimulation.retainTargets(mTerm, inUse);
    }

    private boolean isUnused(TargetState target) {
        return !target.isListed()
                && target.hasReported()
                && target.isIdle()
                && !target.mayHoldMisdirectedLease(mSimulation.nowMillis());
    }

    private void updateMisdirected(TargetState target) {
        Stored stored = mRecords.get(target.entry().id());
        if (stored == null) {
            return;
        }
        boolean mayStillHold =
                !target.hasReported() || target.mayHoldMisdirectedLease(mSimulation.nowMillis());
        boolean misdirected =
                target.mayTakeMisdirectedCalls() || stored.misdirected() && mayStillHold;
        if (misdirected != stored.misdirected()) {
            write(new Stored(stored.entry(), misdirected));
        }
    }
}
