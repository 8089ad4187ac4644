package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;

/**
 * Sums up the resources that the runs of each client account request, including runs that are being
 * started or stopped: of all runs, for its limit, and of runs of short jobs by service, for its
 * share. Long-running tasks start before all others and do not compete for shares. Confined to the
 * control thread.
 */
final class AccountUsage {
    private final Map<String, ResourceAmounts> mRunning = new HashMap<>();
    private final Map<String, Map<String, ResourceAmounts>> mShortRuns = new HashMap<>();

    void add(String account, Run run, ResourceAmounts needs) {
        mRunning.merge(account, needs, ResourceAmounts::plus);
        if (!run.isLongRunning()) {
            mShortRuns
                    .computeIfAbsent(run.service(), name -> new HashMap<>())
                    .merge(account, needs, ResourceAmounts::plus);
        }
    }

    void remove(String account, Run run, ResourceAmounts needs) {
        add(account, run, needs.times(-1));
    }

    /** Returns whether the account's limit allows {@code count} more tasks of a step. */
    boolean allows(Optional<AccountSettings> account, StepSpec step, int count) {
        return account.map(a -> a.allows(running(a.name()).plus(step.needs().times(count))))
                .orElse(true);
    }

    ResourceAmounts running(String account) {
        return mRunning.getOrDefault(account, ResourceAmounts.NONE);
    }

    /** Returns what the runs of an account at the targets of a service request, by short jobs. */
    ResourceAmounts running(String account, String service) {
        return mShortRuns
                .getOrDefault(service, Map.of())
                .getOrDefault(account, ResourceAmounts.NONE);
    }
}
