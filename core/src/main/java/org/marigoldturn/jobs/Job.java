package org.marigoldturn.jobs;

import java.util.Objects;

/**
 * An accepted job, as its durable record holds it. Immutable.
 *
 * @param id id that the client chose
 * @param queue name of the queue
 * @param account client account whose key came with it; empty on a queue open to all
 * @param spec what was handed in
 * @param acceptedEpochMillis time of day at which it was accepted
 */
public record Job(String id, String queue, String account, JobSpec spec, long acceptedEpochMillis) {
    public Job {
        Objects.requireNonNull(spec, "spec");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("the job id is empty");
        }
    }
}
