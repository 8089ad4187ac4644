package org.marigoldturn.operator;

import java.util.concurrent.CompletableFuture;

/** Source of the current fleet status. Thread safe; never blocks. */
@FunctionalInterface
public interface StatusSource {
    /** Returns the status as this daemon sees it now. */
    CompletableFuture<FleetStatus> status();
}
