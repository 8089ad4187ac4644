package org.marigoldturn.daemon;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.admission.TeamDemandSnapshot;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.rights.HostSlots;
import org.marigoldturn.rights.Resources;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.shares.AddressedReport;
import org.marigoldturn.shares.CoordinatorOutput;
import org.marigoldturn.shares.DemandReporter;
import org.marigoldturn.shares.EntitlementTable;
import org.marigoldturn.shares.ResourceDemand;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;
import org.marigoldturn.shares.ShareCoordinator;

/** Reports the demand of this daemon and coordinates its resources. Belongs to the control thread. */
final class ShareService {
    private final RightsLedger mLedger;
    private final EntitlementTable mEntitlements;
    private final ShareCoordinator mCoordinator;
    private final DemandReporter mReporter = new DemandReporter();
    private final PeerLink mPeers;
    private final StatePublisher mPublisher;
    private final Supplier<Map<String, Map<String, TeamDemandSnapshot>>> mDemand;
    private final LongSupplier mNowMillis;

    ShareService(
            RightsLedger ledger,
            EntitlementTable entitlements,
            PeerLink peers,
            StatePublisher publisher,
            Supplier<Map<String, Map<String, TeamDemandSnapshot>>> demand,
            LongSupplier nowMillis) {
        mLedger = ledger;
        mEntitlements = entitlements;
        mCoordinator = new ShareCoordinator(peers.selfId());
        mPeers = peers;
        mPublisher = publisher;
        mDemand = demand;
        mNowMillis = nowMillis;
    }

    void onReport(String sender, DemandReport report) {
        mCoordinator.onReport(sender, report, mNowMillis.getAsLong());
    }

    void onEntitlements(Entitlements entitlements) {
        mEntitlements.onEntitlements(entitlements, mNowMillis.getAsLong());
    }

    /** Sends the demand reports that are due; called every second. */
    void report(Collection<String> answering) {
        long nowMillis = mNowMillis.getAsLong();
        for (AddressedReport report : mReporter.tick(demands(), answering, nowMillis)) {
            mPeers.send(
                    report.receiver(), Envelope.newBuilder().setDemandReport(report.report()));
        }
        mEntitlements.expire(nowMillis);
    }

    /** Sends entitlements and hints; called every second. */
    void coordinate(Collection<String> answering) {
        CoordinatorOutput output =
                mCoordinator.tick(mPublisher.state(), answering, mNowMillis.getAsLong());
        output.entitlements()
                .forEach(
                        e ->
                                mPeers.send(
                                        e.receiver(),
                                        Envelope.newBuilder().setEntitlements(e.entitlements())));
        output.hints()
                .forEach(
                        h ->
                                mPeers.send(
                                        h.receiver(),
                                        Envelope.newBuilder().setTransferHint(h.hint())));
    }

    private Map<String, ResourceDemand> demands() {
        VersionedState state = mPublisher.state();
        Map<String, Map<String, TeamDemandSnapshot>> demand = mDemand.get();
        Map<String, ResourceDemand> demands = new TreeMap<>();
        Map<String, TeamLoad> teamLoads = new HashMap<>();
        for (String pool : state.settings().pools().keySet()) {
            Map<String, TeamLoad> loads = new TreeMap<>();
            demand.getOrDefault(pool, Map.of())
                    .forEach(
                            (team, snapshot) -> {
                                TeamLoad load =
                                        new TeamLoad(snapshot.running(), snapshot.queued());
                                if (load.demand() > 0) {
                                    loads.put(team, load);
                                    teamLoads.merge(team, load, ShareService::sum);
                                }
                            });
            String resource = Resources.pool(pool);
            demands.put(
                    resource,
                    new ResourceDemand(
                            mLedger.held(resource),
                            mLedger.givable(resource),
                            HostSlots.poolSlots(state.settings(), pool),
                            loads));
        }
        for (TeamSettings team : state.settings().teams().values()) {
            String resource = Resources.team(team.name());
            demands.put(
                    resource,
                    ResourceDemand.ofTeam(
                            team.name(),
                            mLedger.held(resource),
                            mLedger.givable(resource),
                            mLedger.free(resource),
                            team.runningLimit(),
                            teamLoads.getOrDefault(team.name(), new TeamLoad(0, 0))));
        }
        return demands;
    }

    private static TeamLoad sum(TeamLoad a, TeamLoad b) {
        return new TeamLoad(a.running() + b.running(), a.queued() + b.queued());
    }
}
