package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/** Plays tasks that run twice as long away from their preferred rack. */
final class PlacementSimulation {
    static final double FAR_FACTOR = 2;
    static final long TASK_MILLICORES = 1_000;

    private static final long STEP_MILLIS = 20;

    SchedulerFixture mFixture = new SchedulerFixture(1);
    private final PlacementWait.Rule mRule;
    private Map<String, TargetState> mTargets = new LinkedHashMap<>();
    private final Map<String, Job> mJobs = new HashMap<>();
    private final Map<String, Long> mNearMillis = new HashMap<>();
    private final Map<TaskId, Long> mSubmittedMillis = new HashMap<>();
    private final Map<TaskId, Long> mUnplacedSinceMillis = new HashMap<>();
    private final Map<TaskId, Long> mTookMillis = new HashMap<>();
    private List<RunningTask> mRunning = new ArrayList<>();
    private long mLongestUnplacedMillis;

    private record RunningTask(Run run, long endMillis) {}

    PlacementSimulation(PlacementWait.Rule rule) {
        mRule = rule;
        configure();
    }

    private void configure() {
        List<AccountSettings> accounts =
                List.of(
                        new AccountSettings("a", Set.of("ka"), 1, ResourceAmounts.NONE),
                        new AccountSettings("b", Set.of("kb"), 1, ResourceAmounts.NONE));
        mFixture.mScheduler.setCatalog(
                new QueueCatalog(
                        2, List.of(SchedulerFixture.QUEUE), Set.of("service"), Set.of(), accounts));
        mFixture.mScheduler.setFarFactor(FAR_FACTOR);
        mFixture.mScheduler.placementWaits().setRule(mRule);
    }

    PlacementSimulation addRack(String rack, int targets, long millicores) {
        for (int i = 0; i < targets; i++) {
            String id = rack + "-" + i;
            TargetEntry entry = SchedulerFixture.entry(id, 1, millicores);
            mTargets.put(
                    id,
                    addTarget(
                            new TargetEntry(
                                    id,
                                    1,
                                    entry.hostId(),
                                    entry.service(),
                                    entry.address(),
                                    entry.zone(),
                                    rack,
                                    Set.of(rack),
                                    entry.capacity(),
                                    false),
                            List.of()));
        }
        return this;
    }

    private TargetState addTarget(TargetEntry entry, List<TargetReport.RunReport> running) {
        TargetState target = mFixture.mScheduler.onTargetListed(entry, mFixture.mNowMillis);
        target.setRecorded(true);
        target.setReachable(true);
        target.setLastProcessedEnd(mFixture.mEnds.getOrDefault(entry.id(), 0L));
        mFixture.report(target, running);
        return target;
    }

    TargetState target(String id) {
        return mTargets.get(id);
    }

    /** Submits a job whose tasks take a time at their preferred placement. */
    void submit(
            String id, String account, String rack, int tasks, long estimateMillis, long millis) {
        submit(
                id,
                account,
                new StepSpec.Placement("", rack, 0, false),
                tasks,
                estimateMillis,
                millis);
    }

    void submit(
            String id,
            String account,
            StepSpec.Placement placement,
            int tasks,
            long estimateMillis,
            long millis) {
        StepSpec step =
                new StepSpec(
                        tasks,
                        new ResourceAmounts(TASK_MILLICORES, 1, 0),
                        estimateMillis,
                        List.of(),
                        placement,
                        new StepSpec.Traits(false, placement.sameRack(), false, false, false),
                        "image",
                        0,
                        StepSpec.NO_BUDGET);
        JobSpec spec = new JobSpec("payload", List.of(step), 1, false, 0, 0);
        Job job = new Job(id, "queue", account, spec, mFixture.mNowMillis);
        if (mFixture.accept(job).accepted()) {
            mJobs.put(id, job);
            mNearMillis.put(id, millis);
            for (int i = 0; i < tasks; i++) {
                mSubmittedMillis.put(new TaskId(id, 0, 0, i), mFixture.mNowMillis);
            }
        }
    }

    void runFor(long millis) {
        long endMillis = mFixture.mNowMillis + millis;
        while (mFixture.mNowMillis < endMillis) {
            endTasks();
            startTasks();
            observeUnplaced();
            mFixture.mNowMillis += STEP_MILLIS;
        }
    }

