package org.marigoldturn.rights;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marigoldturn.peer.wire.FreezeReply;
import org.marigoldturn.peer.wire.FreezeRequest;
import org.marigoldturn.peer.wire.FrozenResource;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;

/**
 * One attempt to compute new divisions of the rights of teams, based on one manifest version.
 *
 * <p>The result may be committed only on the condition that the base version is still current:
 * members resume transfers as soon as they hold a later version. The result covers the rights of
 * all members, so each member must either have replied or certainly run no request. Not thread
 * safe; used by the control thread only.
 */
public final class Redistribution {
    private final VersionedState mBase;
    private final Set<String> mTeams;
    private final Map<String, Map<String, FrozenResource>> mReplies = new TreeMap<>();
    private boolean mRefused;

    /** Starts an attempt for the teams, which must have a division at the base version. */
    public Redistribution(VersionedState base, Collection<String> teams) {
        mBase = base;
        mTeams = new TreeSet<>(teams);
        if (!base.rights().teams().keySet().containsAll(mTeams)) {
            throw new IllegalArgumentException(
                    "teams %s must all have a division at version %d; without one: %s"
                            .formatted(mTeams, base.version(), withoutDivision(base, mTeams)));
        }
    }

    /**
     * Returns the teams that need a new division: the minted rights differ from the limit, or a
     * daemon that has rights in the division has ended or left.
     */
    public static Set<String> teamsToRedistribute(VersionedState state, EndedDaemons ended) {
        Set<String> teams = new TreeSet<>();
        state.rights()
                .teams()
                .forEach(
                        (team, division) -> {
                            TeamSettings settings = state.settings().teams().get(team);
                            boolean differs =
                                    settings != null
                                            && settings.runningLimit() != division.minted();
                            if (differs || hasEndedHolder(state, division, ended)) {
                                teams.add(team);
                            }
                        });
        return teams;
    }

    /** Returns the request for all members, including this daemon. */
    public FreezeRequest request() {
        FreezeRequest.Builder request = FreezeRequest.newBuilder().setBaseVersion(mBase.version());
        mTeams.forEach(team -> request.addResources(ResourceNames.team(team)));
        return request.build();
    }

    /**
     * Applies a reply; one for another base version is ignored, a repeated one replaces the first.
     */
    public void onReply(String member, FreezeReply reply) {
        if (reply.getBaseVersion() != mBase.version()) {
            return;
        }
        Map<String, FrozenResource> resources = new HashMap<>();
        reply.getResourcesList().forEach(r -> resources.put(r.getResource(), r));
        if (!reply.getFrozen() || !complete(resources)) {
            mRefused = true;
            return;
        }
        mReplies.put(member, resources);
    }

    /** Returns whether a member refused to freeze, so that this attempt cannot succeed. */
    public boolean refused() {
        return mRefused;
    }

    /**
     * Returns the daemons that must still reply or be shown to run no request.
     *
     * @param withoutRequests daemons of which certainly no request runs, see {@link
     *     EndedDaemons#withoutRequests}
     */
    public Set<String> pending(Set<String> withoutRequests) {
        Set<String> pending = new TreeSet<>();
        mBase.members().members().stream().map(Member::id).forEach(pending::add);
        for (String team : mTeams) {
            // Former members may run requests on rights that no member has received.
            if (unaccounted(team) > 0) {
                pending.addAll(division(team).basis().keySet());
                records(team).values().forEach(r -> pending.addAll(r.getSentMap().keySet()));
                records(team).values().forEach(r -> pending.addAll(r.getReceivedMap().keySet()));
            }
        }
        pending.removeAll(mReplies.keySet());
        pending.removeAll(withoutRequests);
        return pending;
    }

