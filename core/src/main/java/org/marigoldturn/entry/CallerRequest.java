package org.marigoldturn.entry;

import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.settings.ServiceSettings;

/**
 * A classified request. Immutable.
 *
 * @param claimed whether the caller chose the id, so that it must be claimed
 * @param deadlineNanos monotonic time by which the answer must be complete
 * @param startByNanos monotonic time until which the request may wait in the queue
 * @param targetPath path and query towards the target
 */
record CallerRequest(
        RequestId id,
        boolean claimed,
        Caller caller,
        boolean idempotent,
        boolean urgent,
        ResourceNeeds needs,
        long deadlineNanos,
        long startByNanos,
        String targetPath) {
    ServiceSettings service() {
        return caller.service();
    }

    String team() {
        return caller.terms().team();
    }
}
