package org.marigoldturn.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import net.jqwik.api.Example;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Entitlement;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;

/** Tests which demand changes are reported, how soon, and when entitlements expire. */
class DemandReporterTest {
    private static final List<String> MEMBERS = List.of("a", "b", "c");

    private final DemandReporter mReporter = new DemandReporter();

    private List<AddressedReport> tick(
            int held, int running, long nowMillis, List<String> members) {
        Map<String, TeamLoad> loads =
                running == 0 ? Map.of() : Map.of("ploughing", new TeamLoad(running, 0));
        Map<String, ResourceDemand> demands =
                Map.of("pool:p", new ResourceDemand(held, 0, 56, loads));
        return mReporter.tick(demands, members, nowMillis);
    }

    @Example
    void unmetDemandIsReportedAtOnce() {
        assertThat(tick(2, 2, 0, MEMBERS).get(0).report().getComplete()).isTrue();
        assertThat(tick(2, 2, 1000, MEMBERS)).isEmpty();
        assertThat(tick(2, 8, 2000, MEMBERS)).hasSize(1);
    }

    /**
     * Guards against small changes that are never reported: one request for each daemon and team
     * adds up to over 2% of a small pool.
     */
    @Example
    void smallChangesAreReportedWhenTheyLast() {
        tick(2, 4, 0, MEMBERS);
        assertThat(tick(2, 5, 1000, MEMBERS)).isEmpty();
        assertThat(tick(2, 5, 1000 + DemandReporter.SMALL_CHANGE_MILLIS, MEMBERS)).hasSize(1);
    }

    /** Guards against short requests in 95 idle pools that use up the budget of control bytes. */
    @Example
    void shortRequestsWithinTheRightsHeldAreNotReported() {
        tick(6, 0, 0, MEMBERS);
        assertThat(tick(6, 1, 1000, MEMBERS)).isEmpty();
        assertThat(tick(6, 0, 2000, MEMBERS)).isEmpty();
        assertThat(tick(6, 1, 5000, MEMBERS)).isEmpty();
    }

    /**
     * Guards against a coordinator that asks a daemon without rights for transfers, and no other
     * daemon.
     */
    @Example
    void lossOfTheLastRightIsReportedOnce() {
        tick(2, 0, 0, MEMBERS);
        DemandReport report = mReporter.tick(Map.of(), MEMBERS, 1000).get(0).report();
        assertThat(report.getHeld()).isZero();
        assertThat(mReporter.tick(Map.of(), MEMBERS, 2000)).isEmpty();
    }

    /** Guards against cancelled requests of a daemon without rights that keep their part. */
    @Example
    void endOfDemandWithoutRightsIsReported() {
        tick(0, 3, 0, MEMBERS);
        DemandReport report = mReporter.tick(Map.of(), MEMBERS, 1000).get(0).report();
        assertThat(report.getTeams(0).getRunning() + report.getTeams(0).getQueued()).isZero();
    }

    @Example
    void newCoordinatorGetsACompleteReport() {
        String first = tick(2, 2, 0, MEMBERS).get(0).receiver();
        List<String> rest = MEMBERS.stream().filter(m -> !m.equals(first)).toList();
        AddressedReport report = tick(2, 2, 1000, rest).get(0);
        assertThat(report.receiver()).isNotEqualTo(first);
        assertThat(report.report().getComplete()).isTrue();
    }

    /** Guards against outdated entitlements at a daemon that no coordinator reaches. */
    @Example
    void entitlementsExpireWithoutRepetition() {
        EntitlementTable table = new EntitlementTable();
        Entitlement entitlement =
                Entitlement.newBuilder().setTeam("ploughing").setRunning(7).build();
        table.onEntitlements(
                Entitlements.newBuilder()
                        .setResource("pool:p")
                        .addEntitlements(entitlement)
                        .build(),
                0);
        table.expire(EntitlementTable.VALIDITY_MILLIS);
        assertThat(table.entitlement("p", "ploughing")).isEqualTo(OptionalInt.of(7));
        assertThat(table.entitlement("p", "glass")).isEmpty();
        table.expire(EntitlementTable.VALIDITY_MILLIS + 1);
        assertThat(table.entitlement("p", "ploughing")).isEmpty();
    }
}
