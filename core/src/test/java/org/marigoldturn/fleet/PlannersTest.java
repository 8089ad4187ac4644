package org.marigoldturn.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.routing.EjectionReports;
import org.marigoldturn.routing.HostHealthReport;
import org.marigoldturn.settings.ContentHash;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetPolicy.WaveStatus;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.StateCodec;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.settings.ZoneState;

/** Tests single decisions of the planners. */
class PlannersTest {
    private static final long NOW_MILLIS = 100L * 86_400_000;

    private final MaintenancePlanner mMaintenance = new MaintenancePlanner();
    private final HostLifecycle mLifecycle = new HostLifecycle();

    /** Guards against a wave that continues although its hosts do not return to service. */
    @Example
    void waveStopsWhenHostsDoNotReturnInTimeAndNeedsResume() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        settings = FleetFixture.apply(settings, mMaintenance.step(settings, Set.of(), NOW_MILLIS));
        int taken = settings.policy().wave().startedHosts();
        assertThat(taken).isGreaterThan(2);
        long later = NOW_MILLIS + settings.policy().returnWithinMillis() + 1;
        settings = FleetFixture.apply(settings, mMaintenance.step(settings, Set.of(), later));
        assertThat(settings.policy().wave().status()).isEqualTo(WaveStatus.STOPPED);
        assertThat(settings.policy().wave().reason()).contains("did not return in time: h0");
        assertThat(mMaintenance.step(settings, Set.of(), later + 1)).isEmpty();
        settings = FleetFixture.apply(settings, mMaintenance.resume(settings));
        settings = FleetFixture.apply(settings, mMaintenance.step(settings, Set.of(), later + 2));
        assertThat(settings.policy().wave().status()).isEqualTo(WaveStatus.RUNNING);
        assertThat(settings.policy().wave().startedHosts()).isGreaterThan(taken);
    }

    /** Guards against steps that ignore unplanned failures of hosts. */
    @Example
    void unplannedFailuresShrinkTheNextStep() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        Set<String> failed = Set.of("h12", "h15", "h18", "h21", "h24");
        List<SettingsEdit> all = mMaintenance.step(settings, Set.of(), NOW_MILLIS);
        List<SettingsEdit> fewer = mMaintenance.step(settings, failed, NOW_MILLIS);
        assertThat(fewer).hasSizeLessThan(all.size());
    }

    /**
     * Guards against a wave that takes hosts of another rack while hosts of its rack are out of
     * service.
     */
    @Example
    void waveTakesOneRackAtATime() {
        FleetSettings settings = FleetFixture.settings(36, 100);
        for (int i = 0; i < 3; i++) {
            settings =
                    FleetFixture.apply(settings, mMaintenance.step(settings, Set.of(), NOW_MILLIS));
        }
        assertThat(settings.hosts().values())
                .filteredOn(host -> host.state() == HostState.DRAINING)
                .extracting(host -> host.rack())
                .containsOnly("rack0");
    }

    /** Guards against a zone drain that exceeds a budget although it is not forced. */
    @Example
    void zoneDrainIsRefusedWithShortfallsUnlessForced() {
        FleetSettings settings = FleetFixture.settings(36, 20);
        ZonePlanner planner = new ZonePlanner();
        ZonePlan refused = planner.drain(settings, Set.of(), "z0", false, NOW_MILLIS);
        assertThat(refused.refused()).isTrue();
        assertThat(refused.edits()).isEmpty();
        assertThat(refused.shortfalls()).extracting(BudgetStatus::shortfallSlots).contains(29);
        ZonePlan forced = planner.drain(settings, Set.of(), "z0", true, NOW_MILLIS);
        FleetSettings drained = FleetFixture.apply(settings, forced.edits());
        assertThat(drained.zones().get("z0").state()).isEqualTo(ZoneState.OUT_OF_SERVICE);
        assertThat(forced.presentSlots()).containsEntry("desk", 48);
        ZonePlan restored = planner.restore(drained, Set.of(), "z0", NOW_MILLIS + 1);
        FleetSettings returning = FleetFixture.apply(drained, restored.edits());
        assertThat(returning.zones().get("z0").state()).isEqualTo(ZoneState.RETURNING);
        assertThat(planner.finishRamps(returning, NOW_MILLIS + 30_000)).isEmpty();
        assertThat(planner.finishRamps(returning, NOW_MILLIS + 30_001)).hasSize(1);
    }

    /** Guards against a zone drain that does not count failed or ejected hosts as absent. */
    @Example
    void zoneDrainCountsFailedAndEjectedHosts() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        ZonePlanner planner = new ZonePlanner();
        assertThat(planner.drain(settings, Set.of(), "z0", false, NOW_MILLIS).refused()).isFalse();
        // A failed host in the zone itself is not counted twice.
        Set<String> inside = Set.of("h0");
        assertThat(planner.drain(settings, inside, "z0", false, NOW_MILLIS).refused()).isFalse();
        ZonePlan refused = planner.drain(settings, Set.of("h6"), "z0", false, NOW_MILLIS);
        assertThat(refused.refused()).isTrue();
        assertThat(refused.shortfalls()).extracting(BudgetStatus::shortfallSlots).containsOnly(8);
        EjectionReports reports = new EjectionReports();
        reports.onReport("d1", new HostHealthReport("h6", true, 9), 0);
        reports.onReport("d2", new HostHealthReport("h6", true, 9), 0);
        Set<String> ejected = reports.ejectedByMajority(List.of(), 1);
        assertThat(planner.drain(settings, ejected, "z0", false, NOW_MILLIS).refused()).isTrue();
    }

    /** Guards against a drain that continues although failures exceed the budget. */
    @Example
    void drainIsCancelledWhenFailuresUseTheBudget() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        settings = FleetFixture.apply(settings, mMaintenance.step(settings, Set.of(), NOW_MILLIS));
        assertThat(settings.hosts().get("h0").state()).isEqualTo(HostState.DRAINING);
        int started = settings.policy().wave().startedHosts();
        DrainCanceller canceller = new DrainCanceller();
        Set<String> failed = Set.of("h6", "h9", "h18", "h21", "h30", "h33");
        assertThat(canceller.cancel(settings, Set.of("h6"), Map.of())).isEmpty();
        FleetSettings next =
                FleetFixture.apply(settings, canceller.cancel(settings, failed, Map.of()));
        assertThat(next.hosts().get("h0").state()).isEqualTo(HostState.IN_SERVICE);
        assertThat(next.hosts().get("h1").state()).isEqualTo(HostState.DRAINING);
        assertThat(next.policy().wave().returnByMillis()).doesNotContainKey("h0");
        assertThat(next.policy().wave().startedHosts()).isLessThan(started);
        // A drain that an operator requested continues.
        FleetSettings operatorDrain = FleetFixture.settings(36, 50);
        operatorDrain = FleetFixture.apply(operatorDrain, mLifecycle.drain(operatorDrain, "h0"));
        assertThat(canceller.cancel(operatorDrain, failed, Map.of())).isEmpty();
    }

    /** Guards against maintenance that starts while a daemon may still start work. */
    @Example
    void drainEndsOnlyWhenAllDaemonsAndALaterUsageReportAgree() {
        Map<String, DrainEvidence.DaemonReport> reports =
                Map.of(
                        "d1", new DrainEvidence.DaemonReport(7, 0, 100),
                        "d2", new DrainEvidence.DaemonReport(8, 0, 110));
        Set<String> members = Set.of("d1", "d2");
        DrainEvidence.UsageReport idle = new DrainEvidence.UsageReport(0, 120);
        assertThat(new DrainEvidence(7, members, reports, idle, false).drained()).isTrue();
        assertThat(new DrainEvidence(8, members, reports, idle, false).drained()).isFalse();
        assertThat(new DrainEvidence(7, Set.of("d3"), reports, idle, false).drained()).isFalse();
        assertThat(new DrainEvidence(7, members, reports, null, false).drained()).isFalse();
        DrainEvidence.UsageReport early = new DrainEvidence.UsageReport(0, 105);
        assertThat(new DrainEvidence(7, members, reports, early, false).drained()).isFalse();
        DrainEvidence.UsageReport busy = new DrainEvidence.UsageReport(1, 120);
        assertThat(new DrainEvidence(7, members, reports, busy, false).drained()).isFalse();
        assertThat(new DrainEvidence(8, members, reports, null, true).drained()).isTrue();
    }

    /**
     * Guards against a host that never returns from a loan, and against a loan that costs more than
     * its benefit.
     */
    @Example
    void loanIsMadeWhenWorthItsCostAndEnds() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        long since = NOW_MILLIS - settings.policy().loanAfterMillis();
        assertThat(loans(settings, 3, since, NOW_MILLIS)).isEmpty();
        assertThat(loans(settings, 30, since + 1, NOW_MILLIS)).isEmpty();
        settings = FleetFixture.apply(settings, loans(settings, 30, since, NOW_MILLIS));
        assertThat(settings.policy().loans()).hasSize(1).containsValue("club");
        String host = settings.policy().loans().keySet().iterator().next();
        settings = advance(settings, host, 2);
        assertThat(settings.hosts().get(host).pool()).isEqualTo("desk");
        settings = FleetFixture.apply(settings, loans(settings, -50, since, NOW_MILLIS));
        settings = advance(settings, host, 2);
        assertThat(settings.hosts().get(host).pool()).isEqualTo("club");
        settings = FleetFixture.apply(settings, loans(settings, -50, since, NOW_MILLIS));
        assertThat(settings.policy().loans()).isEmpty();
    }

    /** Guards against cost weights that have no effect on loans. */
    @Example
    void expensiveMovesAreMadeOnlyForALongOverload() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        FleetPolicy.CostWeights weights = new FleetPolicy.CostWeights(0, 0, 10);
        FleetPolicy policy = new FleetPolicy(0, 0, 0, 60_000, weights, null, null, null);
        settings = FleetFixture.apply(settings, List.of(new SettingsEdit.PutPolicy(policy)));
        assertThat(loans(settings, 30, NOW_MILLIS - 2 * 60_000, NOW_MILLIS)).isEmpty();
        assertThat(loans(settings, 30, NOW_MILLIS - 3 * 60_000, NOW_MILLIS)).isNotEmpty();
    }

    /** Guards against commits of a planner whose role has passed to another daemon. */
    @Example
    void changeOfThePlannerIsFencedByTheVersionRead() {
        VersionedState initial = VersionedState.INITIAL;
        VersionedState state =
                new VersionedState(
                        initial.manifest(),
                        FleetFixture.settings(36, 50),
                        initial.members(),
                        initial.rights());
        FleetObservation nothing = new FleetObservation(Set.of(), Map.of(), Map.of(), 0);
        SettingsChange change =
                new FleetPlanner().step(state, nothing, "c1", NOW_MILLIS).orElseThrow();
        assertThat(change.baseVersion()).isEqualTo(state.version());
        assertThat(change.edits()).hasAtLeastOneElementOfType(SettingsEdit.PutPolicy.class);
    }

    /** Guards against pools that are never maintained and not reported. */
    @Example
    void reportNamesOverdueHostsAndBlockedPools() {
        FleetSettings settings = FleetFixture.settings(36, 8);
        WaveReport report = mMaintenance.report(settings, NOW_MILLIS);
        assertThat(report.blockedPools()).containsExactly("club", "desk", "marks");
        assertThat(report.overdueHosts()).hasSize(36).startsWith("h0", "h1");
        assertThat(mMaintenance.step(settings, Set.of(), NOW_MILLIS)).isEmpty();
        assertThat(mMaintenance.report(FleetFixture.settings(36, 9), 0).blockedPools()).isEmpty();
    }

    /** Guards against planner progress that is lost between two versions. */
    @Example
    void policyIsPartOfTheVersionedState() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        List<SettingsEdit> edits = mMaintenance.step(settings, Set.of(), NOW_MILLIS);
        FleetSettings next = FleetFixture.apply(settings, edits);
        Map<String, String> entries = new HashMap<>();
        Map<String, byte[]> blobs = new HashMap<>();
        StateCodec.encode(next, MemberSet.EMPTY, RightsDivision.EMPTY)
                .forEach(
                        (path, content) -> {
                            entries.put(path, ContentHash.of(content));
                            blobs.put(ContentHash.of(content), content);
                        });
        Manifest manifest = new Manifest(1, "c1", "planner", 0, entries);
        assertThat(StateCodec.decode(manifest, blobs).settings()).isEqualTo(next);
        assertThat(next.policy().wave().returnByMillis()).isNotEmpty();
        assertThat(PlanDescription.lines(settings, edits))
                .contains("host h0 is DRAINING, in pool desk.");
    }

    /** Guards against a pool change of a host that has not drained. */
    @Example
    void movedHostChangesPoolOnlyAfterDraining() {
        FleetSettings settings = FleetFixture.settings(36, 50);
        settings = FleetFixture.apply(settings, mLifecycle.move(settings, "h0", "marks"));
        assertThat(settings.hosts().get("h0").pool()).isEqualTo("desk");
        FleetSettings busy =
                FleetFixture.apply(
                        settings,
                        mLifecycle.advance(settings, Map.of("h0", HostObservation.NONE), 0));
        assertThat(busy.hosts().get("h0").state()).isEqualTo(HostState.DRAINING);
        FleetSettings moved = advance(settings, "h0", 2);
        assertThat(moved.hosts().get("h0").pool()).isEqualTo("marks");
        assertThat(moved.hosts().get("h0").state()).isEqualTo(HostState.IN_SERVICE);
        assertThat(moved.policy().pendingMoves()).isEmpty();
        assertThat(moved.pools()).containsValue(new PoolSettings("marks", false));
        assertThat(FleetPolicy.DEFAULT.maintenanceIntervalMillis()).isEqualTo(42L * 86_400_000);
    }

    private FleetSettings advance(FleetSettings settings, String host, int steps) {
        FleetSettings current = settings;
        for (int i = 0; i < steps; i++) {
            current =
                    FleetFixture.apply(
                            current,
                            mLifecycle.advance(
                                    current, Map.of(host, FleetFixture.drainedAndMaintained()), 1));
        }
        return current;
    }

    /** Plans for pool "desk" with 96 running requests and the given number queued. */
    private static List<SettingsEdit> loans(
            FleetSettings settings, int queued, long sinceMillis, long nowMillis) {
        Map<String, PoolDemand> demands =
                Map.of("desk", new PoolDemand("desk", 96, queued, sinceMillis));
        return new LoanPlanner().plan(settings, Set.of(), demands, 60_000, nowMillis);
    }
}
