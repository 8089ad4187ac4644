package org.marigoldturn.shares;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Repeated division of a small number among daemons by demand.
 *
 * <p>A number below that of the daemons with demand leaves some of them with zero. What a daemon
 * missed is carried over to the next division, so that each gets its turn. Larger numbers are
 * divided by largest remainder and do not rotate. Not thread safe.
 */
final class RotatingSplit {
    private final Map<String, Double> mCredits = new HashMap<>();

    Map<String, Integer> split(int total, Map<String, Integer> demands) {
        long active = demands.values().stream().filter(d -> d > 0).count();
        if (total == 0 || total >= active) {
            mCredits.clear();
            return LargestRemainder.split(total, demands);
        }
        double sum = demands.values().stream().mapToInt(Integer::intValue).sum();
        mCredits.keySet().retainAll(demands.keySet());
        demands.forEach((name, d) -> mCredits.merge(name, total * d / sum, Double::sum));
        List<String> order =
                demands.keySet().stream()
                        .filter(name -> demands.get(name) > 0)
                        .sorted(
                                Comparator.comparingDouble((String name) -> -mCredits.get(name))
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        Map<String, Integer> parts = new TreeMap<>();
        demands.keySet().forEach(name -> parts.put(name, 0));
        for (String name : order.subList(0, total)) {
            parts.put(name, 1);
            mCredits.merge(name, -1.0, Double::sum);
        }
        return parts;
    }
}
