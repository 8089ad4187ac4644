package org.marigoldturn.standins.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.rights.AddressedTotals;
import org.marigoldturn.rights.Resources;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.shares.CoordinatorOutput;
import org.marigoldturn.shares.DemandCollector;
import org.marigoldturn.shares.DemandReporter;
import org.marigoldturn.shares.EntitlementTable;
import org.marigoldturn.shares.ResourceDemand;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;
import org.marigoldturn.shares.ShareCoordinator;

/** One daemon of a {@link SimulatedFleet}: real rights and shares, counters in place of queues. */
final class SimulatedDaemon {
    private static final int QUEUE_CAPACITY = 1000;
    private static final int TICK_MILLIS = 1000;
    private static final int SERVE_MILLIS = 50;

    /** A request that has started. */
    record Start(String pool, String team, String host) {}

    /** Work of one team in one pool. */
    private static final class Work {
        private int mQueued;
        private int mRunning;
    }

    /** Sends messages to other daemons. */
    interface Network {
        void send(String receiver, Envelope.Builder message);
    }

    private final String mId;
    private final VersionedState mState;
    private final List<String> mMembers;
    private final Network mNetwork;
    private final boolean mCoordinated;
    private final int mPhaseMillis;
    private final RightsLedger mLedger;
    private final DemandCollector mCollector = new DemandCollector();
    private final DemandReporter mReporter = new DemandReporter();
    private final ShareCoordinator mCoordinator;
    private final EntitlementTable mEntitlements = new EntitlementTable();
    private final Map<String, Map<String, Work>> mPools = new TreeMap<>();
    private final Map<String, List<String>> mHosts = new TreeMap<>();
    private boolean mStarvedReport;

    SimulatedDaemon(
            String id,
            VersionedState state,
            boolean coordinated,
            int phaseMillis,
            Network network) {
        mId = id;
        mState = state;
        mMembers = state.members().members().stream().map(m -> m.id()).toList();
        mNetwork = network;
        mCoordinated = coordinated;
        mPhaseMillis = phaseMillis;
        mLedger = new RightsLedger(id);
        mLedger.adopt(state);
        mCoordinator = new ShareCoordinator(id);
        state.settings().pools().keySet().forEach(pool -> mPools.put(pool, new TreeMap<>()));
        state.settings()
                .hosts()
                .values()
                .forEach(
                        h ->
                                mHosts.computeIfAbsent(h.pool(), p -> new ArrayList<>())
                                        .add(h.name()));
    }

    void arrive(String pool, String team, int requests) {
        Work work = mPools.get(pool).computeIfAbsent(team, name -> new Work());
        work.mQueued = Math.min(QUEUE_CAPACITY, work.mQueued + requests);
    }

    int running(String pool, String team) {
        Work work = mPools.get(pool).get(team);
        return work == null ? 0 : work.mRunning;
    }

    int demand(String pool, String team) {
        Work work = mPools.get(pool).get(team);
        return work == null ? 0 : work.mRunning + work.mQueued;
    }

    void end(Start start) {
        mPools.get(start.pool()).get(start.team()).mRunning--;
        mLedger.release(Resources.team(start.team()));
        mLedger.release(Resources.host(start.host()));
    }

    /** Starts all requests that may start now. */
    List<Start> dispatch() {
        List<Start> starts = new ArrayList<>();
        mPools.forEach(
                (pool, teams) -> {
                    Optional<Start> start = startOne(pool, teams);
                    while (start.isPresent()) {
                        starts.add(start.get());
                        start = startOne(pool, teams);
                    }
                });
        return starts;
    }

    void tick(long nowMillis) {
        if (!mCoordinated) {
            return;
        }
        if (nowMillis % SERVE_MILLIS == 0) {
            sendTotals(mLedger.serveReservations(nowMillis));
            serveStarved(nowMillis);
        }
        long phase = (nowMillis + mPhaseMillis) % TICK_MILLIS;
        if (phase == 0) {
            sendTotals(mLedger.unacknowledged(nowMillis));
            mLedger.acknowledgements()
                    .forEach(
                            a ->
                                    mNetwork.send(
                                            a.receiver(),
                                            Envelope.newBuilder().setRightsAck(a.totals())));
            report(nowMillis);
            sendDecisions(mCoordinator.tick(mState, mMembers, nowMillis));
        }
    }

