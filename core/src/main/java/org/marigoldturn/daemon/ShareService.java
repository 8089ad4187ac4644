package org.marigoldturn.daemon;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.admission.TeamRequestCounts;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.shares.AddressedReport;
import org.marigoldturn.shares.CoordinatorOutput;
import org.marigoldturn.shares.DemandCollector;
import org.marigoldturn.shares.DemandReporter;
import org.marigoldturn.shares.EntitlementTable;
import org.marigoldturn.shares.ResourceDemand;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;
import org.marigoldturn.shares.ShareCoordinator;

/**
 * Reports the demand of this daemon to the coordinators of pools and teams, and acts as the
 * coordinator of those that are assigned to this daemon. Belongs to the control thread.
 */
final class ShareService {
    private final RightsLedger mLedger;
    private final EntitlementTable mEntitlements;
    private final ShareCoordinator mCoordinator;
    private final DemandCollector mCollector = new DemandCollector();
    private final DemandReporter mReporter = new DemandReporter();
    private final PeerLink mPeers;
    private final StatePublisher mPublisher;
    private final Supplier<Map<String, Map<String, TeamRequestCounts>>> mDemand;
    private final LongSupplier mNowMillis;
    private final SlotReassignment mSlotReassignment;
    private final Runnable mOnStarved;
    private boolean mStarvedReport;

    ShareService(
            RightsLedger ledger,
            EntitlementTable entitlements,
            PeerLink peers,
            StatePublisher publisher,
            Supplier<Map<String, Map<String, TeamRequestCounts>>> demand,
            LongSupplier nowMillis,
            SlotReassignment slotReassignment,
            Runnable onStarved) {
        mLedger = ledger;
        mEntitlements = entitlements;
        mCoordinator = new ShareCoordinator(peers.selfId());
        mPeers = peers;
        mPublisher = publisher;
        mDemand = demand;
        mNowMillis = nowMillis;
        mSlotReassignment = slotReassignment;
        mOnStarved = onStarved;
    }

    void onReport(String sender, DemandReport report) {
        mCoordinator.onReport(sender, report, mNowMillis.getAsLong());
        if (report.getHeld() == 0 && hasQueued(report)) {
            mStarvedReport = true;
            mOnStarved.run();
        }
    }

    /**
     * Returns whether a daemon without rights to a resource has reported queued requests, and its
     * report is not yet handled.
     */
    boolean hasStarvedReport() {
        return mStarvedReport;
    }

    void onEntitlements(Entitlements entitlements) {
        mEntitlements.onEntitlements(entitlements, mNowMillis.getAsLong());
    }

    /**
     * Reports and coordinates without waiting for the usual interval if a daemon is starved: it has
     * queued requests but holds no right to the pool or of the team. Called every 50 ms while
     * requests are queued at this daemon or at a starved one. In a pool with fewer slots than
     * daemons this is the usual case.
     *
     * @param hasQueued whether this daemon has queued requests
     */
    void serveStarved(boolean hasQueued, Supplier<? extends Collection<String>> responsiveMembers) {
        if (hasQueued && isStarved()) {
            report(responsiveMembers.get());
        }
        if (mStarvedReport) {
            mStarvedReport = false;
            coordinate(responsiveMembers.get());
        }
    }

    /** Sends the demand reports that are due and expires old entitlements; called every second. */
    void report(Collection<String> responsiveMembers) {
        long nowMillis = mNowMillis.getAsLong();
        for (AddressedReport report :
                mReporter.tick(demands(nowMillis), responsiveMembers, nowMillis)) {
            mPeers.send(report.receiver(), Envelope.newBuilder().setDemandReport(report.report()));
        }
        mEntitlements.expire(nowMillis);
    }

    /**
     * Sends entitlements and transfer hints, and reassigns the slots of pools whose rights are
     * lost; called every second.
     */
    void coordinate(Collection<String> responsiveMembers) {
        CoordinatorOutput output =
                mCoordinator.tick(mPublisher.state(), responsiveMembers, mNowMillis.getAsLong());
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
        mSlotReassignment.reassign(output.poolsToReassign(), responsiveMembers);
    }

    private Map<String, ResourceDemand> demands(long nowMillis) {
        Map<String, Map<String, TeamLoad>> loads = new TreeMap<>();
        mDemand.get()
                .forEach(
                        (pool, teams) -> {
                            Map<String, TeamLoad> active = new TreeMap<>();
                            teams.forEach(
                                    (team, load) -> {
                                        if (load.running() + load.queued() > 0) {
                                            active.put(
                                                    team,
                                                    new TeamLoad(load.running(), load.queued()));
                                        }
                                    });
                            loads.put(pool, active);
                        });
        return mCollector.collect(mPublisher.state(), mLedger, loads, nowMillis);
    }

    private boolean isStarved() {
        for (Map.Entry<String, Map<String, TeamRequestCounts>> pool : mDemand.get().entrySet()) {
            for (Map.Entry<String, TeamRequestCounts> team : pool.getValue().entrySet()) {
                boolean starved =
                        team.getValue().queued() > 0
                                && (mLedger.held(ResourceNames.pool(pool.getKey())) == 0
                                        || mLedger.held(ResourceNames.team(team.getKey())) == 0);
                if (starved) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean hasQueued(DemandReport report) {
        return report.getTeamsList().stream().anyMatch(team -> team.getQueued() > 0);
    }
}
