package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/**
 * Applies {@link PlacementWait} to the tasks of scheduling passes and counts how waits end.
 *
 * <p>Invariants: without a far factor above 1 no task waits; the time of a task's waits counts from
 * the first of them, and for a job of an earlier owner from its acceptance, so that neither a retry
 * nor a change of the owner extends it; long-running tasks do not wait. Confined to the control
 * thread.
 */
public final class PlacementWaits {
    /** Decisions that are kept for the log until they are taken. */
    private static final int MAX_BEGUN = 100;

    /** Time over which the demand for a rack is averaged; shorter than a burst of demand. */
    private static final long LOAD_PERIOD_MILLIS = 1_000;

    private final LearnedDurations mDurations;
    private final ToLongFunction<JobEntry> mObjectiveMillis;
    private final Map<Candidates, RackFigures> mFigures = new IdentityHashMap<>();
    private final List<Begun> mBegun = new ArrayList<>();
    private final Map<RackKey, RackLoad> mLoads = new HashMap<>();
    private PlacementWait.Rule mRule = PlacementWait::decide;
    private double mFarFactor = 1;
    private Counts mCounts = Counts.NONE;

    /**
     * The beginning of a wait.
     *
     * @param rack the preferred rack
     * @param longestMillis time after which the wait ends at the latest
     * @param roomInMillis time after which room is expected
     */
    public record Begun(TaskId task, String rack, long longestMillis, long roomInMillis) {}

    /**
     * Numbers of waits and of runs.
     *
     * @param begun waits that began
     * @param paidOff waits that ended with a start at the preferred placement
     * @param givenUp waits that ended with a start elsewhere
     * @param waitedMillis time of the waits that ended with a start
     * @param farRuns runs that started away from a preferred placement
     */
    public record Counts(long begun, long paidOff, long givenUp, long waitedMillis, long farRuns) {
        static final Counts NONE = new Counts(0, 0, 0, 0, 0);

        private Counts plus(
                long moreBegun, long morePaidOff, long moreGivenUp, long moreMillis, long moreFar) {
            return new Counts(
                    begun + moreBegun,
                    paidOff + morePaidOff,
                    givenUp + moreGivenUp,
                    waitedMillis + moreMillis,
                    farRuns + moreFar);
        }
    }

    private record Loads(double preferred, double elsewhere) {}

    private record RackKey(String service, String rack) {}

    /** Work that was started for a rack, of which older work counts less. */
    private static final class RackLoad {
        private double mCoreMillis;
        private long mUpdatedMillis;

        double coreMillis(long nowMillis) {
            double periods = (double) (nowMillis - mUpdatedMillis) / LOAD_PERIOD_MILLIS;
            mCoreMillis *= Math.exp(-periods);
            mUpdatedMillis = nowMillis;
            return mCoreMillis;
        }

        void add(double coreMillis, long nowMillis) {
            mCoreMillis = coreMillis(nowMillis) + coreMillis;
        }
    }

    /** The present time on both clocks. */
    record Now(long millis, long epochMillis) {}

    /**
     * Creates the waits of one owner.
     *
     * @param objectiveMillis returns the monotonic time of a job's objective; {@link
     *     Long#MAX_VALUE} if it has none
     */
    PlacementWaits(LearnedDurations durations, ToLongFunction<JobEntry> objectiveMillis) {
        mDurations = durations;
        mObjectiveMillis = objectiveMillis;
    }

    void setFarFactor(double farFactor) {
        mFarFactor = farFactor;
    }

    /** Replaces the rule, to compare others with it. */
    void setRule(PlacementWait.Rule rule) {
        mRule = rule;
    }

    /** Returns whether the tasks of a step may wait for their preferred placement. */
    boolean mayWait(StepState step) {
        StepSpec spec = step.spec();
        boolean prefers =
                spec.traits().gang()
                        ? spec.placement().sameRack()
                        : !spec.placement().preferredRack().isEmpty();
        return mFarFactor > 1
                && prefers
                && !spec.traits().longRunning()
                && spec.reservedResources().cpuMillicores() > 0;
    }

    /** Returns the figures of the present pass. */
    RackFigures figures(Candidates candidates, long nowMillis) {
        return mFigures.computeIfAbsent(candidates, c -> new RackFigures(c.usable(), nowMillis));
    }

    /** Ends the scheduling pass. */
    void endPass() {
        mFigures.clear();
    }

    /**
     * Returns whether a task waits for its preferred rack, which has no room for it now; a task
     * that has not waited before must have room elsewhere.
     */
    boolean waits(StepState step, TaskState task, RackFigures racks, Now now) {
        String rack = step.spec().placement().preferredRack();
        long millicores = step.spec().reservedResources().cpuMillicores();
        boolean eligible =
                racks.targets(rack).stream().anyMatch(target -> Placer.isEligible(step, target));
        long roomMillis = eligible ? racks.roomMillis(rack, millicores) : Long.MAX_VALUE;
        return waits(step, task, rack, roomMillis, racks, now);
    }

    /**
     * Returns whether a gang waits for one rack for all its members, like {@link #waits(StepState,
     * TaskState, RackFigures, Now)}; the first member stands for all.
     */
    boolean gangWaits(StepState step, RackFigures racks, Now now) {
        long millicores = step.tasks().size() * step.spec().reservedResources().cpuMillicores();
        String best = "";
        long bestMillis = Long.MAX_VALUE;
        for (String rack : racks.racks()) {
            if (racks.capacityMillicores(rack) >= millicores) {
                long roomMillis = racks.roomMillis(rack, millicores - racks.freeMillicores(rack));
                if (roomMillis < bestMillis) {
                    best = rack;
                    bestMillis = roomMillis;
                }
            }
        }
        return waits(step, step.tasks().get(0), best, bestMillis, racks, now);
    }

