package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;

/**
 * Chooses targets for the waiting tasks of all jobs in one scheduling pass.
 *
 * <p>Among the targets into which a task fits, those in the preferred rack come first. Short tasks
 * then go to the target with the least free CPU, which keeps large blocks of capacity free for
 * large tasks; long-running tasks go to the target with the most free CPU, which spreads them.
 * Confined to the control thread.
 */
final class Placer {
    /**
     * Exceeds the CPU of any target in millicores, so that long-running tasks of one step share a
     * target only if they fit into no other target of the same rack score.
     */
    private static final long SPREAD_WEIGHT = TargetEntry.MAX_CAPACITY + 1;

    /** Score of a target in the preferred rack; outweighs any amount of free CPU. */
    private static final long PREFERRED_RACK_SCORE = 1L << 40;

    private final HeldBackCapacity mHeldBack;

    Placer(HeldBackCapacity heldBack) {
        mHeldBack = heldBack;
    }

    /** Chooses a target for one task, or null if it fits nowhere. */
    TargetState choose(StepState step, List<TargetState> candidates) {
        return best(step, preferTargetsNotOnLoan(step, candidates), Map.of(), "");
    }

    /**
     * Chooses a target for one task of a long-running step wherever it would run, or null if it
     * fits nowhere. Hosts on loan and capacity that is held back for other tasks come first, then
     * targets that are avoided; among these, the ones that are about to be interrupted come last.
     */
    TargetState chooseAnywhere(StepState step, Candidates candidates) {
        List<List<TargetState>> inOrder =
                List.of(
                        candidates.usable(),
                        candidates.avoided().stream().filter(t -> !t.isCordoned()).toList(),
                        candidates.avoided());
        for (List<TargetState> targets : inOrder) {
            Optional<TargetState> best =
                    targets.stream()
                            .filter(target -> isFeasible(step, target, target.free(), 0))
                            .max(Comparator.comparingLong(target -> score(step, target)));
            if (best.isPresent()) {
                return best.get();
            }
        }
        return null;
    }

    /**
     * Keeps long-running tasks off hosts on loan, unless there is no other target into which one
     * fits once the short runs there have ended.
     */
    private static List<TargetState> preferTargetsNotOnLoan(
            StepState step, List<TargetState> candidates) {
        if (!step.spec().traits().longRunning()) {
            return candidates;
        }
        List<TargetState> notLoaned = candidates.stream().filter(t -> !t.isLoaned()).toList();
        boolean fits =
                notLoaned.stream().anyMatch(t -> isFeasible(step, t, t.freeAfterShortRuns(), 0));
        return fits ? notLoaned : candidates;
    }

    /** Returns whether one task of a step could start on a target now. */
    static boolean isFeasible(StepState step, TargetState target) {
        return isFeasible(step, target, target.freeExceptHeldBack(), 0);
    }

    /**
     * Returns whether a target meets the rules for the step's label and maximum per target and its
     * total capacity, whatever is in use, suffices for one task.
     */
    static boolean isEligible(StepState step, TargetState target) {
        return hasLabel(step, target)
                && isWithinMaxPerTarget(step, target, 0)
                && step.spec().reservedResources().fitsInto(target.entry().capacity());
    }

    /**
     * Returns whether one task fits into what is free of a target, including what is held back, and
     * the rules for the step's label and maximum per target are met.
     */
    static boolean hasRoom(StepState step, TargetState target) {
        return step.spec().reservedResources().fitsInto(target.free())
                && hasLabel(step, target)
                && isWithinMaxPerTarget(step, target, 0);
    }

    /**
     * Chooses targets for all members of a gang, or returns an empty list.
     *
     * <p>With {@code sameRack}, first tries to place all members in one rack.
     */
    List<TargetState> chooseForGang(StepState step, List<TargetState> candidates) {
        if (step.spec().placement().sameRack()) {
            List<TargetState> chosen = chooseInOneRack(step, candidates);
            if (!chosen.isEmpty()) {
                return chosen;
            }
        }
        return chooseInAnyRacks(step, candidates);
    }

