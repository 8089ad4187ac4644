package org.marigoldturn.settings;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Creates the rights of teams from their limits, and those of new hosts from their slots.
 * Stateless.
 *
 * <p>Rights of teams are only ever added here: a lowered limit and a deleted team keep their minted
 * rights, because requests may still run under them. Only a redistribution, which knows every
 * holding, may remove rights.
 */
public final class RightsMinting {
    private RightsMinting() {}

    /**
     * Returns the division after a change of settings or members.
     *
     * <p>A team that was deleted keeps its division and counts as a team with limit 0, so that a
     * team created again under the same name cannot run its full limit beside the earlier work. The
     * division is removed once a redistribution has left no rights in it.
     *
     * @param old division before the change
     * @param members members after the change; with none, nothing is minted yet
     * @param settings settings after the change
     * @param newVersion version that the change produces; becomes the epoch of new teams, so that
     *     no epoch number is used twice for one team name
     */
    public static RightsDivision apply(
            RightsDivision old, MemberSet members, FleetSettings settings, long newVersion) {
        Map<String, ResourceDivision> teams = new TreeMap<>(old.teams());
        teams.entrySet()
                .removeIf(
                        team ->
                                team.getValue().minted() == 0
                                        && !settings.teams().containsKey(team.getKey()));
        for (TeamSettings team : settings.teams().values()) {
            ResourceDivision present = teams.get(team.name());
            ResourceDivision division =
                    present == null ? new ResourceDivision(newVersion, 0, Map.of()) : present;
            teams.put(team.name(), mint(division, team.runningLimit(), members));
        }
        List<String> ids = members.members().stream().map(Member::id).toList();
        SlotDivision slots = old.slots().withHosts(settings.hosts().keySet(), ids, newVersion);
        return new RightsDivision(teams, slots);
    }

    private static ResourceDivision mint(ResourceDivision division, int limit, MemberSet members) {
        int missing = limit - division.minted();
        if (missing <= 0 || members.members().isEmpty()) {
            return division;
        }
        Map<String, Integer> basis = new TreeMap<>(division.basis());
        List<String> ids =
                members.members().stream()
                        .map(Member::id)
                        .sorted(
                                Comparator.comparing((String id) -> basis.getOrDefault(id, 0))
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        for (int i = 0; i < ids.size(); i++) {
            int part = missing / ids.size() + (i < missing % ids.size() ? 1 : 0);
            if (part > 0) {
                basis.merge(ids.get(i), part, Integer::sum);
            }
        }
        return new ResourceDivision(division.epoch(), limit, basis);
    }
}
