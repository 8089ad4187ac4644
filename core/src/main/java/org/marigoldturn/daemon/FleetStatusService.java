package org.marigoldturn.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.marigoldturn.admission.TeamRequestCounts;
import org.marigoldturn.operator.FleetStatus;
import org.marigoldturn.operator.FleetStatus.DaemonStatus;
import org.marigoldturn.operator.FleetStatus.TeamStatus;
import org.marigoldturn.operator.FleetStatusBuilder;
import org.marigoldturn.operator.StatusSource;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Load;
import org.marigoldturn.peer.wire.StatusReply;
import org.marigoldturn.peer.wire.StatusRequest;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;

/**
 * Reports the load of this daemon, and collects the loads of all daemons for operators and the
 * planner.
 *
 * <p>Thread safe. Each collection calls every member once.
 */
final class FleetStatusService implements StatusSource {
    private final PeerLink mPeers;
    private final StatePublisher mPublisher;
    private final RightsLedger mLedger;
    private final Supplier<Map<String, Map<String, TeamRequestCounts>>> mDemand;
    private final Supplier<Set<String>> mFailedHosts;
    private final BooleanSupplier mServing;
    private final BooleanSupplier mReachesStore;

    FleetStatusService(
            PeerLink peers,
            StatePublisher publisher,
            RightsLedger ledger,
            Supplier<Map<String, Map<String, TeamRequestCounts>>> demand,
            Supplier<Set<String>> failedHosts,
            BooleanSupplier serving,
            BooleanSupplier reachesStore) {
        mPeers = peers;
        mPublisher = publisher;
        mLedger = ledger;
        mDemand = demand;
        mFailedHosts = failedHosts;
        mServing = serving;
        mReachesStore = reachesStore;
    }

    /**
     * Returns the load of this daemon by pool and team, and the numbers of its requests on the
     * hosts that the request names; called on the control thread.
     */
    Envelope.Builder reply(StatusRequest request) {
        StatusReply.Builder reply =
                StatusReply.newBuilder()
                        .setVersion(mPublisher.state().version())
                        .setReachesStore(mReachesStore.getAsBoolean());
        Map<String, TeamRequestCounts> teams = new TreeMap<>();
        mDemand.get()
                .forEach(
                        (pool, loads) -> {
                            TeamRequestCounts total = new TeamRequestCounts(0, 0);
                            for (Map.Entry<String, TeamRequestCounts> load : loads.entrySet()) {
                                total = sum(total, load.getValue());
                                teams.merge(
                                        load.getKey(), load.getValue(), FleetStatusService::sum);
                            }
                            if (!isZero(total)) {
                                reply.putPools(pool, load(total));
                            }
                        });
        teams.forEach(
                (team, total) -> {
                    if (!isZero(total)) {
                        reply.putTeams(team, load(total));
                    }
                });
        for (String host : request.getHostsList()) {
            reply.putHosts(host, mLedger.running(ResourceNames.host(host)));
        }
        return Envelope.newBuilder().setStatusReply(reply);
    }

    /**
     * Requests the loads of all members and of this daemon; members that do not reply are left out.
     *
     * @param hosts hosts for which the number of running requests is requested too
     */
    CompletableFuture<Map<String, StatusReply>> collect(List<String> hosts) {
        StatusRequest request = StatusRequest.newBuilder().addAllHosts(hosts).build();
        Set<String> ids = new HashSet<>(Set.of(mPeers.selfId()));
        mPublisher.state().members().members().forEach(member -> ids.add(member.id()));
        Map<String, CompletableFuture<Optional<StatusReply>>> calls = new HashMap<>();
        for (String id : ids) {
            calls.put(
                    id,
                    mPeers.call(id, Envelope.newBuilder().setStatusRequest(request))
                            .thenApply(reply -> Optional.of(reply.getStatusReply()))
                            .exceptionally(failure -> Optional.empty()));
        }
        return CompletableFuture.allOf(calls.values().toArray(new CompletableFuture<?>[0]))
                .thenApply(
                        done -> {
                            Map<String, StatusReply> replies = new TreeMap<>();
                            calls.forEach(
                                    (id, call) -> call.join().ifPresent(r -> replies.put(id, r)));
                            return replies;
                        });
    }

    @Override
    public CompletableFuture<FleetStatus> status() {
        return collect(List.of()).thenApply(this::status);
    }

    private FleetStatus status(Map<String, StatusReply> replies) {
        VersionedState state = mPublisher.state();
        return FleetStatusBuilder.of(
                mPeers.selfId(),
                state,
                mFailedHosts.get(),
                mServing.getAsBoolean(),
                teams(state, replies),
                daemons(state, replies));
    }

    private static List<TeamStatus> teams(VersionedState state, Map<String, StatusReply> replies) {
        List<TeamStatus> teams = new ArrayList<>();
        for (TeamSettings team : state.settings().teams().values()) {
            int running = 0;
            int queued = 0;
            for (StatusReply reply : replies.values()) {
                Load load = reply.getTeamsOrDefault(team.name(), Load.getDefaultInstance());
                running += load.getRunning();
                queued += load.getQueued();
            }
            teams.add(
                    new TeamStatus(
                            team.name(), running, queued, team.shareWeight(), team.runningLimit()));
        }
        return teams;
    }

    private static List<DaemonStatus> daemons(
            VersionedState state, Map<String, StatusReply> replies) {
        List<DaemonStatus> daemons = new ArrayList<>();
        for (Member member : state.members().members()) {
            StatusReply reply = replies.get(member.id());
            daemons.add(
                    new DaemonStatus(
                            member.id(),
                            member.zone(),
                            reply == null ? -1 : reply.getVersion(),
                            reply != null && reply.getReachesStore()));
        }
        return daemons;
    }

    private static Load load(TeamRequestCounts counts) {
        return Load.newBuilder().setRunning(counts.running()).setQueued(counts.queued()).build();
    }

    private static boolean isZero(TeamRequestCounts counts) {
        return counts.running() == 0 && counts.queued() == 0;
    }

    private static TeamRequestCounts sum(TeamRequestCounts a, TeamRequestCounts b) {
        return new TeamRequestCounts(a.running() + b.running(), a.queued() + b.queued());
    }
}
