package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Decides which daemon gives how many rights to which other one. */
final class TransferPlanner {
    /**
     * Holding of one daemon.
     *
     * @param held rights held, with those promised by earlier hints already moved
     * @param need rights for its present demand
     * @param target need and its part of the rights that nobody needs
     * @param settled whether rights above the need have been left over for some time
     */
    record Position(int held, int need, int target, boolean settled) {
        boolean isShortOfNeed() {
            return need - held > need / NEED_HYSTERESIS;
        }

        boolean isShortOfSpare() {
            return target - held > Math.max(MIN_SPARE_DEFICIT, target / SPARE_HYSTERESIS);
        }
    }

    /** Transfer of rights between two daemons. */
    record Move(String giver, String taker, int count) {}

    /** A deficit under 2% is left alone: it is within the share error that is allowed. */
    private static final int NEED_HYSTERESIS = 50;

    /** Spare rights move only when a quarter of a daemon's part is missing. */
    private static final int SPARE_HYSTERESIS = 4;

    private static final int MIN_SPARE_DEFICIT = 2;

    private TransferPlanner() {}

    static List<Move> plan(Map<String, Position> positions) {
        Map<String, Integer> surplus = new TreeMap<>();
        positions.forEach((daemon, p) -> surplus.put(daemon, Math.max(0, p.held() - p.target())));
        List<Move> moves = new ArrayList<>();
        takeAll(positions, Position::isShortOfNeed, surplus, moves);
        // Spare rights stay for a while where they were needed: the need often comes back.
        surplus.keySet().removeIf(daemon -> !positions.get(daemon).settled());
        takeAll(positions, p -> !p.isShortOfNeed() && p.isShortOfSpare(), surplus, moves);
        return moves;
    }

    private static void takeAll(
            Map<String, Position> positions,
            Predicate<Position> isTaker,
            Map<String, Integer> surplus,
            List<Move> moves) {
        Map<String, Integer> deficit = new TreeMap<>();
        positions.forEach(
                (daemon, p) -> {
                    if (isTaker.test(p)) {
                        deficit.put(daemon, p.target() - p.held());
                    }
                });
        for (String taker : largestFirst(deficit)) {
            take(taker, deficit.get(taker), surplus, moves);
        }
    }

    private static void take(
            String taker, int wanted, Map<String, Integer> surplus, List<Move> moves) {
        int rest = wanted;
        for (String giver : largestFirst(surplus)) {
            int count = Math.min(rest, surplus.get(giver));
            if (count > 0) {
                moves.add(new Move(giver, taker, count));
                surplus.merge(giver, -count, Integer::sum);
                rest -= count;
            }
        }
    }

    private static List<String> largestFirst(Map<String, Integer> counts) {
        return counts.keySet().stream()
                .sorted(
                        Comparator.comparingInt((String name) -> -counts.get(name))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
