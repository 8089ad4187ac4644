package org.marigoldturn.rights;

import java.util.List;
import java.util.Map;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SlotDivision;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;

/** Builds states with one team and a few hosts. */
final class TestStates {
    static final String TEAM = ResourceNames.team("ploughing");

    private TestStates() {}

    static VersionedState state(
            long version, int limit, ResourceDivision division, List<String> members) {
        return state(version, limit, division, members, 0, 1, members);
    }

    static VersionedState state(
            long version,
            int limit,
            ResourceDivision division,
            List<String> members,
            int hosts,
            long slotEpoch,
            List<String> slotDaemons) {
        Map<String, TeamSettings> teams =
                Map.of("ploughing", new TeamSettings("ploughing", 1, limit, List.of()));
        Map<String, HostSettings> hostMap = new java.util.TreeMap<>();
        for (int i = 0; i < hosts; i++) {
            String name = "h" + i;
            hostMap.put(
                    name,
                    new HostSettings(name, "p", "z", "r", "127.0.0.1", 1, 8, 64, 1, 1, 0, null, 0));
        }
        return new VersionedState(
                new Manifest(version, "c" + version, "test", 0, Map.of()),
                new FleetSettings(Map.of(), Map.of(), Map.of(), teams, hostMap),
                new MemberSet(
                        members.stream()
                                .map(id -> new Member(id, "z", "127.0.0.1", 1, 2, 0))
                                .toList()),
                new RightsDivision(
                        Map.of("ploughing", division),
                        SlotDivision.EMPTY.reassign(hostMap.keySet(), slotDaemons, slotEpoch)));
    }
}
