package org.marigoldturn.shares;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Repeated division of a team's part among daemons by demand.
 *
 * <p>Each change of a part moves rights, so parts stay while they are near the proportional ones. A
 * number below that of the daemons with demand leaves some of them with zero; what a daemon missed
 * is carried over to later divisions, so that each gets its turn. Not thread safe.
 */
final class RotatingSplit {
    /** Rotating every second doubled the control bytes of a pool in a burst. */
    static final long ROTATION_MILLIS = 4000;

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
            if (near || shortage(giver, parts, demands, scale) >= 0) {
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
        Map<String, Integer> parts = new TreeMap<>();
        demands.keySet().forEach(daemon -> parts.put(daemon, 0));
        demands.keySet().stream()
                .filter(daemon -> demands.get(daemon) > 0)
                .sorted(
                        Comparator.comparingDouble((String daemon) -> -mCredits.get(daemon))
                                .thenComparing(Comparator.naturalOrder()))
                .limit(total)
                .forEach(daemon -> parts.put(daemon, 1));
        parts.forEach((daemon, part) -> mCredits.merge(daemon, (double) -part, Double::sum));
        mParts = parts;
    }

    private static int sum(Collection<Integer> counts) {
        return counts.stream().mapToInt(Integer::intValue).sum();
    }
}
