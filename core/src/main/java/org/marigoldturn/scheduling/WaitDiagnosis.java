package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Finds out why a ready long-running task does not run, in the order in which a scheduling pass
 * checks what a start requires.
 *
 * <p>Must be asked between two passes, while no capacity is held back. Reads the state of the
 * scheduler and changes none of it. Confined to the control thread.
 */
final class WaitDiagnosis {
    /** Ids of targets in one detail. */
    private static final int MAX_IDS = 5;

    private final TargetTable mTargets;
    private final AccountUsage mUsage;
    private final HeldBackCapacity mHeldBack;
    private final QueueServiceTracker mQueueServices;
    private final Supplier<QueueCatalog> mCatalog;
    private final LongSupplier mRestoredHeldUntilMillis;
    private final Placer mPlacer = new Placer(new HeldBackCapacity());

    /**
     * A reason and what it refers to.
     *
     * @param detail {@code name=value} separated by spaces
     */
    record Result(WaitReason reason, String detail) {}

    /**
     * Creates the diagnosis of one scheduler.
     *
     * @param heldBack the capacity that the scheduler's passes hold back
     * @param restoredHeldUntilMillis returns the monotonic time until which no restored job starts
     */
    WaitDiagnosis(
            TargetTable targets,
            AccountUsage usage,
            HeldBackCapacity heldBack,
            QueueServiceTracker queueServices,
            Supplier<QueueCatalog> catalog,
            LongSupplier restoredHeldUntilMillis) {
        mTargets = targets;
        mUsage = usage;
        mHeldBack = heldBack;
        mQueueServices = queueServices;
        mCatalog = catalog;
        mRestoredHeldUntilMillis = restoredHeldUntilMillis;
    }

    /**
     * Returns what in the state of the task, or of its gang, prevents a start; empty if nothing.
     */
    Optional<Result> ofTask(StepState step, TaskState task, long nowMillis) {
        List<TaskState> members =
                step.spec().traits().gang() && task.runs().isEmpty() ? step.tasks() : List.of(task);
        for (TaskState member : members) {
            if (!member.runs().isEmpty()) {
                return Optional.of(
                        new Result(
                                WaitReason.EARLIER_RUN, describe(member.runs().get(0), nowMillis)));
            }
        }
        for (TaskState member : members) {
            if (member.isHeld()) {
                String detail = "confirmedMillisAgo=" + (nowMillis - mTargets.confirmedMillis());
                return Optional.of(new Result(WaitReason.HELD, detail));
            }
        }
        return Optional.empty();
    }

    private static String describe(Run run, long nowMillis) {
        TargetState target = run.target();
        String state =
                run.isStopRequested()
                        ? "stopping"
                        : switch (run.phase()) {
                            case STARTING -> "starting";
                            case UNCERTAIN, OUT_OF_DATE -> "unanswered";
                            case RUNNING -> "running";
                        };
        return "run="
                + run.number()
                + " target="
                + target.entry().id()
                + " state="
                + state
                + " decidedMillisAgo="
                + (nowMillis - run.decidedMillis())
                + " reachable="
                + target.isReachable()
                + " leaseLeftMillis="
                + Math.max(0, target.leaseEndMillis() - nowMillis);
    }

    /**
     * Returns why a waiting task of the step, whose state does not prevent a start, does not start.
     */
    Result ofStep(StepState step, boolean mayAct, long nowMillis) {
        JobEntry job = step.job();
        if (!mayAct) {
            return new Result(
                    WaitReason.OWNERSHIP,
                    "mayAct=false confirmedMillisAgo=" + (nowMillis - mTargets.confirmedMillis()));
        }
        if (!job.isStored()) {
            return new Result(WaitReason.NOT_STORED, "queue=" + job.job().queue());
        }
        Optional<QueueSettings> queue = mCatalog.get().queue(job.job().queue());
        if (queue.isEmpty()) {
            return new Result(WaitReason.NOT_CONFIGURED, "queue=" + job.job().queue());
        }
        if (!mQueueServices.isStored(queue.get().name(), queue.get().service())) {
            return new Result(
                    WaitReason.QUEUE_UNRECORDED,
                    "queue=" + queue.get().name() + " service=" + queue.get().service());
        }
        if (job.isRestored()) {
            Optional<Result> result = ofRestored(queue.get().name(), nowMillis);
            if (result.isPresent()) {
                return result.get();
            }
        }
        Optional<AccountSettings> account = mCatalog.get().account(job.job().account());
        int count = step.spec().traits().gang() ? step.tasks().size() : 1;
        if (!mUsage.allows(account, step.spec(), count)) {
            return new Result(WaitReason.LIMIT, describeLimit(account.orElseThrow(), step, count));
        }
        return ofPlacement(step, queue.get(), nowMillis);
    }

    private Optional<Result> ofRestored(String queue, long nowMillis) {
        long heldUntilMillis = mRestoredHeldUntilMillis.getAsLong();
        if (nowMillis < heldUntilMillis) {
            String detail = "leftMillis=" + (heldUntilMillis - nowMillis);
            return Optional.of(new Result(WaitReason.STORE_REGAINED, detail));
        }
        List<TargetState> unread = new ArrayList<>();
        for (String service : mQueueServices.services(queue)) {
            unread.addAll(mTargets.withUnknownRuns(service, nowMillis));
        }
        return unread.isEmpty()
                ? Optional.empty()
                : Optional.of(new Result(WaitReason.UNREAD, describe(unread)));
    }

