package org.marigoldturn.settings;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.marigoldturn.store.KeyValueStore;

/**
 * Reads and commits versioned states in the platform's store.
 *
 * <p>Keeps the newest state that it has read and never returns an older one as the newest. Thread
 * safe. Futures fail with a {@link SettingsException}.
 */
public final class SettingsRepository implements SettingsCommitter {
    private final StoreKeys mKeys;
    private final StateReader mReader;
    private final VersionHistory mHistory;
    private final ChangeCommitter mCommitter;
    private final StoreCleanUp mCleanUp;

    /**
     * Creates a repository.
     *
     * @param prefix key prefix, ending in a slash
     */
    public SettingsRepository(KeyValueStore store, String prefix) {
        this(store, prefix, TransactionExecutor.FIRST_RETRY_DELAY_MILLIS);
    }

    /** Creates a repository with the given delay before the first retry of a transaction. */
    SettingsRepository(KeyValueStore store, String prefix, long firstRetryDelayMillis) {
        mKeys = new StoreKeys(prefix);
        TransactionExecutor transactions = new TransactionExecutor(store, firstRetryDelayMillis);
        BlobStore blobs = new BlobStore(transactions, mKeys);
        mReader = new StateReader(transactions, mKeys, blobs);
        mHistory = new VersionHistory(transactions, mKeys, mReader);
        mCommitter = new ChangeCommitter(transactions, mKeys, blobs, mReader, mHistory);
        mCleanUp = new StoreCleanUp(transactions, mKeys, mHistory);
    }

    /** Reads the newest state; reads only the contents that are not in {@code known}. */
    public CompletableFuture<LoadedState> load(Map<String, byte[]> known) {
        return withSettingsException(mReader.load(known));
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
     * <p>As with every change, missing rights are minted in the same version.
     *
     * @param update computes the new members and rights from the newest state; called again if
     *     another change was committed first
     * @param baseVersion version on which the change is based, or {@link
     *     SettingsChange#ANY_VERSION}
     * @param nowMillis present wall-clock time, recorded in the manifest
     * @return the result, as described at {@link #commit}
     */
    public CompletableFuture<ChangeResult> commitSystem(
            String changeId,
            String author,
            Function<VersionedState, SystemState> update,
            long baseVersion,
            long nowMillis) {
        return mCommitter.commit(
                StateChange.ofSystem(changeId, author, baseVersion, update), nowMillis);
    }

    /** Returns the change summaries of {@code count} versions from {@code from}, if kept. */
    public CompletableFuture<List<HistoryEntry>> history(long from, int count) {
        return withSettingsException(mHistory.entries(from, count));
    }

    /** Reads the state of a kept version. */
    public CompletableFuture<LoadedState> loadVersion(long version) {
        return withSettingsException(mHistory.state(version));
    }

    /**
     * Deletes history entries and change ids older than 1,000 versions, and contents that no kept
     * version refers to.
     *
     * @return number of deleted versions and contents
     */
    public CompletableFuture<Integer> cleanUp() {
        return withSettingsException(mReader.load(Map.of()).thenCompose(mCleanUp::run));
    }

    /** Returns the key of the manifest, on which a caller may open a watch. */
    public String manifestKey() {
        return mKeys.manifest();
    }

    private static <T> CompletableFuture<T> withSettingsException(CompletableFuture<T> future) {
        return future.exceptionallyCompose(
                failure ->
                        CompletableFuture.failedFuture(
                                TransactionExecutor.toSettingsException(failure)));
    }
}
