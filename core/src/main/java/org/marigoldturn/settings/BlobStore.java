package org.marigoldturn.settings;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.Transaction;

/** Reads and writes immutable contents by hash, in several transactions. Thread safe. */
final class BlobStore {
    /** Maximum operations in a transaction; etcd rejects more than 128 by default. */
    static final int MAX_OPERATIONS = 100;

    /** Maximum content in a transaction; etcd rejects requests over 1.5 MiB by default. */
    private static final int MAX_TRANSACTION_BYTES = 512 << 10;

    private final TransactionExecutor mTransactions;
    private final StoreKeys mKeys;

    BlobStore(TransactionExecutor transactions, StoreKeys keys) {
        mTransactions = transactions;
        mKeys = keys;
    }

    /** Writes contents by hash. Idempotent. */
    CompletableFuture<Void> write(Map<String, byte[]> contents) {
        CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
        for (List<Operation> batch : batches(contents)) {
            done =
                    done.thenCompose(
                                    previous ->
                                            mTransactions.execute(Transaction.unconditional(batch)))
                            .thenAccept(result -> {});
        }
        return done;
    }

    /**
     * Returns the contents that a manifest refers to, by hash.
     *
     * @param known contents by hash that need not be read
     */
    CompletableFuture<Map<String, byte[]>> read(Manifest manifest, Map<String, byte[]> known) {
        Map<String, byte[]> contents = new HashMap<>();
        List<String> missing = new ArrayList<>();
        for (String hash : manifest.entries().values().stream().distinct().toList()) {
            if (known.containsKey(hash)) {
                contents.put(hash, known.get(hash));
            } else {
                missing.add(hash);
            }
        }
        return readFrom(missing, 0, contents).thenApply(done -> Map.copyOf(contents));
    }

    private List<List<Operation>> batches(Map<String, byte[]> contents) {
        List<List<Operation>> batches = new ArrayList<>();
        List<Operation> batch = new ArrayList<>();
        int batchBytes = 0;
        for (Map.Entry<String, byte[]> entry : contents.entrySet()) {
            int bytes = entry.getValue().length;
            boolean full =
                    batch.size() >= MAX_OPERATIONS || batchBytes + bytes > MAX_TRANSACTION_BYTES;
            if (full && !batch.isEmpty()) {
                batches.add(batch);
                batch = new ArrayList<>();
                batchBytes = 0;
            }
            ByteString value = ByteString.copyFrom(entry.getValue());
            batch.add(new Operation.Put(mKeys.blob(entry.getKey()), value));
            batchBytes += bytes;
        }
        if (!batch.isEmpty()) {
            batches.add(batch);
        }
        return batches;
    }

    private CompletableFuture<Void> readFrom(
            List<String> hashes, int from, Map<String, byte[]> contents) {
        if (from >= hashes.size()) {
            return CompletableFuture.completedFuture(null);
        }
        List<String> batch = hashes.subList(from, Math.min(hashes.size(), from + MAX_OPERATIONS));
        List<Operation> reads =
                batch.stream().map(h -> (Operation) new Operation.Read(mKeys.blob(h))).toList();
        return mTransactions
                .execute(Transaction.unconditional(reads))
                .thenCompose(
                        result -> {
                            for (int i = 0; i < batch.size(); i++) {
                                for (StoredValue value : result.reads().get(i)) {
                                    contents.put(batch.get(i), value.value().toByteArray());
                                }
                            }
                            return readFrom(hashes, from + batch.size(), contents);
                        });
    }
}
