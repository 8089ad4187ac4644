package org.marigoldturn.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Orders the jobs of one scheduling pass so that client accounts get their shares of a service.
 *
 * <p>It addresses loads in which one account submits far more work than its share while others wait
 * for capacity. Long-running jobs and the priorities of the queues decide first, then whether a job
 * is within its account's entitlement. Among the rest, the next job is always one of the account
 * whose dominant share of the running resources is the smallest in relation to its weight (dominant
 * resource fairness); the jobs of one account keep the order of {@link JobTable}. The order is
 * work-conserving: it passes every job, so an account without competitors may use all capacity.
 * Confined to the control thread.
 */
final class AccountShares {
    private final AccountWeights mWeights;
    private final BiFunction<String, String, ResourceAmounts> mRunning;
    private final Function<String, ResourceAmounts> mCapacity;

    /**
     * Creates the order of one pass.
     *
     * @param running returns what the runs of an account request at the targets of a service
     * @param capacity returns the capacity of a service
     */
    AccountShares(
            AccountWeights weights,
            BiFunction<String, String, ResourceAmounts> running,
            Function<String, ResourceAmounts> capacity) {
        mWeights = weights;
        mRunning = running;
        mCapacity = capacity;
    }

    /** Jobs that compete with each other for the same targets at the same level of urgency. */
    private record Level(boolean shortJob, int priority, boolean excess, String service)
            implements Comparable<Level> {
        private static final Comparator<Level> ORDER =
                Comparator.comparing(Level::shortJob)
                        .thenComparing(Level::priority)
                        .thenComparing(Level::excess)
                        .thenComparing(Level::service);

        @Override
        public int compareTo(Level other) {
            return ORDER.compare(this, other);
        }
    }

    /** The jobs of one account at one level that the pass has not reached yet. */
    private final class AccountJobs {
        private final String mAccount;
        private final String mService;
        private final Queue<JobEntry> mJobs = new ArrayDeque<>();
        private double mRelativeShare;

        AccountJobs(String account, String service) {
            mAccount = account;
            mService = service;
        }

        void updateShare() {
            mRelativeShare = relativeShare(mAccount, mService);
        }
    }

    /**
     * Passes every job to an action, in the order in which their tasks are to start. The action
     * starts tasks, which changes the shares of the jobs that follow.
     *
     * @param jobs jobs in the order of {@link JobTable}
     * @param serviceOf returns the service of a job
     * @param isExcess returns whether a job exceeds its account's entitlement
     */
    void forEach(
            Collection<JobEntry> jobs,
            Function<JobEntry, String> serviceOf,
            Predicate<JobEntry> isExcess,
            Consumer<JobEntry> action) {
        Map<Level, Map<String, AccountJobs>> levels = new TreeMap<>();
        for (JobEntry job : jobs) {
            String service = serviceOf.apply(job);
            Level level =
                    new Level(
                            !job.job().spec().isLongRunning(),
                            job.priority(),
                            isExcess.test(job),
                            service);
            levels.computeIfAbsent(level, key -> new HashMap<>())
                    .computeIfAbsent(job.job().account(), name -> new AccountJobs(name, service))
                    .mJobs
                    .add(job);
        }
        levels.values().forEach(accounts -> forEachOfLevel(accounts.values(), action));
    }

    private void forEachOfLevel(Collection<AccountJobs> accounts, Consumer<JobEntry> action) {
        PriorityQueue<AccountJobs> byShare =
                new PriorityQueue<>(
                        Comparator.<AccountJobs>comparingDouble(a -> a.mRelativeShare)
                                .thenComparingLong(a -> a.mJobs.element().acceptedMillis())
                                .thenComparing(a -> a.mAccount));
        List<AccountJobs> all = new ArrayList<>(accounts);
        all.forEach(AccountJobs::updateShare);
        byShare.addAll(all);
        while (!byShare.isEmpty()) {
            AccountJobs next = byShare.remove();
            action.accept(next.mJobs.remove());
            if (!next.mJobs.isEmpty()) {
                next.updateShare();
                byShare.add(next);
            }
        }
    }

    /**
     * Returns the dominant share of an account in a service divided by its weight: the larger of
     * the parts of processors and of memory that its runs request.
     */
    double relativeShare(String account, String service) {
        return dominantShare(mRunning.apply(account, service), mCapacity.apply(service))
                / mWeights.weight(account);
    }

    /** Returns the larger of the parts of processors and of memory. */
    static double dominantShare(ResourceAmounts running, ResourceAmounts capacity) {
        double cpu = (double) running.cpuMillicores() / Math.max(1, capacity.cpuMillicores());
        double memory =
                (double) running.memoryMegabytes() / Math.max(1, capacity.memoryMegabytes());
        return Math.max(cpu, memory);
    }
}
