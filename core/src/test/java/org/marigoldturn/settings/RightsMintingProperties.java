package org.marigoldturn.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against rights that exceed a limit, are lost, or are minted twice for a deleted team. */
class RightsMintingProperties {
    private static FleetSettings settings(Map<String, TeamSettings> teams) {
        return new FleetSettings(Map.of(), Map.of(), Map.of(), teams, Map.of(), null);
    }

    @Property(tries = 500, seed = "99")
    void rightsOnlyGrowToTheHighestLimitAndEpochsAreNotReused(@ForAll Random random) {
        RightsDivision rights = RightsDivision.EMPTY;
        Map<String, Integer> highestLimit = new HashMap<>();
        Map<String, Long> lastEpoch = new HashMap<>();
        for (long version = 1; version < 15; version++) {
            MemberSet members = SampleSettings.members(random.nextInt(4));
            Map<String, TeamSettings> teams = new TreeMap<>();
            for (String name : List.of("a", "b")) {
                if (random.nextBoolean()) {
                    TeamSettings team = SampleSettings.team(name, random.nextInt(20));
                    teams.put(name, team);
                    highestLimit.merge(name, team.runningLimit(), Math::max);
                }
            }
            FleetSettings after = settings(teams);
            RightsDivision next = RightsMinting.apply(rights, members, after, version);
            rights.teams().forEach((name, old) -> checkKept(old, next.teams().get(name)));
            next.teams().forEach((name, d) -> checkDivision(d, highestLimit.get(name)));
            teams.values().forEach(team -> checkCovered(team, members, next));
            for (Map.Entry<String, ResourceDivision> entry : next.teams().entrySet()) {
                long epoch = entry.getValue().epoch();
                boolean isNew = !rights.teams().containsKey(entry.getKey());
                Long earlier = lastEpoch.put(entry.getKey(), epoch);
                assertThat(earlier == null || (isNew ? epoch > earlier : epoch == earlier))
                        .isTrue();
            }
            rights = next;
        }
    }

    private static void checkKept(ResourceDivision old, ResourceDivision next) {
        if (old.minted() == 0) {
            return;
        }
        assertThat(next.minted()).isGreaterThanOrEqualTo(old.minted());
        old.basis().forEach((id, n) -> assertThat(next.basis().get(id)).isGreaterThanOrEqualTo(n));
    }

    private static void checkDivision(ResourceDivision division, int highestLimit) {
        assertThat(division.minted()).isLessThanOrEqualTo(highestLimit);
        int sum = division.basis().values().stream().mapToInt(i -> i).sum();
        assertThat(sum).isEqualTo(division.minted());
    }

    private static void checkCovered(TeamSettings team, MemberSet members, RightsDivision next) {
        if (!members.members().isEmpty()) {
            assertThat(next.teams().get(team.name()).minted())
                    .isGreaterThanOrEqualTo(team.runningLimit());
        }
    }
}
