package org.marigoldturn.settings;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Mints (creates) rights: for teams up to their running limits, for new hosts one for each slot.
 * Stateless.
 *
 * <p>A right is a permit to run one request of a team or on a host, held by one daemon.
 *
 * <p>The rights of a team are only increased here: after its limit is lowered or it is deleted, its
 * minted rights remain, because requests may still run under them. Only a redistribution, which
 * knows the rights that each daemon holds, may remove rights.
 */
public final class RightsMinting {
    private RightsMinting() {}

    /**
     * Returns the division after a change of settings or members.
     *
     * <p>A deleted team keeps its division and counts as a team with limit 0, so that a new team of
     * the same name cannot run its full limit in addition to the earlier requests. The division is
     * removed after a redistribution has reduced its rights to 0.
     *
     * @param old division before the change
     * @param members members after the change; nothing is minted while there are none
     * @param settings settings after the change
     * @param newVersion version that the change produces; used as the epoch of new divisions, so
     *     that no epoch is used twice for a team name
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
            ResourceDivision existing = teams.get(team.name());
            ResourceDivision division =
                    existing == null ? new ResourceDivision(newVersion, 0, Map.of()) : existing;
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
