package org.marigoldturn.operator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.ContentHash;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsCommitter;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.SettingsError;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.StateCodec;
import org.marigoldturn.settings.VersionedState;

/**
 * Commits replacements of all settings on the repository, until the repository commits changes
 * itself. It neither merges concurrent changes nor recognizes repeated change ids. Thread safe.
 */
public final class RepositoryCommitter implements SettingsCommitter {
    private final SettingsRepository mRepository;

    /** Creates a committer on a repository. */
    public RepositoryCommitter(SettingsRepository repository) {
        mRepository = repository;
    }

    @Override
    public CompletableFuture<ChangeResult> commit(SettingsChange change, long nowMillis) {
        return mRepository.load(Map.of()).thenCompose(loaded -> commit(change, nowMillis, loaded));
    }

    private CompletableFuture<ChangeResult> commit(
            SettingsChange change, long nowMillis, LoadedState loaded) {
        VersionedState current = loaded.state();
        boolean stale =
                change.baseVersion() != SettingsChange.ANY_VERSION
                        && change.baseVersion() != current.version();
        if (stale) {
            return done(new ChangeResult.Conflict(current.manifest(), ""));
        }
        if (!(change.edits().get(0) instanceof SettingsEdit.ReplaceAll replace)) {
            return done(
                    new ChangeResult.Invalid(
                            List.of(
                                    new SettingsError(
                                            change.edits().get(0).path(),
                                            0,
                                            "only whole settings can be committed yet"))));
        }
        return write(change, nowMillis, loaded, replace.settings());
    }

    private CompletableFuture<ChangeResult> write(
            SettingsChange change, long nowMillis, LoadedState loaded, FleetSettings next) {
        VersionedState current = loaded.state();
        Map<String, byte[]> contents = StateCodec.encode(next, current.members(), current.rights());
        Map<String, String> entries = new TreeMap<>();
        Map<String, byte[]> byHash = new HashMap<>();
        contents.forEach(
                (path, content) -> {
                    entries.put(path, ContentHash.of(content));
                    byHash.put(ContentHash.of(content), content);
                });
        Manifest manifest =
                new Manifest(
                        current.version() + 1,
                        change.changeId(),
                        change.author(),
                        nowMillis,
                        entries);
        VersionedState state =
                new VersionedState(manifest, next, current.members(), current.rights());
        return mRepository
                .commit(state, contents, loaded.manifestRevision())
                .thenApply(
                        committed ->
                                committed
                                        ? new ChangeResult.Committed(
                                                new LoadedState(state, byHash, 0))
                                        : new ChangeResult.Conflict(current.manifest(), ""));
    }

    private static CompletableFuture<ChangeResult> done(ChangeResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
