package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Computes the load of each service from its backlog, its capacity and its refusals. While targets
 * of a service have not been read, they count with their capacity, and the work of restored jobs
 * that may run there does not count, so that no host is moved because of that work; since the
 * service may need the hosts that it has, it keeps them. Confined to the control thread.
 */
final class ServiceLoads {
    /**
     * A long-running job that was accepted longer ago than this and has a waiting task lacks a
     * host; before, capacity may become free soon.
     */
    private static final long LACKS_HOST_MILLIS = 1_500;

    private final JobTable mJobs;
    private final TargetTable mTargets;
    private final QueueServiceTracker mQueueServices;
    private final Map<String, Long> mRefusedMillis = new HashMap<>();
    private Map<String, ResourceAmounts> mIncoming = Map.of();

    ServiceLoads(JobTable jobs, TargetTable targets, QueueServiceTracker queueServices) {
        mJobs = jobs;
        mTargets = targets;
        mQueueServices = queueServices;
    }

    void recordRefusal(String service, long nowMillis) {
        mRefusedMillis.put(service, nowMillis);
    }

    void setIncomingCapacity(Map<String, ResourceAmounts> incoming) {
        mIncoming = Map.copyOf(incoming);
    }

    /** Returns the capacity that is being moved to a service. */
    ResourceAmounts incoming(String service) {
        return mIncoming.getOrDefault(service, ResourceAmounts.NONE);
    }

    /** Returns the load of every configured service except standby services. */
    List<ServiceLoad> all(
            QueueCatalog catalog,
            Function<JobEntry, Optional<String>> serviceOf,
            long nowMillis,
            long epochMillis) {
        Map<String, ServiceView> views = new HashMap<>();
        for (String service : catalog.services()) {
            views.put(service, mTargets.view(service, incoming(service), nowMillis));
        }
        UnreadRunsCheck unread = new UnreadRunsCheck(mTargets, mQueueServices, nowMillis);
        Map<String, Long> backlogCoreMillis = new HashMap<>();
        Set<String> lacksHost = new HashSet<>();
        for (JobEntry entry : mJobs.active()) {
            Optional<String> service = serviceOf.apply(entry);
            // What runs on targets that have not been read must not count as waiting.
            if (service.isEmpty() || unread.mayHaveUnreadRuns(entry)) {
                continue;
            }
            long work = entry.waitingCoreMillis() + entry.runningCoreMillis();
            backlogCoreMillis.merge(service.get(), work, Long::sum);
            boolean overdue = nowMillis - entry.acceptedMillis() >= LACKS_HOST_MILLIS;
            if (overdue
                    && entry.job().spec().isLongRunning()
                    && entry.hasStartableStep(epochMillis)) {
                lacksHost.add(service.get());
            }
        }
        List<ServiceLoad> loads = new ArrayList<>();
        for (String service : catalog.services()) {
            if (catalog.standbyServices().contains(service)) {
                continue;
            }
            loads.add(
                    new ServiceLoad(
                            service,
                            backlogCoreMillis.getOrDefault(service, 0L),
                            views.get(service).capacity().cpuMillicores(),
                            mRefusedMillis.getOrDefault(service, Long.MIN_VALUE / 2),
                            lacksHost.contains(service),
                            views.get(service).isPartial()));
        }
        return loads;
    }
}