    /** Chooses targets in one rack for all members of a gang, or returns an empty list. */
    List<TargetState> chooseInOneRack(StepState step, List<TargetState> candidates) {
        Set<String> racks = new HashSet<>();
        candidates.forEach(target -> racks.add(target.entry().rack()));
        for (String rack : racks) {
            List<TargetState> chosen = chooseMembers(step, candidates, rack);
            if (!chosen.isEmpty()) {
                return chosen;
            }
        }
        return List.of();
    }

    /** Chooses targets for all members of a gang in whatever racks, or returns an empty list. */
    List<TargetState> chooseInAnyRacks(StepState step, List<TargetState> candidates) {
        return chooseMembers(step, candidates, "");
    }

    private List<TargetState> chooseMembers(
            StepState step, List<TargetState> candidates, String rack) {
        Map<TargetState, Integer> plannedCounts = new HashMap<>();
        List<TargetState> chosen = new ArrayList<>();
        for (int i = 0; i < step.tasks().size(); i++) {
            TargetState target = best(step, candidates, plannedCounts, rack);
            if (target == null) {
                return List.of();
            }
            plannedCounts.merge(target, 1, Integer::sum);
            chosen.add(target);
        }
        return chosen;
    }

    /**
     * Holds back capacity for a task that fits nowhere now, on the eligible target with the most
     * free CPU among those on which that is allowed.
     */
    void holdBack(StepState step, List<TargetState> candidates, long nowMillis) {
        TargetState best = null;
        for (TargetState target : preferTargetsNotOnLoan(step, candidates)) {
            boolean eligible =
                    isEligible(step, target) && mHeldBack.isAllowed(step, target, nowMillis);
            if (eligible && (best == null || freeCpu(target) > freeCpu(best))) {
                best = target;
            }
        }
        if (best != null) {
            mHeldBack.add(step, best, nowMillis);
        }
    }

    private TargetState best(
            StepState step,
            List<TargetState> candidates,
            Map<TargetState, Integer> plannedCounts,
            String rack) {
        TargetState best = null;
        long bestScore = Long.MIN_VALUE;
        for (TargetState target : candidates) {
            int planned = plannedCounts.getOrDefault(target, 0);
            boolean rackFits = rack.isEmpty() || rack.equals(target.entry().rack());
            if (!rackFits || !isFeasible(step, target, target.freeExceptHeldBack(), planned)) {
                continue;
            }
            long score = score(step, target);
            if (score > bestScore) {
                best = target;
                bestScore = score;
            }
        }
        return best;
    }

    private static boolean isFeasible(
            StepState step, TargetState target, ResourceAmounts free, int planned) {
        ResourceAmounts reservedResources = step.spec().reservedResources();
        return reservedResources.times(planned + 1L).fitsInto(free)
                && hasLabel(step, target)
                && isWithinMaxPerTarget(step, target, planned);
    }

    private static boolean hasLabel(StepState step, TargetState target) {
        String label = step.spec().placement().requiredLabel();
        return label.isEmpty() || target.entry().labels().contains(label);
    }

    private static boolean isWithinMaxPerTarget(StepState step, TargetState target, int planned) {
        int limit = step.spec().placement().maxPerTarget();
        if (limit == 0) {
            return true;
        }
        String jobId = step.job().job().id();
        return target.countOfStep(jobId, step.occurrence(), step.number()) + planned < limit;
    }

    private static long score(StepState step, TargetState target) {
        StepSpec spec = step.spec();
        String rack = spec.placement().preferredRack();
        long rackScore =
                !rack.isEmpty() && Objects.equals(rack, target.entry().rack())
                        ? PREFERRED_RACK_SCORE
                        : 0;
        long free = freeCpu(target);
        if (!spec.traits().longRunning()) {
            return rackScore - free;
        }
        String jobId = step.job().job().id();
        long sameStepCount = target.countOfStep(jobId, step.occurrence(), step.number());
        return rackScore + free - sameStepCount * SPREAD_WEIGHT;
    }

    private static long freeCpu(TargetState target) {
        return target.free().cpuMillicores();
    }
}
