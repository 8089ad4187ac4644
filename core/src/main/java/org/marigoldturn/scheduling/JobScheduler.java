package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Schedules the tasks of all accepted jobs on the targets of their services.
 *
 * <p>The caller passes in events and the current time, sends the orders that are returned and
 * stores the jobs that have changed. Invariants: a new run of a task starts only when none of its
 * earlier runs can exist any more (parallel copies for speculative steps are not implemented); no
 * decision made here lets the resources reserved at a target exceed its capacity; an account's
 * limit applies to all runs, including those that are being stopped. Confined to the control
 * thread.
 */
public final class JobScheduler {
    /** Delays starts after due times: clocks differ by less, and no task may start early. */
    private static final long DUE_MARGIN_MILLIS = 40;

    /** Priority of a restored job until its queue is configured. */
    private static final int LEAST_URGENT_PRIORITY = Integer.MAX_VALUE;

    private final JobTable mJobs = new JobTable();
    private final InterruptionRules mInterruptions;
    private final AccountUsage mUsage = new AccountUsage();
    private final RunTracker mRuns = new RunTracker(mJobs, mUsage, this::maxAttempts);
    private final PlacementWaits mPlacementWaits =
            new PlacementWaits(mJobs.durations(), this::objectiveMillis);
    private final TargetTable mTargets;
    private final QueueServiceTracker mQueueServices;
    private final ServiceLoads mLoads;
    private final SubmissionRules mSubmissions;
    private final AdvicePlanner mAdvice;
    private final TaskStarter mStarter;
    private final LongRunningWaits mWaits;
    private QueueCatalog mCatalog;
    private long mRestoredHeldUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the scheduler of one owner.
     *
     * @param term the owner's term
     * @param nowMillis monotonic time of the takeover
     * @param longestLeaseMillis time after which every lease of an earlier owner has expired
     * @param longestHeldLeaseMillis longest time that a target holds a lease, whatever it names
     */
    public JobScheduler(
            QueueCatalog catalog,
            long term,
            long nowMillis,
            long longestLeaseMillis,
            long longestHeldLeaseMillis) {
        mCatalog = catalog;
        mStarter =
                new TaskStarter(
                        term, mRuns, mUsage, account -> mCatalog.account(account), mPlacementWaits);
        mTargets = new TargetTable(mRuns, nowMillis, longestLeaseMillis, longestHeldLeaseMillis);
        mQueueServices = new QueueServiceTracker(mJobs, mTargets, catalog);
        mLoads = new ServiceLoads(mJobs, mTargets, mQueueServices);
        mSubmissions =
                new SubmissionRules(
                        mJobs,
                        mTargets,
                        mQueueServices,
                        mLoads,
                        mUsage,
                        AccountWeights.of(catalog));
        mInterruptions = new InterruptionRules(mJobs, mTargets::hasRoomBeside);
        mAdvice = new AdvicePlanner(mJobs, mTargets);
        mWaits =
                new LongRunningWaits(
                        mJobs,
                        new WaitDiagnosis(
                                mTargets,
                                mUsage,
                                mStarter.heldBack(),
                                mQueueServices,
                                () -> mCatalog,
                                () -> mRestoredHeldUntilMillis));
    }

    /** Restores a job from the records of an earlier owner. */
    public void restore(Job job, JobProgress progress, long nowMillis) {
        int priority = priorityOf(job).orElse(LEAST_URGENT_PRIORITY);
        JobEntry entry = new JobEntry(job, priority, nowMillis, true);
        entry.restore(progress);
        mJobs.add(entry);
    }

    /**
     * Sets whether {@link #restoreTarget} is called for each target on which earlier owners may
     * have started tasks; a target that is only listed is not waited for then. To be called before
     * any target is added.
     */
    public void setTargetRecordsComplete(boolean complete) {
        mTargets.setRecordsComplete(complete);
    }

