package org.marigoldturn.entry;

import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.settings.ServiceSettings;

/**
 * What the method and headers of a request say about it. Immutable.
 *
 * @param needsClaim whether the caller chose the id, so that the id must be claimed before the
 *     request is queued
 * @param deadlineNanos monotonic time by which the response must be complete
 * @param startByNanos monotonic time until which the request may wait in the queue for its first
 *     attempt
 * @param targetPath path and query that are sent to the target
 */
record CallerRequest(
        RequestId id,
        boolean needsClaim,
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
        return caller.rules().team();
    }
}
