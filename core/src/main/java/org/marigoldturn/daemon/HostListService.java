package org.marigoldturn.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.entry.PendingOutcomes;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.store.HostDirectory;
import org.marigoldturn.store.HostListAnswer;
import org.marigoldturn.store.HostListMirror;
import org.marigoldturn.store.HostListQuery;
import org.marigoldturn.store.HostPresence;
import org.marigoldturn.store.HostUsage;
import org.tinylog.Logger;

/**
 * Reads the changes of the platform's host list periodically, and the usage reports that this
 * daemon needs as evidence. Belongs to the control thread; the published sets are safe on any
 * thread.
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
    private final HostListMirror mMirror = new HostListMirror();
    private final List<Runnable> mListeners = new ArrayList<>();
    private final List<Supplier<Set<String>>> mUsageNeeds = new ArrayList<>();
    private Map<String, Usage> mUsage = Map.of();
    private long mQueries;
    private volatile Set<String> mLeaving = Set.of();
    private volatile Set<String> mFailed = Set.of();

    /**
     * A usage report.
     *
     * @param running requests of all daemons that run on the host
     * @param madeAtMillis earliest time on this daemon's clock at which it can have been made;
     *     never later than its request
     */
    record Usage(int running, long madeAtMillis) {}

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

    /** Adds hosts whose usage reports are needed; asked for before each read. */
    void addUsageNeed(Supplier<Set<String>> hosts) {
        mUsageNeeds.add(hosts);
    }

    /** Returns whether the host is reported as leaving or ended. */
    boolean isLeaving(String host) {
        return mLeaving.contains(host);
    }

    /** Returns the hosts that are reported as ended. */
    Set<String> failedHosts() {
        return mFailed;
    }

    /** Returns the state of each listed host. */
    Map<String, HostPresence> hosts() {
        return mMirror.hosts();
    }

    /** Returns the usage report of a host in the newest answer, if it was needed. */
    Optional<Usage> usage(String host) {
        return Optional.ofNullable(mUsage.get(host));
    }

    /** Starts one read of the list. */
    void refresh() {
        read(true);
    }

    private void read(boolean repeatAfterGap) {
        long requestedAtMillis = mNowMillis.getAsLong();
        long number = mQueries++;
        HostListQuery query = mMirror.query(neededUsage(), requestedAtMillis);
        var unused =
                mDirectory
                        .read(query)
                        .whenCompleteAsync(
                                (answer, failure) -> {
                                    if (failure == null) {
                                        adopt(answer, number, requestedAtMillis, repeatAfterGap);
                                    } else {
                                        Logger.warn(
                                                "fleet: cannot read the host list: {}.",
                                                failure.getMessage());
                                    }
                                },
                                mControl);
    }

    private Set<String> neededUsage() {
        Set<String> needed = new HashSet<>(mPending.hosts());
        needed.addAll(mEnded.unreported(mMirror.hosts().keySet()));
        mUsageNeeds.forEach(hosts -> needed.addAll(hosts.get()));
        return needed;
    }

    private void adopt(
            HostListAnswer answer, long number, long requestedAtMillis, boolean repeatAfterGap) {
        switch (mMirror.apply(answer, number, requestedAtMillis)) {
            case APPLIED -> {
                publish(mMirror.hosts());
                evaluate(answer.usage(), requestedAtMillis);
                mListeners.forEach(Runnable::run);
            }
            case OUTDATED -> Logger.debug("fleet: late answer of the host list ignored.");
            case GAP -> {
                Logger.info(
                        "fleet: host list at revision {} does not follow the held one.",
                        answer.revision());
                if (repeatAfterGap) {
                    read(false);
                }
            }
        }
    }

    private void publish(Map<String, HostPresence> hosts) {
        Set<String> leaving = new HashSet<>();
        Set<String> failed = new HashSet<>();
        hosts.forEach(
                (host, presence) -> {
                    if (presence != HostPresence.LIVE) {
                        leaving.add(host);
                    }
                    if (presence == HostPresence.ENDED) {
                        failed.add(host);
                    }
                });
        mLeaving = Set.copyOf(leaving);
        mFailed = Set.copyOf(failed);
    }

    private void evaluate(List<HostUsage> reports, long requestedAtMillis) {
        Map<String, Usage> usage = new HashMap<>();
        for (HostUsage report : reports) {
            long madeAtMillis =
                    Math.min(requestedAtMillis, report.reportedAtMillis() - CLOCK_SKEW_MILLIS);
            int running = report.runningByOwner().values().stream().mapToInt(n -> n).sum();
            usage.put(report.host(), new Usage(running, madeAtMillis));
            mEnded.onUsageReport(report.host(), madeAtMillis, report.runningByOwner().keySet());
            if (report.runningOf(mSelfId) == 0) {
                mPending.onUsageReport(report.host(), madeAtMillis + CLOCK_SKEW_MILLIS, Set.of());
            }
        }
        mUsage = Map.copyOf(usage);
    }
}
