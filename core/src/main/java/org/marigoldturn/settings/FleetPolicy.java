package org.marigoldturn.settings;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Settings and recorded progress of the fleet planner. Immutable.
 *
 * <p>Progress is part of the versioned state because the planner role moves between daemons, which
 * keep nothing on disk.
 *
 * @param maintenanceIntervalMillis longest time between two maintenances of a host
 * @param maintenanceLeadMillis time before the end of the interval at which a host becomes due; a
 *     sixth of the interval by default, since a longer lead maintains hosts more often
 * @param returnWithinMillis time within which a host taken by a wave must be in service again
 * @param loanAfterMillis time for which the demand of a pool must exceed its capacity before it
 *     borrows hosts, and be within it before it returns them; also the unit of the duration of an
 *     overload in the benefit of a loan
 * @param costWeights weights of the costs that loans are compared by
 * @param wave progress of the current wave
 * @param pendingMoves new pool by host, of hosts that drain before they move to another pool
 * @param loans lending pool by host
 */
public record FleetPolicy(
        long maintenanceIntervalMillis,
        long maintenanceLeadMillis,
        long returnWithinMillis,
        long loanAfterMillis,
        CostWeights costWeights,
        WaveProgress wave,
        Map<String, String> pendingMoves,
        Map<String, String> loans) {
    private static final long DAY_MILLIS = 86_400_000L;
    private static final long DEFAULT_INTERVAL_MILLIS = 42 * DAY_MILLIS;
    private static final long DEFAULT_RETURN_WITHIN_MILLIS = 2 * 3_600_000L;
    private static final long DEFAULT_LOAN_AFTER_MILLIS = 60_000;

    /** The policy of settings that contain none. */
    public static final FleetPolicy DEFAULT = new FleetPolicy(0, 0, 0, 0, null, null, null, null);

    public FleetPolicy {
        maintenanceIntervalMillis = orDefault(maintenanceIntervalMillis, DEFAULT_INTERVAL_MILLIS);
        maintenanceLeadMillis = orDefault(maintenanceLeadMillis, maintenanceIntervalMillis / 6);
        returnWithinMillis = orDefault(returnWithinMillis, DEFAULT_RETURN_WITHIN_MILLIS);
        loanAfterMillis = orDefault(loanAfterMillis, DEFAULT_LOAN_AFTER_MILLIS);
        requirePositive("maintenanceIntervalMillis", maintenanceIntervalMillis);
        requirePositive("maintenanceLeadMillis", maintenanceLeadMillis);
        requirePositive("returnWithinMillis", returnWithinMillis);
        requirePositive("loanAfterMillis", loanAfterMillis);
        if (maintenanceLeadMillis >= maintenanceIntervalMillis) {
            throw new IllegalArgumentException(
                    "maintenanceLeadMillis must be less than maintenanceIntervalMillis, not "
                            + maintenanceLeadMillis);
        }
        costWeights = costWeights == null ? CostWeights.DEFAULT : costWeights;
        wave = wave == null ? WaveProgress.IDLE : wave;
        pendingMoves = sorted(pendingMoves);
        loans = sorted(loans);
    }

    /** Returns a copy with the given wave. */
    public FleetPolicy withWave(WaveProgress next) {
        return withProgress(next, pendingMoves, loans);
    }

    /** Returns a copy with the given moves and loans. */
    public FleetPolicy withMoves(Map<String, String> nextMoves, Map<String, String> nextLoans) {
        return withProgress(wave, nextMoves, nextLoans);
    }

    private FleetPolicy withProgress(
            WaveProgress nextWave, Map<String, String> nextMoves, Map<String, String> nextLoans) {
        return new FleetPolicy(
                maintenanceIntervalMillis,
                maintenanceLeadMillis,
                returnWithinMillis,
                loanAfterMillis,
                costWeights,
                nextWave,
                nextMoves,
                nextLoans);
    }

    private static long orDefault(long value, long defaultValue) {
        return value == 0 ? defaultValue : value;
    }

    private static void requirePositive(String field, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(field + " must be positive, not " + value);
        }
    }

    private static Map<String, String> sorted(Map<String, String> entries) {
        return entries == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(entries));
    }

    /**
     * Weights of the costs of a loan. The benefit is one for each slot of unmet demand that the
     * loan covers, times the duration of the overload in units of {@code loanAfterMillis}.
     *
     * @param buffer cost of each slot taken from the spare pool
     * @param rolloutTime cost of each minute of the expected drain
     * @param moves cost of each host move
     */
    public record CostWeights(double buffer, double rolloutTime, double moves) {
        /**
         * Weights with which a host of 8 slots is lent to cover 5 slots of unmet demand after one
         * {@code loanAfterMillis}, if its drain takes less than 10 minutes.
         */
        public static final CostWeights DEFAULT = new CostWeights(0.25, 0.1, 1.0);

        public CostWeights {
            if (!(buffer >= 0 && rolloutTime >= 0 && moves >= 0)) {
                throw new IllegalArgumentException(
                        "costWeights must not be negative, not "
                                + buffer
                                + ", "
                                + rolloutTime
                                + ", "
                                + moves);
            }
        }
    }

    /** Whether a wave takes further hosts. */
    public enum WaveStatus {
        /** Hosts are taken as they become due; also the status between waves. */
        RUNNING,
        /** An operator has paused the wave. */
        PAUSED,
        /** Too many hosts did not return in time; only an operator resumes the wave. */
        STOPPED
    }

    /**
     * Progress of a wave through one zone.
     *
     * @param zone zone of the wave, empty between waves
     * @param startedHosts number of hosts taken so far
     * @param returnByMillis wall-clock time by which each host of the wave must be back in service,
     *     by host; without hosts that are back or late
     * @param lateHosts hosts of the wave that did not return in time
     * @param reason why the wave is paused or stopped, empty while it runs
     */
    public record WaveProgress(
            WaveStatus status,
            String zone,
            int startedHosts,
            Map<String, Long> returnByMillis,
            List<String> lateHosts,
            String reason) {
        /** No wave in progress; the next one may start. */
        public static final WaveProgress IDLE =
                new WaveProgress(WaveStatus.RUNNING, "", 0, Map.of(), List.of(), "");

        public WaveProgress {
            status = status == null ? WaveStatus.RUNNING : status;
            zone = zone == null ? "" : zone;
            reason = reason == null ? "" : reason;
            lateHosts = lateHosts == null ? List.of() : List.copyOf(lateHosts);
            returnByMillis =
                    returnByMillis == null
                            ? Map.of()
                            : Collections.unmodifiableMap(new TreeMap<>(returnByMillis));
        }

        /** Returns a copy with the given status and reason. */
        public WaveProgress withStatus(WaveStatus next, String nextReason) {
            return new WaveProgress(
                    next, zone, startedHosts, returnByMillis, lateHosts, nextReason);
        }
    }
}
