package org.marigoldturn.settings;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.marigoldturn.store.KeyValueStore;

/**
 * Reads and commits versioned states in the platform's store.
 *
 * <p>Remembers the newest state it has seen and never returns an older one as the newest. Thread
 * safe. Futures fail with a {@link SettingsException}.
 */
public final class SettingsRepository implements SettingsCommitter {
    private final StoreKeys mKeys;
    private final StateReader mReader;
    private final SettingsHistory mHistory;
    private final ChangeCommitter mCommitter;
    private final StoreCleanUp mCleanUp;

    /**
     * Creates a repository.
     *
     * @param prefix key prefix, ending in a slash
     */
    public SettingsRepository(KeyValueStore store, String prefix) {
        this(store, prefix, StoreCalls.FIRST_DELAY_MILLIS);
    }

    /** Creates a repository with another wait before the first repetition of a lost call. */
    SettingsRepository(KeyValueStore store, String prefix, long firstDelayMillis) {
        mKeys = new StoreKeys(prefix);
        StoreCalls calls = new StoreCalls(store, firstDelayMillis);
        BlobStore blobs = new BlobStore(calls, mKeys);
        mReader = new StateReader(calls, mKeys, blobs);
        mHistory = new SettingsHistory(calls, mKeys, mReader);
        mCommitter = new ChangeCommitter(calls, mKeys, blobs, mReader, mHistory);
        mCleanUp = new StoreCleanUp(calls, mKeys, mHistory);
    }

    /** Reads the newest state, fetching only contents that {@code known} lacks. */
    public CompletableFuture<LoadedState> load(Map<String, byte[]> known) {
        return asSettings(mReader.load(known));
    }

    @Override
    public CompletableFuture<ChangeResult> commit(SettingsChange change, long nowMillis) {
        StateChange checked;
        try {
            checked = StateChange.of(change);
        } catch (IllegalArgumentException e) {
            SettingsError error = new SettingsError("", 0, String.valueOf(e.getMessage()));
            return CompletableFuture.completedFuture(new ChangeResult.Invalid(List.of(error)));
        }
        return mCommitter.commit(checked, nowMillis);
    }

    /**
     * Commits a change of the member set or of the division of rights.
     *
     * <p>Rights that teams lack are minted in the same version, as with every change.
     *
     * @param step computes the system's part from the newest state; called again after a lost race
     * @param baseVersion version on which the caller decided, or {@link SettingsChange#ANY_VERSION}
     * @param nowMillis present wall clock time, recorded in the manifest
     * @return the result as of {@link #commit}
     */
    public CompletableFuture<ChangeResult> commitSystem(
            String changeId,
            String author,
            Function<VersionedState, SystemState> step,
            long baseVersion,
            long nowMillis) {
        return mCommitter.commit(
                StateChange.ofSystem(changeId, author, baseVersion, step), nowMillis);
    }

    /** Returns the change summaries of {@code count} versions from {@code from}, if kept. */
    public CompletableFuture<List<HistoryEntry>> history(long from, int count) {
        return asSettings(mHistory.entries(from, count));
    }

    /** Reads the state of a kept version. */
    public CompletableFuture<LoadedState> version(long version) {
        return asSettings(mHistory.state(version));
    }

    /**
     * Deletes history and change ids older than 1,000 versions, and contents that no kept version
     * names.
     *
     * @return number of deleted versions and contents
     */
    public CompletableFuture<Integer> cleanUp() {
        return asSettings(mReader.load(Map.of()).thenCompose(mCleanUp::run));
    }

    /** Returns the key of the manifest, for a watch. */
    public String manifestKey() {
        return mKeys.manifest();
    }

    private static <T> CompletableFuture<T> asSettings(CompletableFuture<T> future) {
        return future.exceptionallyCompose(
                failure -> CompletableFuture.failedFuture(StoreCalls.readFailure(failure)));
    }
}
