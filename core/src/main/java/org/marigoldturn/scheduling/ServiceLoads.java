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
 * Computes the load of each service from its backlog, its capacity and its refusals. Confined to
 * the control thread.
 */
final class ServiceLoads {
    /**
     * A long-running job that was accepted longer ago than this and has a waiting task lacks a
     * host; before, capacity may become free soon.
     */
    private static final long LACKS_HOST_MILLIS = 1_500;

    private final JobTable mJobs;
    private final TargetTable mTargets;
    private final Map<String, Long> mRefusedMillis = new HashMap<>();
    private Map<String, ResourceAmounts> mIncoming = Map.of();

    ServiceLoads(JobTable jobs, TargetTable targets) {
        mJobs = jobs;
        mTargets = targets;
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
        Map<String, Long> backlogCoreMillis = new HashMap<>();
        Set<String> lacksHost = new HashSet<>();
        for (JobEntry entry : mJobs.active()) {
            Optional<String> service = serviceOf.apply(entry);
            if (service.isEmpty()) {
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
            List<TargetState> targets = mTargets.usable(service, nowMillis);
            ResourceAmounts capacity = incoming(service);
            for (TargetState target : targets) {
                capacity = capacity.plus(target.entry().capacity());
            }
            loads.add(
                    new ServiceLoad(
                            service,
                            backlogCoreMillis.getOrDefault(service, 0L),
                            capacity.cpuMillicores(),
                            mRefusedMillis.getOrDefault(service, Long.MIN_VALUE / 2),
                            lacksHost.contains(service)));
        }
        return loads;
    }
}
