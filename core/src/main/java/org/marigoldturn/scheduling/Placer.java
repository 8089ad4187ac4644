package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.marigoldturn.jobs.Room;
import org.marigoldturn.jobs.StepSpec;

/**
 * Chooses targets for the waiting tasks of one step in one pass.
 *
 * <p>Among the targets with room, the one with the preferred rack comes first. Then short tasks go
 * where the least room stays, which keeps room together for wide tasks; lasting tasks go where the
 * most room is, which spreads them. Confined to the control thread.
 */
final class Placer {
    /** More than any target's processors: lasting tasks of a step share a target only at need. */
    private static final long SPREAD_WEIGHT = 1L << 30;

    /** Where room is reserved in this pass, so that it gathers for a task that fits nowhere yet. */
    private final Set<TargetState> mReserved = new HashSet<>();

    /** Chooses a target for one task, or null if none has room. */
    TargetState choose(StepState step, List<TargetState> candidates) {
        return best(step, suitable(step, candidates), Map.of(), "");
    }

    /** Keeps lasting tasks off hosts on loan, unless no other host can ever take them. */
    private static List<TargetState> suitable(StepState step, List<TargetState> candidates) {
        if (!step.spec().traits().longRunning()) {
            return candidates;
        }
        List<TargetState> own = candidates.stream().filter(t -> !t.isLoaned()).toList();
        return own.stream().anyMatch(t -> isPossible(step, t)) ? own : candidates;
    }

    static boolean isPossible(StepState step, TargetState target) {
        return hasLabel(step, target)
                && keepsSpread(step, target, 0)
                && step.spec().claim().fitsInto(target.entry().capacity());
    }

    /**
     * Chooses targets for all members of a gang, or returns an empty list.
     *
     * <p>With {@code sameRack} one rack for all is tried first.
     */
    List<TargetState> chooseForGang(StepState step, List<TargetState> candidates) {
        if (step.spec().placement().sameRack()) {
            Set<String> racks = new HashSet<>();
            candidates.forEach(target -> racks.add(target.entry().rack()));
            for (String rack : racks) {
                List<TargetState> chosen = chooseMembers(step, candidates, rack);
                if (!chosen.isEmpty()) {
                    return chosen;
                }
            }
        }
        return chooseMembers(step, candidates, "");
    }

    private List<TargetState> chooseMembers(
            StepState step, List<TargetState> candidates, String rack) {
        Map<TargetState, Integer> taken = new HashMap<>();
        List<TargetState> chosen = new ArrayList<>();
        for (int i = 0; i < step.tasks().size(); i++) {
            TargetState target = best(step, candidates, taken, rack);
            if (target == null) {
                return List.of();
            }
            taken.merge(target, 1, Integer::sum);
            chosen.add(target);
        }
        return chosen;
    }

    /** Keeps the room of the best target for a task that fits nowhere now. */
    void reserve(StepState step, List<TargetState> candidates) {
        TargetState best = null;
        for (TargetState target : suitable(step, candidates)) {
            boolean possible = !mReserved.contains(target) && isPossible(step, target);
            if (possible && (best == null || freeCpu(target) > freeCpu(best))) {
                best = target;
            }
        }
        if (best != null) {
            mReserved.add(best);
            best.reserve(step.spec().claim());
        }
    }

    /** Ends all reservations of the pass. */
    void release() {
        mReserved.forEach(target -> target.reserve(Room.NONE));
        mReserved.clear();
    }

    private TargetState best(
            StepState step,
            List<TargetState> candidates,
            Map<TargetState, Integer> taken,
            String rack) {
        TargetState best = null;
        long bestScore = Long.MIN_VALUE;
        for (TargetState target : candidates) {
            int planned = taken.getOrDefault(target, 0);
            boolean rackFits = rack.isEmpty() || rack.equals(target.entry().rack());
            if (!rackFits || !isFeasible(step, target, planned)) {
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

    private boolean isFeasible(StepState step, TargetState target, int planned) {
        Room claim = step.spec().claim();
        return claim.times(planned + 1L).fitsInto(target.freeBesidesReserved())
                && hasLabel(step, target)
                && keepsSpread(step, target, planned);
    }

    private static boolean hasLabel(StepState step, TargetState target) {
        String label = step.spec().placement().requiredLabel();
        return label.isEmpty() || target.entry().labels().contains(label);
    }

    private static boolean keepsSpread(StepState step, TargetState target, int planned) {
        int most = step.spec().placement().maxPerTarget();
        if (most == 0) {
            return true;
        }
        String jobId = step.job().job().id();
        return target.countOfStep(jobId, step.occurrence(), step.number()) + planned < most;
    }

    private static long score(StepState step, TargetState target) {
        StepSpec spec = step.spec();
        String rack = spec.placement().preferredRack();
        long near = !rack.isEmpty() && Objects.equals(rack, target.entry().rack()) ? 1L << 40 : 0;
        long free = freeCpu(target);
        if (!spec.traits().longRunning()) {
            return near - free;
        }
        String jobId = step.job().job().id();
        long together = target.countOfStep(jobId, step.occurrence(), step.number());
        return near + free - together * SPREAD_WEIGHT;
    }

    private static long freeCpu(TargetState target) {
        return target.free().cpuMillicores();
    }
}
