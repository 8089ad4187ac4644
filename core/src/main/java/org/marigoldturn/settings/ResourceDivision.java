package org.marigoldturn.settings;

import java.util.Map;
import java.util.TreeMap;

/**
 * Division of the rights of one resource, such as the running limit of a team, among daemons.
 *
 * @param epoch number of the division; increases when the rights are divided again
 * @param minted total number of rights
 * @param basis rights by daemon id at the start of the epoch; the sum is at most {@code minted}
 */
public record ResourceDivision(long epoch, int minted, Map<String, Integer> basis) {
    public ResourceDivision {
        basis = java.util.Collections.unmodifiableMap(new TreeMap<>(basis));
        int sum = basis.values().stream().mapToInt(Integer::intValue).sum();
        if (sum > minted) {
            throw new IllegalArgumentException(
                    "basis sum " + sum + " exceeds minted rights " + minted);
        }
    }
}
