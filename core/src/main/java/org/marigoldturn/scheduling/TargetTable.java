package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All known targets. Confined to the control thread. */
final class TargetTable {
    /** An order to stop is repeated after this time unless the end is listed; a round trip fits. */
    private static final long STOP_RETRY_MILLIS = 400;

    private final RunTracker mRuns;
    private final long mTakeoverMillis;
    private final long mLongestLeaseMillis;
    private final Map<String, TargetState> mTargets = new LinkedHashMap<>();
    private Set<String> mClosedZones = Set.of();
    private boolean mOwnerCertain = true;

    TargetTable(RunTracker runs, long takeoverMillis, long longestLeaseMillis) {
        mRuns = runs;
        mTakeoverMillis = takeoverMillis;
        mLongestLeaseMillis = longestLeaseMillis;
    }

    void setClosedZones(Set<String> zones) {
        mClosedZones = Set.copyOf(zones);
    }

    /** Sets whether nobody else can be the owner. */
    void setOwnerCertain(boolean certain) {
        mOwnerCertain = certain;
        if (certain) {
            mRuns.releaseHeldTasks();
        }
    }

    boolean isOwnerCertain() {
        return mOwnerCertain;
    }

    Collection<TargetState> all() {
        return List.copyOf(mTargets.values());
    }

    boolean contains(TargetState target) {
        return mTargets.get(target.entry().id()) == target;
    }

    /** Adds a target or updates its entry; an earlier life at its id has ended. */
    TargetState list(TargetEntry entry) {
        TargetState known = mTargets.get(entry.id());
        if (known != null && known.entry().isSameLife(entry)) {
            known.update(entry);
            return known;
        }
        if (known != null) {
            mRuns.endAllRuns(known, mOwnerCertain);
        }
        TargetState state = new TargetState(entry);
        mTargets.put(entry.id(), state);
        return state;
    }

    /** Records that the platform's list has no entry for a target. */
    void unlist(String id) {
        TargetState target = mTargets.get(id);
        if (target != null) {
            target.setListed(false);
        }
    }

    /** Records that a target's life has ended, and with it everything that ran there. */
    void end(TargetState target) {
        mRuns.endAllRuns(target, mOwnerCertain);
        mTargets.remove(target.entry().id(), target);
    }

    /**
     * Ends the runs of targets whose lease has certainly ended. If there may be another owner, none
     * has: that owner may have renewed them.
     */
    void expireLeases(long nowMillis) {
        if (!mOwnerCertain) {
            return;
        }
        for (TargetState target : all()) {
            boolean ended = !target.isReachable() && nowMillis > target.leaseEndMillis();
            if (ended && target.leaseEndMillis() > 0) {
                target.abandonUncertainRuns();
                mRuns.endAllRuns(target, mOwnerCertain);
                if (!target.isListed()) {
                    mTargets.remove(target.entry().id());
                }
            }
        }
    }

    /** Returns the orders to stop runs that are due, and counts them as sent. */
    List<Order> beginStops(long nowMillis) {
        List<Order> stops = new ArrayList<>();
        for (TargetState target : mTargets.values()) {
            for (Run run : target.runs()) {
                if (run.beginStop(nowMillis, STOP_RETRY_MILLIS)) {
                    stops.add(new Order.Stop(run));
                }
            }
        }
        return stops;
    }

    /** Returns whether all runs that can exist on a target are known. */
    boolean knowsRuns(TargetState target, long nowMillis) {
        return target.isRead() || nowMillis - mTakeoverMillis >= mLongestLeaseMillis;
    }

    /** Returns the targets of a service that may get new work. */
    List<TargetState> usable(String service, long nowMillis) {
        List<TargetState> usable = new ArrayList<>();
        for (TargetState target : mTargets.values()) {
            if (target.entry().service().equals(service)
                    && (mOwnerCertain || target.wasReadByCertainOwner())
                    && target.accepts(mClosedZones, nowMillis)) {
                usable.add(target);
            }
        }
        return usable;
    }
}