    private void endTasks() {
        List<RunningTask> due =
                mRunning.stream().filter(t -> t.endMillis() <= mFixture.mNowMillis).toList();
        mRunning.removeAll(due);
        for (RunningTask task : due) {
            TaskId id = task.run().task();
            mTookMillis.put(id, mFixture.mNowMillis - mSubmittedMillis.get(id));
            mFixture.end(task.run(), EndKind.DONE);
        }
    }

    private void startTasks() {
        List<Run> runs = mFixture.starts();
        mFixture.started(runs);
        for (Run run : runs) {
            Job job = mJobs.get(run.task().jobId());
            String rack = job.spec().steps().get(0).placement().preferredRack();
            boolean near = rack.isEmpty() || rack.equals(run.target().entry().rack());
            long millis = mNearMillis.get(job.id());
            long tookMillis = near ? millis : Math.round(millis * FAR_FACTOR);
            mRunning.add(new RunningTask(run, mFixture.mNowMillis + tookMillis));
        }
    }

    /** Measures for how long tasks have had no run while a reachable target had room for one. */
    private void observeUnplaced() {
        boolean room =
                mTargets.values().stream()
                        .anyMatch(
                                t ->
                                        t.isReachable()
                                                && t.free().cpuMillicores() >= TASK_MILLICORES);
        for (TaskId task : mSubmittedMillis.keySet()) {
            boolean running = mRunning.stream().anyMatch(t -> t.run().task().equals(task));
            if (!room || running || mTookMillis.containsKey(task)) {
                mUnplacedSinceMillis.remove(task);
                continue;
            }
            long since = mUnplacedSinceMillis.computeIfAbsent(task, t -> mFixture.mNowMillis);
            mLongestUnplacedMillis = Math.max(mLongestUnplacedMillis, mFixture.mNowMillis - since);
        }
    }

    /** The new owner reads all records and the lists of all targets at once. */
    void changeOwner() {
        SchedulerFixture former = mFixture;
        mFixture = new SchedulerFixture(2);
        mFixture.mNowMillis = former.mNowMillis;
        mFixture.mEnds.putAll(former.mEnds);
        configure();
        for (Job job : mJobs.values()) {
            if (!former.mScheduler.state(job.id()).orElseThrow().isFinal()) {
                mFixture.mScheduler.restore(
                        job, former.mScheduler.progress(job.id()), mFixture.mNowMillis);
            }
        }
        Map<String, TargetState> targets = new LinkedHashMap<>();
        for (TargetState target : mTargets.values()) {
            List<TargetReport.RunReport> running = new ArrayList<>();
            target.forEachRun(
                    r -> running.add(new TargetReport.RunReport(r.task(), r.number(), "", 100)));
            targets.put(target.entry().id(), addTarget(target.entry(), running));
        }
        mTargets = targets;
        List<RunningTask> running = new ArrayList<>();
        for (RunningTask task : mRunning) {
            Run run = task.run();
            TargetState target = mTargets.get(run.target().entry().id());
            running.add(new RunningTask(target.find(run.task(), run.number()), task.endMillis()));
        }
        mRunning = running;
    }

    boolean isRunningIn(String jobId, String rack) {
        return mRunning.stream()
                .map(RunningTask::run)
                .anyMatch(
                        run ->
                                run.task().jobId().equals(jobId)
                                        && run.target().entry().rack().equals(rack));
    }

    boolean isRunning(String jobId) {
        return mRunning.stream().anyMatch(t -> t.run().task().jobId().equals(jobId));
    }

    /** Returns the longest time for which a task had room and no run. */
    long longestUnplacedMillis() {
        return mLongestUnplacedMillis;
    }

    /** Returns the mean time to completion of the tasks of all jobs with a prefix. */
    double meanMillis(String prefix) {
        List<Long> times = new ArrayList<>();
        for (TaskId task : mSubmittedMillis.keySet()) {
            if (task.jobId().startsWith(prefix)) {
                times.add(mTookMillis.get(task));
            }
        }
        return times.stream().mapToLong(Long::longValue).average().orElseThrow();
    }
}