    /** Returns the known targets on which runs of earlier owners can exist that are not known. */
    public List<TargetState> targetsWithUnknownRuns(long nowMillis) {
        return mTargets.all().stream()
                .filter(target -> !mTargets.knowsRuns(target, nowMillis))
                .toList();
    }

    /** Starts no task of a restored job before the given monotonic time. */
    public void holdRestoredJobsUntil(long untilMillis) {
        mRestoredHeldUntilMillis = untilMillis;
    }

    /** Uses a newer configuration; jobs of queues that it does not have wait for one that does. */
    public void setCatalog(QueueCatalog catalog) {
        mCatalog = catalog;
        mQueueServices.setCatalog(catalog);
        mSubmissions.setWeights(AccountWeights.of(catalog));
        mJobs.updatePriorities(this::priorityOf);
    }

    /**
     * Sets what is known of the ownership. While another daemon may be the owner, tasks start only
     * on targets that reported before. Leases count as expired only up to the time of the last
     * confirmation, since a newer owner may have renewed them; tasks whose runs ended with their
     * target are held until a later one, since a newer owner may have recorded them as done.
     *
     * @param certain whether no other daemon can be the owner now
     * @param confirmedMillis latest monotonic time at which none was, as shown by the store
     */
    public void setOwnership(boolean certain, long confirmedMillis) {
        mTargets.setOwnership(certain, confirmedMillis);
    }

    /** Returns whether decisions wait only for a later confirmation of the ownership. */
    public boolean lacksConfirmation(long nowMillis) {
        return mTargets.lacksConfirmation(nowMillis);
    }

    /**
     * Sets the time over which client accounts may save up the jobs that they are entitled to
     * submit.
     */
    public void setEntitlementWindow(long windowMillis) {
        mSubmissions.setEntitlementWindow(windowMillis);
    }

    /**
     * Sets how many times as long a task takes away from its preferred rack, or a gang on more than
     * one rack. With a factor above 1, tasks may wait for their preferred placement, and durations
     * are forecast by what earlier runs took.
     *
     * @param farFactor the factor, at least 1
     */
    public void setFarFactor(double farFactor) {
        mRuns.setFarFactor(farFactor);
        mPlacementWaits.setFarFactor(farFactor);
    }

    /** Returns the services on whose targets the tasks of each queue may run. */
    public QueueServiceTracker queueServices() {
        return mQueueServices;
    }

    /** Returns the waits of tasks for their preferred placement. */
    public PlacementWaits placementWaits() {
        return mPlacementWaits;
    }

    /** Returns the durations that were learned from runs. */
    public LearnedDurations durations() {
        return mJobs.durations();
    }

    /**
     * Returns the part of a service's usable capacity that each account's short jobs request, by
     * the dominant resource, in the order of the accounts.
     */
    public List<Double> shares(List<String> accounts, String service, long nowMillis) {
        ResourceAmounts capacity = TargetTable.capacityOf(mTargets.usable(service, nowMillis));
        return accounts.stream()
                .map(name -> AccountShares.dominantShare(mUsage.running(name, service), capacity))
                .toList();
    }

    /** Sets the availability zones in which no task starts. */
    public void setClosedZones(Set<String> zones) {
        mTargets.setClosedZones(zones);
    }

    /** Adds a target or updates its entry; a new incarnation ends the earlier one and its runs. */
    public TargetState onTargetListed(TargetEntry entry, long nowMillis) {
        TargetState target = mTargets.addOrUpdate(entry, nowMillis);
        target.forEachRun(mQueueServices::addRun);
        return target;
    }

    /** Adds a target that an earlier owner has recorded, used until its leases have ended. */
    public TargetState restoreTarget(TargetEntry entry, long nowMillis) {
        return restoreTarget(entry, Long.MAX_VALUE, nowMillis);
    }

