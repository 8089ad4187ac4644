package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.Room;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/**
 * Schedulers of several owners, one after the other, against simulated targets and a network that
 * loses, delays and reorders calls. The rules are checked at the targets, not at the scheduler.
 *
 * <p>One seed gives one history. Used as: hand jobs in, run with faults, run without, read the
 * findings and the states.
 */
final class ScheduleSimulation implements SimulatedTarget.Witness {
    static final long LEASE_MILLIS = 4_000;

    private static final int OWNER_LEASE_MILLIS = 2_500;

    /** An owner without the store acts on for this time. */
    private static final int ACT_ON_MILLIS = 4_000;

    /** As in the owner: the longest lease on a clock 2% slow, and the time of an old owner. */
    private static final long LONGEST_LEASE_MILLIS = LEASE_MILLIS * 52 / 50 + ACT_ON_MILLIS;

    private static final int MAX_ATTEMPTS = SchedulerFixture.QUEUE.maxAttempts();

    /** The platform carries out unanswered orders at most this much later. */
    private static final int MAX_LATE_MILLIS = 12_000;

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparing(Event::atMillis).thenComparing(Event::order));
    private final Map<String, SimulatedTarget> mTargets = new TreeMap<>();
    private final Map<String, Job> mStoredJobs = new TreeMap<>();
    private final Map<String, JobProgress> mStoredProgress = new HashMap<>();
    private final Map<TaskId, List<Long>> mStarts = new HashMap<>();
    private final Map<TaskId, Integer> mNotedFailures = new HashMap<>();
    private final Set<TaskId> mNotedDone = new HashSet<>();
    private final Set<TaskId> mListedDone = new HashSet<>();
    private final List<String> mFindings = new ArrayList<>();
    private final Set<String> mCutOff = new HashSet<>();
    private SimulatedOwner mOwner;
    private boolean mFaults = true;
    private long mNowMillis = 1_000;
    private long mOrder;
    private long mTerm;
    private int mLives;

    private record Event(long atMillis, long order, Runnable action) {}

    ScheduleSimulation(long seed, int targets) {
        mRandom = new Random(seed);
        for (int i = 0; i < targets; i++) {
            addTarget("t" + i);
        }
        changeOwner();
    }

    long nowMillis() {
        return mNowMillis;
    }

    long term() {
        return mTerm;
    }

    static long longestLeaseMillis() {
        return LONGEST_LEASE_MILLIS;
    }

    Map<String, Job> storedJobs() {
        return mStoredJobs;
    }

    Map<String, JobProgress> storedProgress() {
        return mStoredProgress;
    }

    Iterable<SimulatedTarget> targets() {
        return List.copyOf(mTargets.values());
    }

    SimulatedTarget target(String id) {
        return mTargets.get(id);
    }

    List<String> findings() {
        return mFindings;
    }

    JobState state(String jobId) {
        return mStoredProgress.getOrDefault(jobId, JobProgress.NONE).state();
    }

    /** Writes what an owner has decided, unless a newer owner has its term in the store. */
    boolean store(long term, String jobId, JobProgress progress) {
        if (term == mTerm) {
            mStoredProgress.put(jobId, progress);
        }
        return term == mTerm;
    }

    void handIn(Job job) {
        mStoredJobs.put(job.id(), job);
        mOwner.accept(job);
    }

    void cancel(String jobId) {
        mOwner.cancel(jobId);
    }

    /** Runs for some time; with faults, things break at random moments. */
    void run(long millis, boolean faults) {
        mFaults = faults;
        long endMillis = mNowMillis + millis;
        if (!faults) {
            mCutOff.clear();
        }
        if (faults) {
            for (long at = mNowMillis; at < endMillis; at += 700) {
                at(at + mRandom.nextInt(700), this::breakSomething);
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= endMillis) {
            Event event = mEvents.poll();
            mNowMillis = Math.max(mNowMillis, event.atMillis());
            event.action().run();
            checkCapacity();
        }
        mNowMillis = endMillis;
    }

    void at(long atMillis, Runnable action) {
        mEvents.add(new Event(atMillis, mOrder++, action));
    }

    void after(long millis, Runnable action) {
        at(mNowMillis + millis, action);
    }

    /**
     * Takes a call to a target and its answer back.
     *
     * @param call carried out at the target, at most once
     * @param answered run with the answer, or with null if there is none
     */
    <T> void call(
            long callerTerm,
            String targetId,
            long lifeMillis,
            Supplier<T> call,
            Consumer<T> answered) {
        int there = 1 + mRandom.nextInt(20);
        boolean lost = mFaults && mRandom.nextInt(100) < 4;
        boolean late = lost && mRandom.nextBoolean();
        boolean cut = isCutOff(callerTerm, targetId);
        if (late && !cut) {
            after(1 + mRandom.nextInt(MAX_LATE_MILLIS), () -> carryOut(targetId, lifeMillis, call));
        }
        if (cut || lost) {
            after(1_200, () -> answered.accept(null));
            return;
        }
        boolean answerLost = mFaults && mRandom.nextInt(100) < 3;
        after(
                there,
                () -> {
                    T answer = carryOut(targetId, lifeMillis, call);
                    boolean silent = answer == null || answerLost || isCutOff(callerTerm, targetId);
                    int back = silent ? 1_200 : 1 + mRandom.nextInt(20);
                    after(back, () -> answered.accept(silent ? null : answer));
                });
    }

    /** A target is cut off from all owners, or from one only. */
    private boolean isCutOff(long term, String targetId) {
        return mCutOff.contains(targetId) || mCutOff.contains(term + "/" + targetId);
    }

    private <T> T carryOut(String targetId, long lifeMillis, Supplier<T> call) {
        SimulatedTarget target = mTargets.get(targetId);
        boolean same = target != null && target.isUp() && target.startedMillis() == lifeMillis;
        return same ? call.get() : null;
    }

    /** Draws how a run will go: mostly well, sometimes it fails. */
    EndKind drawEnd() {
        return mRandom.nextInt(100) < 8 ? EndKind.FAILED : EndKind.DONE;
    }

    long drawDurationMillis() {
        return 100 + mRandom.nextInt(1_500);
    }

    private void breakSomething() {
        String target = "t" + mRandom.nextInt(mTargets.size());
        switch (mRandom.nextInt(8)) {
            case 0 -> changeOwner();
            case 1 -> {
                mTargets.get(target).crash();
                after(300 + mRandom.nextInt(2_000), () -> addTarget(target));
            }
            case 2, 3 -> {
                String cut = mRandom.nextBoolean() ? target : mTerm + "/" + target;
                mCutOff.add(cut);
                after(200 + mRandom.nextInt(9_000), () -> mCutOff.remove(cut));
            }
            case 4 -> divide();
            default -> {}
        }
    }

    /** The owner keeps a part of the targets, and the next one reaches the other part only. */
    private void divide() {
        long oldTerm = mTerm;
        Set<String> far = new HashSet<>();
        mTargets.keySet().stream().filter(id -> mRandom.nextBoolean()).forEach(far::add);
        far.forEach(id -> mCutOff.add(oldTerm + "/" + id));
        after(
                OWNER_LEASE_MILLIS,
                () -> {
                    if (mTerm == oldTerm && mFaults) {
                        changeOwner();
                        mTargets.keySet().stream()
                                .filter(id -> !far.contains(id))
                                .forEach(id -> mCutOff.add(mTerm + "/" + id));
                    }
                });
        after(4_000 + mRandom.nextInt(6_000), mCutOff::clear);
    }

    private void addTarget(String id) {
        if (mTargets.containsKey(id) && mTargets.get(id).isUp()) {
            return;
        }
        double clockRate = 0.98 + mRandom.nextInt(21) / 1_000.0;
        mTargets.put(id, new SimulatedTarget(id, mNowMillis + ++mLives, clockRate, this));
    }

    /** A new owner; the old one acts on until a target refuses it or its own lease has ended. */
    private void changeOwner() {
        SimulatedOwner old = mOwner;
        mTerm++;
        mOwner = new SimulatedOwner(this);
        mOwner.start();
        if (old != null) {
            after(mRandom.nextInt(ACT_ON_MILLIS), old::close);
        }
    }

    @Override
    public void onStart(SimulatedTarget target, TaskId task, long run, long nowMillis) {
        for (SimulatedTarget other : mTargets.values()) {
            if (other != target && other.isUp() && other.isRunning(task, nowMillis)) {
                mFindings.add("TWICE " + task + " at " + target.id() + " and " + other.id());
            }
        }
        if (mNotedDone.contains(task)) {
            mFindings.add("TWICE " + task + " started after its noted end");
        }
        if (mNotedFailures.getOrDefault(task, 0) >= MAX_ATTEMPTS) {
            mFindings.add("BUDGET " + task + " started after its last attempt");
        }
        Job job = mStoredJobs.get(task.jobId());
        for (int earlier : job.spec().steps().get(task.step()).after()) {
            for (int i = 0; i < job.spec().steps().get(earlier).taskCount(); i++) {
                if (!isDone(new TaskId(task.jobId(), 0, earlier, i))) {
                    mFindings.add("ORDER " + task + " before step " + earlier);
                }
            }
        }
        mStarts.computeIfAbsent(task, t -> new ArrayList<>()).add(nowMillis);
    }

    /** A step may begin on an end that was listed, also before it is noted. */
    private boolean isDone(TaskId task) {
        return mNotedDone.contains(task) || mListedDone.contains(task);
    }

    void onListedDone(TaskId task) {
        mListedDone.add(task);
    }

    @Override
    public void onNoted(SimulatedTarget target, SimulatedTarget.End end, long nowMillis) {
        boolean lapsed = target.lastLapseMillis() >= end.atMillis();
        if (end.kind() == EndKind.DONE && !lapsed) {
            mNotedDone.add(end.task());
            for (long start : mStarts.getOrDefault(end.task(), List.of())) {
                if (start > end.atMillis()) {
                    mFindings.add("TWICE " + end.task() + " started after an end noted later");
                }
            }
        } else if (end.kind() == EndKind.FAILED) {
            mNotedFailures.merge(end.task(), 1, Integer::sum);
        }
    }

    private void checkCapacity() {
        for (SimulatedTarget target : mTargets.values()) {
            Room used = target.isUp() ? target.used(mNowMillis) : Room.NONE;
            if (used.cpuMillicores() > SimulatedOwner.TARGET_MILLICORES) {
                mFindings.add("LIMIT " + target.id() + " runs " + used);
            }
        }
    }

    static Room claim(Job job, TaskId task) {
        StepSpec step = job.spec().steps().get(task.step());
        return step.claim();
    }
}
