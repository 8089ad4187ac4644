package org.marigoldturn.standins.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marigoldturn.fleet.AvailabilityBudget;
import org.marigoldturn.fleet.BudgetStatus;
import org.marigoldturn.fleet.EditedSettings;
import org.marigoldturn.fleet.FleetObservation;
import org.marigoldturn.fleet.FleetPlanner;
import org.marigoldturn.fleet.HostLifecycle;
import org.marigoldturn.fleet.MaintenancePlanner;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetPolicy.WaveStatus;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;

/** Simulates six weeks of maintenance of 1,700 hosts in virtual time. */
final class MaintenanceRound {
    static final int HOSTS = 1_700;

    private static final int POOLS = 95;
    private static final int ZONES = 4;
    private static final int HOSTS_PER_RACK = 20;
    private static final int MAX_UNAVAILABLE_PERCENT = 15;
    private static final int BATCH_HOSTS = 43;

    /** Coprime to the number of hosts; consecutive hosts become due far apart in time. */
    private static final int DUE_ORDER_STRIDE = 709;

    private static final long STEP_MILLIS = 5 * FleetTimeline.MINUTE_MILLIS;

    /** Time after which an operator resumes a stopped wave. */
    private static final long RESUME_AFTER_MILLIS = 60 * FleetTimeline.MINUTE_MILLIS;

    private final FleetTimeline mTimeline;
    private final EditedSettings mFleet;
    private final Set<String> mMaintained = new HashSet<>();
    private final Result mResult = new Result();
    private final long mStartMillis = 1_000 * FleetTimeline.DAY_MILLIS;
    private long mStoppedAtMillis = -1;

    private MaintenanceRound(long seed, boolean steady) {
        FleetSettings settings = fleet(mStartMillis, steady);
        mTimeline = new FleetTimeline(settings, seed);
        mFleet = new EditedSettings(settings);
    }

    /**
     * Figures of one round; hosts taken out of service and slot hours are counted until every host
     * is maintained.
     */
    static final class Result {
        long mRoundMillis = -1;
        int mMaintained;
        int mDrainedHosts;
        int mPeakPlannedSlots;
        double mPlannedSlotHours;
        double mLargestAbsencePercent;
        long mStepsOverBudget;
        long mPlansOverBudget;
        long mOverBudgetServiceMinutes;

        /** Part of the time over budget in which the failures alone exceed the budget. */
        long mOverByFailuresServiceMinutes;

        /**
         * Part of the time over budget in which the failures alone do not exceed it, and the budget
         * would be met if the drains in progress were cancelled.
         */
        long mOverByDrainsServiceMinutes;

        int mWaveStops;
        long mLongestSinceMaintenanceMillis;
    }

    /** Chooses the edits of one step. */
    private interface Planner {
        List<SettingsEdit> step(FleetSettings settings, Set<String> failed, long nowMillis);
    }

    /**
     * Runs the planner of this project.
     *
     * @param steady whether hosts become due one after the other, not all at the start
     */
    static Result planned(long seed, boolean steady) {
        MaintenanceRound round = new MaintenanceRound(seed, steady);
        FleetPlanner planner = new FleetPlanner();
        return round.run(
                (settings, failed, now) ->
                        planner.edits(
                                settings,
                                new FleetObservation(
                                        failed,
                                        round.mTimeline.observe(settings, now),
                                        Map.of(),
                                        FleetTimeline.MINUTE_MILLIS),
                                now));
    }

    /** Runs a fixed batch each day, in the order of host names, regardless of budgets. */
    static Result fixedBatches(long seed) {
        MaintenanceRound round = new MaintenanceRound(seed, false);
        return round.run(round::batchStep);
    }

    private Result run(Planner planner) {
        long end = mStartMillis + FleetPolicy.DEFAULT.maintenanceIntervalMillis();
        for (long now = mStartMillis; now < end; now += STEP_MILLIS) {
            mTimeline.step(now, STEP_MILLIS);
            Set<String> failed = mTimeline.failedHosts();
            FleetSettings before = mFleet.current();
            List<SettingsEdit> edits = planner.step(before, failed, now);
            mFleet.apply(edits);
            record(before, edits, failed, now);
            resumeStopped(now);
        }
        mResult.mMaintained = mMaintained.size();
        return mResult;
    }

