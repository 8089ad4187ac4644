package org.marigoldturn.shares;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Repeated division of a team's part among daemons by demand.
 *
 * <p>Each change of a part moves rights, so parts stay while they are near the proportional ones. A
 * number below that of the daemons with demand leaves some of them with zero; what a daemon missed
 * is carried over to later divisions, so that each gets its turn. Not thread safe.
 */
final class RotatingSplit {
    /** One right rotates in this time; rotating all of them at once disturbed other teams. */
    static final long ROTATION_MILLIS = 2000;

    /** What a daemon must have missed more than another one before it takes over a right. */
    private static final double SWAP_CREDIT = 1;

    /** A part may differ from the proportional one by 1 and a quarter of it. */
    private static final int TOLERANCE_DIVISOR = 4;

    private final Map<String, Double> mCredits = new HashMap<>();
    private Map<String, Integer> mParts = new TreeMap<>();
    private long mRotatedAtMillis = Long.MIN_VALUE / 2;

    Map<String, Integer> split(int total, Map<String, Integer> demands, long nowMillis) {
        long active = demands.values().stream().filter(d -> d > 0).count();
        boolean rotates = total > 0 && total < active;
        if (!rotates) {
            adjust(total, demands);
        } else if (nowMillis - mRotatedAtMillis >= ROTATION_MILLIS || !isCurrent(total, demands)) {
            rotate(total, demands);
            mRotatedAtMillis = nowMillis;
        }
        return Map.copyOf(mParts);
    }

    private boolean isCurrent(int total, Map<String, Integer> demands) {
        return sum(mParts.values()) == total
                && demands.keySet().containsAll(mParts.keySet())
                && mParts.entrySet().stream()
                        .allMatch(e -> demands.get(e.getKey()) >= e.getValue());
    }

    /** Changes the parts by single rights until they are valid and near the proportional ones. */
    private void adjust(int total, Map<String, Integer> demands) {
        Map<String, Integer> parts = new TreeMap<>();
        demands.forEach((d, demand) -> parts.put(d, Math.min(demand, mParts.getOrDefault(d, 0))));
        double scale = (double) total / Math.max(1, sum(demands.values()));
        int missing = total - sum(parts.values());
        for (; missing > 0; missing--) {
            parts.merge(mostShort(parts, demands, scale), 1, Integer::sum);
        }
        for (; missing < 0; missing++) {
            parts.merge(leastShort(parts, demands, scale), -1, Integer::sum);
        }
        while (total > 0) {
            String taker = mostShort(parts, demands, scale);
            String giver = leastShort(parts, demands, scale);
            double tolerance = 1 + (double) parts.get(taker) / TOLERANCE_DIVISOR;
            boolean near = shortage(taker, parts, demands, scale) <= tolerance;
            double gap =
                    shortage(taker, parts, demands, scale) - shortage(giver, parts, demands, scale);
            // A smaller gap would only be reversed by the move, without end.
            if (near || gap <= 1) {
                break;
            }
            parts.merge(taker, 1, Integer::sum);
            parts.merge(giver, -1, Integer::sum);
        }
        mCredits.clear();
        mParts = parts;
    }

    private static String mostShort(
            Map<String, Integer> parts, Map<String, Integer> demands, double scale) {
        return parts.keySet().stream()
                .max(Comparator.comparingDouble(d -> shortage(d, parts, demands, scale)))
                .orElseThrow();
    }

    private static String leastShort(
            Map<String, Integer> parts, Map<String, Integer> demands, double scale) {
        return parts.keySet().stream()
                .filter(d -> parts.get(d) > 0)
                .min(Comparator.comparingDouble(d -> shortage(d, parts, demands, scale)))
                .orElseThrow();
    }

    private static double shortage(
            String daemon, Map<String, Integer> parts, Map<String, Integer> demands, double scale) {
        return demands.get(daemon) * scale - parts.get(daemon);
    }

    private void rotate(int total, Map<String, Integer> demands) {
        double scale = (double) total / sum(demands.values());
        mCredits.keySet().retainAll(demands.keySet());
        demands.forEach((daemon, demand) -> mCredits.merge(daemon, demand * scale, Double::sum));
        TreeSet<String> holders = new TreeSet<>(byCredit());
        TreeSet<String> others = new TreeSet<>(byCredit());
        for (Map.Entry<String, Integer> entry : demands.entrySet()) {
            boolean holds = mParts.getOrDefault(entry.getKey(), 0) > 0 && entry.getValue() > 0;
            (holds ? holders : others).add(entry.getKey());
        }
        while (holders.size() > total) {
            others.add(holders.pollFirst());
        }
        while (holders.size() < total) {
            holders.add(others.pollLast());
        }
        double gap = mCredits.get(others.last()) - mCredits.get(holders.first());
        if (gap > SWAP_CREDIT) {
            holders.pollFirst();
            holders.add(others.last());
        }
        Map<String, Integer> parts = new TreeMap<>();
        demands.keySet().forEach(d -> parts.put(d, holders.contains(d) ? 1 : 0));
        mParts = parts;
        // After the sets are no longer used: their order depends on the credits.
        parts.forEach((daemon, part) -> mCredits.merge(daemon, (double) -part, Double::sum));
    }

    private Comparator<String> byCredit() {
        return Comparator.comparingDouble((String daemon) -> mCredits.get(daemon))
                .thenComparing(Comparator.naturalOrder());
    }

    private static int sum(Collection<Integer> counts) {
        return counts.stream().mapToInt(Integer::intValue).sum();
    }
}
