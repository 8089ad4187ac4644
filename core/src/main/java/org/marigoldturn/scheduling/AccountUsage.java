package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;

/**
 * Sums up the resources that the runs of each client account request, in all and by service,
 * including runs that are being started or stopped. Confined to the control thread.
 */
final class AccountUsage {
    private final Map<String, ResourceAmounts> mRunning = new HashMap<>();
    private final Map<String, Map<String, ResourceAmounts>> mRunningByService = new HashMap<>();

    void add(String account, String service, ResourceAmounts needs) {
        mRunning.merge(account, needs, ResourceAmounts::plus);
        mRunningByService
                .computeIfAbsent(service, name -> new HashMap<>())
                .merge(account, needs, ResourceAmounts::plus);
    }

    void remove(String account, String service, ResourceAmounts needs) {
        add(account, service, needs.times(-1));
    }

    /** Returns whether the account's limit allows {@code count} more tasks of a step. */
    boolean allows(Optional<AccountSettings> account, StepSpec step, int count) {
        return account.map(a -> a.allows(running(a.name()).plus(step.needs().times(count))))
                .orElse(true);
    }

    ResourceAmounts running(String account) {
        return mRunning.getOrDefault(account, ResourceAmounts.NONE);
    }

    /** Returns what the runs of an account at the targets of a service request. */
    ResourceAmounts running(String account, String service) {
        return mRunningByService
                .getOrDefault(service, Map.of())
                .getOrDefault(account, ResourceAmounts.NONE);
    }
}