    /** Returns the new divisions by team, or empty while replies or evidence are missing. */
    public Optional<Map<String, ResourceDivision>> result(Set<String> withoutRequests) {
        if (mRefused || mReplies.isEmpty() || !pending(withoutRequests).isEmpty()) {
            return Optional.empty();
        }
        Map<String, ResourceDivision> divisions = new TreeMap<>();
        mTeams.forEach(team -> divisions.put(team, divide(team)));
        return Optional.of(divisions);
    }

    private static Set<String> withoutDivision(VersionedState base, Set<String> teams) {
        Set<String> without = new TreeSet<>(teams);
        without.removeAll(base.rights().teams().keySet());
        return without;
    }

    private static boolean hasEndedHolder(
            VersionedState state, ResourceDivision division, EndedDaemons ended) {
        return division.basis().entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(Map.Entry::getKey)
                .anyMatch(id -> ended.hasEnded(id) || state.members().find(id).isEmpty());
    }

    private boolean complete(Map<String, FrozenResource> resources) {
        return mTeams.stream()
                .allMatch(
                        team -> {
                            FrozenResource record = resources.get(ResourceNames.team(team));
                            return record != null && record.getEpoch() == division(team).epoch();
                        });
    }

    private ResourceDivision division(String team) {
        return mBase.rights().teams().get(team);
    }

    private Map<String, FrozenResource> records(String team) {
        Map<String, FrozenResource> records = new TreeMap<>();
        mReplies.forEach(
                (member, resources) ->
                        records.put(member, resources.get(ResourceNames.team(team))));
        return records;
    }

    /** Returns the rights of each member that replied; transfers in flight count as received. */
    private Map<String, Long> holdings(String team) {
        Map<String, FrozenResource> records = records(team);
        Map<String, Long> holdings = new TreeMap<>();
        records.forEach(
                (member, record) -> {
                    Map<String, Long> received = new HashMap<>(record.getReceivedMap());
                    records.forEach(
                            (source, sourceRecord) -> {
                                long sent = sourceRecord.getSentMap().getOrDefault(member, 0L);
                                received.merge(source, sent, Math::max);
                            });
                    long held = division(team).basis().getOrDefault(member, 0);
                    held += received.values().stream().mapToLong(Long::longValue).sum();
                    held -= record.getSentMap().values().stream().mapToLong(Long::longValue).sum();
                    holdings.put(member, held);
                });
        return holdings;
    }

    /** Returns how many rights are held by no member that replied. */
    private long unaccounted(String team) {
        long held = holdings(team).values().stream().mapToLong(Long::longValue).sum();
        return division(team).minted() - held;
    }

    private ResourceDivision divide(String team) {
        ResourceDivision old = division(team);
        TeamSettings settings = mBase.settings().teams().get(team);
        int limit = settings == null ? 0 : settings.runningLimit();
        Map<String, Integer> basis = new TreeMap<>();
        long scale = Math.min(limit, old.minted());
        Map<String, FrozenResource> records = records(team);
        holdings(team)
                .forEach(
                        (member, held) -> {
                            long scaled = old.minted() == 0 ? 0 : held * scale / old.minted();
                            // Each running request keeps a right. Otherwise rights minted when the
                            // limit is raised again would let other daemons exceed it.
                            long kept = Math.max(scaled, records.get(member).getRunning());
                            basis.put(member, (int) Math.max(0, kept));
                        });
        int sum = basis.values().stream().mapToInt(Integer::intValue).sum();
        addRemainder(basis, Math.max(0, limit - sum));
        // The epoch is at least the next version, which commits the division, so that a deleted and
        // recreated team never repeats an epoch.
        long epoch = Math.max(old.epoch(), mBase.version()) + 1;
        return new ResourceDivision(epoch, Math.max(limit, sum), basis);
    }

    private static void addRemainder(Map<String, Integer> basis, int remainder) {
        List<String> members = List.copyOf(basis.keySet());
        for (int i = 0; i < members.size(); i++) {
            int part = remainder / members.size() + (i < remainder % members.size() ? 1 : 0);
            basis.merge(members.get(i), part, Integer::sum);
        }
    }
}
