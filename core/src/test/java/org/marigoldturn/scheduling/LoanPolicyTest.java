package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.marigoldturn.scheduling.LoanPolicy.Move;
import org.marigoldturn.scheduling.LoanPolicy.SpareHost;

/**
 * Checks that spare hosts move to services whose backlog exceeds their capacity and return when
 * idle.
 */
class LoanPolicyTest {
    private static final long NOW = 100_000;
    private static final long NO_REFUSAL = Long.MIN_VALUE / 2;

    @Example
    void overloadedServiceGetsAsManyHostsAsItsWorkNeeds() {
        // A backlog of 120 core-seconds takes 40 cores 3 s; 200 cores do it in the wanted 600 ms.
        ServiceLoad busy = new ServiceLoad("busy", 120_000, 40_000, NO_REFUSAL, false);
        List<SpareHost> hosts =
                List.of(spare("h1"), spare("h2"), spare("h3"), spare("h4"), spare("h5"));
        List<Move> moves = LoanPolicy.decide(List.of(busy, unloaded("q")), hosts, "standby", NOW);
        assertThat(moves).hasSize(4).extracting(Move::toPool).containsOnly("busy");
    }

    @Example
    void refusalAloneBringsOneHost() {
        ServiceLoad refused = new ServiceLoad("a", 0, 40_000, NOW - 100, false);
        List<Move> moves =
                LoanPolicy.decide(
                        List.of(refused), List.of(spare("h1"), spare("h2")), "standby", NOW);
        assertThat(moves).hasSize(1);
    }

    @Example
    void idleHostOfAPoolWithoutBacklogMovesDirectlyToTheOverloadedPool() {
        ServiceLoad busy = new ServiceLoad("busy", 120_000, 40_000, NO_REFUSAL, false);
        SpareHost onLoan = new SpareHost("h1", "quiet", 40_000, NOW);
        assertThat(
                        LoanPolicy.decide(
                                List.of(unloaded("quiet"), busy), List.of(onLoan), "standby", NOW))
                .extracting(Move::toPool)
                .containsExactly("busy");
    }

    @Example
    void hostIsNotTakenFromAPoolThatNeedsItNorWhileItHasRuns() {
        ServiceLoad a = new ServiceLoad("a", 120_000, 40_000, NO_REFUSAL, false);
        ServiceLoad b = new ServiceLoad("b", 120_000, 40_000, NO_REFUSAL, false);
        SpareHost inUse = new SpareHost("h1", "a", 40_000, NOW);
        SpareHost working = new SpareHost("h2", "quiet", 40_000, Long.MAX_VALUE);
        assertThat(LoanPolicy.decide(List.of(a, b), List.of(inUse, working), "standby", NOW))
                .isEmpty();
    }

    @Example
    void idleHostReturnsToTheStandbyPoolAfterTheIdleTime() {
        SpareHost justIdle = new SpareHost("h1", "quiet", 40_000, NOW - 100);
        SpareHost longIdle = new SpareHost("h2", "quiet", 40_000, NOW - 10_000);
        assertThat(
                        LoanPolicy.decide(
                                List.of(unloaded("quiet")),
                                List.of(justIdle, longIdle),
                                "standby",
                                NOW))
                .containsExactly(new Move("h2", "standby", "idle"));
    }

    private static SpareHost spare(String id) {
        return new SpareHost(id, "standby", 40_000, NOW);
    }

    private static ServiceLoad unloaded(String service) {
        return new ServiceLoad(service, 0, 40_000, NO_REFUSAL, false);
    }
}
