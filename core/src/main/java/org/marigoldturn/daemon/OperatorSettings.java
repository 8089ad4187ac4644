package org.marigoldturn.daemon;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.HistoryEntry;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsRepository;

/** Commits the changes that operators make, and reads the history of versions. Thread safe. */
final class OperatorSettings {
    private final SettingsRepository mRepository;
    private final StatePublisher mPublisher;
    private final ControlLoop mControl;

    OperatorSettings(SettingsRepository repository, StatePublisher publisher, ControlLoop control) {
        mRepository = repository;
        mPublisher = publisher;
        mControl = control;
    }

    /** Commits a change and adopts it at once, so that the response does not wait for the watch. */
    CompletableFuture<ChangeResult> commit(SettingsChange change, long nowMillis) {
        return mRepository.commit(change, nowMillis).thenApplyAsync(this::adopted, mControl);
    }

    /** Returns the manifests of the newest versions, newest first. */
    CompletableFuture<List<Manifest>> history(int limit) {
        long from = Math.max(1, mPublisher.state().version() - limit + 1);
        return mRepository.history(from, limit).thenApply(OperatorSettings::newestFirst);
    }

    private ChangeResult adopted(ChangeResult result) {
        if (result instanceof ChangeResult.Committed committed) {
            mPublisher.adopt(committed.state());
        }
        return result;
    }

    private static List<Manifest> newestFirst(List<HistoryEntry> entries) {
        return entries.stream()
                .map(HistoryEntry::manifest)
                .sorted(Comparator.comparingLong(Manifest::version).reversed())
                .toList();
    }
}
