package org.marigoldturn.routing;

import java.util.concurrent.CompletableFuture;

/** Claims request ids at their owners. Thread safe; never blocks. */
public interface ClaimRegistry {
    /**
     * Claims an id. The future fails if no response of the owner arrived in time: the request must
     * not run, and the id must not be released.
     */
    CompletableFuture<ClaimResult> claim(RequestId id);

    /** Releases a granted id whose request certainly did not run. */
    void release(RequestId id);
}
