package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;

/**
 * State of one incarnation of a target: its entry, the runs that may exist there and its lease.
 *
 * <p>Invariants: {@code mUsed} is the sum of the resources reserved by all runs that may exist
 * there, {@code mUsedByLongRunning} of those by long-running ones. Confined to the control thread.
 */
public final class TargetState {
    /**
     * Time of the end of earlier owners' runs on a target that they have not used; before all
     * times.
     */
    static final long NEVER_USED = Long.MIN_VALUE;

    private final Map<TaskId, List<Run>> mRuns = new HashMap<>();
    private final List<Run> mAbandoned = new ArrayList<>();
    private final StartPause mPause = new StartPause();
    private TargetEntry mEntry;
    private ResourceAmounts mUsed = ResourceAmounts.NONE;
    private ResourceAmounts mUsedByLongRunning = ResourceAmounts.NONE;
    private ResourceAmounts mHeldBack = ResourceAmounts.NONE;
    private boolean mListed = true;
    private boolean mRecorded;
    private long mUnknownRunsEndMillis;
    private boolean mFirstReportDue;
    private boolean mReported;
    private boolean mReportedToCertainOwner;
    private boolean mReachable;
    private boolean mCordoned;
    private boolean mInterrupted;
    private boolean mLoaned;
    private long mLeaseEndMillis;
    private long mLastProcessedEnd;
    private long mContact;
    private MisdirectedCalls mMisdirected = MisdirectedCalls.none();

    /**
     * Creates the state of an incarnation that has not reported.
     *
     * @param unknownRunsEndMillis monotonic time by which all runs of earlier owners have ended
     *     there; {@link #NEVER_USED} if there can be none
     * @param contact number of the contact with it
     */
    TargetState(TargetEntry entry, long unknownRunsEndMillis, long contact) {
        mEntry = entry;
        mUnknownRunsEndMillis = unknownRunsEndMillis;
        mContact = contact;
    }

    /** Returns the newest entry of the platform's list. */
    public TargetEntry entry() {
        return mEntry;
    }

    /** Returns whether the platform's list has an entry for it. */
    public boolean isListed() {
        return mListed;
    }

    /** Returns whether the store holds its record, by which a later owner finds it. */
    public boolean isRecorded() {
        return mRecorded;
    }

    /**
     * Returns whether it has reported its runs in response to a poll with the current owner's term.
     */
    public boolean hasReported() {
        return mReported;
    }

    /**
     * Records whether it has responded to this owner, which cannot process its first report yet.
     * Then it is waited for however long the leases of earlier owners last, since a run that ended
     * before its lease is still listed.
     */
    public void setFirstReportDue(boolean due) {
        mFirstReportDue = due;
    }

    boolean isFirstReportDue() {
        return mFirstReportDue && !mReported;
    }

    /** Returns whether runs of earlier owners that are not known here may exist there. */
    public boolean mayHaveUnknownRuns() {
        return mUnknownRunsEndMillis != NEVER_USED && !mReported;
    }

    /**
     * Returns the monotonic time by which all runs of earlier owners have ended there; {@link
     * #NEVER_USED} if there can be none.
     */
    public long unknownRunsEndMillis() {
        return mUnknownRunsEndMillis;
    }

    /**
     * Returns the number of the present contact with its id, which rises when contact is lost and
     * with each incarnation. A target that has responded to a call of a contact rejects all calls
     * of earlier ones.
     */
    public long contact() {
        return mContact;
    }

    void setContact(long contact) {
        mContact = contact;
    }

    /** Returns whether it responded to the last call. */
    public boolean isReachable() {
        return mReachable;
    }

    /**
     * Returns the monotonic time by which all its runs have certainly ended unless the lease is
     * renewed.
     */
    public long leaseEndMillis() {
        return mLeaseEndMillis;
    }

    /** Returns the highest number among the ends that were processed. */
    public long lastProcessedEnd() {
        return mLastProcessedEnd;
    }

