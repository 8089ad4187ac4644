package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Plans how many rights each daemon transfers to which other daemons. */
final class TransferPlanner {
    /**
     * The rights that one daemon holds, needs and should hold.
     *
     * @param held rights held, as they will be after the pending transfers
     * @param need rights for its present demand
     * @param desired rights that it should hold: its need and its part of the spare rights
     * @param surplusLasts whether the daemon has not needed most of its rights for some time
     */
    record Position(int held, int need, int desired, boolean surplusLasts) {
        boolean isShortOfNeed() {
            return need - held > need / NEED_TOLERANCE_DIVISOR;
        }

        boolean isShortOfSpare() {
            return desired - held > Math.max(MIN_SPARE_DEFICIT, desired / SPARE_TOLERANCE_DIVISOR);
        }
    }

    /** Transfer of rights between two daemons. */
    record Move(String source, String recipient, int count) {}

    /** A deficit of up to 2% causes no transfer: it is within the permitted share error. */
    private static final int NEED_TOLERANCE_DIVISOR = 50;

    /** Spare rights move only to a daemon that lacks more than a quarter of its desired rights. */
    private static final int SPARE_TOLERANCE_DIVISOR = 4;

    /** Spare rights move only to a daemon that lacks more than this number of rights. */
    private static final int MIN_SPARE_DEFICIT = 2;

    private TransferPlanner() {}

    static List<Move> plan(Map<String, Position> positions) {
        Map<String, Integer> surplus = new TreeMap<>();
        positions.forEach((daemon, p) -> surplus.put(daemon, Math.max(0, p.held() - p.desired())));
        List<Move> moves = new ArrayList<>();
        coverDeficits(positions, Position::isShortOfNeed, surplus, moves);
        // Spare rights stay for some time where they were needed, as the need often returns.
        surplus.keySet().removeIf(daemon -> !positions.get(daemon).surplusLasts());
        coverDeficits(positions, p -> !p.isShortOfNeed() && p.isShortOfSpare(), surplus, moves);
        return moves;
    }

    private static void coverDeficits(
            Map<String, Position> positions,
            Predicate<Position> isRecipient,
            Map<String, Integer> surplus,
            List<Move> moves) {
        Map<String, Integer> deficit = new TreeMap<>();
        positions.forEach(
                (daemon, p) -> {
                    if (isRecipient.test(p)) {
                        deficit.put(daemon, p.desired() - p.held());
                    }
                });
        for (String recipient : largestFirst(deficit)) {
            coverDeficit(recipient, deficit.get(recipient), surplus, moves);
        }
    }

    private static void coverDeficit(
            String recipient, int deficit, Map<String, Integer> surplus, List<Move> moves) {
        int remaining = deficit;
        for (String source : largestFirst(surplus)) {
            int count = Math.min(remaining, surplus.get(source));
            if (count > 0) {
                moves.add(new Move(source, recipient, count));
                surplus.merge(source, -count, Integer::sum);
                remaining -= count;
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
