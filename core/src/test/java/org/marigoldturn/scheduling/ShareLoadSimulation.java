package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Plays demand in bursts of client accounts that compete for one service, and counts what each
 * gets.
 *
 * <p>Each burst asks for more than the capacity for 4.5 s; almost nothing is asked in between.
 * Refused clients submit again up to four times within 3 s.
 */
final class ShareLoadSimulation {
    static final String HOT_ACCOUNT = "a0";
    static final int ACCOUNTS = 20;

    private static final int TARGETS = 4;
    private static final long TARGET_MILLICORES = 16_000;
    private static final int TASKS = 8;
    private static final long TASK_MILLICORES = 1_500;
    private static final long TASK_MILLIS = 1_000;
    private static final long OBJECTIVE_MILLIS =
            SchedulerFixture.QUEUE.objectiveMillis(TASK_MILLIS);
    private static final long STEP_MILLIS = 20;
    private static final long BURST_MILLIS = 4_500;
    private static final long PERIOD_MILLIS = 18_000;
    private static final int BURSTS = 4;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final int RETRIES = 4;
    private static final long RETRY_MILLIS = 700;

    /** Demand of an account during a burst; together 1.2 times the capacity. */
    private static final double JOBS_PER_SECOND = 1.2 * TARGETS * 16 / (TASKS * 1.5) / ACCOUNTS;

