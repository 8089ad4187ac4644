package org.marigoldturn.jobs;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * For each queue the services on whose targets its tasks may run, with the data of the durable
 * record. A queue that is sent to another service has several of them until the tasks that were
 * started before have ended. Immutable.
 *
 * @param complete whether no task runs in a service that is not named here; {@code false} while
 *     owners that kept no such record may have started tasks
 * @param servicesByQueue names of services by the name of the queue
 */
public record QueueServices(boolean complete, Map<String, Set<String>> servicesByQueue) {
    /** What is known without a record. */
    public static final QueueServices UNKNOWN = new QueueServices(false, Map.of());

    public QueueServices {
        Map<String, Set<String>> copy = new HashMap<>();
        servicesByQueue.forEach((queue, services) -> copy.put(queue, Set.copyOf(services)));
        servicesByQueue = Map.copyOf(copy);
    }
}
