package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Decides whether submitted jobs are accepted.
 *
 * <p>Where the configuration has weights, a job within its account's entitlement sees the backlog
 * that its account's share leaves ahead of it, and a job beyond it the backlog of all: it is
 * refused first when capacity is short, and told to come back when the entitlement allows it.
 * Confined to the control thread.
 *
 * @see BacklogForecast
 * @see EntitlementMeter
 */
final class SubmissionRules {
    private final JobTable mJobs;
    private final TargetTable mTargets;
    private final ServiceLoads mLoads;
    private final AccountUsage mUsage;
    private Optional<EntitlementMeter> mMeter = Optional.empty();
    private AccountWeights mWeights;

    SubmissionRules(
            JobTable jobs,
            TargetTable targets,
            ServiceLoads loads,
            AccountUsage usage,
            AccountWeights weights) {
        mJobs = jobs;
        mTargets = targets;
        mLoads = loads;
        mUsage = usage;
        mWeights = weights;
    }

    /**
     * Sets the time over which accounts may save up their rates; meters start anew.
     *
     * @param windowMillis the time; 0 if entitlements are not metered
     */
    void setEntitlementWindow(long windowMillis) {
        mMeter =
                windowMillis == 0
                        ? Optional.empty()
                        : Optional.of(new EntitlementMeter(windowMillis));
    }

    void setWeights(AccountWeights weights) {
        mWeights = weights;
    }

    AccountWeights weights() {
        return mWeights;
    }

    /**
     * Decides on a submission and adds an accepted job to the table.
     *
     * @param serviceOf returns the service of a job; empty while its queue is not configured
     */
    Admission submit(
            Job job,
            QueueSettings queue,
            Function<JobEntry, Optional<String>> serviceOf,
            long nowMillis,
            long epochMillis) {
        List<JobEntry> jobsAhead =
                mJobs.activeAtLeastAsUrgentAs(
                        queue.priority(),
                        entry -> serviceOf.apply(entry).equals(Optional.of(queue.service())));
        Optional<EntitlementMeter> meter =
                mMeter.filter(m -> mWeights.hasEntitlement(job.account()) && needsForecast(job));
        double rate = mWeights.weight(job.account());
        boolean entitled = meter.map(m -> m.allows(job.account(), rate, nowMillis)).orElse(true);
        boolean byShares = mWeights.isEnabled() && entitled;
        List<TargetState> targets = mTargets.usable(queue.service(), nowMillis);
        Admission admission =
                AdmissionForecast.decide(
                        job.spec(),
                        queue,
                        targets,
                        mLoads.incoming(queue.service()),
                        byShares
                                ? backlogByShares(job, queue, jobsAhead, nowMillis)
                                : BacklogForecast.ofAll(jobsAhead),
                        byShares ? startedBefore(job, queue, jobsAhead, nowMillis) : jobsAhead,
                        epochMillis);
        if (admission.accepted()) {
            accept(job, queue, entitled, nowMillis);
            if (entitled) {
                meter.ifPresent(m -> m.recordAccepted(job.account(), rate, nowMillis));
            }
            return admission.entitled(entitled);
        }
        if (!admission.reason().equals(Admission.OVERLOAD)) {
            return admission;
        }
        if (entitled) {
            // What exceeds an entitlement is no reason to move a host.
            mLoads.recordRefusal(queue.service(), nowMillis);
            return admission;
        }
        return admission.overEntitlement(
                meter.orElseThrow().millisUntilAllowed(job.account(), rate, nowMillis));
    }

    private static boolean needsForecast(Job job) {
        return !job.spec().scheduled() && !job.spec().isLongRunning();
    }

    private void accept(Job job, QueueSettings queue, boolean entitled, long nowMillis) {
        JobEntry entry = new JobEntry(job, queue.priority(), nowMillis, false);
        if (!entitled) {
            entry.setExcessUntil(
                    nowMillis + queue.objectiveMillis(job.spec().longestChainMillis()));
        }
        mJobs.add(entry);
    }

    private BacklogForecast backlogByShares(
            Job job, QueueSettings queue, Collection<JobEntry> jobsAhead, long nowMillis) {
        return BacklogForecast.byShares(
                jobsAhead,
                job.account(),
                queue.priority(),
                job.spec().estimatedCoreMillis(),
                mWeights,
                entry -> entry.isExcess(nowMillis));
    }

    /** Returns the jobs ahead whose waiting tasks start before those of a submitted job. */
    private List<JobEntry> startedBefore(
            Job job, QueueSettings queue, Collection<JobEntry> jobsAhead, long nowMillis) {
        String service = queue.service();
        ResourceAmounts capacity =
                TargetTable.capacityOf(mTargets.usable(queue.service(), nowMillis));
        AccountShares shares = new AccountShares(mWeights, mUsage::running, name -> capacity);
        double share = shares.relativeShare(job.account(), service);
        return jobsAhead.stream()
                .filter(
                        entry ->
                                entry.priority() < queue.priority()
                                        || entry.job().spec().isLongRunning()
                                        || !entry.isExcess(nowMillis)
                                                && shares.relativeShare(
                                                                entry.job().account(), service)
                                                        <= share)
                .toList();
    }
}
