package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Holds the state of all known targets.
 *
 * <p>Invariants: restored tasks of a queue start only once the runs of all targets of its services
 * that an earlier owner may have used are known; a lease counts as ended, and the tasks of a target
 * that has ended start again, only once it is known that no other daemon was the owner at that
 * time, since a newer owner may have renewed the lease or recorded the tasks as done. Confined to
 * the control thread.
 */
final class TargetTable {
    /**
     * A stop order is repeated after this time unless the target has listed the end; longer than a
     * round trip.
     */
    private static final long STOP_RETRY_MILLIS = 400;

    /** Targets that respond at all report to a new owner of hundreds of them within this time. */
    private static final long FIRST_REPORT_MILLIS = 2_000;

    private final RunTracker mRuns;
    private final long mTakeoverMillis;
    private final long mLongestHeldLeaseMillis;
    private long mEarlierLeasesEndMillis;
    private long mContacts;
    private final DroppedTargets mDropped;
    private final Map<String, TargetState> mTargets = new LinkedHashMap<>();
    private Set<String> mClosedZones = Set.of();
    private boolean mOwnerCertain = true;
    private long mConfirmedMillis;
    private boolean mRecordsComplete;

    private final List<EndedRuns> mEndedRuns = new ArrayList<>();

    /** By service, when a target with unknown runs ended last. */
    private final Map<String, Long> mUnreadEndMillis = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param longestLeaseMillis time after the takeover after which all leases have ended that
     *     earlier owners have granted
     * @param longestHeldLeaseMillis longest time that a target holds a lease, whatever it names
     */
    TargetTable(
            RunTracker runs,
            long takeoverMillis,
            long longestLeaseMillis,
            long longestHeldLeaseMillis) {
        mRuns = runs;
        mTakeoverMillis = takeoverMillis;
        mLongestHeldLeaseMillis = longestHeldLeaseMillis;
        mDropped = new DroppedTargets(2 * longestHeldLeaseMillis);
        mConfirmedMillis = takeoverMillis;
        mEarlierLeasesEndMillis = takeoverMillis + longestLeaseMillis;
    }

    void setClosedZones(Set<String> zones) {
        mClosedZones = Set.copyOf(zones);
    }

    /**
     * Sets whether no other daemon can be the owner now, and the latest time at which the store has
     * shown that none was.
     */
    void setOwnership(boolean certain, long confirmedMillis) {
        mOwnerCertain = certain;
        mConfirmedMillis = confirmedMillis;
        mRuns.releaseHeldTasks(confirmedMillis);
    }

