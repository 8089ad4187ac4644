package org.marigoldturn.scheduling;

import java.util.Map;
import java.util.stream.Collectors;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.QueueCatalog;

/**
 * Weights of the client accounts in one configuration. Immutable.
 *
 * <p>A weight is an account's relative share of a service whose capacity does not suffice for all,
 * and the number of jobs a second that the account is entitled to. Calls without an account, on
 * open queues, and accounts without a weight count with the mean of the configured weights.
 *
 * @param byAccount configured weights, all positive; empty if shares do not apply
 * @param meanWeight weight of every other account
 */
record AccountWeights(Map<String, Double> byAccount, double meanWeight) {
    AccountWeights {
        byAccount = Map.copyOf(byAccount);
        if (!(meanWeight > 0)) {
            throw new IllegalArgumentException(
                    "the mean weight of accounts is " + meanWeight + "; it must be positive");
        }
    }

    static AccountWeights of(QueueCatalog catalog) {
        Map<String, Double> weights =
                catalog.accounts().stream()
                        .filter(account -> account.weight() > 0)
                        .collect(
                                Collectors.toMap(
                                        AccountSettings::name,
                                        AccountSettings::weight,
                                        (earlier, later) -> later));
        double mean = weights.values().stream().mapToDouble(w -> w).average().orElse(1);
        return new AccountWeights(weights, mean);
    }

    /** Returns whether the configuration has weights, so that shares apply. */
    boolean isEnabled() {
        return !byAccount.isEmpty();
    }

    double weight(String account) {
        return byAccount.getOrDefault(account, meanWeight);
    }

    /** Returns whether the account has a weight of its own, and with it an entitlement. */
    boolean hasEntitlement(String account) {
        return byAccount.containsKey(account);
    }
}
