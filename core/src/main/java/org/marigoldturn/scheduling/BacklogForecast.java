package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Work ahead of a submitted job, by client account, as the forecast of its wait needs it.
 *
 * <p>With shares, the wait follows the fluid model of weighted fair queueing: while an account's
 * own backlog is served, each other account is served in proportion to its weight, but no more than
 * it has. So the backlog of an account above its share does not add to the wait of one below.
 * Without shares the whole backlog is ahead. Immutable.
 *
 * @param otherCoreMillis work of the other accounts that is served before or beside the job, in
 *     thousandths of a core-second
 * @param ownCoreMillis work of the job's own account, in thousandths of a core-second
 */
record BacklogForecast(long otherCoreMillis, long ownCoreMillis) {
    /** Returns the forecast for a service on which shares do not apply. */
    static BacklogForecast ofAll(Collection<JobEntry> jobsAhead) {
        long sum = 0;
        for (JobEntry job : jobsAhead) {
            sum += job.waitingCoreMillis() + job.runningCoreMillis();
        }
        return new BacklogForecast(0, sum);
    }

    /**
     * Returns the forecast for a job of an account within its entitlement.
     *
     * @param priority priority of the job's queue; all work of more urgent ones comes first
     * @param newCoreMillis work of the job itself
     * @param isExcess returns whether a job exceeds its account's entitlement; its waiting tasks
     *     start after this job's unless its queue is more urgent
     */
    static BacklogForecast byShares(
            Collection<JobEntry> jobsAhead,
            String account,
            int priority,
            long newCoreMillis,
            AccountWeights weights,
            Predicate<JobEntry> isExcess) {
        Map<String, Long> backlogs = new HashMap<>();
        long urgent = 0;
        for (JobEntry job : jobsAhead) {
            boolean isUrgent = job.priority() < priority;
            boolean startsLater = !isUrgent && isExcess.test(job);
            long work = job.runningCoreMillis() + (startsLater ? 0 : job.waitingCoreMillis());
            if (isUrgent) {
                urgent += work;
            } else {
                backlogs.merge(job.job().account(), work, Long::sum);
            }
        }
        return byShares(backlogs, account, urgent, newCoreMillis, weights);
    }

    /** Returns the forecast from the backlogs of accounts of the same priority. */
    static BacklogForecast byShares(
            Map<String, Long> backlogs,
            String account,
            long urgentCoreMillis,
            long newCoreMillis,
            AccountWeights weights) {
        long own = backlogs.getOrDefault(account, 0L);
        // Half of the new job's work, since its tasks run beside each other.
        double ownPerWeight = (own + newCoreMillis / 2.0) / weights.weight(account);
        double other = urgentCoreMillis;
        for (Map.Entry<String, Long> backlog : backlogs.entrySet()) {
            if (!backlog.getKey().equals(account)) {
                other +=
                        Math.min(
                                backlog.getValue(),
                                weights.weight(backlog.getKey()) * ownPerWeight);
            }
        }
        return new BacklogForecast(Math.round(other), own);
    }

    /** Returns the time after which processors of the given capacity begin with the job. */
    long waitMillis(long capacityMillicores) {
        return (otherCoreMillis + ownCoreMillis) * 1_000 / Math.max(1, capacityMillicores);
    }
}
