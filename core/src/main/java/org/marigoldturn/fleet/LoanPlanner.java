package org.marigoldturn.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.SettingsEdit;

/**
 * Plans loans of hosts from spare pools to pools whose demand exceeds their capacity. Stateless.
 *
 * <p>A loan is made when its benefit exceeds its cost. The benefit is one for each slot of unmet
 * demand that the host covers, times the duration of the overload in units of {@code
 * loanAfterMillis}, so that a long overload justifies a move that a short one does not. At most one
 * loan for each borrowing pool is made in a step, since each loan changes the demand that is still
 * unmet.
 */
public final class LoanPlanner {
    /** A loan causes a move to the borrowing pool and one back. */
    private static final int MOVES_PER_LOAN = 2;

    private static final double MILLIS_PER_MINUTE = 60_000.0;

    private final HostLifecycle mLifecycle = new HostLifecycle();

    /**
     * Returns the edits that make and end loans.
     *
     * @param demands demand by pool
     * @param expectedDrainMillis expected time to drain a host
     * @param nowMillis current wall-clock time
     */
    public List<SettingsEdit> plan(
            FleetSettings settings,
            Set<String> failedHosts,
            Map<String, PoolDemand> demands,
            long expectedDrainMillis,
            long nowMillis) {
        EditedSettings edited = new EditedSettings(settings);
        edited.apply(removeEndedLoans(settings));
        for (PoolDemand demand : new TreeMap<>(demands).values()) {
            boolean longEnough =
                    nowMillis - demand.sinceMillis() >= settings.policy().loanAfterMillis();
            PoolSettings pool = settings.pools().get(demand.pool());
            if (longEnough && pool != null && !pool.spare()) {
                edited.apply(
                        planPool(
                                edited.current(),
                                failedHosts,
                                demands,
                                demand,
                                expectedDrainMillis,
                                nowMillis));
            }
        }
        return edited.edits();
    }

    /**
     * Returns the cost of a loan by the weights of the policy; the class comment defines the
     * benefit that it is compared with.
     */
    public double cost(
            FleetPolicy.CostWeights weights, HostSettings host, long expectedDrainMillis) {
        return weights.buffer() * host.slots()
                + weights.rolloutTime() * expectedDrainMillis / MILLIS_PER_MINUTE
                + weights.moves() * MOVES_PER_LOAN;
    }

    private List<SettingsEdit> planPool(
            FleetSettings settings,
            Set<String> failedHosts,
            Map<String, PoolDemand> demands,
            PoolDemand demand,
            long expectedDrainMillis,
            long nowMillis) {
        AvailabilityBudget budget = AvailabilityBudget.of(settings, failedHosts);
        int unmet =
                demand.demandSlots()
                        - budget.presentSlots(demand.pool())
                        - incomingSlots(settings, demand.pool());
        if (unmet <= 0) {
            return startReturn(settings, budget, demand);
        }
        double overloadPeriods =
                (double) (nowMillis - demand.sinceMillis()) / settings.policy().loanAfterMillis();
        Optional<HostSettings> best =
                settings.hosts().values().stream()
                        .filter(host -> canLend(settings, failedHosts, demands, budget, host))
                        .filter(
                                host ->
                                        Math.min(unmet, host.slots()) * overloadPeriods
                                                > cost(
                                                        settings.policy().costWeights(),
                                                        host,
                                                        expectedDrainMillis))
                        .max(
                                Comparator.comparingInt(
                                                (HostSettings host) ->
                                                        Math.min(unmet, host.slots()))
                                        .thenComparing(HostSettings::name));
        return best.map(host -> lend(settings, host, demand.pool())).orElse(List.of());
    }

    private List<SettingsEdit> lend(FleetSettings settings, HostSettings host, String borrower) {
        EditedSettings edited = new EditedSettings(settings);
        edited.apply(mLifecycle.move(settings, host.name(), borrower));
        FleetPolicy policy = edited.current().policy();
        Map<String, String> loans = new TreeMap<>(policy.loans());
        loans.put(host.name(), host.pool());
        edited.apply(
                List.of(
                        new SettingsEdit.PutPolicy(
                                policy.withMoves(policy.pendingMoves(), loans))));
        return edited.edits();
    }

    /** Starts to move one lent host back when the demand fits without it. */
    private List<SettingsEdit> startReturn(
            FleetSettings settings, AvailabilityBudget budget, PoolDemand demand) {
        int unused = budget.presentSlots(demand.pool()) - demand.demandSlots();
        for (Map.Entry<String, String> loan : settings.policy().loans().entrySet()) {
            HostSettings host = settings.hosts().get(loan.getKey());
            boolean returnable =
                    host.pool().equals(demand.pool())
                            && host.state() == HostState.IN_SERVICE
                            && settings.pools().containsKey(loan.getValue())
                            && host.slots() <= unused
                            && budget.fits(host);
            if (returnable) {
                return mLifecycle.move(settings, host.name(), loan.getValue());
            }
        }
        return List.of();
    }

    private static boolean canLend(
            FleetSettings settings,
            Set<String> failedHosts,
            Map<String, PoolDemand> demands,
            AvailabilityBudget budget,
            HostSettings host) {
        PoolSettings pool = settings.pools().get(host.pool());
        if (pool == null
                || !pool.spare()
                || host.state() != HostState.IN_SERVICE
                || AvailabilityBudget.isAbsent(settings, failedHosts, host)
                || !budget.fits(host)) {
            return false;
        }
        PoolDemand lenderDemand = demands.get(host.pool());
        int demanded = lenderDemand == null ? 0 : lenderDemand.demandSlots();
        return budget.presentSlots(host.pool()) - host.slots() >= demanded;
    }

    private static int incomingSlots(FleetSettings settings, String pool) {
        return settings.policy().pendingMoves().entrySet().stream()
                .filter(move -> move.getValue().equals(pool))
                .map(move -> settings.hosts().get(move.getKey()))
                .filter(host -> host != null)
                .mapToInt(HostSettings::slots)
                .sum();
    }

    /**
     * Removes the loans that have ended: the host is gone, or is in the lending pool again without
     * a pending move.
     */
    private static List<SettingsEdit> removeEndedLoans(FleetSettings settings) {
        FleetPolicy policy = settings.policy();
        Map<String, String> loans = new TreeMap<>(policy.loans());
        loans.entrySet()
                .removeIf(
                        loan -> {
                            HostSettings host = settings.hosts().get(loan.getKey());
                            boolean inLendingPool =
                                    host != null && host.pool().equals(loan.getValue());
                            boolean moving = policy.pendingMoves().containsKey(loan.getKey());
                            return host == null || (inLendingPool && !moving);
                        });
        return loans.equals(policy.loans())
                ? List.of()
                : List.of(
                        new SettingsEdit.PutPolicy(policy.withMoves(policy.pendingMoves(), loans)));
    }
}
