package org.marigoldturn.membership;

import java.util.concurrent.CompletableFuture;

/** Waits until a committed version is in force on all daemons. Thread safe. */
@FunctionalInterface
public interface ChangeAcceptance {
    /**
     * Returns a future that completes when the version is accepted or the timeout has passed.
     *
     * @param timeoutMillis longest time to wait
     */
    CompletableFuture<AcceptanceResult> awaitAccepted(long version, long timeoutMillis);
}