    /**
     * Adds a target that an earlier owner has recorded; it counts as unlisted until the platform's
     * list contains it.
     *
     * @param runsEndMillis monotonic time by which all runs of earlier owners have ended there;
     *     {@link Long#MAX_VALUE} if no time is known for this target
     */
    public TargetState restoreTarget(TargetEntry entry, long runsEndMillis, long nowMillis) {
        return mTargets.restore(entry, runsEndMillis, nowMillis);
    }

    /**
     * Adds a recorded target that may hold a lease that was granted to an earlier incarnation.
     *
     * @param earlier the earlier incarnations
     * @param leaseMillis for how long after a takeover it may hold that lease
     */
    public TargetState restoreRestartedTarget(
            TargetEntry entry, EarlierIncarnations earlier, long leaseMillis, long nowMillis) {
        return mTargets.restoreRestarted(entry, earlier, leaseMillis, nowMillis);
    }

    /**
     * Replaces a target by its next incarnation, which has responded in its place; it is not used
     * until the platform lists it. Returns the next incarnation.
     */
    public TargetState onTargetRestarted(
            TargetState target, long startedEpochMillis, long nowMillis) {
        return mTargets.restart(target, startedEpochMillis, nowMillis);
    }

    /** Records that a target does not respond. */
    public void onContactLost(TargetState target) {
        mTargets.loseContact(target);
    }

    /**
     * Records that a response shows an earlier time of a target's clock than before, so that its
     * next incarnation has responded.
     */
    public void onEarlierClock(TargetState target, long nowMillis) {
        mTargets.onEarlierClock(target, nowMillis);
    }

    /** Returns how many contacts with targets there were. */
    public long countContacts() {
        return mTargets.countContacts();
    }

    /**
     * Returns whether a call of a contact may have been rejected because of a later contact of this
     * owner with the same id, rather than because of a newer owner.
     */
    public boolean isSuperseded(TargetState target, long contact) {
        return mTargets.isSuperseded(target.entry().id(), contact);
    }

    /**
     * Sets an earlier time by which all runs of earlier owners have ended on targets that have not
     * reported.
     */
    public void shortenEarlierLeases(long endMillis) {
        mTargets.shortenEarlierLeases(endMillis);
    }

    /** Returns whether a target is one of the known ones. */
    public boolean isKnown(TargetState target) {
        return mTargets.contains(target);
    }

    /** Records that the platform's list has no entry for a target. */
    public void onTargetUnlisted(String id) {
        mTargets.markUnlisted(id);
    }

    /** Records that an incarnation of a target has ended, and all its runs with it. */
    public void onTargetEnded(TargetState target, long nowMillis) {
        mTargets.endIncarnation(target, nowMillis);
    }

    /** Returns and clears the runs that were taken as ended without a report of their ends. */
    public List<EndedRuns> takeEndedRuns() {
        return mTargets.takeEndedRuns();
    }

    /** Returns all known targets. */
    public Collection<TargetState> targets() {
        return mTargets.all();
    }

    /** Counts the targets of a service that have not reported to this owner. */
    public int countUnreadTargets(String service) {
        return mTargets.countUnread(service);
    }

    /** Returns the listed target on a host; empty if none is known. */
    public Optional<TargetState> targetOn(String hostId) {
        return mTargets.listedOn(hostId);
    }

    /** Returns the rules that decide whether planned work may end the runs on a target. */
    public InterruptionRules interruptions() {
        return mInterruptions;
    }

    /** Returns the waits of long-running tasks. */
    public LongRunningWaits longRunningWaits() {
        return mWaits;
    }

    /** Decides on a submission; tasks of an accepted job start only after {@link #onStored}. */
    public Admission submit(Job job, QueueSettings queue, long nowMillis, long epochMillis) {
        return submit(job, queue, 0, nowMillis, epochMillis);
    }

