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
import org.marigoldturn.entry.AbandonedAttempts;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.store.HostDirectory;
import org.marigoldturn.store.HostListMirror;
import org.marigoldturn.store.HostListQuery;
import org.marigoldturn.store.HostListResponse;
import org.marigoldturn.store.HostPresence;
import org.marigoldturn.store.HostUsage;
import org.tinylog.Logger;

/**
 * Reads the changes of the platform's host list periodically, and with them the usage reports that
 * prove that requests on a host have ended. Belongs to the control thread; {@link
 * #isLeavingOrEnded} and {@link #endedHosts} are safe on any thread.
 */
final class HostListService {
    /** Largest difference between the clocks of the platform and of the daemons. */
    private static final long CLOCK_SKEW_MILLIS = 2_000;

    private final String mSelfId;
    private final HostDirectory mDirectory;
    private final EndedDaemons mEnded;
    private final AbandonedAttempts mAbandonedAttempts;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private final HostListMirror mMirror = new HostListMirror();
    private final List<Runnable> mListeners = new ArrayList<>();
    private final List<Supplier<Set<String>>> mUsageRequirements = new ArrayList<>();
    private Map<String, Usage> mUsage = Map.of();
    private long mQueryCount;
    private volatile Set<String> mLeavingOrEnded = Set.of();
    private volatile Set<String> mEndedHosts = Set.of();

    /**
     * A usage report.
     *
     * @param running requests of all daemons that run on the host
     * @param madeAtMillis lower bound, on this daemon's clock, of the time at which the report was
     *     made; at most the time of the request
     */
    record Usage(int running, long madeAtMillis) {}

    HostListService(
            String selfId,
            HostDirectory directory,
            EndedDaemons ended,
            AbandonedAttempts abandonedAttempts,
            ControlLoop control,
            LongSupplier nowMillis) {
        mSelfId = selfId;
        mDirectory = directory;
        mEnded = ended;
        mAbandonedAttempts = abandonedAttempts;
        mControl = control;
        mNowMillis = nowMillis;
    }

    /**
     * Adds a listener that is called on the control thread after each update of the list. All
     * listeners must be added before the first read.
     */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    /** Adds a source of hosts whose usage reports are needed; called before each read. */
    void requireUsageOf(Supplier<Set<String>> hosts) {
        mUsageRequirements.add(hosts);
    }

    /** Returns whether the host is reported as leaving or ended. */
    boolean isLeavingOrEnded(String host) {
        return mLeavingOrEnded.contains(host);
    }

    /** Returns the hosts that are reported as ended. */
    Set<String> endedHosts() {
        return mEndedHosts;
    }

    /** Returns the state of each listed host. */
    Map<String, HostPresence> hosts() {
        return mMirror.hosts();
    }

    /** Returns the usage report of a host in the newest response, if there is one. */
    Optional<Usage> usage(String host) {
        return Optional.ofNullable(mUsage.get(host));
    }

    /** Starts a read of the list. */
    void refresh() {
        read(true);
    }

    private void read(boolean repeatAfterGap) {
        long requestedAtMillis = mNowMillis.getAsLong();
        long queryNumber = mQueryCount++;
        HostListQuery query = mMirror.query(neededUsage(), requestedAtMillis);
        var unused =
                mDirectory
                        .read(query)
                        .whenCompleteAsync(
                                (response, failure) -> {
                                    if (failure == null) {
                                        apply(
                                                response,
                                                queryNumber,
                                                requestedAtMillis,
                                                repeatAfterGap);
                                    } else {
                                        Logger.warn(
                                                "fleet: cannot read the host list;"
                                                        + " keeping the previous one: {}.",
                                                failure.getMessage());
                                    }
                                },
                                mControl);
    }

    private Set<String> neededUsage() {
        Set<String> needed = new HashSet<>(mAbandonedAttempts.hosts());
        needed.addAll(mEnded.hostsToReport(mMirror.hosts().keySet()));
        mUsageRequirements.forEach(hosts -> needed.addAll(hosts.get()));
        return needed;
    }

    private void apply(
            HostListResponse response,
            long queryNumber,
            long requestedAtMillis,
            boolean repeatAfterGap) {
        switch (mMirror.apply(response, queryNumber, requestedAtMillis)) {
            case APPLIED -> {
                publish(mMirror.hosts());
                evaluate(response.usage(), requestedAtMillis);
                mListeners.forEach(Runnable::run);
            }
            case OUTDATED -> Logger.debug("fleet: ignored an outdated response of the host list.");
            case GAP -> {
                Logger.info(
                        "fleet: host list at revision {} does not follow the previous one;"
                                + " the next query requests all entries.",
                        response.revision());
                if (repeatAfterGap) {
                    read(false);
                }
            }
        }
    }

    private void publish(Map<String, HostPresence> hosts) {
        Set<String> leavingOrEnded = new HashSet<>();
        Set<String> ended = new HashSet<>();
        hosts.forEach(
                (host, presence) -> {
                    if (presence != HostPresence.LIVE) {
                        leavingOrEnded.add(host);
                    }
                    if (presence == HostPresence.ENDED) {
                        ended.add(host);
                    }
                });
        mLeavingOrEnded = Set.copyOf(leavingOrEnded);
        mEndedHosts = Set.copyOf(ended);
    }

    private void evaluate(List<HostUsage> reports, long requestedAtMillis) {
        Map<String, Usage> usage = new HashMap<>();
        for (HostUsage report : reports) {
            long madeAtMillis =
                    Math.min(requestedAtMillis, report.reportedAtMillis() - CLOCK_SKEW_MILLIS);
            int running = report.runningByOwner().values().stream().mapToInt(n -> n).sum();
            usage.put(report.host(), new Usage(running, madeAtMillis));
            mEnded.onUsageReport(report.host(), madeAtMillis, report.runningByOwner().keySet());
            if (report.runningRequests(mSelfId) == 0) {
                // AbandonedAttempts allows for the clock skew itself.
                mAbandonedAttempts.onUsageReport(
                        report.host(), madeAtMillis + CLOCK_SKEW_MILLIS, Set.of());
            }
        }
        mUsage = Map.copyOf(usage);
    }
}