    /** Returns all runs that may exist there. */
    public Collection<Run> runs() {
        List<Run> all = new ArrayList<>();
        mRuns.values().forEach(all::addAll);
        return all;
    }

    /** Returns whether it is not known of a run if it has started or will start there. */
    public boolean hasUncertainRun() {
        return mRuns.values().stream().flatMap(List::stream).anyMatch(Run::isUncertain);
    }

    /**
     * Records a time that its clock has passed; start orders without a response whose lease ended
     * before cannot be carried out any more.
     *
     * @param pollSentMillis monotonic time at which the poll that read the clock was sent
     */
    public void onClock(long targetMillis, long pollSentMillis) {
        forEachRun(run -> run.onTargetClock(targetMillis, pollSentMillis));
    }

    /** Passes all runs that may exist there; the action must not add or remove runs. */
    void forEachRun(Consumer<Run> action) {
        for (List<Run> runs : mRuns.values()) {
            runs.forEach(action);
        }
    }

    /** Returns whether no run can exist there. */
    public boolean isIdle() {
        return mRuns.isEmpty();
    }

    /** Sets whether no new task starts there because planned work on its host is about to begin. */
    public void setCordoned(boolean cordoned) {
        mCordoned = cordoned;
    }

    /**
     * Sets whether planned work has been ordered that ends all runs there; cleared if the order was
     * not carried out.
     */
    public void setInterrupted(boolean interrupted) {
        mInterrupted = interrupted;
    }

    /** Sets whether its host is on loan and should be kept free of long-running tasks. */
    public void setLoaned(boolean loaned) {
        mLoaned = loaned;
    }

    boolean isLoaned() {
        return mLoaned;
    }

    boolean isInterrupted() {
        return mInterrupted;
    }

    /** Sets whether the store holds its record; no task starts there otherwise. */
    public void setRecorded(boolean recorded) {
        mRecorded = recorded;
    }

    /** Records whether it responded to a call. */
    public void setReachable(boolean reachable) {
        mReachable = reachable;
    }

    /**
     * Records that a lease that was granted before its first response, which it has given now, may
     * outlast those of this owner, since it never shortens a lease.
     *
     * @param longestLeaseMillis longest time that a lease can last that an earlier owner has
     *     granted to this incarnation before now
     */
    public void keepEarlierLease(long nowMillis, long longestLeaseMillis) {
        mMisdirected.onFirstResponse(nowMillis);
        if (mMisdirected.mayHoldLeaseAt(nowMillis)) {
            // This incarnation has been granted no lease before.
            mLeaseEndMillis = mMisdirected.leaseEndMillis();
        }
        if (mayHaveUnknownRuns()) {
            extendLease(Math.min(mUnknownRunsEndMillis, nowMillis + longestLeaseMillis));
        }
    }

    /** Records what calls for an earlier incarnation may have done to it. */
    void setMisdirected(MisdirectedCalls misdirected) {
        mMisdirected = misdirected;
    }

    /** Returns what calls for an earlier incarnation may have done to it. */
    MisdirectedCalls misdirected() {
        return mMisdirected;
    }

    /**
     * Returns whether an entry of the platform's list describes this incarnation. Until it is
     * listed, only its start is known.
     */
    boolean isPresentIncarnation(TargetEntry entry) {
        boolean sameStart = mEntry.startedEpochMillis() == entry.startedEpochMillis();
        return mEntry.isSameIncarnation(entry) || !mListed && sameStart;
    }

    /** Returns whether an entry is of an incarnation before this one, which is not listed yet. */
    boolean isPredecessor(TargetEntry entry) {
        return !mListed && mMisdirected.isEarlierIncarnation(entry);
    }

    /** Returns whether it may still carry out calls that were meant for an earlier incarnation. */
    public boolean mayTakeMisdirectedCalls(long nowMillis) {
        return mMisdirected.mayArriveAt(nowMillis);
    }

