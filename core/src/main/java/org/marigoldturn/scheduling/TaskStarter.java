package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.marigoldturn.jobs.AccountSettings;

/**
 * Starts the waiting tasks of steps in scheduling passes, as far as capacity and the accounts'
 * limits allow.
 *
 * <p>Invariants: the run numbers of a task rise, also over terms; the members of a gang start
 * together or not at all. Confined to the control thread.
 */
final class TaskStarter {
    /** Run numbers per term; assumes that no task starts more often under one owner. */
    private static final long RUNS_PER_TERM = 65_536;

    /**
     * A long-running task keeps off hosts on loan, capacity held back for others and avoided
     * targets for at most this time, since it serves users only while it runs.
     */
    private static final long LONGEST_AVOIDANCE_MILLIS = 2_000;

    /** Age of a job from which capacity is held back, so that smaller tasks cannot starve it. */
    private static final long HOLD_BACK_AFTER_MILLIS = 500;

    private final long mTerm;
    private final RunTracker mRuns;
    private final AccountUsage mUsage;
    private final Function<String, Optional<AccountSettings>> mAccounts;
    private final PlacementWaits mPlacementWaits;
    private final HeldBackCapacity mHeldBack = new HeldBackCapacity();
    private final Placer mPlacer = new Placer(mHeldBack);

    /**
     * Creates the starter of one owner.
     *
     * @param accounts returns the newest settings of an account; empty if it is not configured
     */
    TaskStarter(
            long term,
            RunTracker runs,
            AccountUsage usage,
            Function<String, Optional<AccountSettings>> accounts,
            PlacementWaits placementWaits) {
        mTerm = term;
        mRuns = runs;
        mUsage = usage;
        mAccounts = accounts;
        mPlacementWaits = placementWaits;
    }

    /** Decides on the waiting tasks of a step and returns the orders that start them. */
    List<Order> start(StepState step, Candidates candidates, PlacementWaits.Now now) {
        List<TaskState> waiting = step.waitingTasks();
        if (waiting.isEmpty() || !isWithinLimit(step)) {
            return List.of();
        }
        if (step.spec().traits().gang()) {
            return startGang(step, candidates, now);
        }
        return mPlacementWaits.mayWait(step)
                ? startTasksPreferringRack(step, waiting, candidates, now)
                : startTasks(step, waiting, candidates, now.millis());
    }

    /** Ends the scheduling pass; the next one decides anew where capacity is held back. */
    void endPass() {
        mHeldBack.release();
        mPlacementWaits.endPass();
    }

    HeldBackCapacity heldBack() {
        return mHeldBack;
    }

    private List<Order> startTasks(
            StepState step, List<TaskState> waiting, Candidates candidates, long nowMillis) {
        List<Order> orders = new ArrayList<>();
        for (TaskState task : waiting) {
            if (!isWithinLimit(step)) {
                return orders;
            }
            TargetState target = choose(step, candidates, nowMillis);
            if (target == null) {
                holdBackIfOld(step, candidates, nowMillis);
                return orders;
            }
            orders.add(start(step, task, target, nextRunNumber(task), nowMillis));
        }
        return orders;
    }

    /**
     * Starts tasks in their preferred rack, and those that have no room there elsewhere unless they
     * wait. The targets outside of the rack are searched only for a task that may start there.
     */
    private List<Order> startTasksPreferringRack(
            StepState step,
            List<TaskState> waiting,
            Candidates candidates,
            PlacementWaits.Now now) {
        RackFigures racks = mPlacementWaits.figures(candidates, now.millis());
        String rack = step.spec().placement().preferredRack();
        List<Order> orders = new ArrayList<>();
        boolean rackFull = false;
        TargetState elsewhere = null;
        for (int i = 0; i < waiting.size() && isWithinLimit(step); i++) {
            TaskState task = waiting.get(i);
            TargetState near = rackFull ? null : mPlacer.choose(step, racks.targets(rack));
            rackFull = near == null;
            boolean decided = rackFull && task.placementWaitSinceMillis().isPresent();
            if (decided && mPlacementWaits.waits(step, task, racks, now)) {
                continue;
            }
            if (rackFull && elsewhere == null) {
                elsewhere = mPlacer.choose(step, candidates.usable());
                if (elsewhere == null) {
                    int left = waiting.size() - i;
                    racks.addQueued(rack, left * step.spec().reservedResources().cpuMillicores());
                    holdBackIfOld(step, candidates, now.millis());
                    return orders;
                }
            }
            if (rackFull && !decided && mPlacementWaits.waits(step, task, racks, now)) {
                continue;
            }
            TargetState target = rackFull ? elsewhere : near;
            elsewhere = null;
            mPlacementWaits.onStart(task, !rackFull, now.millis());
            mPlacementWaits.addLoad(step, racks, now.millis());
            orders.add(start(step, task, target, nextRunNumber(task), now.millis()));
        }
        return orders;
    }

