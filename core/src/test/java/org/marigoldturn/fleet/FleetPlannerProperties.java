package org.marigoldturn.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneState;

/**
 * Tests the planners with generated sequences of waves, failures, zone drains and restores, loans
 * and returns.
 */
class FleetPlannerProperties {
    private static final long STEP_MILLIS = 60_000;

    private final FleetPlanner mPlanner = new FleetPlanner();
    private final ZonePlanner mZones = new ZonePlanner();

    /**
     * Guards against a planner that exceeds a budget, leaves a host out of a pool whose budget is
     * exceeded although its drain can be cancelled, or changes the pool of a host that has not
     * drained.
     */
    @Property(tries = 300, seed = "4711")
    void plansKeepBudgetsAndMoveOnlyDrainedHosts(
            @ForAll long sequence, @ForAll @IntRange(min = 0, max = 60) int percent) {
        Random random = new Random(sequence);
        FleetSettings settings = FleetFixture.settings(36, percent);
        Set<String> failed = new HashSet<>();
        long nowMillis = 100L * 86_400_000;
        for (int step = 0; step < 60; step++) {
            nowMillis += STEP_MILLIS * (1 + random.nextInt(20));
            changeFailures(failed, random);
            settings = commit(settings, changeZone(settings, failed, random, nowMillis), failed);
            FleetObservation observed = observe(settings, failed, random, nowMillis);
            FleetSettings before = settings;
            settings = commit(settings, mPlanner.edits(settings, observed, nowMillis), failed);
            assertDrainsAreCancelledAfterFailures(before, settings, failed);
            if (random.nextInt(10) == 0) {
                settings = FleetFixture.apply(settings, new MaintenancePlanner().resume(settings));
            }
        }
    }

    private static FleetSettings commit(
            FleetSettings before, List<SettingsEdit> edits, Set<String> failed) {
        FleetSettings after = FleetFixture.apply(before, edits);
        List<BudgetStatus> earlier = AvailabilityBudget.of(before, failed).statuses();
        List<BudgetStatus> later = AvailabilityBudget.of(after, failed).statuses();
        for (int i = 0; i < later.size(); i++) {
            assertThat(later.get(i).shortfallSlots())
                    .as("shortfall of %s after %s", later.get(i), edits)
                    .isLessThanOrEqualTo(earlier.get(i).shortfallSlots());
        }
        assertThat(after.hosts()).hasSameSizeAs(before.hosts());
        for (HostSettings host : after.hosts().values()) {
            HostSettings earlierHost = before.hosts().get(host.name());
            assertThat(after.pools()).containsKey(host.pool());
            if (!host.pool().equals(earlierHost.pool())) {
                assertThat(earlierHost.state()).isEqualTo(HostState.RETURNING);
            }
        }
        return after;
    }

    /**
     * Checks that no draining host is kept out of a pool whose budget is exceeded. All drains of
     * this test are planned, so each of them can be cancelled.
     */
    private static void assertDrainsAreCancelledAfterFailures(
            FleetSettings before, FleetSettings after, Set<String> failed) {
        AvailabilityBudget budget = AvailabilityBudget.of(after, failed);
        for (HostSettings host : after.hosts().values()) {
            boolean usable =
                    !failed.contains(host.name())
                            && after.zones().get(host.zone()).state() != ZoneState.OUT_OF_SERVICE;
            HostState earlier = before.hosts().get(host.name()).state();
            boolean enters = host.state() == HostState.MAINTENANCE && earlier == HostState.DRAINING;
            if (usable && (host.state() == HostState.DRAINING || enters)) {
                assertThat(budget.met(host.pool()))
                        .as("budget of %s with %s %s", host.pool(), host.name(), host.state())
                        .isTrue();
            }
        }
    }

    private List<SettingsEdit> changeZone(
            FleetSettings settings, Set<String> failed, Random random, long nowMillis) {
        String zone = "z" + random.nextInt(3);
        return switch (random.nextInt(6)) {
            case 0 -> mZones.drain(settings, failed, zone, false, nowMillis).edits();
            case 1 -> mZones.restore(settings, failed, zone, nowMillis).edits();
            default -> List.of();
        };
    }

    private static void changeFailures(Set<String> failed, Random random) {
        if (random.nextInt(4) == 0) {
            failed.add("h" + random.nextInt(36));
        }
        failed.removeIf(host -> random.nextInt(8) == 0);
    }

    private static FleetObservation observe(
            FleetSettings settings, Set<String> failed, Random random, long nowMillis) {
        Map<String, HostObservation> hosts = new HashMap<>();
        for (HostSettings host : settings.hosts().values()) {
            boolean out = host.state() != HostState.IN_SERVICE;
            if (out && !failed.contains(host.name()) && random.nextInt(3) > 0) {
                hosts.put(host.name(), FleetFixture.drainedAndMaintained());
            }
        }
        Map<String, PoolDemand> demands = new HashMap<>();
        for (String pool : settings.pools().keySet()) {
            int queued = random.nextInt(200);
            long since = nowMillis - random.nextInt(10) * STEP_MILLIS;
            demands.put(pool, new PoolDemand(pool, 40, queued, since));
        }
        return new FleetObservation(failed, hosts, demands, STEP_MILLIS);
    }
}