    private final double mHotFactor;
    private final double mWeight;
    private final Random mRandom;
    private final Map<String, Integer> mInTime = new HashMap<>();
    private final Map<String, Long> mFirstSubmittedMillis = new HashMap<>();
    private final Map<String, Job> mOpen = new HashMap<>();
    private final PriorityQueue<Submission> mDue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Submission::atMillis)
                            .thenComparing(s -> s.job().id()));
    private final PriorityQueue<RunningTask> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(RunningTask::endMillis));
    private SchedulerFixture mFixture = new SchedulerFixture(1);
    private List<TargetState> mTargets = new ArrayList<>();
    private int mAccounts = ACCOUNTS;
    private long mOwnerChangeMillis = Long.MAX_VALUE;

    private record Submission(Job job, long atMillis, long firstMillis, int retriesLeft) {}

    private record RunningTask(Run run, long endMillis) {}

    /**
     * Creates a simulation.
     *
     * @param hotFactor how many times its usual load {@link #HOT_ACCOUNT} submits
     * @param weight weight of each account; 0 for a configuration without shares
     */
    ShareLoadSimulation(double hotFactor, double weight, long seed) {
        mHotFactor = hotFactor;
        mWeight = weight;
        mRandom = new Random(seed);
        configure();
        for (int i = 0; i < TARGETS; i++) {
            mTargets.add(mFixture.addTarget("t" + i, TARGET_MILLICORES));
        }
    }

    /** Lets only {@link #HOT_ACCOUNT} submit jobs. */
    ShareLoadSimulation withoutOthers() {
        mAccounts = 1;
        return this;
    }

    /** Replaces the owner at a time after the start of the load. */
    ShareLoadSimulation changeOwnerAt(long millis) {
        mOwnerChangeMillis = mFixture.mNowMillis + millis;
        return this;
    }

    /** Plays all bursts and returns how many jobs of each account were completed in time. */
    Map<String, Integer> run() {
        long startMillis = mFixture.mNowMillis;
        planSubmissions(startMillis);
        long endMillis = startMillis + BURSTS * PERIOD_MILLIS;
        while (mFixture.mNowMillis < endMillis) {
            if (mFixture.mNowMillis >= mOwnerChangeMillis) {
                mOwnerChangeMillis = Long.MAX_VALUE;
                changeOwner();
            }
            endTasks();
            submitDue();
            startTasks();
            mFixture.mNowMillis += STEP_MILLIS;
        }
        return mInTime;
    }

    static int sumOfOthers(Map<String, Integer> inTime) {
        return inTime.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(HOT_ACCOUNT))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private void configure() {
        List<AccountSettings> accounts = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            accounts.add(
                    new AccountSettings(
                            "a" + i, Set.of("key" + i), mWeight, new ResourceAmounts(0, 0, 0)));
        }
        mFixture.mScheduler.setCatalog(
                new QueueCatalog(
                        2, List.of(SchedulerFixture.QUEUE), Set.of("service"), Set.of(), accounts));
        mFixture.mScheduler.setEntitlementWindow(5_000);
    }

    private void planSubmissions(long startMillis) {
        for (int i = 0; i < mAccounts; i++) {
            // Each account has random numbers of its own, so that the load of one does not change
            // the submissions of the others.
            Random random = new Random(mRandom.nextLong());
            String account = "a" + i;
            double rate = JOBS_PER_SECOND * (account.equals(HOT_ACCOUNT) ? mHotFactor : 1);
            int jobs = (int) Math.round(rate * BURST_MILLIS / 1_000);
            for (int burst = 0; burst < BURSTS; burst++) {
                for (int n = 0; n < jobs; n++) {
                    long at = startMillis + burst * PERIOD_MILLIS + random.nextLong(BURST_MILLIS);
                    String id = account + "-" + burst + "-" + n;
                    Job job =
                            SchedulerFixture.job(
                                    id, account, SchedulerFixture.step(TASKS, TASK_MILLICORES));
                    mDue.add(new Submission(job, at, at, RETRIES));
                }
            }
        }
    }

    private void submitDue() {
        while (!mDue.isEmpty() && mDue.peek().atMillis() <= mFixture.mNowMillis) {
            Submission submission = mDue.remove();
            Admission admission = mFixture.accept(submission.job());
            if (admission.accepted()) {
                mFirstSubmittedMillis.put(submission.job().id(), submission.firstMillis());
                mOpen.put(submission.job().id(), submission.job());
                continue;
            }
            long again = mFixture.mNowMillis + RETRY_MILLIS;
            if (submission.retriesLeft() > 0
                    && again < submission.firstMillis() + DEADLINE_MILLIS) {
                mDue.add(
                        new Submission(
                                submission.job(),
                                again,
                                submission.firstMillis(),
                                submission.retriesLeft() - 1));
            }
        }
    }

    private void startTasks() {
        List<Run> started = mFixture.starts();
        mFixture.started(started);
        for (Run run : started) {
            mRunning.add(new RunningTask(run, mFixture.mNowMillis + TASK_MILLIS));
        }
    }

    private void endTasks() {
        while (!mRunning.isEmpty() && mRunning.peek().endMillis() <= mFixture.mNowMillis) {
            mFixture.end(mRunning.remove().run(), EndKind.DONE);
        }
        List<String> ended =
                mOpen.keySet().stream()
                        .filter(id -> mFixture.mScheduler.state(id).orElseThrow().isFinal())
                        .toList();
        for (String id : ended) {
            Job job = mOpen.remove(id);
            if (mFixture.mNowMillis - mFirstSubmittedMillis.get(id) <= OBJECTIVE_MILLIS) {
                mInTime.merge(job.account(), 1, Integer::sum);
            }
        }
    }

    /** The new owner reads all records and the lists of all targets at once. */
    private void changeOwner() {
        SchedulerFixture former = mFixture;
        mFixture = new SchedulerFixture(2);
        mFixture.mNowMillis = former.mNowMillis;
        configure();
        for (Job job : mOpen.values()) {
            mFixture.mScheduler.restore(
                    job, former.mScheduler.progress(job.id()), mFixture.mNowMillis);
        }
        mTargets = new ArrayList<>();
        List<RunningTask> running = new ArrayList<>(mRunning);
        mRunning.clear();
        for (int i = 0; i < TARGETS; i++) {
            String id = "t" + i;
            List<RunningTask> here =
                    running.stream().filter(t -> t.run().target().entry().id().equals(id)).toList();
            mTargets.add(takeOver(id, here, former.mEnds.getOrDefault(id, 0L)));
        }
    }

    private TargetState takeOver(String id, List<RunningTask> running, long ends) {
        TargetState target =
                mFixture.mScheduler.restoreTarget(
                        SchedulerFixture.entry(id, 1, TARGET_MILLICORES), mFixture.mNowMillis);
        mFixture.mScheduler.onTargetListed(target.entry(), mFixture.mNowMillis);
        target.setReachable(true);
        target.setLastProcessedEnd(ends);
        mFixture.mEnds.put(id, ends);
        mFixture.report(
                target,
                running.stream()
                        .map(
                                t ->
                                        new TargetReport.RunReport(
                                                t.run().task(), t.run().number(), "", 100))
                        .toList());
        for (RunningTask task : running) {
            Run run = target.find(task.run().task(), task.run().number());
            mRunning.add(new RunningTask(run, task.endMillis()));
        }
        return target;
    }
}
