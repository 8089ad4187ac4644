package org.marigoldturn.daemon;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.entry.CallerService;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.HealthReport;
import org.marigoldturn.peer.wire.HealthReportEntry;
import org.marigoldturn.routing.EjectionReports;
import org.marigoldturn.routing.HealthReporter;
import org.marigoldturn.routing.HostHealthReport;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.Member;

/**
 * Exchanges health reports about hosts with the other daemons and applies them. Belongs to the
 * control thread; {@link #failedHosts} is safe on any thread.
 */
final class HealthService {
    private final PeerLink mPeers;
    private final StatePublisher mPublisher;
    private final CallerService mCallers;
    private final Supplier<Set<String>> mEndedHosts;
    private final LongSupplier mNowMillis;
    private final EjectionReports mReports = new EjectionReports();
    private final HealthReporter mReporter = new HealthReporter();
    private volatile Set<String> mUnavailable = Set.of();

    /**
     * Creates the service.
     *
     * @param endedHosts hosts that the host list reports as ended
     */
    HealthService(
            PeerLink peers,
            StatePublisher publisher,
            CallerService callers,
            Supplier<Set<String>> endedHosts,
            LongSupplier nowMillis) {
        mPeers = peers;
        mPublisher = publisher;
        mCallers = callers;
        mEndedHosts = endedHosts;
        mNowMillis = nowMillis;
    }

    /**
     * Returns the hosts that have ended, or that a majority of the daemons that use them has
     * ejected.
     */
    Set<String> failedHosts() {
        Set<String> failed = new HashSet<>(mEndedHosts.get());
        failed.addAll(mUnavailable);
        return failed;
    }

    void onReport(String sender, HealthReport message) {
        for (HealthReportEntry entry : message.getHostsList()) {
            // The unsigned count of a faulty sender may be read as a negative number.
            int requests = Math.max(0, entry.getRequests());
            mReports.onReport(
                    sender,
                    new HostHealthReport(entry.getHost(), entry.getEjected(), requests),
                    mNowMillis.getAsLong());
        }
    }

    /** Sends the reports that are due and applies those of other daemons; called every second. */
    void tick() {
        long nowMillis = mNowMillis.getAsLong();
        Map<String, HostSettings> hosts = mPublisher.state().settings().hosts();
        List<String> others =
                mPublisher.state().members().members().stream()
                        .map(Member::id)
                        .filter(id -> !id.equals(mPeers.selfId()))
                        .toList();
        mReports.retain(others, hosts.keySet(), nowMillis);
        Set<String> ejected = new TreeSet<>(mCallers.ejectedHosts());
        ejected.addAll(mReports.ejectedByAny(nowMillis));
        ejected.retainAll(hosts.keySet());
        send(mReporter.due(ejected, this::ownReport, nowMillis), others);
        List<HostHealthReport> ownReports = new ArrayList<>();
        ejected.forEach(host -> ownReports.add(ownReport(host)));
        mUnavailable = Set.copyOf(mReports.ejectedByMajority(ownReports, nowMillis));
        mCallers.setSuspects(mReports.suspects(host -> ownReport(host).requests(), nowMillis));
    }

    private void send(List<HostHealthReport> due, List<String> receivers) {
        if (due.isEmpty()) {
            return;
        }
        HealthReport.Builder message = HealthReport.newBuilder();
        for (HostHealthReport report : due) {
            message.addHosts(
                    HealthReportEntry.newBuilder()
                            .setHost(report.host())
                            .setEjected(report.ejected())
                            .setRequests(report.requests()));
        }
        for (String receiver : receivers) {
            mPeers.send(receiver, Envelope.newBuilder().setHealthReport(message));
        }
    }

    private HostHealthReport ownReport(String host) {
        HostSettings settings = mPublisher.state().settings().hosts().get(host);
        return settings == null
                ? new HostHealthReport(host, false, 0)
                : mCallers.healthReport(settings.pool(), host);
    }
}
