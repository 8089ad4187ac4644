package org.marigoldturn.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.marigoldturn.entry.PendingOutcomes;
import org.marigoldturn.platform.HostDirectory;
import org.marigoldturn.platform.HostPresence;
import org.marigoldturn.platform.HostReport;
import org.marigoldturn.rights.EndedDaemons;
import org.tinylog.Logger;

/**
 * Reads the platform's host list periodically. Belongs to the control thread; the published sets
 * are safe on any thread.
 */
final class HostListService {
    /** Clocks of the platform and of the daemons differ by at most this much. */
    private static final long CLOCK_SKEW_MILLIS = 2_000;

    private final String mSelfId;
    private final HostDirectory mDirectory;
    private final EndedDaemons mEnded;
    private final PendingOutcomes mPending;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private final List<Runnable> mListeners = new ArrayList<>();
    private volatile Map<String, HostReport> mReports = Map.of();
    private volatile Set<String> mLeaving = Set.of();
    private volatile Set<String> mFailed = Set.of();

    HostListService(
            String selfId,
            HostDirectory directory,
            EndedDaemons ended,
            PendingOutcomes pending,
            ControlLoop control,
            LongSupplier nowMillis) {
        mSelfId = selfId;
        mDirectory = directory;
        mEnded = ended;
        mPending = pending;
        mControl = control;
        mNowMillis = nowMillis;
    }

    /**
     * Adds an action for each new list, run on the control thread; to be called before the start.
     */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns whether the host is reported as leaving or ended. */
    boolean isLeaving(String host) {
        return mLeaving.contains(host);
    }

    /** Returns the hosts that are reported as ended. */
    Set<String> failedHosts() {
        return mFailed;
    }

    /** Returns the newest report of each host. */
    Map<String, HostReport> reports() {
        return mReports;
    }

    /** Returns the earliest time on this daemon's clock at which a report can have been made. */
    long earliestMadeAtMillis(HostReport report) {
        return report.reportedAtMillis() - CLOCK_SKEW_MILLIS;
    }

    /** Starts one read of the list. */
    void refresh() {
        long requestedAtMillis = mNowMillis.getAsLong();
        var unused =
                mDirectory
                        .list()
                        .whenCompleteAsync(
                                (reports, failure) -> {
                                    if (failure == null) {
                                        adopt(reports, requestedAtMillis);
                                    } else {
                                        Logger.warn(
                                                "fleet: cannot read the host list: {}.",
                                                failure.getMessage());
                                    }
                                },
                                mControl);
    }

    private void adopt(List<HostReport> reports, long requestedAtMillis) {
        Map<String, HostReport> byHost = new HashMap<>();
        Set<String> leaving = new HashSet<>();
        Set<String> failed = new HashSet<>();
        for (HostReport report : reports) {
            byHost.put(report.host(), report);
            if (report.presence() != HostPresence.LIVE) {
                leaving.add(report.host());
            }
            if (report.presence() == HostPresence.ENDED) {
                failed.add(report.host());
            }
            long madeAtMillis = Math.min(requestedAtMillis, earliestMadeAtMillis(report));
            mEnded.onUsageReport(report.host(), madeAtMillis, report.runningByOwner().keySet());
            if (report.runningOf(mSelfId) == 0) {
                mPending.onUsageReport(report.host(), report.reportedAtMillis(), Set.of());
            }
        }
        mReports = Map.copyOf(byHost);
        mLeaving = Set.copyOf(leaving);
        mFailed = Set.copyOf(failed);
        mListeners.forEach(Runnable::run);
    }
}
