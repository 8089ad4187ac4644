package org.marigoldturn.admission;

/** Reason for which a queue rejects a request; the request certainly did not run. */
public enum AdmissionError {
    /** The team's queue of the pool has reached its capacity. */
    QUEUE_FULL,
    /** The team's queue of the pool holds too many combinations of urgency and resource needs. */
    TOO_MANY_SIZES,
    /** The deadline had passed before the request was queued. */
    DEADLINE_PASSED
}
