package org.marigoldturn.jobs;

import java.util.Optional;

/**
 * Rules of one queue. Immutable.
 *
 * @param name name of the queue, stable over versions
 * @param host host name under which clients call it
 * @param pathPrefix path under which clients call it
 * @param service service whose targets run its tasks
 * @param priority 0 comes first
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param stretch factor on the longest chain within which a job earns its full credit
 * @param targetDurationMillis time beyond the stretched chain within which it does
 * @param open whether calls need no key
 * @param advice how a policy service decides which targets may run its steps; empty if none does
 */
public record QueueSettings(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        long targetDurationMillis,
        boolean open,
        Optional<AdviceSettings> advice) {
    /** Returns the time within which a job earns its full credit. */
    public long objectiveMillis(long longestChainMillis) {
        return Math.round(stretch * longestChainMillis) + targetDurationMillis;
    }
}