    private void record(
            FleetSettings before, List<SettingsEdit> edits, Set<String> failed, long now) {
        int drainedHosts = 0;
        for (SettingsEdit edit : edits) {
            if (edit instanceof SettingsEdit.PutHost put) {
                HostSettings host = put.host();
                drainedHosts += host.state() == HostState.DRAINING ? 1 : 0;
                if (host.maintainedAtMillis() >= mStartMillis) {
                    mMaintained.add(host.name());
                }
            }
        }
        int planned = 0;
        for (HostSettings host : mFleet.current().hosts().values()) {
            planned += host.state().acceptsWork() ? 0 : host.slots();
            mResult.mLongestSinceMaintenanceMillis =
                    Math.max(
                            mResult.mLongestSinceMaintenanceMillis,
                            now - host.maintainedAtMillis());
        }
        if (mResult.mRoundMillis < 0) {
            mResult.mDrainedHosts += drainedHosts;
            mResult.mPlannedSlotHours += planned * (double) STEP_MILLIS / 3_600_000;
            mResult.mRoundMillis = mMaintained.size() == HOSTS ? now - mStartMillis : -1;
        }
        mResult.mPeakPlannedSlots = Math.max(mResult.mPeakPlannedSlots, planned);
        recordBudgets(before, edits, failed);
    }

    private void recordBudgets(FleetSettings before, List<SettingsEdit> edits, Set<String> failed) {
        List<BudgetStatus> after = AvailabilityBudget.of(mFleet.current(), failed).statuses();
        Map<String, Integer> absentSlotsBefore = new HashMap<>();
        if (!edits.isEmpty()) {
            AvailabilityBudget.of(before, failed)
                    .statuses()
                    .forEach(
                            status ->
                                    absentSlotsBefore.put(status.service(), status.absentSlots()));
        }
        Map<String, BudgetStatus> failuresOnly = new HashMap<>();
        Map<String, BudgetStatus> drainsCancelled = new HashMap<>();
        if (after.stream().anyMatch(status -> !status.met())) {
            failuresOnly = statuses(failed, Set.of(HostState.values()));
            drainsCancelled = statuses(failed, Set.of(HostState.DRAINING));
        }
        boolean over = false;
        boolean planExceedsBudget = false;
        for (BudgetStatus status : after) {
            double percent = 100.0 * status.absentSlots() / status.allowedSlots();
            mResult.mLargestAbsencePercent = Math.max(mResult.mLargestAbsencePercent, percent);
            over |= !status.met();
            mResult.mOverBudgetServiceMinutes +=
                    status.met() ? 0 : STEP_MILLIS / FleetTimeline.MINUTE_MILLIS;
            recordCause(status, failuresOnly, drainsCancelled);
            int earlierAbsentSlots =
                    absentSlotsBefore.getOrDefault(status.service(), status.absentSlots());
            planExceedsBudget |= !status.met() && status.absentSlots() > earlierAbsentSlots;
        }
        mResult.mStepsOverBudget += over ? 1 : 0;
        mResult.mPlansOverBudget += planExceedsBudget ? 1 : 0;
    }

    private void recordCause(
            BudgetStatus status,
            Map<String, BudgetStatus> failuresOnly,
            Map<String, BudgetStatus> drainsCancelled) {
        if (status.met()) {
            return;
        }
        long minutes = STEP_MILLIS / FleetTimeline.MINUTE_MILLIS;
        if (!failuresOnly.get(status.service()).met()) {
            mResult.mOverByFailuresServiceMinutes += minutes;
        } else if (drainsCancelled.get(status.service()).met()) {
            mResult.mOverByDrainsServiceMinutes += minutes;
        }
    }

