package org.marigoldturn.standins.measure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.marigoldturn.fleet.DrainEvidence;
import org.marigoldturn.fleet.HostObservation;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;

/**
 * Simulates drains, maintenance, failures and restarts of the hosts of a fleet in virtual time.
 *
 * <p>The same seed gives the same failures with every planner.
 */
final class FleetTimeline {
    static final long MINUTE_MILLIS = 60_000;
    static final long DAY_MILLIS = 1_440 * MINUTE_MILLIS;

    private static final double FAILURES_PER_DAY = 9;
    private static final double RESTARTS_PER_DAY = 150;
    private static final long REPAIR_MILLIS = 240 * MINUTE_MILLIS;
    private static final long RESTART_MILLIS = 5 * MINUTE_MILLIS;
    private static final long MAX_DRAIN_MILLIS = 15 * MINUTE_MILLIS;
    private static final long MAINTENANCE_MILLIS = 30 * MINUTE_MILLIS;

    private final List<String> mNames;
    private final Random mFailures;
    private final Random mDrains;
    private final Map<String, Long> mFailedUntil = new HashMap<>();
    private final Map<String, HostState> mStates = new HashMap<>();
    private final Map<String, Long> mStateEndMillis = new HashMap<>();

    FleetTimeline(FleetSettings settings, long seed) {
        mNames = List.copyOf(settings.hosts().keySet());
        mFailures = new Random(seed);
        mDrains = new Random(seed + 1);
    }

    /** Draws the failures and restarts of one step at random. */
    void step(long nowMillis, long stepMillis) {
        mFailedUntil.values().removeIf(until -> until <= nowMillis);
        double days = (double) stepMillis / DAY_MILLIS;
        fail(FAILURES_PER_DAY * days, nowMillis + REPAIR_MILLIS);
        fail(RESTARTS_PER_DAY * days, nowMillis + RESTART_MILLIS);
    }

    Set<String> failedHosts() {
        return new HashSet<>(mFailedUntil.keySet());
    }

    /**
     * Returns observations of the hosts out of service whose current state has lasted long enough.
     */
    Map<String, HostObservation> observe(FleetSettings settings, long nowMillis) {
        Map<String, HostObservation> observations = new HashMap<>();
        for (HostSettings host : settings.hosts().values()) {
            if (host.state() == HostState.IN_SERVICE) {
                mStates.remove(host.name());
                continue;
            }
            if (mStates.put(host.name(), host.state()) != host.state()) {
                mStateEndMillis.put(host.name(), nowMillis + durationMillis(host.state()));
            }
            boolean failed = mFailedUntil.containsKey(host.name());
            if (!failed && mStateEndMillis.get(host.name()) <= nowMillis) {
                observations.put(host.name(), drainedAndMaintained());
            }
        }
        return observations;
    }

    private void fail(double expected, long untilMillis) {
        int count = (int) expected + (mFailures.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            String host = mNames.get(mFailures.nextInt(mNames.size()));
            mFailedUntil.merge(host, untilMillis, Math::max);
        }
    }

    private long durationMillis(HostState state) {
        return switch (state) {
            case DRAINING -> (long) (mDrains.nextDouble() * MAX_DRAIN_MILLIS);
            case MAINTENANCE -> MAINTENANCE_MILLIS;
            case RETURNING, IN_SERVICE -> 0;
        };
    }

    private static HostObservation drainedAndMaintained() {
        DrainEvidence drained = new DrainEvidence(0, Set.of(), Map.of(), null, true);
        return new HostObservation(drained, true, true);
    }
}
