package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.Entitlement;
import org.marigoldturn.peer.wire.Entitlements;
import org.marigoldturn.peer.wire.TransferHint;
import org.marigoldturn.rights.PoolSlots;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.shares.CoordinatorOutput.AddressedEntitlements;
import org.marigoldturn.shares.CoordinatorOutput.AddressedHint;
import org.marigoldturn.shares.MaxMinAllocator.TeamClaim;
import org.marigoldturn.shares.TransferPlanner.Move;

/**
 * Coordinates the pools and team limits whose coordinator this daemon is: sends entitlements and
 * transfer hints by the demand that daemons report.
 *
 * <p>All state is soft: a new coordinator starts from complete reports, and wrong hints reduce
 * efficiency only. Not thread safe; used by the control thread only.
 */
public final class ShareCoordinator {
    /** Interval at which unchanged entitlements are repeated. */
    private static final long REPEAT_MILLIS = 10_000;

    /** A change of up to 1/16 of an entitlement waits for the next repetition. */
    private static final int ENTITLEMENT_TOLERANCE_DIVISOR = 16;

    private static final String POOL_PREFIX = ResourceNames.pool("");
    private static final String TEAM_PREFIX = ResourceNames.team("");

    private record Sent(Map<String, Integer> parts, long atMillis) {}

    private final String mSelf;
    private final Map<String, ResourceCoordinator> mResources = new TreeMap<>();

    /** Entitlements sent last, by resource and daemon. */
    private final Map<String, Map<String, Sent>> mSent = new HashMap<>();

    private final SlotAudit mAudit = new SlotAudit();
    private final PoolSlots mPoolSlots = new PoolSlots();

    /** Creates the coordinator of the daemon with the given member id. */
    public ShareCoordinator(String self) {
        mSelf = self;
    }

    /** Applies the report of a daemon. */
    public void onReport(String sender, DemandReport report, long nowMillis) {
        mResources
                .computeIfAbsent(report.getResource(), name -> new ResourceCoordinator())
                .onReport(sender, report, nowMillis);
    }

    /**
     * Returns the messages that are due; to be called once a second.
     *
     * @param responding ids of the members that respond, including this daemon
     */
    public CoordinatorOutput tick(
            VersionedState state, Collection<String> responding, long nowMillis) {
        List<AddressedEntitlements> entitlements = new ArrayList<>();
        List<AddressedHint> hints = new ArrayList<>();
        Set<String> poolsToReassign = new TreeSet<>();
        mResources.keySet().removeIf(r -> !Coordinators.of(r, responding).orElse("").equals(mSelf));
        mSent.keySet().retainAll(mResources.keySet());
        mResources.forEach(
                (resource, coordinator) -> {
                    coordinator.forgetNotReporting(responding, nowMillis);
                    if (resource.startsWith(POOL_PREFIX)) {
                        coordinatePool(state, resource, nowMillis, entitlements, hints);
                        if (hasLostSlots(state, resource, nowMillis)) {
                            poolsToReassign.add(resource.substring(POOL_PREFIX.length()));
                        }
                    } else if (resource.startsWith(TEAM_PREFIX)) {
                        coordinateTeam(state, resource, nowMillis, hints);
                    }
                });
        mAudit.retain(mResources.keySet());
        return new CoordinatorOutput(entitlements, hints, poolsToReassign);
    }

    private boolean hasLostSlots(VersionedState state, String resource, long nowMillis) {
        int slots = mPoolSlots.slots(state, resource.substring(POOL_PREFIX.length()));
        return mAudit.hasLostSlots(resource, slots, mResources.get(resource).held(), nowMillis);
    }

