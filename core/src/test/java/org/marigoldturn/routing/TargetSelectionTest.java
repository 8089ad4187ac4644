package org.marigoldturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marigoldturn.admission.FakeRights;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.routing.TargetSelector.Query;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/** Tests target selection and host health in pools with failing hosts, racks and zones. */
class TargetSelectionTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Query ANY = new Query(ResourceNeeds.NONE, Set.of(), true, 0);

    private final Random mRandom = new Random(11);
    private final FakeRights mRights = new FakeRights();
    private final HostLoads mLoads = new HostLoads();
    private final HostHealth mHealth = new HostHealth(mRandom);
    private final Set<String> mLeaving = new HashSet<>();
    private final TargetSelector mSelector =
            new TwoChoicesTargetSelector(
                    mRights, mLoads, pool -> mHealth, mLeaving::contains, mRandom);

    private static PoolHosts pool(int hosts, ZoneState zoneOne) {
        Map<String, ZoneSettings> zones = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            ZoneState state = i == 1 ? zoneOne : ZoneState.IN_SERVICE;
            zones.put("z" + i, new ZoneSettings("z" + i, "r1", state, 0));
        }
        Map<String, HostSettings> byName = new TreeMap<>();
        for (int i = 0; i < hosts; i++) {
            byName.put("h" + i, host(i, HostState.IN_SERVICE));
        }
        Map<String, PoolSettings> pools = Map.of("desk", new PoolSettings("desk", false));
        FleetSettings settings = new FleetSettings(zones, pools, Map.of(), Map.of(), byName);
        return PoolHosts.byPool(settings).get("desk");
    }

    private static HostSettings host(int index, HostState state) {
        String rack = "rack" + index / 4;
        return new HostSettings(
                "h" + index,
                "desk",
                "z" + index % 3,
                rack,
                "127.0.0.1",
                1 + index,
                8,
                64,
                32,
                1024,
                0,
                state,
                0);
    }

    private Optional<Selection> select(PoolHosts pool, Query query, long nowNanos) {
        return mSelector.select(pool, query, 0, nowNanos);
    }

    private void end(Selection selection) {
        mLoads.ended(selection.host().name());
        mRights.release("host:" + selection.host().name());
    }

    /** Guards against hosts that fail all requests fast and thereby attract most requests. */
    @Property(tries = 50, seed = "4051")
    void hostsThatFailFastGetFewRequests(@ForAll @IntRange(min = 1, max = 3) int failing) {
        TargetSelectionTest test = new TargetSelectionTest();
        PoolHosts pool = pool(12, ZoneState.IN_SERVICE);
        int failures = 0;
        for (int i = 0; i < 2_000; i++) {
            long now = i * SECOND / 100;
            Selection selection = test.select(pool, ANY, now).orElseThrow();
            boolean fails = test.index(selection) < failing;
            failures += fails ? 1 : 0;
            test.report(selection, pool, !fails, now);
            test.end(selection);
        }
        // Five failures and two trials of each host within 20 s.
        assertThat(failures).isLessThanOrEqualTo(failing * 8);
    }

    private int index(Selection selection) {
        return Integer.parseInt(selection.host().name().substring(1));
    }

    private void report(Selection selection, PoolHosts pool, boolean success, long now) {
        if (success) {
            mHealth.onSuccess(selection.host().name(), now);
        } else {
            mHealth.onFailure(selection.host().name(), pool.hosts().size(), now);
        }
    }

    /** Guards against ejecting more than 30% of a pool when whole racks fail. */
    @Property(tries = 100, seed = "4052")
    void atMostThirtyPercentAreEjected(
            @ForAll @IntRange(min = 1, max = 40) int hosts,
            @ForAll @IntRange(min = 1, max = 10) int racks) {
        HostHealth health = new HostHealth(new Random(1));
        for (int round = 0; round < 10; round++) {
            for (int i = 0; i < Math.min(hosts, racks * 4); i++) {
                health.onFailure("h" + i, hosts, round * SECOND);
                assertThat(health.ejectedCount() * 100).isLessThanOrEqualTo(hosts * 30);
            }
        }
    }

    /** Guards against ejected hosts that never return, or return without a trial. */
    @Example
    void anEjectedHostReturnsByOneTrial() {
        PoolHosts pool = pool(4, ZoneState.IN_SERVICE);
        for (int i = 0; i < 5; i++) {
            mHealth.onFailure("h0", 4, 0);
        }
        assertThat(mHealth.verdict("h0", SECOND)).isEqualTo(HostVerdict.EJECTED);
        long later = 7 * SECOND;
        Query notIdempotent = new Query(ResourceNeeds.NONE, Set.of(), false, 0);
        assertThat(select(pool, notIdempotent, later).orElseThrow().trial()).isFalse();
        Selection trial = select(pool, ANY, later).orElseThrow();
        assertThat(trial.trial()).isTrue();
        assertThat(trial.host().name()).isEqualTo("h0");
        assertThat(select(pool, ANY, later).orElseThrow().trial()).isFalse();
        mHealth.onFailure("h0", 4, later);
        // The second ejection lasts twice as long.
        assertThat(mHealth.verdict("h0", later + 9 * SECOND)).isEqualTo(HostVerdict.EJECTED);
        assertThat(select(pool, ANY, later + 13 * SECOND).orElseThrow().trial()).isTrue();
        mHealth.onSuccess("h0", later + 13 * SECOND);
        assertThat(mHealth.verdict("h0", later + 13 * SECOND)).isEqualTo(HostVerdict.USABLE);
    }

    /** Guards against a host that never returns to a pool without idempotent requests. */
    @Example
    void aLongOverdueTrialNeedsNoIdempotentRequest() {
        PoolHosts pool = pool(9, ZoneState.IN_SERVICE);
        for (int i = 0; i < HostHealth.CONSECUTIVE_FAILURES_TO_EJECT; i++) {
            mHealth.onFailure("h0", 9, SECOND);
        }
        Query notIdempotent = new Query(ResourceNeeds.NONE, Set.of(), false, 0);
        long ended = 2 * SECOND + 2 * HostHealth.FIRST_EJECTION_NANOS;
        assertThat(select(pool, notIdempotent, ended).orElseThrow().trial()).isFalse();
        long overdue = ended + HostHealth.MAX_EJECTION_NANOS;
        Selection trial = select(pool, notIdempotent, overdue).orElseThrow();
        assertThat(trial.trial()).isTrue();
        assertThat(trial.host().name()).isEqualTo("h0");
        assertThat(select(pool, notIdempotent, overdue).orElseThrow().trial()).isFalse();
        mHealth.onSuccess("h0", overdue);
        assertThat(mHealth.verdict("h0", overdue)).isEqualTo(HostVerdict.USABLE);
    }

    /** Guards against hosts in a zone out of service, and leaving, tried, small and full hosts. */
    @Property(tries = 300, seed = "4053")
    void selectsOnlyEligibleHosts(@ForAll long seed) {
        TargetSelectionTest test = new TargetSelectionTest();
        Random random = new Random(seed);
        PoolHosts pool = pool(9, ZoneState.OUT_OF_SERVICE);
        Set<String> tried = new HashSet<>();
        Set<String> full = new HashSet<>();
        for (int i = 0; i < 9; i++) {
            addSometimes(random, tried, "h" + i);
            addSometimes(random, test.mLeaving, "h" + i);
            addSometimes(random, full, "h" + i);
        }
        full.forEach(host -> test.mRights.with("host:" + host, 0));
        Optional<Selection> selection =
                test.select(pool, new Query(ResourceNeeds.NONE, tried, true, 0), 0);
        Set<String> free = new HashSet<>(List.of("h0", "h2", "h3", "h5", "h6", "h8"));
        free.removeAll(tried);
        free.removeAll(test.mLeaving);
        free.removeAll(full);
        assertThat(selection.isPresent()).isEqualTo(!free.isEmpty());
        selection.ifPresent(s -> assertThat(free).contains(s.host().name()));
        Query large = new Query(new ResourceNeeds(33, 0, 0), Set.of(), true, 0);
        assertThat(test.select(pool, large, 0)).isEmpty();
    }

    private static void addSometimes(Random random, Set<String> set, String host) {
        if (random.nextInt(3) == 0) {
            set.add(host);
        }
    }

    /** Guards against idle slots in a returning zone while the other zones are full. */
    @Example
    void aReturningZoneGetsFewRequestsButLeavesNoSlotIdle() {
        PoolHosts pool = pool(9, ZoneState.RETURNING);
        int returning = 0;
        for (int i = 0; i < 900; i++) {
            Selection selection = select(pool, ANY, 0).orElseThrow();
            returning += selection.host().zone().equals("z1") ? 1 : 0;
            end(selection);
        }
        // A tenth of the weight: about 5% of the choices instead of 33%.
        assertThat(returning).isBetween(5, 150);
        for (int i = 0; i < 9; i++) {
            mRights.with("host:h" + i, i % 3 == 1 ? 1 : 0);
        }
        assertThat(select(pool, ANY, 0).orElseThrow().host().zone()).isEqualTo("z1");
    }

    /** Guards against more HTTP/1.1 connections to a host than the share of the daemon. */
    @Example
    void limitsConnectionsOfProtocolsWithoutMultiplexing() {
        PoolHosts pool = pool(1, ZoneState.IN_SERVICE);
        Query query = new Query(ResourceNeeds.NONE, Set.of(), true, 32);
        assertThat(select(pool, query, 0)).isPresent();
        assertThat(select(pool, query, 0)).isPresent();
        assertThat(select(pool, query, 0)).isEmpty();
    }
}
