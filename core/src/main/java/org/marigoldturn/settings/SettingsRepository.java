package org.marigoldturn.settings;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.platform.KeyValueStore;
import org.marigoldturn.platform.Operation;
import org.marigoldturn.platform.Transaction;
import org.marigoldturn.platform.TransactionResult;

/**
 * Reads, confirms and commits versioned states in the platform's store.
 *
 * <p>Remembers the newest state it has seen and never returns an older one as the newest. Thread
 * safe. Futures fail with a {@link SettingsException}, or with a store exception for a
 * confirmation.
 */
public final class SettingsRepository implements SettingsCommitter {
    private final StoreKeys mKeys;
    private final StoreCalls mCalls;
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
        mCalls = new StoreCalls(store, firstDelayMillis);
        BlobStore blobs = new BlobStore(mCalls, mKeys);
        mReader = new StateReader(mCalls, mKeys, blobs);
        mHistory = new SettingsHistory(mCalls, mKeys, mReader);
        mCommitter = new ChangeCommitter(mCalls, mKeys, blobs, mReader, mHistory);
        mCleanUp = new StoreCleanUp(mCalls, mKeys, mHistory);
    }

    /** Reads the newest state, fetching only contents that {@code known} lacks. */
    public CompletableFuture<LoadedState> load(Map<String, byte[]> known) {
        return asSettings(mReader.load(known));
    }

    @Override
    public CompletableFuture<ChangeResult> commit(SettingsChange change, long nowMillis) {
        return mCommitter.commit(StateChange.of(change), nowMillis);
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

    /**
     * Confirms through the store that {@code held} is the newest state, by a write.
     *
     * <p>The confirmation counts from the time of the call, which the caller takes before it.
     *
     * @param leaseId lease to which the record of the confirmation is attached
     * @return the result; fails with a store exception if the store does not answer
     */
    public CompletableFuture<ConfirmResult> confirm(
            String daemonId, LoadedState held, long leaseId) {
        String version = Long.toString(held.state().version());
        Transaction transaction =
                new Transaction(
                        List.of(new Compare(mKeys.manifest(), held.manifestRevision())),
                        List.of(
                                new Operation.Put(
                                        mKeys.confirmation(daemonId),
                                        ByteString.copyFromUtf8(version),
                                        leaseId)),
                        List.of(new Operation.Read(mKeys.manifest())));
        return mCalls.once(transaction).thenCompose(result -> confirmed(held, result));
    }

    private CompletableFuture<ConfirmResult> confirmed(LoadedState held, TransactionResult result) {
        if (result.succeeded()) {
            return CompletableFuture.completedFuture(new ConfirmResult.Confirmed());
        }
        return mReader.newest(result.reads().get(0), held.contents())
                .thenApply(
                        newest -> {
                            if (newest.state().version() <= held.state().version()) {
                                throw new SettingsException(
                                        "store returned no newer version than "
                                                + held.state().version()
                                                + " but did not confirm it",
                                        null);
                            }
                            return new ConfirmResult.Newer(newest);
                        });
    }

    /** Returns the change summaries of {@code count} versions from {@code from}, if kept. */
    public CompletableFuture<List<HistoryEntry>> history(long from, int count) {
        return asSettings(mHistory.entries(from, count));
    }

    /** Returns the entries that differ between two kept versions, by path. */
    public CompletableFuture<List<SettingsDifference>> diff(long versionA, long versionB) {
        return asSettings(mHistory.diff(versionA, versionB));
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