    /** Returns the earlier incarnations under its id that are known. */
    public EarlierIncarnations earlierIncarnations() {
        return mMisdirected.earlier();
    }

    /**
     * Returns whether runs of tasks of a service can exist there: it belongs to that service, or
     * may have carried out calls for an earlier incarnation that did.
     */
    boolean mayRunTasksOf(String service) {
        return mEntry.service().equals(service)
                || mMisdirected.earlier().services().contains(service);
    }

    /** Returns the services for which {@link #mayRunTasksOf} holds. */
    Set<String> servicesOfRuns() {
        return mMisdirected.earlier().plus(mEntry).services();
    }

    /**
     * Returns the monotonic time by which a lease has ended that was granted to an earlier
     * incarnation; before all times if none was.
     */
    public long misdirectedLeaseEndMillis() {
        return mMisdirected.leaseEndMillis();
    }

    /**
     * Returns whether a lease may hold that was granted to an earlier incarnation, and outlasts
     * those that this one was granted.
     */
    public boolean mayHoldMisdirectedLease(long nowMillis) {
        return mMisdirected.mayHoldLeaseAt(nowMillis);
    }

    /** Records that a lease was sent that expires at the given monotonic time at the latest. */
    public void extendLease(long leaseEndMillis) {
        mLeaseEndMillis = Math.max(mLeaseEndMillis, leaseEndMillis);
    }

    /**
     * Returns the runs that were given up when the lease expired although the response to their
     * start order was missing. They must be stopped before the lease is renewed, since the delayed
     * order could still start them. The caller removes those that it has stopped.
     */
    public List<Run> abandonedRuns() {
        return mAbandoned;
    }

    void abandonUnconfirmedRuns() {
        for (Run run : runs()) {
            if (run.mayStartLater()) {
                mAbandoned.add(run);
            }
        }
    }

    /**
     * Records that an earlier owner has used it, so that its runs are unknown until it reports.
     *
     * @param unknownRunsEndMillis monotonic time by which all these runs have ended
     */
    void markUsedByEarlierOwners(long unknownRunsEndMillis) {
        mUnknownRunsEndMillis = unknownRunsEndMillis;
    }

    /** Records an earlier time by which all runs of earlier owners have ended there. */
    void shortenUnknownRuns(long endMillis) {
        if (mayHaveUnknownRuns()) {
            long atLeastMillis = Math.max(endMillis, mMisdirected.leaseEndMillis());
            mUnknownRunsEndMillis = Math.min(mUnknownRunsEndMillis, atLeastMillis);
        }
    }

    /**
     * Uses a newer entry of the present incarnation. If that was not listed before, its service was
     * not known; then it has to be recorded anew.
     */
    void update(TargetEntry entry) {
        mRecorded &= entry.service().equals(mEntry.service());
        mEntry = entry;
        mListed = true;
    }

    void setListed(boolean listed) {
        mListed = listed;
    }

    /**
     * Records that it has reported its runs to this owner.
     *
     * @param ownerCertain whether the daemon that polled it was certainly the owner
     */
    void recordReport(boolean ownerCertain) {
        mReported = true;
        mFirstReportDue = false;
        mReportedToCertainOwner |= ownerCertain;
    }

    /**
     * Returns whether it has reported while this daemon was certainly the owner. A later owner then
     * knows the target too and polls it before it starts a task.
     */
    boolean hasReportedToCertainOwner() {
        return mReportedToCertainOwner;
    }

    void setLastProcessedEnd(long number) {
        mLastProcessedEnd = number;
    }

    /** Holds back free capacity for a waiting task; replaces the amount held back before. */
    void holdBack(ResourceAmounts amount) {
        mHeldBack = amount;
    }

    ResourceAmounts freeExceptHeldBack() {
        return free().minus(mHeldBack);
    }