    /** Returns the budgets as if the hosts in the given states were in service. */
    private Map<String, BudgetStatus> statuses(Set<String> failed, Set<HostState> inService) {
        EditedSettings edited = new EditedSettings(mFleet.current());
        List<SettingsEdit> edits = new ArrayList<>();
        for (HostSettings host : mFleet.current().hosts().values()) {
            if (!host.state().acceptsWork() && inService.contains(host.state())) {
                edits.add(new SettingsEdit.PutHost(host.withState(HostState.IN_SERVICE)));
            }
        }
        edited.apply(edits);
        Map<String, BudgetStatus> byService = new HashMap<>();
        AvailabilityBudget.of(edited.current(), failed)
                .statuses()
                .forEach(status -> byService.put(status.service(), status));
        return byService;
    }

    private void resumeStopped(long now) {
        if (mFleet.current().policy().wave().status() != WaveStatus.STOPPED) {
            mStoppedAtMillis = -1;
        } else if (mStoppedAtMillis < 0) {
            mStoppedAtMillis = now;
            mResult.mWaveStops++;
        } else if (now - mStoppedAtMillis >= RESUME_AFTER_MILLIS) {
            mFleet.apply(new MaintenancePlanner().resume(mFleet.current()));
        }
    }

    private List<SettingsEdit> batchStep(FleetSettings settings, Set<String> failed, long now) {
        HostLifecycle lifecycle = new HostLifecycle();
        List<SettingsEdit> edits =
                new ArrayList<>(lifecycle.advance(settings, mTimeline.observe(settings, now), now));
        if ((now - mStartMillis) % FleetTimeline.DAY_MILLIS == 0) {
            settings.hosts().values().stream()
                    .filter(host -> host.maintainedAtMillis() < mStartMillis)
                    .filter(host -> host.state() == HostState.IN_SERVICE)
                    .sorted(Comparator.comparing(HostSettings::name))
                    .limit(BATCH_HOSTS)
                    .forEach(host -> edits.addAll(lifecycle.drain(settings, host.name())));
        }
        return edits;
    }

    private static FleetSettings fleet(long nowMillis, boolean steady) {
        Map<String, ZoneSettings> zones = new HashMap<>();
        Map<String, PoolSettings> pools = new HashMap<>();
        Map<String, ServiceSettings> services = new HashMap<>();
        Map<String, HostSettings> hosts = new HashMap<>();
        for (int i = 0; i < ZONES; i++) {
            zones.put("z" + i, new ZoneSettings("z" + i, "r" + i / 2, null, 0));
        }
        for (int i = 0; i < POOLS; i++) {
            String name = "pool-" + i;
            pools.put(name, new PoolSettings(name, false));
            services.put(
                    name,
                    new ServiceSettings(
                            name, name, false, null, MAX_UNAVAILABLE_PERCENT, 0, 0, 0, List.of()));
        }
        for (int i = 0; i < HOSTS; i++) {
            HostSettings host = host(i, nowMillis - ageMillis(i, steady));
            hosts.put(host.name(), host);
        }
        return new FleetSettings(zones, pools, services, Map.of(), hosts, FleetPolicy.DEFAULT);
    }

    /**
     * Returns the time since the last maintenance: for a steady fleet spread evenly over the time
     * before hosts become due, else just due.
     */
    private static long ageMillis(int index, boolean steady) {
        FleetPolicy policy = FleetPolicy.DEFAULT;
        long dueAge = policy.maintenanceIntervalMillis() - policy.maintenanceLeadMillis();
        return steady ? dueAge * (index * DUE_ORDER_STRIDE % HOSTS) / HOSTS : dueAge + index;
    }

    private static HostSettings host(int index, long maintainedAtMillis) {
        int rack = index / HOSTS_PER_RACK;
        return new HostSettings(
                "host-%04d".formatted(index),
                "pool-" + index % POOLS,
                "z" + rack % ZONES,
                "rack-" + rack,
                "127.0.0.1",
                8080,
                8,
                64,
                32,
                131_072,
                0,
                null,
                maintainedAtMillis);
    }
}
