package org.marigoldturn.rights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SlotDivision;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;

/** Tests redistributions while a limit changes. */
class RedistributionTest {
    private static final int BEFORE = 10;
    private static final int LOWERED = 2;

    /**
     * Guards against rights that are assigned to another daemon while a request still uses them:
     * after a limit was lowered and raised again, that daemon could exceed the limit.
     */
    @Example
    void runningRequestsKeepTheirRightsWhenALimitIsLowered() {
        RightsLedger ledger = new RightsLedger("a");
        ledger.adopt(state(1, BEFORE));
        for (int i = 0; i < BEFORE; i++) {
            assertThat(ledger.tryAcquire(ResourceNames.team("club"))).isTrue();
        }
        VersionedState lowered = state(2, LOWERED);
        ledger.adopt(lowered);
        Redistribution attempt = new Redistribution(lowered, Set.of("club"));
        attempt.onReply("a", ledger.onFreeze(attempt.request()));
        RightsLedger idle = new RightsLedger("b");
        idle.adopt(lowered);
        attempt.onReply("b", idle.onFreeze(attempt.request()));
        ResourceDivision division = attempt.result(Set.of()).orElseThrow().get("club");
        assertThat(division.basis()).containsEntry("a", BEFORE).containsEntry("b", 0);
        assertThat(division.minted()).isEqualTo(BEFORE);
    }

    private static VersionedState state(long version, int limit) {
        TeamSettings club = new TeamSettings("club", 1, limit, List.of());
        return new VersionedState(
                new Manifest(version, "c" + version, "test", 0, Map.of()),
                new FleetSettings(Map.of(), Map.of(), Map.of(), Map.of("club", club), Map.of()),
                new MemberSet(List.of(member("a"), member("b"))),
                new RightsDivision(
                        Map.of("club", new ResourceDivision(1, BEFORE, Map.of("a", BEFORE))),
                        SlotDivision.EMPTY));
    }

    private static Member member(String id) {
        return new Member(id, "z0", "127.0.0.1", 1, 2, 0);
    }
}
