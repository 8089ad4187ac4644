package org.marigoldturn.standins.measure;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Measures a six-week maintenance round at 1,700 hosts in virtual time: {@code planned} with all
 * hosts due at the start, {@code steady} with hosts becoming due one after the other, and {@code
 * batches} as baseline with fixed daily batches and the same failures.
 */
public final class MaintenanceMeasurement {
    private static final double DAY_MILLIS = FleetTimeline.DAY_MILLIS;

    private MaintenanceMeasurement() {}

    /**
     * Runs the measurement and prints {@code name value unit} lines.
     *
     * @param seed seed of failures and drain times
     */
    public static void run(long seed, PrintStream out) {
        print(out, "maintenance.planned", MaintenanceRound.planned(seed, false));
        print(out, "maintenance.steady", MaintenanceRound.planned(seed, true));
        print(out, "maintenance.batches", MaintenanceRound.fixedBatches(seed));
    }

    private static void print(PrintStream out, String prefix, MaintenanceRound.Result result) {
        line(out, prefix, "hosts", result.mMaintained, "hosts");
        line(out, prefix, "rollout", result.mRoundMillis / DAY_MILLIS, "days");
        line(out, prefix, "moves", result.mDrainedHosts, "hosts");
        line(out, prefix, "buffer-peak", result.mPeakPlannedSlots, "slots");
        line(out, prefix, "buffer-total", result.mPlannedSlotHours, "slot-hours");
        line(out, prefix, "largest-absence", result.mLargestAbsencePercent, "percent-of-budget");
        line(
                out,
                prefix,
                "over-budget",
                (double) result.mOverBudgetServiceMinutes,
                "service-minutes");
        line(
                out,
                prefix,
                "over-budget-by-failures-alone",
                (double) result.mOverByFailuresServiceMinutes,
                "service-minutes");
        line(
                out,
                prefix,
                "over-budget-by-drains",
                (double) result.mOverByDrainsServiceMinutes,
                "service-minutes");
        line(out, prefix, "plans-over-budget", (double) result.mPlansOverBudget, "steps");
        line(out, prefix, "wave-stops", result.mWaveStops, "stops");
        line(
                out,
                prefix,
                "oldest-maintenance",
                result.mLongestSinceMaintenanceMillis / DAY_MILLIS,
                "days");
    }

    private static void line(
            PrintStream out, String prefix, String name, double value, String unit) {
        out.printf(Locale.ROOT, "%s.%s %.2f %s%n", prefix, name, value, unit);
    }
}