    /**
     * Returns whether leases or held tasks wait only for a later confirmation that no other daemon
     * is the owner.
     */
    boolean lacksConfirmation(long nowMillis) {
        long provenMillis = provenMillis(nowMillis);
        for (TargetState target : mTargets.values()) {
            boolean leaseIsOver =
                    !target.isReachable()
                            && isLeaseOver(target, nowMillis)
                            && !isLeaseOver(target, provenMillis);
            boolean unknownRunsAreOver =
                    knowsRunsAt(target, nowMillis) && !knowsRunsAt(target, provenMillis);
            if (leaseIsOver || unknownRunsAreOver) {
                return true;
            }
        }
        return mRuns.hasHeldTasks()
                || mUnreadEndMillis.values().stream().anyMatch(ended -> ended > mConfirmedMillis);
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
     * and the runs that it has listed have ended. The entry of an earlier incarnation is ignored if
     * the known one has responded before it was listed.
     */
    TargetState addOrUpdate(TargetEntry entry, long nowMillis) {
        TargetState known = mTargets.get(entry.id());
        if (known == null) {
            return addUnknown(entry, nowMillis);
        }
        if (known.isPresentIncarnation(entry)) {
            known.update(entry);
            return known;
        }
        if (known.isPredecessor(entry)) {
            return known;
        }
        return replace(known, entry, EndedRuns.Cause.REPLACED, nowMillis);
    }

    /**
     * Adds a target that an earlier owner has recorded; it counts as unlisted until the platform's
     * list contains it.
     *
     * @param runsEndMillis monotonic time by which all runs of earlier owners have ended there, if
     *     that is earlier than for all targets
     */
    TargetState restore(TargetEntry entry, long runsEndMillis, long nowMillis) {
        TargetState target = addOrUpdate(entry, nowMillis);
        target.setListed(false);
        target.setRecorded(true);
        target.markUsedByEarlierOwners(Math.min(runsEndMillis, longestLeaseEndMillis()));
        return target;
    }

    /**
     * Adds a recorded target that may hold a lease that was granted to an earlier incarnation.
     *
     * @param earlier the earlier incarnations
     * @param leaseMillis for how long after a takeover it may hold that lease
     */
    TargetState restoreRestarted(
            TargetEntry entry, EarlierIncarnations earlier, long leaseMillis, long nowMillis) {
        long leaseEndMillis = mTakeoverMillis + leaseMillis;
        TargetState target = restore(entry, Long.MAX_VALUE, nowMillis);
        target.setMisdirected(MisdirectedCalls.recorded(earlier, leaseEndMillis));
        target.markUsedByEarlierOwners(Math.max(longestLeaseEndMillis(), leaseEndMillis));
        return target;
    }

    /**
     * Replaces a target by its next incarnation, of which nothing but its start is known until the
     * platform lists it. Returns the next incarnation.
     */
    TargetState restart(TargetState target, long startedEpochMillis, long nowMillis) {
        TargetState next =
                replace(
                        target,
                        target.entry().startedAt(startedEpochMillis),
                        EndedRuns.Cause.RESTARTED,
                        nowMillis);
        next.setListed(false);
        return next;
    }

    /** Calls for the earlier incarnation may still be carried out by the next one. */
    private TargetState replace(
            TargetState earlier, TargetEntry entry, EndedRuns.Cause cause, long nowMillis) {
        // An earlier owner that is cut off from the store may still send such calls.
        MisdirectedCalls misdirected =
                MisdirectedCalls.afterRestart(
                        earlier,
                        mLongestHeldLeaseMillis,
                        Math.max(nowMillis, longestLeaseEndMillis()));
        TargetState next =
                add(
                        entry,
                        earlier.mayHaveUnknownRuns()
                                ? misdirected.leaseEndMillis()
                                : unknownRunsEndMillis());
        next.setMisdirected(misdirected);
        next.extendLease(misdirected.leaseEndMillis());
        mEndedRuns.add(EndedRuns.of(earlier, cause, entry.startedEpochMillis()));
        mRuns.moveUnlistedRuns(earlier, next, nowMillis);
        endRuns(earlier, nowMillis);
        return next;
    }

    /**
     * A target that was dropped since it was silent may have restarted before it responds again.
     */
    private TargetState addUnknown(TargetEntry entry, long nowMillis) {
        return mDropped.takeEarlierIncarnation(entry, nowMillis)
                .map(earlier -> replace(earlier, entry, EndedRuns.Cause.REPLACED, nowMillis))
                .orElseGet(() -> add(entry, unknownRunsEndMillis()));
    }

    private TargetState add(TargetEntry entry, long unknownRunsEndMillis) {
        TargetState target = new TargetState(entry, unknownRunsEndMillis, ++mContacts);
        mTargets.put(entry.id(), target);
        return target;
    }

    private long unknownRunsEndMillis() {
        return mRecordsComplete ? TargetState.NEVER_USED : longestLeaseEndMillis();
    }

    /**
     * Records that a response shows an earlier time of a target's clock than before, so that its
     * next incarnation has responded. Calls that were meant for the earlier one may have given it a
     * lease, and its entry is not known yet.
     */
    void onEarlierClock(TargetState target, long nowMillis) {
        if (contains(target) && target.isReachable()) {
            loseContact(target);
            target.extendLease(nowMillis + mLongestHeldLeaseMillis);
        }
    }

    /**
     * Records that a target does not respond. From its next response on, it rejects the calls of
     * before.
     */
    void loseContact(TargetState target) {
        target.setReachable(false);
        target.setContact(++mContacts);
    }

    /** Returns how many contacts with targets there were. */
    long countContacts() {
        return mContacts;
    }

    /**
     * Returns whether a call of a contact with a target may have been rejected because of a later
     * contact with its id.
     */
    boolean isSuperseded(String id, long contact) {
        TargetState target = mTargets.get(id);
        return target == null || target.contact() > contact;
    }

    /**
     * Sets whether each target on which an earlier owner may have started tasks is known from the
     * store, so that no other target is waited for.
     */
    void setRecordsComplete(boolean complete) {
        mRecordsComplete = complete;
    }

    /** Returns the monotonic time by which every lease of an earlier owner has expired. */
    long longestLeaseEndMillis() {
        return mEarlierLeasesEndMillis;
    }

    /** Sets an earlier time by which every lease of an earlier owner has expired. */
    void shortenEarlierLeases(long endMillis) {
        mEarlierLeasesEndMillis = Math.min(mEarlierLeasesEndMillis, endMillis);
        mTargets.values().forEach(target -> target.shortenUnknownRuns(endMillis));
    }

    /** Records that the platform's list has no entry for a target. */
    void markUnlisted(String id) {
        TargetState target = mTargets.get(id);
        if (target != null) {
            target.setListed(false);
        }
    }

    /** Records that an incarnation of a target has ended, and all its runs with it. */
    void endIncarnation(TargetState target, long nowMillis) {
        mEndedRuns.add(EndedRuns.of(target, EndedRuns.Cause.ENDED, 0));
        endRuns(target, nowMillis);
        mTargets.remove(target.entry().id(), target);
    }

    /**
     * Records that a target has responded. A target is one life of its host, so the recorded ones
     * of the same host that have not responded have ended.
     */
    void onResponse(TargetState target, long nowMillis) {
        if (target.hasReported()) {
            return;
        }
        for (TargetState other : all()) {
            boolean sameHost =
                    !other.entry().hostId().isEmpty()
                            && other.entry().hostId().equals(target.entry().hostId());
            if (other != target && sameHost && other.isRecorded() && other.mayHaveUnknownRuns()) {
                endIncarnation(other, nowMillis);
            }
        }
    }

    private void endRuns(TargetState target, long nowMillis) {
        if (target.mayHaveUnknownRuns()) {
            for (String service : target.servicesOfRuns()) {
                mUnreadEndMillis.merge(service, nowMillis, Math::max);
            }
        }
        List<TaskState> tasks = mRuns.endAllRuns(target);
        if (nowMillis > mConfirmedMillis) {
            mRuns.hold(tasks, nowMillis);
        }
    }

    /** Returns and clears the runs that were taken as ended without a report of their ends. */
    List<EndedRuns> takeEndedRuns() {
        List<EndedRuns> ended = List.copyOf(mEndedRuns);
        mEndedRuns.clear();
        return ended;
    }

    /** Ends the runs of targets whose lease has certainly expired. */
    void expireLeases(long nowMillis) {
        long provenMillis = provenMillis(nowMillis);
        for (TargetState target : all()) {
            if (!target.isReachable() && isLeaseOver(target, provenMillis)) {
                if (!target.isIdle()) {
                    mEndedRuns.add(EndedRuns.of(target, EndedRuns.Cause.LEASE_EXPIRED, 0));
                }
                target.abandonUnconfirmedRuns();
                mRuns.endAllRuns(target);
                if (!target.isListed()) {
                    mTargets.remove(target.entry().id());
                    mDropped.add(target, nowMillis);
                }
            }
        }
    }

    /** Returns the latest time at which this daemon was the only owner. */
    private long provenMillis(long nowMillis) {
        return Math.min(nowMillis, mConfirmedMillis);
    }

    /** A target that this owner has granted no lease can have one of an earlier owner. */
    private boolean isLeaseOver(TargetState target, long timeMillis) {
        return target.leaseEndMillis() > 0
                ? timeMillis > target.leaseEndMillis()
                : timeMillis >= target.unknownRunsEndMillis();
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
     * Returns whether all runs that can exist on a target are known: it has reported, no earlier
     * owner has used it, or every lease of an earlier owner has expired and it is not about to
     * report.
     */
    boolean knowsRuns(TargetState target, long nowMillis) {
        return knowsRunsAt(target, provenMillis(nowMillis));
    }

    private static boolean knowsRunsAt(TargetState target, long timeMillis) {
        return !target.mayHaveUnknownRuns()
                || !target.isFirstReportDue() && timeMillis >= target.unknownRunsEndMillis();
    }

    /**
     * Returns whether {@link #knowsRuns} holds for all targets on which tasks of a service may run,
     * and no other daemon was the owner when one of them ended unread.
     */
    boolean knowsAllRuns(String service, long nowMillis) {
        if (mUnreadEndMillis.getOrDefault(service, Long.MIN_VALUE) > mConfirmedMillis) {
            return false;
        }
        for (TargetState target : mTargets.values()) {
            if (target.mayRunTasksOf(service) && !knowsRuns(target, nowMillis)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the targets on which tasks of a service may run and for which {@link #knowsRuns} does
     * not hold.
     */
    List<TargetState> withUnknownRuns(String service, long nowMillis) {
        return thatMayRunTasksOf(service).stream().filter(t -> !knowsRuns(t, nowMillis)).toList();
    }

    /** Returns the targets on which runs of tasks of a service can exist. */
    List<TargetState> thatMayRunTasksOf(String service) {
        return mTargets.values().stream().filter(t -> t.mayRunTasksOf(service)).toList();
    }

    /** Returns the services of all targets, and of those that have ended with unknown runs. */
    Set<String> services() {
        Set<String> services = new HashSet<>(mUnreadEndMillis.keySet());
        mTargets.values().forEach(target -> services.add(target.entry().service()));
        return services;
    }

    /** Returns the targets of a service. */
    List<TargetState> ofService(String service) {
        return mTargets.values().stream().filter(t -> t.entry().service().equals(service)).toList();
    }

    /** Returns why {@link #usable} leaves out a target of the service; empty if it does not. */
    Optional<WaitReason> exclusion(TargetState target, long nowMillis) {
        Optional<WaitReason> exclusion = target.exclusion(mClosedZones, nowMillis);
        boolean unproven = !mOwnerCertain && !target.hasReportedToCertainOwner();
        return exclusion.isEmpty() && unproven ? Optional.of(WaitReason.OWNERSHIP) : exclusion;
    }

    /** Returns the latest time at which the store has shown that no other daemon was the owner. */
    long confirmedMillis() {
        return mConfirmedMillis;
    }

    /** Counts the targets of a service that have not reported to this owner. */
    int countUnread(String service) {
        int count = 0;
        for (TargetState target : mTargets.values()) {
            if (target.entry().service().equals(service) && !target.hasReported()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the listed target on a host; empty if none is known. The list can still contain an
     * earlier target of the host, which does not respond.
     */
    Optional<TargetState> listedOn(String hostId) {
        return mTargets.values().stream()
                .filter(target -> target.isListed() && target.entry().hostId().equals(hostId))
                .max(
                        Comparator.comparing(TargetState::isReachable)
                                .thenComparing(TargetState::hasReported));
    }

    /**
     * Returns whether all runs on a target are known, also those that this owner may still start:
     * it has reported, or every lease of an earlier owner has expired.
     */
    boolean hasReportedOrHasNoLease(TargetState target, long nowMillis) {
        long leasesEndMillis =
                Math.max(
                        longestLeaseEndMillis(),
                        Math.max(target.leaseEndMillis(), target.unknownRunsEndMillis()));
        return target.hasReported() || provenMillis(nowMillis) >= leasesEndMillis;
    }

    /** Returns whether a start that was decided before may be sent now. */
    boolean mayStart(Run run) {
        TargetState target = run.target();
        return contains(target)
                && target.find(run.task(), run.number()) == run
                && !run.isStopRequested()
                && (mOwnerCertain || target.hasReportedToCertainOwner())
                && target.mayStart(mClosedZones);
    }

    /** Returns the targets of a service on which new tasks may start. */
    List<TargetState> usable(String service, long nowMillis) {
        return candidates(service, nowMillis).usable();
    }

    /**
     * Returns what is known of the targets of a service. Targets count as unread until they report,
     * no longer than runs of an earlier owner can exist there and {@link #FIRST_REPORT_MILLIS}
     * after the takeover.
     *
     * @param incoming capacity that is being moved to the service
     */
    ServiceView view(String service, ResourceAmounts incoming, long nowMillis) {
        List<TargetState> unread =
                ofService(service).stream().filter(t -> isUnread(t, nowMillis)).toList();
        return new ServiceView(usable(service, nowMillis), unread, incoming);
    }

    /** Returns whether the view of a service lacks targets. */
    boolean isPartial(String service, long nowMillis) {
        return ofService(service).stream().anyMatch(t -> isUnread(t, nowMillis));
    }

    private boolean isUnread(TargetState target, long nowMillis) {
        boolean takingOver = nowMillis - mTakeoverMillis < FIRST_REPORT_MILLIS;
        return !target.hasReported()
                && (takingOver || !knowsRuns(target, nowMillis))
                && !mClosedZones.contains(target.entry().zone());
    }

    /** Returns the sum of the capacities of targets, whatever is in use. */
    static ResourceAmounts capacityOf(Collection<TargetState> targets) {
        ResourceAmounts capacity = ResourceAmounts.NONE;
        for (TargetState target : targets) {
            capacity = capacity.plus(target.entry().capacity());
        }
        return capacity;
    }

    /** Returns whether another usable target of the same service has room for a task of a step. */
    boolean hasRoomBeside(StepState step, TargetState target, long nowMillis) {
        return usable(target.entry().service(), nowMillis).stream()
                .anyMatch(other -> other != target && Placer.isFeasible(step, other));
    }

    /** Returns the targets of a service on which new tasks may start, or could if need be. */
    Candidates candidates(String service, long nowMillis) {
        List<TargetState> usable = new ArrayList<>();
        List<TargetState> avoided = new ArrayList<>();
        for (TargetState target : mTargets.values()) {
            if (!target.entry().service().equals(service)
                    || !mOwnerCertain && !target.hasReportedToCertainOwner()
                    || !target.canRun(mClosedZones, nowMillis)) {
                continue;
            }
            if (target.isAvoided(nowMillis)) {
                avoided.add(target);
            } else {
                usable.add(target);
            }
        }
        return new Candidates(usable, avoided);
    }
}