    /**
     * Decides on a submission of a client that waits for a limited time.
     *
     * @param timeLeftMillis time until the client's deadline; 0 if it is not known
     */
    public Admission submit(
            Job job, QueueSettings queue, long timeLeftMillis, long nowMillis, long epochMillis) {
        RestoredJobsCheck restored =
                new RestoredJobsCheck(
                        mTargets, mQueueServices, mRestoredHeldUntilMillis, nowMillis);
        return mSubmissions.submit(
                job,
                queue,
                new SubmissionRules.Call(timeLeftMillis, nowMillis, epochMillis),
                this::serviceOf,
                entry ->
                        (!entry.isRestored() || restored.mayStart(entry.job().queue()))
                                && isWithinLimit(entry, epochMillis));
    }

    /** Returns whether the limit of a job's account allows one more task of a startable step. */
    private boolean isWithinLimit(JobEntry job, long epochMillis) {
        Optional<AccountSettings> account = mCatalog.account(job.job().account());
        return account.isEmpty()
                || job.startableSteps(epochMillis).stream()
                        .anyMatch(step -> mUsage.allows(account, step.spec(), 1));
    }

    /** Records that a job's durable record exists; its tasks may start. */
    public void onStored(String jobId) {
        JobEntry entry = mJobs.job(jobId);
        if (entry != null) {
            entry.markStored();
        }
    }

    /** Returns the state of a job. */
    public Optional<JobState> state(String jobId) {
        return Optional.ofNullable(mJobs.job(jobId)).map(JobEntry::state);
    }

    /** Returns the progress of a job for its durable record. */
    public JobProgress progress(String jobId) {
        return mJobs.job(jobId).progress();
    }

    /** Sets the capacity that is being moved to each service, which forecasts include. */
    public void setIncomingCapacity(Map<String, ResourceAmounts> incoming) {
        mLoads.setIncomingCapacity(incoming);
    }

    /** Returns the load of every configured service except standby services. */
    public List<ServiceLoad> serviceLoads(long nowMillis, long epochMillis) {
        return mLoads.all(mCatalog, this::serviceOf, nowMillis, epochMillis);
    }

    /** Counts the active jobs of a queue of which no task has started. */
    public int countWaiting(String queue) {
        return mJobs.countWaiting(queue);
    }

    /** Returns the number of jobs that have not ended. */
    public int activeJobs() {
        return mJobs.active().size();
    }

    /** Cancels a job; returns whether it is known. */
    public boolean cancel(String jobId, long epochMillis) {
        JobEntry entry = mJobs.job(jobId);
        if (entry == null) {
            return false;
        }
        if (entry.isActive()) {
            mRuns.finish(entry, JobState.CANCELLED, epochMillis);
        }
        return true;
    }

    /** Forgets jobs that ended before the given wall-clock time and returns their ids. */
    public List<String> forgetEndedBefore(long epochMillis) {
        return mJobs.forgetEndedBefore(epochMillis);
    }

    /** Returns and clears the ids of jobs whose durable progress has changed. */
    public Set<String> takeChangedJobIds() {
        return mRuns.takeChangedJobIds();
    }

    /**
     * Applies a target's report.
     *
     * @param pollSentMillis monotonic time at which the poll was sent
     */
    public ReportEffects onReport(
            TargetState target,
            TargetReport report,
            long pollSentMillis,
            long nowMillis,
            long epochMillis) {
        if (!mTargets.contains(target)) {
            return ReportEffects.ignored(report);
        }
        mTargets.onResponse(target, nowMillis);
        target.recordReport(mTargets.isOwnerCertain());
        ReportEffects effects =
                mRuns.onReport(target, report, pollSentMillis, nowMillis, epochMillis);
        effects.adoptedRuns().forEach(adopted -> mQueueServices.addRun(adopted.run()));
        return effects;
    }

    /**
     * Returns whether a start order that has waited may be sent: the run is still wanted, and
     * nothing has changed that would keep it from being decided now.
     */
    public boolean mayStart(Run run) {
        return mTargets.mayStart(run);
    }

