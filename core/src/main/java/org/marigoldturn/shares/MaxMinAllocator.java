package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a capacity among teams by weighted max-min fair allocation.
 *
 * <p>Work-conserving: the allocation adds up to the smaller of the capacity and the total demand.
 * No team gets more than its demand or limit; the other teams share the rest by weight. Computed in
 * integers and rounded by largest remainder, so the result does not depend on floating point.
 */
public final class MaxMinAllocator {
    /**
     * Demand, weight and limit of one team.
     *
     * @param team team name
     * @param demand running and queued requests
     * @param weight relative share, at least 1
     * @param limit upper limit of running requests
     */
    public record TeamClaim(String team, int demand, int weight, int limit) {
        public TeamClaim {
            if (demand < 0 || weight < 1 || limit < 0) {
                throw new IllegalArgumentException(
                        String.format(
                                "claim of team %s has demand %d, weight %d, limit %d;"
                                        + " demand and limit must not be negative,"
                                        + " and weight must be at least 1",
                                team, demand, weight, limit));
            }
        }

        /** Returns the most that the team can use. */
        int cap() {
            return Math.min(demand, limit);
        }
    }

    private static final Comparator<TeamClaim> BY_CAP_PER_WEIGHT =
            (a, b) -> {
                long left = (long) a.cap() * b.weight();
                long right = (long) b.cap() * a.weight();
                return left != right ? Long.compare(left, right) : a.team().compareTo(b.team());
            };

    private MaxMinAllocator() {}

    /** Returns how many requests each team may run at the given capacity in slots. */
    public static Map<String, Integer> allocate(int capacitySlots, Collection<TeamClaim> claims) {
        List<TeamClaim> sorted = new ArrayList<>(claims);
        sorted.sort(BY_CAP_PER_WEIGHT);
        Map<String, Integer> allocation = new TreeMap<>();
        long weightLeft = sorted.stream().mapToLong(TeamClaim::weight).sum();
        int capacityLeft = Math.max(0, capacitySlots);
        int next = 0;
        while (next < sorted.size() && isSatisfied(sorted.get(next), capacityLeft, weightLeft)) {
            TeamClaim claim = sorted.get(next);
            allocation.put(claim.team(), claim.cap());
            capacityLeft -= claim.cap();
            weightLeft -= claim.weight();
            next++;
        }
        Map<String, Integer> weights = new TreeMap<>();
        sorted.subList(next, sorted.size()).forEach(c -> weights.put(c.team(), c.weight()));
        allocation.putAll(LargestRemainder.split(capacityLeft, weights));
        return allocation;
    }

    private static boolean isSatisfied(TeamClaim claim, long capacityLeft, long weightLeft) {
        return claim.cap() * weightLeft <= capacityLeft * claim.weight();
    }
}
