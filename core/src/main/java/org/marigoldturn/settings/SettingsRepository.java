package org.marigoldturn.settings;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.platform.KeyValueStore;
import org.marigoldturn.platform.Operation;
import org.marigoldturn.platform.StoredValue;
import org.marigoldturn.platform.Transaction;
import org.marigoldturn.platform.TransactionResult;

/**
 * Reads and commits versioned states in the platform's store.
 *
 * <p>Thread safe; holds no state but the store.
 */
public final class SettingsRepository {
    /** Largest number of operations in one transaction, the usual limit of the service. */
    private static final int MAX_OPERATIONS = 100;

    private final KeyValueStore mStore;
    private final String mPrefix;

    /**
     * Creates a repository.
     *
     * @param prefix key prefix, ending in a slash
     */
    public SettingsRepository(KeyValueStore store, String prefix) {
        if (!prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix \"" + prefix + "\" must end in a slash");
        }
        mStore = store;
        mPrefix = prefix;
    }

    /** Reads the newest state, fetching only contents that {@code known} lacks. */
    public CompletableFuture<LoadedState> load(Map<String, byte[]> known) {
        Operation read = new Operation.Read(manifestKey());
        return mStore.commit(Transaction.unconditional(List.of(read)))
                .thenCompose(result -> loadContents(result.reads().get(0), known));
    }

    /**
     * Commits {@code next} if the manifest still has the given revision.
     *
     * @return whether the commit took place
     */
    public CompletableFuture<Boolean> commit(
            VersionedState next, Map<String, byte[]> contents, long manifestRevision) {
        List<Operation> blobs = new ArrayList<>();
        contents.forEach(
                (path, content) ->
                        blobs.add(
                                new Operation.Put(
                                        blobKey(ContentHash.of(content)),
                                        ByteString.copyFrom(content))));
        return writeBlobs(blobs, 0).thenCompose(done -> commitManifest(next, manifestRevision));
    }

    /** Returns the key of the manifest, for a watch. */
    public String manifestKey() {
        return mPrefix + "manifest";
    }

    private CompletableFuture<Void> writeBlobs(List<Operation> blobs, int from) {
        if (from >= blobs.size()) {
            return CompletableFuture.completedFuture(null);
        }
        int to = Math.min(blobs.size(), from + MAX_OPERATIONS);
        return mStore.commit(Transaction.unconditional(blobs.subList(from, to)))
                .thenCompose(result -> writeBlobs(blobs, to));
    }

    private CompletableFuture<Boolean> commitManifest(VersionedState next, long revision) {
        Manifest manifest = next.manifest();
        ByteString content = ByteString.copyFrom(StateCodec.encodeManifest(manifest));
        String changeKey = mPrefix + "changes/" + manifest.changeId();
        String version = Long.toString(manifest.version());
        Transaction transaction =
                new Transaction(
                        List.of(new Compare(manifestKey(), revision), Compare.absent(changeKey)),
                        List.of(
                                new Operation.Put(manifestKey(), content),
                                new Operation.Put(mPrefix + "history/" + version, content),
                                new Operation.Put(changeKey, ByteString.copyFromUtf8(version))),
                        List.of());
        return mStore.commit(transaction).thenApply(TransactionResult::succeeded);
    }

    private CompletableFuture<LoadedState> loadContents(
            List<StoredValue> found, Map<String, byte[]> known) {
        if (found.isEmpty()) {
            return CompletableFuture.completedFuture(
                    new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT));
        }
        StoredValue stored = found.get(0);
        Manifest manifest = StateCodec.decodeManifest(stored.value().toByteArray());
        List<String> missing =
                manifest.entries().values().stream()
                        .filter(hash -> !known.containsKey(hash))
                        .distinct()
                        .toList();
        Map<String, byte[]> contents = new HashMap<>();
        manifest.entries().values().stream()
                .filter(known::containsKey)
                .forEach(hash -> contents.put(hash, known.get(hash)));
        return readBlobs(missing, 0, contents)
                .thenApply(
                        done ->
                                new LoadedState(
                                        StateCodec.decode(manifest, contents),
                                        Map.copyOf(contents),
                                        stored.modRevision()));
    }

    private CompletableFuture<Void> readBlobs(
            List<String> hashes, int from, Map<String, byte[]> contents) {
        if (from >= hashes.size()) {
            return CompletableFuture.completedFuture(null);
        }
        int to = Math.min(hashes.size(), from + MAX_OPERATIONS);
        List<Operation> reads = new ArrayList<>();
        for (String hash : hashes.subList(from, to)) {
            reads.add(new Operation.Read(blobKey(hash)));
        }
        return mStore.commit(Transaction.unconditional(reads))
                .thenCompose(
                        result -> {
                            for (List<StoredValue> values : result.reads()) {
                                for (StoredValue value : values) {
                                    byte[] content = value.value().toByteArray();
                                    contents.put(ContentHash.of(content), content);
                                }
                            }
                            return readBlobs(hashes, to, contents);
                        });
    }

    private String blobKey(String hash) {
        return mPrefix + "blobs/" + hash;
    }
}
