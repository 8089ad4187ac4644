package org.marigoldturn.standins.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marigoldturn.admission.PoolQueue;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.admission.TeamAdmissionRules;
import org.marigoldturn.admission.TeamRequestCounts;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.rights.AddressedTotals;
import org.marigoldturn.rights.ResourceNames;
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

/**
 * One daemon of a {@link SimulatedFleet}, which uses the rights, shares and queues of the entry
 * daemon.
 */
final class SimulatedDaemon {
    private static final int QUEUE_CAPACITY = 1000;
    private static final int REPORT_INTERVAL_MILLIS = 1000;
    private static final int FAST_INTERVAL_MILLIS = 50;
    private static final TeamRequestCounts NO_DEMAND = new TeamRequestCounts(0, 0);

    /** Requests of the simulation have no deadline. */
    private static final long NO_DEADLINE_NANOS = Long.MAX_VALUE / 2;

    /** A request that has started; its attachment is the time of its arrival. */
    record Start(String pool, QueuedRequest<Long> request, String host) {}

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
    private final Map<String, PoolQueue<Long>> mPools = new TreeMap<>();
    private final Map<String, List<String>> mHosts = new TreeMap<>();
    private boolean mReceivedStarvedReport;
    private int mReassignments;

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
        for (String pool : state.settings().pools().keySet()) {
            mPools.put(pool, new PoolQueue<>(pool, mLedger, mEntitlements));
        }
        state.settings()
                .hosts()
                .values()
                .forEach(
                        h ->
                                mHosts.computeIfAbsent(h.pool(), p -> new ArrayList<>())
                                        .add(h.name()));
    }

    /** Queues a request unless the queue of its team is full. */
    void arrive(String pool, String team, boolean urgent, long nowMillis) {
        TeamSettings settings = mState.settings().teams().get(team);
        TeamAdmissionRules rules = new TeamAdmissionRules(team, settings.shareWeight(), true);
        var unused =
                mPools.get(pool)
                        .offer(
                                new QueuedRequest<>(
                                        rules,
                                        urgent,
                                        false,
                                        ResourceNeeds.NONE,
                                        NO_DEADLINE_NANOS,
                                        nowMillis),
                                QUEUE_CAPACITY,
                                0);
    }

    int running(String pool, String team) {
        return demand(pool).getOrDefault(team, NO_DEMAND).running();
    }

    int demand(String pool, String team) {
        TeamRequestCounts demand = demand(pool).getOrDefault(team, NO_DEMAND);
        return demand.running() + demand.queued();
    }

    private Map<String, TeamRequestCounts> demand(String pool) {
        return mPools.get(pool).demand();
    }

    void end(Start start) {
        mPools.get(start.pool()).onEnded(start.request());
        mLedger.release(ResourceNames.host(start.host()));
    }

    /** Starts all requests that can start now. */
    List<Start> dispatch() {
        List<Start> starts = new ArrayList<>();
        mPools.forEach(
                (pool, queue) -> {
                    Optional<Start> start = startOne(pool, queue);
                    while (start.isPresent()) {
                        starts.add(start.get());
                        start = startOne(pool, queue);
                    }
                });
        return starts;
    }

    void tick(long nowMillis) {
        if (!mCoordinated) {
            return;
        }
        if (nowMillis % FAST_INTERVAL_MILLIS == 0) {
            sendTotals(mLedger.transferReserved(nowMillis));
            serveStarved(nowMillis);
        }
        long phase = (nowMillis + mPhaseMillis) % REPORT_INTERVAL_MILLIS;
        if (phase == 0) {
            sendTotals(mLedger.totalsToResend(nowMillis));
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
        if (mReceivedStarvedReport) {
            mReceivedStarvedReport = false;
            sendDecisions(mCoordinator.tick(mState, mMembers, nowMillis));
        }
    }

    private boolean isStarved() {
        for (Map.Entry<String, PoolQueue<Long>> pool : mPools.entrySet()) {
            boolean starved =
                    pool.getValue().queued() > 0
                            && pool.getValue().demand().entrySet().stream()
                                    .filter(team -> team.getValue().queued() > 0)
                                    .anyMatch(team -> lacksRights(pool.getKey(), team.getKey()));
            if (starved) {
                return true;
            }
        }
        return false;
    }

    private boolean lacksRights(String pool, String team) {
        return mLedger.held(ResourceNames.pool(pool)) == 0
                || mLedger.held(ResourceNames.team(team)) == 0;
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
        mReceivedStarvedReport |=
                report.getHeld() == 0
                        && report.getTeamsList().stream().anyMatch(team -> team.getQueued() > 0);
    }

    private Optional<Start> startOne(String pool, PoolQueue<Long> queue) {
        if (queue.queued() == 0) {
            return Optional.empty();
        }
        Optional<String> host =
                mHosts.get(pool).stream()
                        .filter(h -> mLedger.tryAcquire(ResourceNames.host(h)))
                        .findFirst();
        if (host.isEmpty()) {
            return Optional.empty();
        }
        Optional<QueuedRequest<Long>> next =
                queue.next(mLedger.allowance(ResourceNames.pool(pool)), request -> true);
        if (next.isEmpty()) {
            mLedger.release(ResourceNames.host(host.get()));
            return Optional.empty();
        }
        queue.start(next.get());
        return Optional.of(new Start(pool, next.get(), host.get()));
    }

    private Map<String, ResourceDemand> demands(long nowMillis) {
        Map<String, Map<String, TeamLoad>> loads = new TreeMap<>();
        mPools.forEach(
                (pool, queue) -> {
                    Map<String, TeamLoad> active = new TreeMap<>();
                    queue.demand()
                            .forEach(
                                    (team, work) ->
                                            active.put(
                                                    team,
                                                    new TeamLoad(work.running(), work.queued())));
                    active.values().removeIf(load -> load.demand() == 0);
                    loads.put(pool, active);
                });
        return mCollector.collect(mState, mLedger, loads, nowMillis);
    }

    /** Returns how often this daemon asked for a reassignment of the slots of a pool. */
    int reassignments() {
        return mReassignments;
    }

    private void sendDecisions(CoordinatorOutput output) {
        mReassignments += output.poolsToReassign().size();
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
