package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * One pass over the active jobs that starts the waiting tasks for which there is room.
 *
 * <p>Where the configuration has weights, {@link AccountShares} orders the jobs; otherwise they
 * keep the order of {@link JobTable}. Created for each pass; confined to the control thread.
 */
final class SchedulingPass {
    private final QueueCatalog mCatalog;
    private final AccountWeights mWeights;
    private final AccountUsage mUsage;
    private final TargetTable mTargets;
    private final RunTracker mRuns;
    private final TaskStarter mStarter;
    private final QueueServiceTracker mQueueServices;
    private final RestoredJobsCheck mRestored;
    private final long mNowMillis;
    private final long mEpochMillis;
    private final long mDueEpochMillis;
    private final Map<String, Candidates> mCandidates = new HashMap<>();
    private final Map<String, ResourceAmounts> mCapacity = new HashMap<>();
    private final List<Order> mOrders = new ArrayList<>();

    /**
     * The state on which a pass decides.
     *
     * @param queueServices tells in which services the tasks of a queue may start
     * @param restored tells which restored jobs may start
     */
    record State(
            QueueCatalog catalog,
            AccountWeights weights,
            AccountUsage usage,
            TargetTable targets,
            RunTracker runs,
            TaskStarter starter,
            QueueServiceTracker queueServices,
            RestoredJobsCheck restored) {}

    /**
     * Creates a pass.
     *
     * @param dueEpochMillis wall-clock time up to which due times have come
     */
    SchedulingPass(State state, long nowMillis, long epochMillis, long dueEpochMillis) {
        mCatalog = state.catalog();
        mWeights = state.weights();
        mUsage = state.usage();
        mTargets = state.targets();
        mRuns = state.runs();
        mStarter = state.starter();
        mQueueServices = state.queueServices();
        mRestored = state.restored();
        mNowMillis = nowMillis;
        mEpochMillis = epochMillis;
        mDueEpochMillis = dueEpochMillis;
    }

    /** Starts tasks of the given jobs, which are in the order of {@link JobTable}. */
    List<Order> run(Collection<JobEntry> active) {
        List<JobEntry> jobs = new ArrayList<>();
        for (JobEntry job : active) {
            if (mayStart(job)) {
                jobs.add(job);
            }
        }
        Consumer<JobEntry> start = this::startSteps;
        if (mWeights.isEnabled()) {
            new AccountShares(mWeights, mUsage::running, this::capacity)
                    .forEach(
                            jobs,
                            job -> serviceOf(job).orElseThrow(),
                            job -> job.isExcess(mNowMillis),
                            start);
        } else {
            jobs.forEach(start);
        }
        mStarter.endPass();
        return mOrders;
    }

    private boolean mayStart(JobEntry job) {
        if (!job.isStored() || !job.hasStartableStep(mDueEpochMillis)) {
            return false;
        }
        String queue = job.job().queue();
        Optional<String> service = serviceOf(job);
        return service.isPresent()
                && mQueueServices.isStored(queue, service.get())
                && (!job.isRestored() || mRestored.mayStart(queue));
    }

    private void startSteps(JobEntry job) {
        Candidates candidates = candidates(serviceOf(job).orElseThrow());
        boolean advised = needsTicket(job);
        for (StepState step : job.startableSteps(mDueEpochMillis)) {
            Candidates allowed =
                    advised
                            ? candidates.filter(t -> step.advice().hasTicket(t, mNowMillis))
                            : candidates;
            // The limit may have been unknown or higher when a task failed last.
            if (mRuns.finishIfOutOfAttempts(step, step.waitingTasks(), mEpochMillis)) {
                return;
            }
            mOrders.addAll(
                    mStarter.start(
                            step, allowed, new PlacementWaits.Now(mNowMillis, mEpochMillis)));
        }
    }

    private Candidates candidates(String service) {
        return mCandidates.computeIfAbsent(service, s -> mTargets.candidates(s, mNowMillis));
    }

    private ResourceAmounts capacity(String service) {
        return mCapacity.computeIfAbsent(
                service, s -> TargetTable.capacityOf(candidates(s).usable()));
    }

    private boolean needsTicket(JobEntry job) {
        return mCatalog.queue(job.job().queue()).flatMap(QueueSettings::advice).isPresent();
    }

    private Optional<String> serviceOf(JobEntry job) {
        return mCatalog.queue(job.job().queue()).map(QueueSettings::service);
    }
}
