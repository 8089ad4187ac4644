package org.marigoldturn.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/** Plans to take zones out of service and to restore them. Stateless. */
public final class ZonePlanner {
    /**
     * Plans to take a zone out of service.
     *
     * <p>A budget that is already exceeded causes a refusal only if the plan increases its
     * shortfall.
     *
     * @param force whether to plan although budgets are exceeded
     * @param nowMillis current wall-clock time
     * @throws IllegalArgumentException if the zone does not exist
     */
    public ZonePlan drain(
            FleetSettings settings,
            Set<String> failedHosts,
            String zone,
            boolean force,
            long nowMillis) {
        ZoneSettings present = require(settings, zone);
        List<SettingsEdit> edits = edits(present, ZoneState.OUT_OF_SERVICE, nowMillis);
        AvailabilityBudget before = AvailabilityBudget.of(settings, failedHosts);
        ZonePlan plan = plan(settings, failedHosts, zone, edits);
        List<BudgetStatus> worse = new ArrayList<>();
        for (BudgetStatus after : plan.shortfalls()) {
            if (absentSlots(before, after.service()) < after.absentSlots()) {
                worse.add(after);
            }
        }
        boolean refused = !worse.isEmpty() && !force;
        return new ZonePlan(
                zone,
                refused ? List.of() : edits,
                refused,
                worse,
                plan.touched(),
                plan.presentSlots());
    }

    /**
     * Plans to restore a zone; its weight is ramped up from the given time.
     *
     * @param nowMillis current wall-clock time
     * @throws IllegalArgumentException if the zone does not exist
     */
    public ZonePlan restore(
            FleetSettings settings, Set<String> failedHosts, String zone, long nowMillis) {
        ZoneSettings present = require(settings, zone);
        List<SettingsEdit> edits =
                present.state() == ZoneState.OUT_OF_SERVICE
                        ? edits(present, ZoneState.RETURNING, nowMillis)
                        : List.of();
        return plan(settings, failedHosts, zone, edits);
    }

    /** Returns the edits that put zones in service whose weight is fully ramped up. */
    public List<SettingsEdit> finishRamps(FleetSettings settings, long nowMillis) {
        List<SettingsEdit> edits = new ArrayList<>();
        for (ZoneSettings zone : settings.zones().values()) {
            boolean ended = nowMillis - zone.stateSinceMillis() >= ZoneState.RAMP_MILLIS;
            if (zone.state() == ZoneState.RETURNING && ended) {
                edits.addAll(edits(zone, ZoneState.IN_SERVICE, nowMillis));
            }
        }
        return edits;
    }

    private static ZonePlan plan(
            FleetSettings settings,
            Set<String> failedHosts,
            String zone,
            List<SettingsEdit> edits) {
        EditedSettings edited = new EditedSettings(settings);
        edited.apply(edits);
        AvailabilityBudget after = AvailabilityBudget.of(edited.current(), failedHosts);
        Set<String> pools = new TreeSet<>();
        for (HostSettings host : settings.hosts().values()) {
            if (host.zone().equals(zone)) {
                pools.add(host.pool());
            }
        }
        List<BudgetStatus> touched =
                after.statuses().stream().filter(s -> pools.contains(s.pool())).toList();
        Map<String, Integer> left = new TreeMap<>();
        pools.forEach(pool -> left.put(pool, after.presentSlots(pool)));
        List<BudgetStatus> shortfalls = touched.stream().filter(s -> !s.met()).toList();
        return new ZonePlan(zone, edits, false, shortfalls, touched, left);
    }

    private static List<SettingsEdit> edits(ZoneSettings zone, ZoneState state, long nowMillis) {
        return zone.state() == state
                ? List.of()
                : List.of(
                        new SettingsEdit.PutZone(
                                new ZoneSettings(zone.name(), zone.region(), state, nowMillis)));
    }

    private static int absentSlots(AvailabilityBudget budget, String service) {
        return budget.statuses().stream()
                .filter(s -> s.service().equals(service))
                .mapToInt(BudgetStatus::absentSlots)
                .sum();
    }

    private static ZoneSettings require(FleetSettings settings, String zone) {
        ZoneSettings found = settings.zones().get(zone);
        if (found == null) {
            throw new IllegalArgumentException("zone \"" + zone + "\" does not exist");
        }
        return found;
    }
}