    /** Records a target's response to a start order. */
    public void onStartResponse(Run run, StartOutcome outcome, long nowMillis) {
        if (outcome == StartOutcome.INVALID_TICKET) {
            mAdvice.reject(run);
        }
        if (outcome != StartOutcome.NOT_SENT) {
            boolean responded =
                    outcome != StartOutcome.UNKNOWN && outcome != StartOutcome.UNHEALTHY;
            run.target().startPause().onOrderEnded(responded, nowMillis);
        }
        switch (outcome.effect()) {
            case RUNS -> run.onStarted(nowMillis);
            case NOT_RUN -> mRuns.removeRun(run);
            case UNKNOWN -> run.onUncertain();
        }
        if (outcome.pauseMillis() > 0) {
            run.target().startPause().pause(nowMillis + outcome.pauseMillis(), outcome.name());
        }
    }

    /** Records a target's response to a stop order, or that there was none. */
    public void onStopResponse(Run run, boolean responded, long nowMillis) {
        run.onStopResponse(responded, nowMillis);
        run.target().startPause().onOrderEnded(responded, nowMillis);
    }

    /** Ends the runs of targets whose lease has certainly expired. */
    public void expireLeases(long nowMillis) {
        mTargets.expireLeases(nowMillis);
    }

    /** Returns whether it is known what planned work on a target's host would end. */
    public boolean knowsRuns(TargetState target, long nowMillis) {
        return mTargets.hasReportedOrHasNoLease(target, nowMillis);
    }

    /** Returns all orders that are due: first stops, then starts in scheduling order. */
    public List<Order> decide(long nowMillis, long epochMillis) {
        List<Order> orders = new ArrayList<>(mTargets.beginStops(nowMillis));
        SchedulingPass.State state =
                new SchedulingPass.State(
                        mCatalog,
                        mSubmissions.weights(),
                        mUsage,
                        mTargets,
                        mRuns,
                        mStarter,
                        mQueueServices,
                        new RestoredJobsCheck(
                                mTargets, mQueueServices, mRestoredHeldUntilMillis, nowMillis));
        orders.addAll(
                new SchedulingPass(state, nowMillis, epochMillis, epochMillis - DUE_MARGIN_MILLIS)
                        .run(List.copyOf(mJobs.active())));
        return orders;
    }

    /** Returns the next request to the policy service, about a step with waiting tasks. */
    public Optional<AdviceRequest> nextAdviceRequest(long nowMillis, long epochMillis) {
        return mAdvice.next(
                job -> mCatalog.queue(job.job().queue()),
                nowMillis,
                epochMillis - DUE_MARGIN_MILLIS);
    }

    /**
     * Records a response of the policy service.
     *
     * @param tickets tickets by the id of the target, one for each target that may run the step
     * @param sentMillis monotonic time at which the request was sent
     */
    public void onAdviceResponse(
            AdviceRequest request, Map<String, String> tickets, long sentMillis) {
        mAdvice.record(request, tickets, sentMillis);
    }

    /** Returns the monotonic time of a job's objective; the maximum if it has none. */
    private long objectiveMillis(JobEntry job) {
        JobSpec spec = job.job().spec();
        Optional<QueueSettings> queue = mCatalog.queue(job.job().queue());
        if (spec.scheduled() || queue.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return job.acceptedMillis() + queue.get().objectiveMillis(spec.longestChainMillis());
    }

    private Optional<String> serviceOf(JobEntry job) {
        return mCatalog.queue(job.job().queue()).map(QueueSettings::service);
    }

    private Optional<Integer> priorityOf(Job job) {
        return mCatalog.queue(job.queue()).map(QueueSettings::priority);
    }

    private Optional<Integer> maxAttempts(JobEntry job) {
        return mCatalog.queue(job.job().queue()).map(QueueSettings::maxAttempts);
    }
}
