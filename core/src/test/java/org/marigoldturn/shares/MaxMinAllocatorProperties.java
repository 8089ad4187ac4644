package org.marigoldturn.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marigoldturn.shares.MaxMinAllocator.TeamClaim;

/** Tests that allocations are fair, use the whole capacity and stay within demands and limits. */
class MaxMinAllocatorProperties {
    private static List<TeamClaim> claims(Random random, int teams) {
        List<TeamClaim> claims = new ArrayList<>();
        for (int i = 0; i < teams; i++) {
            int demand = random.nextInt(random.nextBoolean() ? 10 : 400);
            claims.add(new TeamClaim("t" + i, demand, 1 + random.nextInt(9), random.nextInt(300)));
        }
        return claims;
    }

    /** Computes the exact allocation: finds the common level per weight by bisection. */
    private static Map<String, Double> reference(int capacity, List<TeamClaim> claims) {
        double low = 0;
        double high = 1000;
        for (int i = 0; i < 100; i++) {
            double level = (low + high) / 2;
            double used =
                    claims.stream().mapToDouble(c -> Math.min(c.cap(), level * c.weight())).sum();
            if (used > capacity) {
                high = level;
            } else {
                low = level;
            }
        }
        Map<String, Double> allocation = new HashMap<>();
        for (TeamClaim claim : claims) {
            allocation.put(claim.team(), Math.min(claim.cap(), low * claim.weight()));
        }
        return allocation;
    }

    @Property(tries = 2000, seed = "4713")
    void differsFromTheExactLevelByLessThanOneSlot(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 600) int capacity,
            @ForAll @IntRange(min = 0, max = 12) int teams) {
        List<TeamClaim> claims = claims(new Random(seed), teams);
        Map<String, Integer> allocation = MaxMinAllocator.allocate(capacity, claims);
        Map<String, Double> expected = reference(capacity, claims);
        int caps = claims.stream().mapToInt(TeamClaim::cap).sum();
        assertThat(allocation.values().stream().mapToInt(n -> n).sum())
                .as("work-conserving")
                .isEqualTo(Math.min(capacity, caps));
        for (TeamClaim claim : claims) {
            int running = allocation.get(claim.team());
            assertThat(running).isBetween(0, claim.cap());
            assertThat(Math.abs(running - expected.get(claim.team()))).isLessThan(1 + 1e-6);
        }
    }

    /** Guards against a part above the demand of a daemon, which would leave slots idle there. */
    @Property(tries = 500, seed = "4714")
    void partsOfDaemonsAddUpAndStayWithinTheirDemand(@ForAll long seed) {
        Random random = new Random(seed);
        RotatingSplit split = new RotatingSplit();
        for (int round = 0; round < 20; round++) {
            Map<String, Integer> demands = new TreeMap<>();
            int daemons = 1 + random.nextInt(9);
            for (int i = 0; i < daemons; i++) {
                demands.put("d" + i, 1 + random.nextInt(30));
            }
            int sum = demands.values().stream().mapToInt(n -> n).sum();
            int total = random.nextInt(random.nextBoolean() ? sum + 1 : Math.min(5, sum + 1));
            Map<String, Integer> parts = split.split(total, demands, round * 1000L);
            assertThat(parts.values().stream().mapToInt(n -> n).sum()).isEqualTo(total);
            parts.forEach((d, part) -> assertThat(part).isBetween(0, demands.get(d)));
        }
    }

    /** Guards against a daemon with little demand that never gets one of too few rights. */
    @Property(tries = 50, seed = "4715")
    void rightsRotateInProportionToDemand(@ForAll @IntRange(min = 1, max = 40) int largeDemand) {
        RotatingSplit split = new RotatingSplit();
        int turns = 0;
        for (int round = 0; round < 100; round++) {
            long nowMillis = round * RotatingSplit.ROTATION_MILLIS;
            turns +=
                    split.split(1, Map.of("large", largeDemand, "small", 1), nowMillis)
                            .get("small");
        }
        assertThat(turns).isBetween(99 / (largeDemand + 1), 100 / (largeDemand + 1) + 1);
    }
}
