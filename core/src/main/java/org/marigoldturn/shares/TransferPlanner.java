package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Decides which daemon gives how many rights to which other one. */
final class TransferPlanner {
    /**
     * Holding of one daemon.
     *
     * @param held rights held, with those promised by earlier hints already moved
     * @param need rights for its present demand
     * @param target need and its part of the rights that nobody needs
     */
    record Position(int held, int need, int target) {}

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
        Map<String, Integer> deficit = new TreeMap<>();
        positions.forEach(
                (daemon, position) -> {
                    if (position.held() > position.target()) {
                        surplus.put(daemon, position.held() - position.target());
                    } else if (isShort(position)) {
                        deficit.put(daemon, position.target() - position.held());
                    }
                });
        List<Move> moves = new ArrayList<>();
        for (String taker : largestFirst(deficit)) {
            take(taker, deficit.get(taker), surplus, moves);
        }
        return moves;
    }

    private static boolean isShort(Position position) {
        int shortOfNeed = position.need() - position.held();
        int shortOfTarget = position.target() - position.held();
        boolean needs = shortOfNeed > position.need() / NEED_HYSTERESIS;
        int tolerated = Math.max(MIN_SPARE_DEFICIT, position.target() / SPARE_HYSTERESIS);
        return needs || shortOfTarget > tolerated;
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