    private void holdBackIfOld(StepState step, Candidates candidates, long nowMillis) {
        if (mayHoldBackCapacity(step, nowMillis)) {
            mPlacer.holdBack(step, candidates.usable(), nowMillis);
        }
    }

    private TargetState choose(StepState step, Candidates candidates, long nowMillis) {
        TargetState target = mPlacer.choose(step, candidates.usable());
        if (target != null || !step.spec().traits().longRunning()) {
            return target;
        }
        long unplacedMillis = nowMillis - step.unplacedSinceMillis(nowMillis);
        return unplacedMillis >= LONGEST_AVOIDANCE_MILLIS
                ? mPlacer.chooseAnywhere(step, candidates)
                : null;
    }

    private List<Order> startGang(StepState step, Candidates candidates, PlacementWaits.Now now) {
        if (!step.isGangIdle()
                || !mUsage.allows(accountOf(step), step.spec(), step.tasks().size())) {
            return List.of();
        }
        List<TargetState> chosen =
                mPlacementWaits.mayWait(step)
                        ? chooseForGangOrWait(step, candidates, now)
                        : mPlacer.chooseForGang(step, candidates.usable());
        if (chosen.isEmpty()) {
            return List.of();
        }
        long number = 0;
        for (TaskState task : step.tasks()) {
            number = Math.max(number, nextRunNumber(task));
        }
        List<Order> orders = new ArrayList<>();
        for (int i = 0; i < chosen.size(); i++) {
            orders.add(start(step, step.tasks().get(i), chosen.get(i), number, now.millis()));
        }
        return orders;
    }

    /** Chooses targets in one rack; in several only for a gang that does not wait. */
    private List<TargetState> chooseForGangOrWait(
            StepState step, Candidates candidates, PlacementWaits.Now now) {
        TaskState first = step.tasks().get(0);
        List<TargetState> chosen = mPlacer.chooseInOneRack(step, candidates.usable());
        boolean preferred = !chosen.isEmpty();
        if (!preferred) {
            RackFigures racks = mPlacementWaits.figures(candidates, now.millis());
            boolean decided = first.placementWaitSinceMillis().isPresent();
            if (decided && mPlacementWaits.gangWaits(step, racks, now)) {
                return List.of();
            }
            chosen = mPlacer.chooseInAnyRacks(step, candidates.usable());
            if (chosen.isEmpty() || !decided && mPlacementWaits.gangWaits(step, racks, now)) {
                return List.of();
            }
        }
        mPlacementWaits.onStart(first, preferred, now.millis());
        return chosen;
    }

    private Order start(
            StepState step, TaskState task, TargetState target, long number, long nowMillis) {
        Run run =
                new Run(
                        task.id(),
                        number,
                        target,
                        step.spec().reservedResources(),
                        step.spec().traits().longRunning(),
                        nowMillis);
        Order.History history = new Order.History(step.job().isRestored(), task.highestKnownRun());
        task.recordRunNumber(number);
        step.job().markStarted();
        mRuns.addRun(run, task, step.job());
        return new Order.Start(
                run,
                step.job().job().spec().payload(),
                task.checkpoint(),
                step.advice().ticket(target, nowMillis),
                history);
    }

    private boolean mayHoldBackCapacity(StepState step, long nowMillis) {
        return step.spec().traits().longRunning()
                || nowMillis - step.job().acceptedMillis() >= HOLD_BACK_AFTER_MILLIS;
    }

    private boolean isWithinLimit(StepState step) {
        return mUsage.allows(accountOf(step), step.spec(), 1);
    }

    private Optional<AccountSettings> accountOf(StepState step) {
        return mAccounts.apply(step.job().job().account());
    }

    private long nextRunNumber(TaskState task) {
        return Math.max(task.lastRunNumber(), (mTerm - 1) * RUNS_PER_TERM) + 1;
    }
}