    private void coordinatePool(
            VersionedState state,
            String resource,
            long nowMillis,
            List<AddressedEntitlements> entitlements,
            List<AddressedHint> hints) {
        ResourceCoordinator coordinator = mResources.get(resource);
        String pool = resource.substring(POOL_PREFIX.length());
        int slots = mPoolSlots.slots(state, pool);
        List<TeamClaim> claims = new ArrayList<>();
        coordinator.demands().forEach((team, demand) -> claims.add(claim(state, team, demand)));
        Map<String, Map<String, Integer>> parts = coordinator.divide(slots, claims, nowMillis);
        boolean full = claims.stream().mapToInt(TeamClaim::cap).sum() >= slots;
        parts.forEach(
                (daemon, teams) ->
                        addEntitlements(
                                resource,
                                daemon,
                                full ? teams : Map.of(),
                                nowMillis,
                                entitlements));
        Map<String, Integer> needs = new TreeMap<>();
        parts.forEach(
                (daemon, teams) ->
                        needs.put(daemon, teams.values().stream().mapToInt(n -> n).sum()));
        addHints(resource, coordinator.planMoves(slots, needs, nowMillis), hints);
    }

    /**
     * Plans transfers of a team's rights to the daemons with demand. Counts minted rights: with a
     * limit below the minted rights, more than one right is needed for each running request.
     */
    private void coordinateTeam(
            VersionedState state, String resource, long nowMillis, List<AddressedHint> hints) {
        ResourceCoordinator coordinator = mResources.get(resource);
        String team = resource.substring(TEAM_PREFIX.length());
        ResourceDivision division = state.rights().teams().get(team);
        TeamSettings settings = state.settings().teams().get(team);
        if (division == null || settings == null || settings.runningLimit() == 0) {
            return;
        }
        int minted = division.minted();
        int limit = Math.min(settings.runningLimit(), minted);
        int demand = coordinator.demands().getOrDefault(team, 0);
        TeamClaim claim = new TeamClaim(team, demand, 1, limit);
        Map<String, Integer> needs = new TreeMap<>();
        coordinator
                .divide(limit, List.of(claim), nowMillis)
                .forEach(
                        (daemon, parts) -> {
                            long running = parts.getOrDefault(team, 0);
                            // Rounded up, as the allowance of a holding is rounded down.
                            needs.put(daemon, (int) ((running * minted + limit - 1) / limit));
                        });
        addHints(resource, coordinator.planMoves(minted, needs, nowMillis), hints);
    }

    private static TeamClaim claim(VersionedState state, String team, int demand) {
        TeamSettings settings = state.settings().teams().get(team);
        int weight = settings == null ? 1 : settings.shareWeight();
        int limit = settings == null ? Integer.MAX_VALUE : settings.runningLimit();
        return new TeamClaim(team, demand, weight, limit);
    }

    private static void addHints(String resource, List<Move> moves, List<AddressedHint> hints) {
        for (Move move : moves) {
            TransferHint hint =
                    TransferHint.newBuilder()
                            .setResource(resource)
                            .setTaker(move.recipient())
                            .setCount(move.count())
                            .build();
            hints.add(new AddressedHint(move.source(), hint));
        }
    }

    private void addEntitlements(
            String resource,
            String daemon,
            Map<String, Integer> parts,
            long nowMillis,
            List<AddressedEntitlements> entitlements) {
        Map<String, Sent> sent = mSent.computeIfAbsent(resource, name -> new HashMap<>());
        Sent last = sent.getOrDefault(daemon, new Sent(Map.of(), Long.MIN_VALUE / 2));
        boolean repeat = !parts.isEmpty() && nowMillis - last.atMillis() >= REPEAT_MILLIS;
        if (!repeat && !differs(last.parts(), parts)) {
            return;
        }
        sent.put(daemon, new Sent(Map.copyOf(parts), nowMillis));
        Entitlements.Builder message = Entitlements.newBuilder().setResource(resource);
        parts.forEach(
                (team, running) ->
                        message.addEntitlements(
                                Entitlement.newBuilder().setTeam(team).setRunning(running)));
        entitlements.add(new AddressedEntitlements(daemon, message.build()));
    }

    private static boolean differs(Map<String, Integer> before, Map<String, Integer> now) {
        if (!before.keySet().equals(now.keySet())) {
            return true;
        }
        return now.entrySet().stream()
                .anyMatch(
                        e -> {
                            int last = before.get(e.getKey());
                            int change = Math.abs(e.getValue() - last);
                            return change > last / ENTITLEMENT_TOLERANCE_DIVISOR;
                        });
    }
}
