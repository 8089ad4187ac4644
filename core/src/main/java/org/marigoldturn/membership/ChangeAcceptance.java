package org.marigoldturn.membership;

import java.util.concurrent.CompletableFuture;

/** Waits until a committed version is in force everywhere. Thread safe. */
@FunctionalInterface
public interface ChangeAcceptance {
    /**
     * Returns a future that completes when the version is accepted or the wait is over.
     *
     * @param timeoutMillis longest wait
     */
    CompletableFuture<AcceptanceResult> awaitAccepted(long version, long timeoutMillis);
}
