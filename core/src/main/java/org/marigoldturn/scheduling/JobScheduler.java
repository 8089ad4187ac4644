package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.Room;

/**
 * Schedules the tasks of all accepted jobs on the targets of their services.
 *
 * <p>Events and the present time go in, orders and changed jobs come out. Invariants: a task has a
 * new run only when none of its runs can exist any more (but for copies of speculative steps, which
 * are not made yet), the claims at a target never exceed its capacity by a decision made here, and
 * an account's limit holds for all runs, also those that are being stopped. Confined to the control
 * thread.
 */
public final class JobScheduler {
    /** Run numbers of one term; no task is started more often under one owner. */
    private static final long RUNS_PER_TERM = 65_536;

    /** A waiting task gets room reserved after this time, so that smaller ones do not starve it. */
    private static final long RESERVE_AFTER_MILLIS = 500;

    /** Clocks of hosts differ by less; a due time is a lower bound. */
    private static final long DUE_MARGIN_MILLIS = 40;

    private final long mTerm;
    private final JobTable mJobs = new JobTable();
    private final InterruptionRules mInterruptions = new InterruptionRules(mJobs);
    private final AccountUsage mUsage = new AccountUsage();
    private final RunTracker mRuns = new RunTracker(mJobs, mUsage, this::maxAttempts);
    private final TargetTable mTargets;
    private final ServiceLoads mLoads;
    private final AdvicePlanner mAdvice;
    private QueueCatalog mCatalog;
    private long mRestoredHeldUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the scheduler of one owner.
     *
     * @param term the owner's term
     * @param nowMillis monotonic time of the takeover
     * @param longestLeaseMillis time after which no lease of an earlier owner can last
     */
    public JobScheduler(QueueCatalog catalog, long term, long nowMillis, long longestLeaseMillis) {
        mCatalog = catalog;
        mTerm = term;
        mTargets = new TargetTable(mRuns, nowMillis, longestLeaseMillis);
        mLoads = new ServiceLoads(mJobs, mTargets);
        mAdvice = new AdvicePlanner(mJobs, mTargets);
    }

    /** Takes a job from the records of an earlier owner. */
    public void restore(Job job, JobProgress progress, long nowMillis) {
        JobEntry entry = new JobEntry(job, priorityOf(job), nowMillis, true);
        entry.restore(progress);
        mJobs.add(entry);
    }

    /** Starts nothing of restored jobs before the given monotonic time. */
    public void holdRestoredJobsUntil(long untilMillis) {
        mRestoredHeldUntilMillis = untilMillis;
    }

    /** Uses a newer configuration. */
    public void setCatalog(QueueCatalog catalog) {
        mCatalog = catalog;
    }

    /**
     * Sets whether nobody else can be the owner. Otherwise leases do not count as ended, tasks
     * start only on targets that another owner would have to read first, and tasks whose target has
     * ended do not start, since another owner may have noted their ends.
     */
    public void setOwnerCertain(boolean certain) {
        mTargets.setOwnerCertain(certain);
    }

    /** Sets the availability zones in which nothing is started. */
    public void setClosedZones(Set<String> zones) {
        mTargets.setClosedZones(zones);
    }

    /** Adds a target or updates its entry; an earlier life at its id has ended. */
    public TargetState onTargetListed(TargetEntry entry) {
        return mTargets.list(entry);
    }

    /** Records that the platform's list has no entry for a target. */
    public void onTargetUnlisted(String id) {
        mTargets.unlist(id);
    }

    /** Records that a target's life has ended, and with it everything that ran there. */
    public void onTargetEnded(TargetState target) {
        mTargets.end(target);
    }

    /** Returns all known targets. */
    public Collection<TargetState> targets() {
        return mTargets.all();
    }

    /** Returns the rules by which planned work may end what runs on a target. */
    public InterruptionRules interruptions() {
        return mInterruptions;
    }

