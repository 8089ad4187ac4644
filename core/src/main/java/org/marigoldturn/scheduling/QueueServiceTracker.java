package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueServices;
import org.marigoldturn.jobs.QueueSettings;

/**
 * Tracks for each queue the services on whose targets its tasks may run.
 *
 * <p>The operator can send a queue to another service while its tasks run, and a later owner knows
 * neither the former configurations nor which of them the owners before it had read. So each owner
 * stores the services of a queue, and a later owner awaits the unread targets of all of them before
 * it starts tasks of a restored job.
 *
 * <p>Invariants: a task starts in a service only while the store names that service for the task's
 * queue; a service is removed only once all runs that can exist on its targets are known, none of
 * them is of the queue, and the store holds the ends of those that were. Confined to the control
 * thread.
 *
 * @see RestoredJobsCheck
 */
public final class QueueServiceTracker {
    private final JobTable mJobs;
    private final TargetTable mTargets;
    private final Map<String, Set<String>> mServices = new HashMap<>();

    /** The number of the change that adds it, by what is not known to be stored. */
    private final Map<Use, Long> mUnstored = new HashMap<>();

    /** What remains of former configurations. */
    private final Set<Use> mFormer = new HashSet<>();

    private QueueCatalog mCatalog;
    private long mCatalogNumber;
    private boolean mRestored;
    private boolean mComplete;
    private boolean mChanged;
    private long mChanges;

    /** A service on whose targets tasks of a queue may run. */
    private record Use(String queue, String service) {}

    /**
     * A change that is to be stored.
     *
     * @param number number of the change, which rises
     * @param services all that the store is to hold
     */
    public record Change(long number, QueueServices services) {}

    /** Services of former configurations that no task of their queue uses any more. Immutable. */
    public static final class Unused {
        private final Set<Use> mUses;
        private final long mCatalogNumber;

        /**
         * Creates the result of a search.
         *
         * @param catalogNumber number of the configuration under which they were found
         */
        private Unused(Set<Use> uses, long catalogNumber) {
            mUses = Set.copyOf(uses);
            mCatalogNumber = catalogNumber;
        }

        public boolean isEmpty() {
            return mUses.isEmpty();
        }
    }

    QueueServiceTracker(JobTable jobs, TargetTable targets, QueueCatalog catalog) {
        mJobs = jobs;
        mTargets = targets;
        setCatalog(catalog);
    }

    /**
     * Uses what the store holds. From then on, tasks start only in services that the store names
     * for their queue.
     */
    public void restore(QueueServices stored) {
        mRestored = true;
        mComplete = stored.complete();
        mServices.clear();
        stored.servicesByQueue()
                .forEach((queue, services) -> mServices.put(queue, new HashSet<>(services)));
        mUnstored.clear();
        mChanged = false;
        setCatalog(mCatalog);
    }

    /** Adds the services to which a configuration sends its queues. */
    void setCatalog(QueueCatalog catalog) {
        mCatalog = catalog;
        mCatalogNumber++;
        catalog.queues().forEach(queue -> add(queue.name(), queue.service()));
        updateFormer();
    }

    private void updateFormer() {
        mFormer.clear();
        mServices.forEach(
                (queue, services) ->
                        services.stream()
                                .filter(service -> !isPresent(queue, service))
                                .forEach(service -> mFormer.add(new Use(queue, service))));
    }

    private boolean add(String queue, String service) {
        boolean added = mServices.computeIfAbsent(queue, name -> new HashSet<>()).add(service);
        if (added) {
            mUnstored.put(new Use(queue, service), mChanges + 1);
            mChanged = true;
        }
        return added;
    }

    /** Returns whether the present configuration sends a queue to a service. */
    private boolean isPresent(String queue, String service) {
        return mCatalog.queue(queue)
                .map(QueueSettings::service)
                .filter(service::equals)
                .isPresent();
    }

    /** Returns what is to be stored; empty if nothing has changed since the last call. */
    public Optional<Change> takeChange() {
        if (!mRestored || !mChanged) {
            return Optional.empty();
        }
        mChanged = false;
        return Optional.of(new Change(++mChanges, new QueueServices(mComplete, mServices)));
    }

    /** Records that a change, or a later one in its place, is stored. */
    public void onStored(long changeNumber) {
        mUnstored.values().removeIf(number -> number <= changeNumber);
    }

    /** Returns whether the store names a service for a queue, so that its tasks may start there. */
    boolean isStored(String queue, String service) {
        return !mRestored
                || mServices.getOrDefault(queue, Set.of()).contains(service)
                        && !mUnstored.containsKey(new Use(queue, service));
    }

    /**
     * Returns the services on whose targets tasks of a queue may run; all services if it is not
     * known for which of them earlier owners have started tasks.
     */
    Set<String> services(String queue) {
        return mComplete ? mServices.getOrDefault(queue, Set.of()) : mTargets.services();
    }

    /**
     * Completes what is tracked once all runs of earlier owners are known, if these may have kept
     * no record.
     */
    public void completeIfAllRunsAreKnown(long nowMillis) {
        if (!mRestored || mComplete) {
            return;
        }
        for (String service : mTargets.services()) {
            if (!mTargets.knowsAllRuns(service, nowMillis)) {
                return;
            }
        }
        for (TargetState target : mTargets.all()) {
            target.forEachRun(this::addRun);
        }
        mComplete = true;
        mChanged = true;
        setCatalog(mCatalog);
    }

    /**
     * Adds the service of the target of a run that this owner has found there. A call for an
     * earlier incarnation of the target can have started it in another service than it was meant
     * for.
     */
    void addRun(Run run) {
        JobEntry job = mJobs.job(run.task().jobId());
        if (job != null && add(job.job().queue(), run.target().entry().service())) {
            updateFormer();
        }
    }

    /** Returns the services of former configurations that no task of their queue uses any more. */
    public Unused findUnused(long nowMillis) {
        Set<Use> unused = new HashSet<>();
        if (mComplete) {
            for (Use use : mFormer) {
                if (mTargets.knowsAllRuns(use.service(), nowMillis) && !hasRun(use)) {
                    unused.add(use);
                }
            }
        }
        return new Unused(unused, mCatalogNumber);
    }

    private boolean hasRun(Use use) {
        for (TargetState target : mTargets.thatMayRunTasksOf(use.service())) {
            for (Run run : target.runs()) {
                JobEntry job = mJobs.job(run.task().jobId());
                if (job != null && job.job().queue().equals(use.queue())) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Removes unused services; to be called once the store holds all ends of runs that were known
     * when the services were found. Keeps those in which a run has been found since, and all if the
     * configuration has changed.
     */
    public void forget(Unused unused) {
        if (unused.mCatalogNumber != mCatalogNumber) {
            return;
        }
        for (Use use : unused.mUses) {
            if (!hasRun(use)) {
                remove(use);
            }
        }
    }

    private void remove(Use use) {
        Set<String> services = mServices.get(use.queue());
        if (services != null && services.remove(use.service())) {
            if (services.isEmpty()) {
                mServices.remove(use.queue());
            }
            mUnstored.remove(use);
            mFormer.remove(use);
            mChanged = true;
        }
    }
}