    private void serveStarved(long nowMillis) {
        if (isStarved()) {
            report(nowMillis);
        }
        if (mStarvedReport) {
            mStarvedReport = false;
            sendDecisions(mCoordinator.tick(mState, mMembers, nowMillis));
        }
    }

    private boolean isStarved() {
        return mPools.entrySet().stream()
                .anyMatch(
                        pool ->
                                pool.getValue().entrySet().stream()
                                        .anyMatch(
                                                team ->
                                                        team.getValue().mQueued > 0
                                                                && lacksRights(
                                                                        pool.getKey(),
                                                                        team.getKey())));
    }

    private boolean lacksRights(String pool, String team) {
        return mLedger.held(Resources.pool(pool)) == 0 || mLedger.held(Resources.team(team)) == 0;
    }

    private void report(long nowMillis) {
        mReporter
                .tick(demands(nowMillis), mMembers, nowMillis)
                .forEach(
                        r ->
                                mNetwork.send(
                                        r.receiver(),
                                        Envelope.newBuilder().setDemandReport(r.report())));
    }

    void onMessage(String sender, Envelope message, long nowMillis) {
        switch (message.getBodyCase()) {
            case DEMAND_REPORT -> onReport(sender, message.getDemandReport(), nowMillis);
            case ENTITLEMENTS -> mEntitlements.onEntitlements(message.getEntitlements(), nowMillis);
            case TRANSFER_HINT -> sendTotals(mLedger.onHint(message.getTransferHint(), nowMillis));
            case RIGHTS_ACK -> mLedger.onAck(sender, message.getRightsAck());
            case RIGHTS_TOTALS -> mLedger.onTotals(sender, message.getRightsTotals());
            default -> throw new IllegalArgumentException("unexpected " + message.getBodyCase());
        }
    }

    private void onReport(String sender, DemandReport report, long nowMillis) {
        mCoordinator.onReport(sender, report, nowMillis);
        mStarvedReport |=
                report.getHeld() == 0
                        && report.getTeamsList().stream().anyMatch(team -> team.getQueued() > 0);
    }

    private Optional<Start> startOne(String pool, Map<String, Work> teams) {
        Optional<String> team =
                teams.keySet().stream()
                        .filter(t -> teams.get(t).mQueued > 0)
                        .filter(t -> mLedger.free(Resources.team(t)) > 0)
                        .min(Comparator.comparingDouble(t -> load(pool, t, teams.get(t))));
        if (team.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> host =
                mHosts.get(pool).stream()
                        .filter(h -> mLedger.tryAcquire(Resources.host(h)))
                        .findFirst();
        if (host.isEmpty()) {
            return Optional.empty();
        }
        mLedger.tryAcquire(Resources.team(team.get()));
        Work work = teams.get(team.get());
        work.mQueued--;
        work.mRunning++;
        return Optional.of(new Start(pool, team.get(), host.get()));
    }

    private double load(String pool, String team, Work work) {
        OptionalInt entitlement = mEntitlements.entitlement(pool, team);
        TeamSettings settings = mState.settings().teams().get(team);
        return (work.mRunning + 0.5) / entitlement.orElse(settings.shareWeight());
    }

    private Map<String, ResourceDemand> demands(long nowMillis) {
        Map<String, Map<String, TeamLoad>> loads = new TreeMap<>();
        mPools.forEach(
                (pool, teams) -> {
                    Map<String, TeamLoad> active = new TreeMap<>();
                    teams.forEach(
                            (team, work) -> {
                                if (work.mRunning + work.mQueued > 0) {
                                    active.put(team, new TeamLoad(work.mRunning, work.mQueued));
                                }
                            });
                    loads.put(pool, active);
                });
        return mCollector.collect(mState, mLedger, loads, nowMillis);
    }

    private void sendDecisions(CoordinatorOutput output) {
        output.entitlements()
                .forEach(
                        e ->
                                mNetwork.send(
                                        e.receiver(),
                                        Envelope.newBuilder().setEntitlements(e.entitlements())));
        output.hints()
                .forEach(
                        h ->
                                mNetwork.send(
                                        h.receiver(),
                                        Envelope.newBuilder().setTransferHint(h.hint())));
    }

    private void sendTotals(List<AddressedTotals> messages) {
        messages.forEach(
                m ->
                        mNetwork.send(
                                m.receiver(), Envelope.newBuilder().setRightsTotals(m.totals())));
    }

    String id() {
        return mId;
    }
}
