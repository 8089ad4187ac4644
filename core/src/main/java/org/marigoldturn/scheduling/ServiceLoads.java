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
import org.marigoldturn.jobs.Room;

/**
 * Sums up the work ahead, the capacity and the refusals of each service. Confined to the control
 * thread.
 */
final class ServiceLoads {
    /** A lasting task that waits for longer lacks a host rather than a moment's room. */
    private static final long LACKS_HOST_MILLIS = 1_500;

    private final JobTable mJobs;
    private final TargetTable mTargets;
    private final Map<String, Long> mRefusedMillis = new HashMap<>();
    private Map<String, Room> mIncoming = Map.of();

    ServiceLoads(JobTable jobs, TargetTable targets) {
        mJobs = jobs;
        mTargets = targets;
    }

    void noteRefusal(String service, long nowMillis) {
        mRefusedMillis.put(service, nowMillis);
    }

    void setIncoming(Map<String, Room> incoming) {
        mIncoming = Map.copyOf(incoming);
    }

    /** Returns the capacity that is on its way to a service. */
    Room incoming(String service) {
        return mIncoming.getOrDefault(service, Room.NONE);
    }

    /** Returns the load of every service of the configuration that does not stand by. */
    List<ServiceLoad> all(
            QueueCatalog catalog,
            Function<JobEntry, Optional<String>> serviceOf,
            long nowMillis,
            long epochMillis) {
        Map<String, Long> aheadCoreMillis = new HashMap<>();
        Set<String> lacksHost = new HashSet<>();
        for (JobEntry entry : mJobs.active()) {
            Optional<String> service = serviceOf.apply(entry);
            if (service.isEmpty()) {
                continue;
            }
            long work = entry.waitingCoreMillis() + entry.runningCoreMillis();
            aheadCoreMillis.merge(service.get(), work, Long::sum);
            boolean old = nowMillis - entry.acceptedMillis() >= LACKS_HOST_MILLIS;
            if (old
                    && entry.job().spec().isLongRunning()
                    && entry.hasReadyWaitingTask(epochMillis)) {
                lacksHost.add(service.get());
            }
        }
        List<ServiceLoad> loads = new ArrayList<>();
        for (String service : catalog.services()) {
            if (catalog.standbyServices().contains(service)) {
                continue;
            }
            List<TargetState> targets = mTargets.usable(service, nowMillis);
            Room capacity = incoming(service);
            for (TargetState target : targets) {
                capacity = capacity.plus(target.entry().capacity());
            }
            loads.add(
                    new ServiceLoad(
                            service,
                            aheadCoreMillis.getOrDefault(service, 0L),
                            capacity.cpuMillicores(),
                            mRefusedMillis.getOrDefault(service, Long.MIN_VALUE / 2),
                            lacksHost.contains(service)));
        }
        return loads;
    }
}
