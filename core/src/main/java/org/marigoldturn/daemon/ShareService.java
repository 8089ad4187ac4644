package org.marigoldturn.daemon;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.admission.TeamDemandSnapshot;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.rights.Resources;
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
 * Reports the demand of this daemon and coordinates its resources. Belongs to the control thread.
 */
final class ShareService {
    private final RightsLedger mLedger;
    private final EntitlementTable mEntitlements;
    private final ShareCoordinator mCoordinator;
    private final DemandCollector mCollector = new DemandCollector();
    private final DemandReporter mReporter = new DemandReporter();
    private final PeerLink mPeers;
    private final StatePublisher mPublisher;
    private final Supplier<Map<String, Map<String, TeamDemandSnapshot>>> mDemand;
    private final LongSupplier mNowMillis;
    private final SlotRenewal mSlotRenewal;
    private final Runnable mOnStarved;
    private boolean mStarvedReport;

    ShareService(
            RightsLedger ledger,
            EntitlementTable entitlements,
            PeerLink peers,
            StatePublisher publisher,
            Supplier<Map<String, Map<String, TeamDemandSnapshot>>> demand,
            LongSupplier nowMillis,
            SlotRenewal slotRenewal,
            Runnable onStarved) {
        mLedger = ledger;
        mEntitlements = entitlements;
        mCoordinator = new ShareCoordinator(peers.selfId());
        mPeers = peers;
        mPublisher = publisher;
        mDemand = demand;
        mNowMillis = nowMillis;
        mSlotRenewal = slotRenewal;
        mOnStarved = onStarved;
    }

    void onReport(String sender, DemandReport report) {
        mCoordinator.onReport(sender, report, mNowMillis.getAsLong());
        if (report.getHeld() == 0 && hasQueued(report)) {
            mStarvedReport = true;
            mOnStarved.run();
        }
    }

    /** Returns whether a daemon without any right waits for an answer. */
    boolean hasStarvedReport() {
        return mStarvedReport;
    }

    void onEntitlements(Entitlements entitlements) {
        mEntitlements.onEntitlements(entitlements, mNowMillis.getAsLong());
    }

    /**
     * Serves daemons that hold no right at all for queued work, without waiting for the interval;
     * called every 50 ms while work is queued here or there. A small pool has fewer slots than
     * there are daemons, so this is the usual case there.
     *
     * @param hasQueued whether this daemon has queued work
     */
    void serveStarved(boolean hasQueued, Supplier<? extends Collection<String>> answering) {
        if (hasQueued && isStarved()) {
            report(answering.get());
        }
        if (mStarvedReport) {
            mStarvedReport = false;
            coordinate(answering.get());
        }
    }

    /** Sends the demand reports that are due; called every second. */
    void report(Collection<String> answering) {
        long nowMillis = mNowMillis.getAsLong();
        for (AddressedReport report : mReporter.tick(demands(nowMillis), answering, nowMillis)) {
            mPeers.send(report.receiver(), Envelope.newBuilder().setDemandReport(report.report()));
        }
        mEntitlements.expire(nowMillis);
    }

    /** Sends entitlements and hints, and has lost slots divided anew; called every second. */
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
        mSlotRenewal.renew(output.lostPools(), answering);
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
        for (Map.Entry<String, Map<String, TeamDemandSnapshot>> pool : mDemand.get().entrySet()) {
            for (Map.Entry<String, TeamDemandSnapshot> team : pool.getValue().entrySet()) {
                boolean starved =
                        team.getValue().queued() > 0
                                && (mLedger.held(Resources.pool(pool.getKey())) == 0
                                        || mLedger.held(Resources.team(team.getKey())) == 0);
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
