package org.marigoldturn.shares;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Divides a team's rights among daemons by demand, again and again as demand changes.
 *
 * <p>Each change of a part transfers rights, so parts stay while they are near the proportional
 * ones. If there are fewer rights than daemons with demand, some of them get none. The part that a
 * daemon missed is then credited to it in later divisions, so that the rights rotate among the
 * daemons. Not thread safe.
 */
final class RotatingSplit {
    /**
     * Interval at which one right rotates to another daemon. Rotating all rights at once disturbs
     * other teams.
     */
    static final long ROTATION_MILLIS = 2000;

    /** A right rotates only if the next daemon's credit exceeds its holder's by more than this. */
    private static final double MIN_CREDIT_GAP = 1;

    /** A part may be smaller than the proportional one by 1 and a quarter of the part. */
    private static final int TOLERANCE_DIVISOR = 4;

    /**
     * Rights that each daemon missed in earlier rotations; negative if it got more than its part.
     */
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

    /** Changes parts by one right at a time until they are valid and near the proportional ones. */
    private void adjust(int total, Map<String, Integer> demands) {
        Map<String, Integer> parts = new TreeMap<>();
        demands.forEach((d, demand) -> parts.put(d, Math.min(demand, mParts.getOrDefault(d, 0))));
        double scale = (double) total / Math.max(1, sum(demands.values()));
        int missing = total - sum(parts.values());
        for (; missing > 0; missing--) {
            parts.merge(withLargestShortage(parts, demands, scale), 1, Integer::sum);
        }
        for (; missing < 0; missing++) {
            parts.merge(withSmallestShortage(parts, demands, scale), -1, Integer::sum);
        }
        while (total > 0) {
            String recipient = withLargestShortage(parts, demands, scale);
            String source = withSmallestShortage(parts, demands, scale);
            double tolerance = 1 + (double) parts.get(recipient) / TOLERANCE_DIVISOR;
            boolean near = shortage(recipient, parts, demands, scale) <= tolerance;
            double gap =
                    shortage(recipient, parts, demands, scale)
                            - shortage(source, parts, demands, scale);
            // Moving a right across a smaller gap would reverse the gap, and the loop would not
            // end.
            if (near || gap <= 1) {
                break;
            }
            parts.merge(recipient, 1, Integer::sum);
            parts.merge(source, -1, Integer::sum);
        }
        mCredits.clear();
        mParts = parts;
    }

    private static String withLargestShortage(
            Map<String, Integer> parts, Map<String, Integer> demands, double scale) {
        return parts.keySet().stream()
                .max(Comparator.comparingDouble(d -> shortage(d, parts, demands, scale)))
                .orElseThrow();
    }

    private static String withSmallestShortage(
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
        if (gap > MIN_CREDIT_GAP) {
            holders.pollFirst();
            holders.add(others.last());
        }
        Map<String, Integer> parts = new TreeMap<>();
        demands.keySet().forEach(d -> parts.put(d, holders.contains(d) ? 1 : 0));
        mParts = parts;
        // Credits must not change while the sets are in use, which are sorted by them.
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
