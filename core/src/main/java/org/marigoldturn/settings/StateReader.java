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
 * Reads states and remembers the newest one that was seen.
 *
 * <p>A read that returns an older version than one seen before is answered with the newer one, so a
 * lagging replica of the store cannot take this process back. Thread safe.
 */
final class StateReader {
    private static final LoadedState NOTHING =
            new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT);

    private final StoreCalls mCalls;
    private final StoreKeys mKeys;
    private final BlobStore mBlobs;
    private final AtomicReference<LoadedState> mNewest = new AtomicReference<>(NOTHING);

    StateReader(StoreCalls calls, StoreKeys keys, BlobStore blobs) {
        mCalls = calls;
        mKeys = keys;
        mBlobs = blobs;
    }

    /** Reads the newest state. */
    CompletableFuture<LoadedState> load(Map<String, byte[]> known) {
        Operation read = new Operation.Read(mKeys.manifest());
        return mCalls.repeat(Transaction.unconditional(List.of(read)))
                .thenCompose(result -> newest(result.reads().get(0), known));
    }

    /** Returns the newer of the manifest that was just read and the newest state seen so far. */
    CompletableFuture<LoadedState> newest(List<StoredValue> found, Map<String, byte[]> known) {
        LoadedState held = mNewest.get();
        if (found.isEmpty()) {
            return CompletableFuture.completedFuture(held);
        }
        StoredValue stored = found.get(0);
        Manifest manifest = StateCodec.decodeManifest(stored.value().toByteArray());
        if (manifest.version() <= held.state().version()) {
            return CompletableFuture.completedFuture(held);
        }
        return materialize(manifest, stored.modRevision(), known).thenApply(this::offer);
    }

    /** Records a state and returns the newest one seen. */
    LoadedState offer(LoadedState loaded) {
        return mNewest.accumulateAndGet(
                loaded, (a, b) -> b.state().version() > a.state().version() ? b : a);
    }

    /** Returns the newest state seen, without a call to the store. */
    LoadedState held() {
        return mNewest.get();
    }

    /** Reads the contents that a manifest names and checks their hashes. */
    CompletableFuture<LoadedState> materialize(
            Manifest manifest, long revision, Map<String, byte[]> known) {
        Map<String, byte[]> usable = known.isEmpty() ? mNewest.get().contents() : known;
        return mBlobs.read(manifest, usable)
                .thenApply(
                        contents ->
                                new LoadedState(
                                        StateCodec.decode(manifest, contents), contents, revision));
    }

    /** Reads the history entry of a version; empty if it is not kept or does not exist. */
    CompletableFuture<Optional<StoredValue>> historyValue(long version) {
        Operation read = new Operation.Read(mKeys.history(version));
        return mCalls.repeat(Transaction.unconditional(List.of(read)))
                .thenApply(result -> result.reads().get(0).stream().findFirst());
    }
}
