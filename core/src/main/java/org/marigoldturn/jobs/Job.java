package org.marigoldturn.jobs;

import java.util.Objects;

/**
 * A job that a client submitted, with the data of its durable record. Immutable.
 *
 * @param id id that the client chose
 * @param queue name of the queue
 * @param account client account that submitted it; empty if the queue is open and needs no key
 * @param spec specification that the client submitted
 * @param acceptedEpochMillis wall-clock time at which it was accepted
 */
public record Job(String id, String queue, String account, JobSpec spec, long acceptedEpochMillis) {
    public Job {
        Objects.requireNonNull(spec, "spec");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("the job id must not be empty");
        }
    }
}
