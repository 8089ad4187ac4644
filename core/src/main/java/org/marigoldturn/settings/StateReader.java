package org.marigoldturn.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.Transaction;

/**
 * Reads states and keeps the newest one.
 *
 * <p>If the store returns an older version than an earlier read did, the newer one is returned, so
 * a lagging replica of the store cannot make this process go back to an older state. Thread safe.
 */
final class StateReader {
    private static final LoadedState INITIAL_STATE =
            new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT);

    private final TransactionExecutor mTransactions;
    private final StoreKeys mKeys;
    private final BlobStore mBlobs;
    private final AtomicReference<LoadedState> mNewest = new AtomicReference<>(INITIAL_STATE);

    StateReader(TransactionExecutor transactions, StoreKeys keys, BlobStore blobs) {
        mTransactions = transactions;
        mKeys = keys;
        mBlobs = blobs;
    }

    /** Reads the newest state. */
    CompletableFuture<LoadedState> load(Map<String, byte[]> known) {
        Operation read = new Operation.Read(mKeys.manifest());
        return mTransactions
                .execute(Transaction.unconditional(List.of(read)))
                .thenCompose(result -> newest(result.reads().get(0), known));
    }

    /** Returns the state of the manifest just read, or the newest state seen if that is newer. */
    CompletableFuture<LoadedState> newest(List<StoredValue> found, Map<String, byte[]> known) {
        LoadedState seen = mNewest.get();
        if (found.isEmpty()) {
            return CompletableFuture.completedFuture(seen);
        }
        StoredValue stored = found.get(0);
        Manifest manifest = StateCodec.decodeManifest(stored.value().toByteArray());
        if (manifest.version() <= seen.state().version()) {
            return CompletableFuture.completedFuture(seen);
        }
        return loadState(manifest, stored.modRevision(), known).thenApply(this::recordIfNewer);
    }

    /** Keeps a state if it is the newest, and returns the newest one seen. */
    LoadedState recordIfNewer(LoadedState loaded) {
        return mNewest.accumulateAndGet(
                loaded, (a, b) -> b.state().version() > a.state().version() ? b : a);
    }

    /** Returns the newest state seen, without a call to the store. */
    LoadedState newestSeen() {
        return mNewest.get();
    }

    /** Reads the state of a manifest and checks the hashes of its contents. */
    CompletableFuture<LoadedState> loadState(
            Manifest manifest, long revision, Map<String, byte[]> known) {
        Map<String, byte[]> usable = known.isEmpty() ? mNewest.get().contents() : known;
        return mBlobs.read(manifest, usable)
                .thenApply(
                        contents ->
                                new LoadedState(
                                        StateCodec.decode(manifest, contents), contents, revision));
    }

    /** Reads the history entry of a version; empty if it does not exist or was deleted. */
    CompletableFuture<Optional<StoredValue>> historyValue(long version) {
        Operation read = new Operation.Read(mKeys.history(version));
        return mTransactions
                .execute(Transaction.unconditional(List.of(read)))
                .thenApply(result -> result.reads().get(0).stream().findFirst());
    }
}
