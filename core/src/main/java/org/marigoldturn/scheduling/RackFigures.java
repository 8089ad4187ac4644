package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Forecasts for one scheduling pass when processors become free in each rack, from the ends that
 * are expected of the runs there.
 *
 * <p>The runs of a rack are read at most once in a pass, and only if a task asks for the rack. What
 * tasks that come first in the pass wait for is subtracted from what becomes free. Confined to the
 * control thread.
 */
final class RackFigures {
    private final long mNowMillis;
    private final Map<String, List<TargetState>> mTargets = new HashMap<>();
    private final Map<String, Long> mCapacityMillicores = new HashMap<>();
    private final Map<String, Ends> mEnds = new HashMap<>();
    private final Map<String, Long> mQueuedMillicores = new HashMap<>();

    /** The expected end of a run, and the processors that it frees. */
    private record End(long atMillis, long millicores) {}

    /** Expected ends in order, and the processors that are free after each of them. */
    private record Ends(long[] endMillis, long[] sumMillicores) {}

    RackFigures(List<TargetState> usable, long nowMillis) {
        mNowMillis = nowMillis;
        for (TargetState target : usable) {
            long millicores = target.entry().capacity().cpuMillicores();
            mCapacityMillicores.merge(target.entry().rack(), millicores, Long::sum);
            mTargets.computeIfAbsent(target.entry().rack(), rack -> new ArrayList<>()).add(target);
        }
    }

    Set<String> racks() {
        return mTargets.keySet();
    }

    /** Returns the usable targets of a rack. */
    List<TargetState> targets(String rack) {
        return Collections.unmodifiableList(mTargets.getOrDefault(rack, List.of()));
    }

    /** Returns the service of a rack's usable targets; empty if there are none. */
    Optional<String> service(String rack) {
        return targets(rack).stream().findFirst().map(target -> target.entry().service());
    }

    /** Returns the processors that are free in a rack, in one piece or not. */
    long freeMillicores(String rack) {
        long free = 0;
        for (TargetState target : targets(rack)) {
            free += Math.max(0, target.freeExceptHeldBack().cpuMillicores());
        }
        return free;
    }

    long capacityMillicores(String rack) {
        return mCapacityMillicores.getOrDefault(rack, 0L);
    }

    /** Records that a task waits for processors of a rack, so that later ones come after it. */
    void addQueued(String rack, long millicores) {
        mQueuedMillicores.merge(rack, millicores, Long::sum);
    }

    /**
     * Returns the monotonic time at which runs have ended in a rack that use as many processors as
     * the tasks that wait for the rack and the given ones; {@link Long#MAX_VALUE} if that is not
     * expected.
     */
    long roomMillis(String rack, long millicores) {
        Ends ends = mEnds.computeIfAbsent(rack, this::ends);
        long needed = Math.max(1, millicores + mQueuedMillicores.getOrDefault(rack, 0L));
        int index = Arrays.binarySearch(ends.sumMillicores(), needed);
        int first = index >= 0 ? index : -index - 1;
        return first < ends.endMillis().length ? ends.endMillis()[first] : Long.MAX_VALUE;
    }

    private Ends ends(String rack) {
        List<End> ends = new ArrayList<>();
        for (TargetState target : targets(rack)) {
            target.forEachRun(
                    run -> {
                        long atMillis = run.expectedEndMillis(mNowMillis);
                        long millicores = run.reservedResources().cpuMillicores();
                        if (atMillis < Long.MAX_VALUE && millicores > 0) {
                            ends.add(new End(atMillis, millicores));
                        }
                    });
        }
        ends.sort(Comparator.comparingLong(End::atMillis));
        long[] endMillis = new long[ends.size()];
        long[] sums = new long[ends.size()];
        long sum = 0;
        for (int i = 0; i < endMillis.length; i++) {
            sum += ends.get(i).millicores();
            endMillis[i] = ends.get(i).atMillis();
            sums[i] = sum;
        }
        return new Ends(endMillis, sums);
    }
}