    private boolean waits(
            StepState step,
            TaskState task,
            String rack,
            long roomMillis,
            RackFigures racks,
            Now now) {
        JobEntry job = step.job();
        long sinceMillis = task.placementWaitSinceMillis().orElse(now.millis());
        if (job.isRestored()) {
            long ageMillis = Math.max(0, now.epochMillis() - job.job().acceptedEpochMillis());
            sinceMillis = Math.min(sinceMillis, now.millis() - ageMillis);
        }
        Loads loads =
                step.spec().traits().gang() ? new Loads(0, 0) : loads(rack, racks, now.millis());
        PlacementWait.Decision decision =
                mRule.decide(
                        new PlacementWait.Situation(
                                now.millis(),
                                sinceMillis,
                                expectedMillis(job, step.spec()),
                                mFarFactor,
                                loads.preferred(),
                                loads.elsewhere(),
                                roomMillis,
                                objectiveMillis(step)));
        if (!decision.waits()) {
            return false;
        }
        int members = step.spec().traits().gang() ? step.tasks().size() : 1;
        racks.addQueued(rack, members * step.spec().reservedResources().cpuMillicores());
        if (task.placementWaitSinceMillis().isEmpty()) {
            task.beginPlacementWait(now.millis());
            mCounts = mCounts.plus(1, 0, 0, 0, 0);
            if (mBegun.size() < MAX_BEGUN) {
                mBegun.add(
                        new Begun(
                                task.id(),
                                rack,
                                decision.untilMillis() - now.millis(),
                                roomMillis - now.millis()));
            }
        }
        return true;
    }

    /**
     * Records that a task or a gang starts.
     *
     * @param task the task, or the first member of the gang
     * @param preferred whether it starts at its preferred placement
     */
    void onStart(TaskState task, boolean preferred, long nowMillis) {
        boolean waited = task.endPlacementWait();
        long waitedMillis = waited ? nowMillis - task.placementWaitSinceMillis().getAsLong() : 0;
        mCounts =
                mCounts.plus(
                        0,
                        waited && preferred ? 1 : 0,
                        waited && !preferred ? 1 : 0,
                        waitedMillis,
                        preferred ? 0 : 1);
    }

    /** Records that a task that prefers a rack starts, there or elsewhere. */
    void addLoad(StepState step, RackFigures racks, long nowMillis) {
        String rack = step.spec().placement().preferredRack();
        String service = racks.service(rack).orElse(null);
        if (service == null) {
            // Racks without targets are not recorded, which bounds the number of entries.
            return;
        }
        // One long task is no more demand than its processors for the whole period.
        long millis = Math.min(expectedMillis(step.job(), step.spec()), LOAD_PERIOD_MILLIS);
        long coreMillis = step.spec().reservedResources().cpuMillicores() * millis / 1_000;
        mLoads.computeIfAbsent(new RackKey(service, rack), key -> new RackLoad())
                .add(coreMillis, nowMillis);
    }

    private Loads loads(String preferred, RackFigures racks, long nowMillis) {
        double elsewhereMillicores = 0;
        long elsewhereCapacity = 0;
        for (String rack : racks.racks()) {
            if (!rack.equals(preferred)) {
                elsewhereMillicores += demandMillicores(rack, racks, nowMillis);
                elsewhereCapacity += racks.capacityMillicores(rack);
            }
        }
        double millicores = demandMillicores(preferred, racks, nowMillis);
        return new Loads(
                millicores / Math.max(1, racks.capacityMillicores(preferred)),
                elsewhereMillicores / Math.max(1, elsewhereCapacity));
    }

    private double demandMillicores(String rack, RackFigures racks, long nowMillis) {
        return racks.service(rack)
                .map(service -> mLoads.get(new RackKey(service, rack)))
                .map(load -> load.coreMillis(nowMillis) * 1_000 / LOAD_PERIOD_MILLIS)
                .orElse(0.0);
    }

    /** Returns and clears the waits that began since the last call, up to a bounded number. */
    public List<Begun> takeBegun() {
        List<Begun> begun = List.copyOf(mBegun);
        mBegun.clear();
        return begun;
    }

    /** Returns and clears the numbers since the last call. */
    public Counts takeCounts() {
        Counts counts = mCounts;
        mCounts = Counts.NONE;
        return counts;
    }

    /** Returns by when a run of a step must end so that its job can meet its objective. */
    private long objectiveMillis(StepState step) {
        long objectiveMillis = mObjectiveMillis.applyAsLong(step.job());
        if (objectiveMillis == Long.MAX_VALUE) {
            return objectiveMillis;
        }
        return objectiveMillis - millisAfter(step);
    }

    /** Returns the expected duration of the longest chain of steps that wait for a step. */
    private long millisAfter(StepState step) {
        JobSpec spec = step.job().job().spec();
        long[] chainMillis = new long[spec.steps().size()];
        Arrays.fill(chainMillis, -1);
        chainMillis[step.number()] = 0;
        long longestMillis = 0;
        for (int i = step.number() + 1; i < chainMillis.length; i++) {
            for (int earlier : spec.steps().get(i).after()) {
                if (chainMillis[earlier] >= 0) {
                    long endMillis =
                            chainMillis[earlier] + expectedMillis(step.job(), spec.steps().get(i));
                    chainMillis[i] = Math.max(chainMillis[i], endMillis);
                }
            }
            longestMillis = Math.max(longestMillis, chainMillis[i]);
        }
        return longestMillis;
    }

    private long expectedMillis(JobEntry job, StepSpec spec) {
        return mDurations.expectedMillis(job.job().queue(), spec.estimateMillis());
    }
}
