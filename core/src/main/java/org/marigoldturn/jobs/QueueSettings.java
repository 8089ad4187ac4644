package org.marigoldturn.jobs;

import java.util.Optional;

/**
 * Settings of one queue. Immutable.
 *
 * @param name name of the queue, the same in all versions of the configuration
 * @param host host name under which clients call it
 * @param pathPrefix prefix of the paths under which clients call it
 * @param service service whose targets run its tasks
 * @param priority scheduling priority; 0 is the most urgent
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param stretchFactor factor by which the longest chain of steps is multiplied for the objective
 *     of a job
 * @param objectiveMarginMillis time added to the multiplied chain for the objective
 * @param open whether clients can call it without a key
 * @param advice settings of the policy service that decides which targets may run its steps; empty
 *     if there is none
 */
public record QueueSettings(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double stretchFactor,
        long objectiveMarginMillis,
        boolean open,
        Optional<AdviceSettings> advice) {
    /** Returns the objective of a job: the time within which it should be completed. */
    public long objectiveMillis(long longestChainMillis) {
        return Math.round(stretchFactor * longestChainMillis) + objectiveMarginMillis;
    }
}
