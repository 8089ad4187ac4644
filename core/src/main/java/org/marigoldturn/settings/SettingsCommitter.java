package org.marigoldturn.settings;

import java.util.concurrent.CompletableFuture;

/** Commits settings changes. Thread safe. */
@FunctionalInterface
public interface SettingsCommitter {
    /**
     * Commits a change.
     *
     * @param nowMillis present wall-clock time, recorded in the manifest
     * @return a future that fails with {@link SettingsException} if the store cannot be reached or
     *     the outcome cannot be determined
     */
    CompletableFuture<ChangeResult> commit(SettingsChange change, long nowMillis);
}
