package org.marigoldturn.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.Manifest;

/** Lists the committed versions of the settings. Thread safe. */
@FunctionalInterface
public interface SettingsVersions {
    /** Returns the manifests of the newest versions, newest first. */
    CompletableFuture<List<Manifest>> recent(int limit);
}
