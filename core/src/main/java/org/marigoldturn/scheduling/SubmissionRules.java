package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
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
    private final QueueServiceTracker mQueueServices;
    private final ServiceLoads mLoads;
    private final AccountUsage mUsage;
    private Optional<EntitlementMeter> mMeter = Optional.empty();
    private AccountWeights mWeights;

    /**
     * A call that submits a job.
     *
     * @param timeLeftMillis time until the client's deadline; 0 if it is not known
     * @param nowMillis monotonic time of the call
     * @param epochMillis wall-clock time of the call
     */
    record Call(long timeLeftMillis, long nowMillis, long epochMillis) {}

    SubmissionRules(
            JobTable jobs,
            TargetTable targets,
            QueueServiceTracker queueServices,
            ServiceLoads loads,
            AccountUsage usage,
            AccountWeights weights) {
        mJobs = jobs;
        mTargets = targets;
        mQueueServices = queueServices;
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
     * @param call when the job was submitted, and the time that its client has left
     * @param serviceOf returns the service of a job; empty while its queue is not configured
     * @param mayStart returns whether the tasks of a job may start now, if they fit
     */
    Admission submit(
            Job job,
            QueueSettings queue,
            Call call,
            Function<JobEntry, Optional<String>> serviceOf,
            Predicate<JobEntry> mayStart) {
        long nowMillis = call.nowMillis();
        ServiceView view =
                mTargets.view(queue.service(), mLoads.incoming(queue.service()), nowMillis);
        UnreadRunsCheck unread = new UnreadRunsCheck(mTargets, mQueueServices, nowMillis);
        List<JobEntry> jobsAhead =
                mJobs.activeAtLeastAsUrgentAs(
                        queue.priority(),
                        entry ->
                                serviceOf.apply(entry).equals(Optional.of(queue.service()))
                                        && !unread.mayHaveUnreadRuns(entry));
        Optional<EntitlementMeter> meter =
                mMeter.filter(m -> mWeights.hasEntitlement(job.account()) && needsForecast(job));
        double rate = mWeights.weight(job.account());
        boolean entitled = meter.map(m -> m.allows(job.account(), rate, nowMillis)).orElse(true);
        boolean byShares = mWeights.isEnabled() && entitled;
        BacklogForecast backlog =
                byShares
                        ? backlogByShares(job, queue, jobsAhead, nowMillis)
                        : BacklogForecast.ofAll(jobsAhead);
        Admission admission =
                AdmissionForecast.decide(
                        new AdmissionForecast.Submission(
                                job.spec(),
                                queue,
                                mJobs.expectedCoreMillis(job),
                                backlog,
                                byShares
                                        ? startedBefore(job, queue, view, jobsAhead, nowMillis)
                                        : jobsAhead,
                                mayStart),
                        view,
                        call.epochMillis());
        if (admission.accepted()) {
            accept(job, queue, entitled, nowMillis);
            if (entitled) {
                meter.ifPresent(m -> m.recordAccepted(job.account(), rate, nowMillis));
            }
            return admission.entitled(entitled);
        }
        return admission.reason().equals(Admission.OVERLOAD)
                ? refuse(job, queue, call, admission, entitled)
                : admission;
    }

    /** Records a refusal for overload and says when the client should come back. */
    private Admission refuse(
            Job job, QueueSettings queue, Call call, Admission admission, boolean entitled) {
        if (entitled) {
            // What exceeds an entitlement is no reason to move a host.
            mLoads.recordRefusal(queue.service(), call.nowMillis());
            return admission.retryAfter(
                    RetryAdvice.seconds(
                            job.id(), admission.forecast().excessMillis(), call.timeLeftMillis()));
        }
        double rate = mWeights.weight(job.account());
        long allowedMillis =
                mMeter.orElseThrow().millisUntilAllowed(job.account(), rate, call.nowMillis());
        return Admission.refuse(
                RetryAdvice.seconds(
                        job.id(), RetryAdvice.wholeSeconds(allowedMillis), call.timeLeftMillis()),
                Admission.OVER_ENTITLEMENT,
                admission.forecast());
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
                mJobs.expectedCoreMillis(job),
                mWeights,
                entry -> entry.isExcess(nowMillis));
    }

    /** Returns the jobs ahead whose waiting tasks start before those of a submitted job. */
    private List<JobEntry> startedBefore(
            Job job,
            QueueSettings queue,
            ServiceView view,
            Collection<JobEntry> jobsAhead,
            long nowMillis) {
        String service = queue.service();
        ResourceAmounts capacity = view.usableCapacity();
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