    ResourceAmounts free() {
        return mEntry.capacity().minus(mUsed);
    }

    /** Returns the capacity that is free once all runs but the long-running ones have ended. */
    ResourceAmounts freeAfterShortRuns() {
        return mEntry.capacity().minus(mUsedByLongRunning);
    }

    /** Returns whether a task that started there now would run. */
    boolean canRun(Set<String> closedZones, long nowMillis) {
        return mayStart(closedZones) && !mPause.isPaused(nowMillis);
    }

    /** Returns whether a start that was decided before may be sent. */
    boolean mayStart(Set<String> closedZones) {
        return mListed
                && mRecorded
                && mReported
                && mReachable
                && !mInterrupted
                && !mEntry.draining()
                && !closedZones.contains(mEntry.zone());
    }

    /** Returns whether tasks start elsewhere if they can, although they would run there. */
    boolean isAvoided(long nowMillis) {
        return mCordoned || mPause.isAvoided(nowMillis);
    }

    /** Tells until when tasks do not start there or avoid it. */
    StartPause startPause() {
        return mPause;
    }

    /** Returns why tasks do not start there or avoid it; empty if nothing keeps them from it. */
    Optional<WaitReason> exclusion(Set<String> closedZones, long nowMillis) {
        WaitReason reason = null;
        if (!mListed) {
            reason = WaitReason.UNLISTED;
        } else if (!mReachable) {
            reason = WaitReason.UNREACHABLE;
        } else if (!mReported) {
            reason = WaitReason.UNREAD;
        } else if (!mRecorded) {
            reason = WaitReason.UNRECORDED;
        } else if (mCordoned || mInterrupted) {
            reason = WaitReason.CORDONED;
        } else if (mEntry.draining()) {
            reason = WaitReason.DRAINING;
        } else if (nowMillis < mPause.untilMillis()) {
            reason = WaitReason.PAUSED;
        } else if (closedZones.contains(mEntry.zone())) {
            reason = WaitReason.CLOSED_ZONE;
        }
        return Optional.ofNullable(reason);
    }

    /** Returns the monotonic time before which no task starts there, or tasks avoid it. */
    public long pausedUntilMillis() {
        return mPause.untilMillis();
    }

    /** Returns a word for the cause of the last pause; empty if there was none. */
    public String pauseCause() {
        return mPause.cause();
    }

    /** Returns whether no new task starts there because planned work is about to begin. */
    public boolean isCordoned() {
        return mCordoned;
    }

    void add(Run run) {
        mRuns.computeIfAbsent(run.task(), task -> new ArrayList<>(1)).add(run);
        mUsed = mUsed.plus(run.reservedResources());
        if (run.isLongRunning()) {
            mUsedByLongRunning = mUsedByLongRunning.plus(run.reservedResources());
        }
    }

    void remove(Run run) {
        List<Run> runs = mRuns.get(run.task());
        if (runs != null && runs.remove(run)) {
            mUsed = mUsed.minus(run.reservedResources());
            if (run.isLongRunning()) {
                mUsedByLongRunning = mUsedByLongRunning.minus(run.reservedResources());
            }
            if (runs.isEmpty()) {
                mRuns.remove(run.task());
            }
        }
    }

    Run find(TaskId task, long number) {
        for (Run run : mRuns.getOrDefault(task, List.of())) {
            if (run.number() == number) {
                return run;
            }
        }
        return null;
    }

    /** Counts the runs of one step in one occurrence of a job that may exist there. */
    int countOfStep(String jobId, int occurrence, int step) {
        int count = 0;
        for (Map.Entry<TaskId, List<Run>> entry : mRuns.entrySet()) {
            TaskId task = entry.getKey();
            if (task.step() == step
                    && task.occurrence() == occurrence
                    && task.jobId().equals(jobId)) {
                count += entry.getValue().size();
            }
        }
        return count;
    }
}
