package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Holds the state of all known targets. Confined to the control thread. */
final class TargetTable {
    /**
     * A stop order is repeated after this time unless the target has listed the end; longer than a
     * round trip.
     */
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

    /** Sets whether it is certain that no other daemon is the owner. */
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

    /**
     * Adds a target or updates its entry. If the entry describes a new incarnation, the earlier one
     * and its runs have ended.
     */
    TargetState addOrUpdate(TargetEntry entry) {
        TargetState known = mTargets.get(entry.id());
        if (known != null && known.entry().isSameIncarnation(entry)) {
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
    void markUnlisted(String id) {
        TargetState target = mTargets.get(id);
        if (target != null) {
            target.setListed(false);
        }
    }

    /** Records that an incarnation of a target has ended, and all its runs with it. */
    void endIncarnation(TargetState target) {
        mRuns.endAllRuns(target, mOwnerCertain);
        mTargets.remove(target.entry().id(), target);
    }

    /**
     * Ends the runs of targets whose lease has certainly expired. While another daemon may be the
     * owner, no lease counts as expired, since that owner may have renewed it.
     */
    void expireLeases(long nowMillis) {
        if (!mOwnerCertain) {
            return;
        }
        for (TargetState target : all()) {
            if (!target.isReachable() && isLeaseOver(target, nowMillis)) {
                target.abandonUnconfirmedRuns();
                mRuns.endAllRuns(target, mOwnerCertain);
                if (!target.isListed()) {
                    mTargets.remove(target.entry().id());
                }
            }
        }
    }

    /** A target that this owner has granted no lease can have one of an earlier owner. */
    private boolean isLeaseOver(TargetState target, long nowMillis) {
        return target.leaseEndMillis() > 0
                ? nowMillis > target.leaseEndMillis()
                : leasesOfEarlierOwnersAreOver(nowMillis);
    }

    private boolean leasesOfEarlierOwnersAreOver(long nowMillis) {
        return nowMillis - mTakeoverMillis >= mLongestLeaseMillis;
    }

    /** Returns the stop orders that are due, and marks them as sent. */
    List<Order> beginStops(long nowMillis) {
        List<Order> stops = new ArrayList<>();
        for (TargetState target : mTargets.values()) {
            target.forEachRun(
                    run -> {
                        if (run.beginStop(nowMillis, STOP_RETRY_MILLIS)) {
                            stops.add(new Order.Stop(run));
                        }
                    });
        }
        return stops;
    }

    /**
     * Returns whether all runs that can exist on a target are known: it has reported, or every
     * lease of an earlier owner has expired.
     */
    boolean knowsRuns(TargetState target, long nowMillis) {
        return target.hasReported() || leasesOfEarlierOwnersAreOver(nowMillis);
    }

    /** Returns whether {@link #knowsRuns} holds for all targets of a service. */
    boolean knowsAllRuns(String service, long nowMillis) {
        for (TargetState target : mTargets.values()) {
            if (target.entry().service().equals(service) && !knowsRuns(target, nowMillis)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the listed target on a host; empty if none is known. */
    Optional<TargetState> listedOn(String hostId) {
        for (TargetState target : mTargets.values()) {
            if (target.isListed() && target.entry().hostId().equals(hostId)) {
                return Optional.of(target);
            }
        }
        return Optional.empty();
    }

    /** Returns the targets of a service on which new tasks may start. */
    List<TargetState> usable(String service, long nowMillis) {
        List<TargetState> usable = new ArrayList<>();
        for (TargetState target : mTargets.values()) {
            if (target.entry().service().equals(service)
                    && (mOwnerCertain || target.hasReportedToCertainOwner())
                    && target.accepts(mClosedZones, nowMillis)) {
                usable.add(target);
            }
        }
        return usable;
    }
}