    private String describeLimit(AccountSettings account, StepState step, int count) {
        return "account="
                + account.name()
                + " "
                + amounts("needed", step.spec().needs().times(count))
                + " "
                + amounts("running", mUsage.running(account.name()))
                + " "
                + amounts("limit", account.limit());
    }

    private Result ofPlacement(StepState step, QueueSettings queue, long nowMillis) {
        String service = queue.service();
        List<TargetState> usable = mTargets.usable(service, nowMillis);
        List<TargetState> allowed =
                queue.advice().isPresent()
                        ? usable.stream()
                                .filter(t -> step.advice().hasTicket(t, nowMillis))
                                .toList()
                        : usable;
        if (fits(step, allowed)) {
            return ofFittingTask(step, allowed);
        }
        if (allowed.size() < usable.size() && fits(step, usable)) {
            return new Result(
                    WaitReason.ADVICE, "usable=" + usable.size() + " withTicket=" + allowed.size());
        }
        List<TargetState> lent =
                usable.stream().filter(t -> t.isLoaned() && Placer.hasRoom(step, t)).toList();
        if (!step.spec().traits().gang() && !lent.isEmpty()) {
            return new Result(WaitReason.LENT, describe(lent));
        }
        Map<WaitReason, List<TargetState>> excluded = new EnumMap<>(WaitReason.class);
        for (TargetState target : mTargets.ofService(service)) {
            if (Placer.hasRoom(step, target)) {
                mTargets.exclusion(target, nowMillis)
                        .ifPresent(
                                reason ->
                                        excluded.computeIfAbsent(reason, r -> new ArrayList<>())
                                                .add(target));
            }
        }
        if (!excluded.isEmpty()) {
            Map.Entry<WaitReason, List<TargetState>> first = excluded.entrySet().iterator().next();
            return new Result(
                    first.getKey(),
                    describe(first.getValue()) + " haveRoom=" + describeCounts(excluded));
        }
        return new Result(WaitReason.ROOM, describeRoom(step, usable));
    }

    private boolean fits(StepState step, List<TargetState> targets) {
        return step.spec().traits().gang()
                ? !mPlacer.chooseForGang(step, targets).isEmpty()
                : mPlacer.choose(step, targets) != null;
    }

    /** Distinguishes capacity that the last pass held back from what the next pass will use. */
    private Result ofFittingTask(StepState step, List<TargetState> allowed) {
        TargetState chosen = mPlacer.choose(step, allowed);
        TargetState held = null;
        for (TargetState target : allowed) {
            if (!Placer.hasRoom(step, target) || target.isLoaned() != chosen.isLoaned()) {
                continue;
            }
            if (leavesRoom(step, target)) {
                return new Result(WaitReason.STARTABLE, "target=" + target.entry().id());
            }
            held = target;
        }
        StepState holder = mHeldBack.lastHolder(held).orElseThrow();
        return new Result(
                WaitReason.HELD_BACK,
                "target="
                        + held.entry().id()
                        + " for="
                        + holder.tasks().get(0).id().name()
                        + " "
                        + amounts("held", holder.spec().reservedResources())
                        + " "
                        + amounts("free", held.free()));
    }

    /** Returns whether a task fits beside what the last pass held back for another step. */
    private boolean leavesRoom(StepState step, TargetState target) {
        ResourceAmounts held =
                mHeldBack
                        .lastHolder(target)
                        .filter(holder -> holder != step)
                        .map(holder -> holder.spec().reservedResources())
                        .orElse(ResourceAmounts.NONE);
        return step.spec().reservedResources().fitsInto(target.free().minus(held));
    }

    private static String describeRoom(StepState step, List<TargetState> usable) {
        List<TargetState> eligible =
                usable.stream().filter(t -> Placer.isEligible(step, t)).toList();
        ResourceAmounts mostFree = ResourceAmounts.NONE;
        long mostAfterShortRuns = 0;
        for (TargetState target : eligible) {
            if (target.free().cpuMillicores() > mostFree.cpuMillicores()) {
                mostFree = target.free();
            }
            mostAfterShortRuns =
                    Math.max(mostAfterShortRuns, target.freeAfterShortRuns().cpuMillicores());
        }
        return "tasks="
                + (step.spec().traits().gang() ? step.tasks().size() : 1)
                + " "
                + amounts("needed", step.spec().reservedResources())
                + " usable="
                + usable.size()
                + " eligible="
                + eligible.size()
                + " "
                + amounts("mostFree", mostFree)
                + " mostAfterShortRunsMillicores="
                + mostAfterShortRuns;
    }

    private static String amounts(String name, ResourceAmounts amounts) {
        return name
                + "Millicores="
                + amounts.cpuMillicores()
                + " "
                + name
                + "Megabytes="
                + amounts.memoryMegabytes()
                + " "
                + name
                + "Accelerators="
                + amounts.accelerators();
    }

    private static String describeCounts(Map<WaitReason, List<TargetState>> excluded) {
        return excluded.entrySet().stream()
                .map(entry -> entry.getKey().word() + ":" + entry.getValue().size())
                .collect(Collectors.joining(","));
    }

    private static String describe(Collection<TargetState> targets) {
        String ids =
                targets.stream()
                        .limit(MAX_IDS)
                        .map(target -> target.entry().id())
                        .collect(Collectors.joining(","));
        return "targets="
                + targets.size()
                + " targetIds="
                + ids
                + (targets.size() > MAX_IDS ? ",..." : "");
    }
}