    /** Decides on a hand-in; an accepted job waits for {@link #onStored}. */
    public Admission submit(Job job, QueueSettings queue, long nowMillis, long epochMillis) {
        List<TargetState> targets = mTargets.usable(queue.service(), nowMillis);
        List<JobEntry> ahead =
                mJobs.activeUpTo(
                        queue.priority(),
                        entry -> serviceOf(entry).equals(Optional.of(queue.service())));
        Admission admission =
                AdmissionForecast.decide(
                        job.spec(),
                        queue,
                        targets,
                        mLoads.incoming(queue.service()),
                        ahead,
                        epochMillis);
        if (admission.reason().equals(AdmissionForecast.OVERLOAD)) {
            mLoads.noteRefusal(queue.service(), nowMillis);
        }
        if (admission.accepted()) {
            JobEntry entry = new JobEntry(job, queue.priority(), nowMillis, false);
            mJobs.add(entry);
        }
        return admission;
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

    /** Sets the capacity that is on its way to each service, which forecasts may count on. */
    public void setIncoming(Map<String, Room> incoming) {
        mLoads.setIncoming(incoming);
    }

    /** Returns the load of every service of the configuration that does not stand by. */
    public List<ServiceLoad> serviceLoads(long nowMillis, long epochMillis) {
        return mLoads.all(mCatalog, this::serviceOf, nowMillis, epochMillis);
    }

    /** Counts the accepted jobs of a queue for which nothing has started. */
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

    /** Forgets jobs that ended before the given time of day and returns their ids. */
    public List<String> forgetEndedBefore(long epochMillis) {
        return mJobs.forgetEndedBefore(epochMillis);
    }

    /** Returns and clears the ids of jobs whose durable progress has changed. */
    public Set<String> takeChanged() {
        return mRuns.takeChanged();
    }

    /**
     * Processes a target's lists.
     *
     * @param askedMillis monotonic time at which the target was asked
     */
    public void onReport(
            TargetState target,
            TargetReport report,
            long askedMillis,
            long nowMillis,
            long epochMillis) {
        if (mTargets.contains(target)) {
            target.setRead(mTargets.isOwnerCertain());
            mRuns.onReport(target, report, askedMillis, nowMillis, epochMillis);
        }
    }

    /** Records a target's answer to an order to start. */
    public void onStartAnswer(Run run, StartOutcome outcome, long nowMillis) {
        if (outcome == StartOutcome.INVALID_TICKET) {
            mAdvice.reject(run);
        }
        switch (outcome.effect()) {
            case RUNS -> run.onStarted(nowMillis);
            case NOT_RUN -> mRuns.removeRun(run);
            case UNKNOWN -> run.onUncertain();
        }
        if (outcome.pauseMillis() > 0) {
            run.target().pause(nowMillis + outcome.pauseMillis());
        }
    }

    /** Records a target's answer to an order to stop, or that there was none. */
    public void onStopAnswer(Run run, boolean answered, long nowMillis) {
        run.onStopAnswer(answered, nowMillis);
    }

    /** Ends the runs of targets whose lease has certainly ended. */
    public void expireLeases(long nowMillis) {
        mTargets.expireLeases(nowMillis);
    }

    /** Returns whether all runs that can exist on a target are known. */
    public boolean knowsRuns(TargetState target, long nowMillis) {
        return mTargets.knowsRuns(target, nowMillis);
    }

    /** Decides all orders that are due: stops first, then starts in the order of the queues. */
    public List<Order> decide(long nowMillis, long epochMillis) {
        List<Order> orders = new ArrayList<>(mTargets.beginStops(nowMillis));
        Map<String, List<TargetState>> targets = new HashMap<>();
        Placer placer = new Placer();
        for (JobEntry job : mJobs.active()) {
            Optional<String> service = serviceOf(job);
            if (!job.isStored() || service.isEmpty() || !mayStart(job, service.get(), nowMillis)) {
                continue;
            }
            List<TargetState> candidates =
                    targets.computeIfAbsent(service.get(), s -> mTargets.usable(s, nowMillis));
            boolean advised = needsAdvice(job);
            for (StepState step : job.readySteps(epochMillis - DUE_MARGIN_MILLIS)) {
                List<TargetState> allowed =
                        advised ? AdvicePlanner.allowed(step, candidates, nowMillis) : candidates;
                startStep(step, allowed, placer, nowMillis, orders);
            }
        }
        placer.release();
        return orders;
    }

    /** Returns the next question to the policy service, for a task that could start but for it. */
    public Optional<AdviceQuestion> nextQuestion(long nowMillis, long epochMillis) {
        return mAdvice.next(
                job -> mCatalog.queue(job.job().queue()),
                nowMillis,
                epochMillis - DUE_MARGIN_MILLIS);
    }

    /**
     * Records an answer of the policy service.
     *
     * @param tickets a ticket by the id of each target that may run the step
     * @param askedMillis monotonic time of the question
     */
    public void onAdvice(AdviceQuestion question, Map<String, String> tickets, long askedMillis) {
        mAdvice.record(question, tickets, askedMillis);
    }

    private void startStep(
            StepState step,
            List<TargetState> candidates,
            Placer placer,
            long nowMillis,
            List<Order> orders) {
        List<TaskState> waiting = step.waitingTasks();
        if (waiting.isEmpty() || !isWithinLimit(step)) {
            return;
        }
        if (step.spec().traits().gang()) {
            startGang(step, candidates, placer, nowMillis, orders);
            return;
        }
        for (TaskState task : waiting) {
            if (!isWithinLimit(step)) {
                return;
            }
            TargetState target = placer.choose(step, candidates);
            if (target == null) {
                if (deservesReservation(step, nowMillis)) {
                    placer.reserve(step, candidates);
                }
                return;
            }
            orders.add(start(step, task, target, nextRunNumber(task), nowMillis));
        }
    }

    private void startGang(
            StepState step,
            List<TargetState> candidates,
            Placer placer,
            long nowMillis,
            List<Order> orders) {
        List<TargetState> chosen =
                step.isGangIdle() ? placer.chooseForGang(step, candidates) : List.of();
        if (chosen.isEmpty() || !mUsage.allows(accountOf(step), step.spec(), chosen.size())) {
            return;
        }
        long number = 0;
        for (TaskState task : step.tasks()) {
            number = Math.max(number, nextRunNumber(task));
        }
        for (int i = 0; i < chosen.size(); i++) {
            orders.add(start(step, step.tasks().get(i), chosen.get(i), number, nowMillis));
        }
    }

    private Order start(
            StepState step, TaskState task, TargetState target, long number, long nowMillis) {
        Run run = new Run(task.id(), number, target, step.spec().claim(), nowMillis);
        task.noteRunNumber(number);
        step.job().markStarted();
        mRuns.addRun(run, task, step.job());
        return new Order.Start(
                run,
                step.job().job().spec().payload(),
                task.checkpoint(),
                step.advice().ticket(target, nowMillis));
    }

    private boolean deservesReservation(StepState step, long nowMillis) {
        return step.spec().traits().longRunning()
                || nowMillis - step.job().acceptedMillis() >= RESERVE_AFTER_MILLIS;
    }

    private boolean isWithinLimit(StepState step) {
        return mUsage.allows(accountOf(step), step.spec(), 1);
    }

    private Optional<AccountSettings> accountOf(StepState step) {
        return mCatalog.account(step.job().job().account());
    }

    /** Returns whether no run of an earlier owner can exist unseen. */
    private boolean mayStart(JobEntry job, String service, long nowMillis) {
        if (!job.isRestored()) {
            return true;
        }
        return nowMillis >= mRestoredHeldUntilMillis
                && mTargets.all().stream()
                        .filter(target -> target.entry().service().equals(service))
                        .allMatch(target -> knowsRuns(target, nowMillis));
    }

    private long nextRunNumber(TaskState task) {
        return Math.max(task.lastRunNumber(), (mTerm - 1) * RUNS_PER_TERM) + 1;
    }

    private boolean needsAdvice(JobEntry job) {
        return mCatalog.queue(job.job().queue()).flatMap(QueueSettings::advice).isPresent();
    }

    private Optional<String> serviceOf(JobEntry job) {
        return mCatalog.queue(job.job().queue()).map(QueueSettings::service);
    }

    private int priorityOf(Job job) {
        return mCatalog.queue(job.queue()).map(QueueSettings::priority).orElse(0);
    }

    private int maxAttempts(JobEntry job) {
        return mCatalog.queue(job.job().queue()).map(QueueSettings::maxAttempts).orElse(1);
    }
}
