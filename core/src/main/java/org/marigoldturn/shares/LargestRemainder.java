package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Divides an integer proportionally by the largest remainder method; the parts add up exactly. */
final class LargestRemainder {
    private record Remainder(String name, long size) {}

    private LargestRemainder() {}

    /** Divides the total in proportion to the weights; equal remainders go in order of names. */
    static Map<String, Integer> split(int total, Map<String, Integer> weights) {
        long sum = weights.values().stream().mapToLong(Integer::longValue).sum();
        Map<String, Integer> parts = new TreeMap<>();
        if (sum == 0) {
            weights.keySet().forEach(name -> parts.put(name, 0));
            return parts;
        }
        List<Remainder> remainders = new ArrayList<>();
        int left = total;
        for (Map.Entry<String, Integer> entry : weights.entrySet()) {
            long scaled = (long) total * entry.getValue();
            parts.put(entry.getKey(), (int) (scaled / sum));
            remainders.add(new Remainder(entry.getKey(), scaled % sum));
            left -= (int) (scaled / sum);
        }
        remainders.sort(
                Comparator.comparingLong(Remainder::size)
                        .reversed()
                        .thenComparing(Remainder::name));
        for (int i = 0; i < left; i++) {
            parts.merge(remainders.get(i).name(), 1, Integer::sum);
        }
        return parts;
    }
}
